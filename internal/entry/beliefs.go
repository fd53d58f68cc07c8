package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/freshness"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/succession"
)

// proofMargin is subtracted from the age that a proof may have, for the way of a
// request and for clock rates that differ by 1%.
const proofMargin = 200 * time.Millisecond

// assumedVacancy is how long a replacement is expected to take before one was
// seen: the platform's usual second and the way of the record.
const assumedVacancy = 1200 * time.Millisecond

// tenure is a group's leadership as last read from the store.
type tenure struct {
	record  succession.Record
	version proxy.Version
	// base is the version of the record that a replacement started from.
	base proxy.Version
	// began is when the host learned that the primary is being replaced.
	began proxy.Instant
	// seen is when the host learned of this version.
	seen proxy.Instant
	// working counts operations on the primary that may still write.
	working int
	// accepted reports that the host uses the old primary no more.
	accepted bool
	// conducted is when the conductor last said that it is at work.
	conducted proxy.Instant
}

// listed is an instance's entry with the times that decisions need.
type listed struct {
	directory.Instance
	version proxy.Version
	// leaving, demoted and missing are the instants at which the entry began to
	// report so; zero where it does not.
	leaving, demoted, missing proxy.Instant
	// retired instances have been leaving for so long that they get no operation.
	retired bool
}

// beliefs is what a host knows of the outside, with the instant as of which it
// is known to hold.
type beliefs struct {
	mu            sync.Mutex
	configuration *directory.Configuration
	// configured and led are the instants of the newest proofs that the
	// configuration and the tenures are current.
	configured, led proxy.Instant
	tenures         map[proxy.GroupID]*tenure
	// vacancy is how long the last replacement took.
	vacancy   time.Duration
	instances map[proxy.InstanceID]*listed
	histories map[proxy.GroupID]*freshness.History
	// members are the hosts registered in the store.
	members map[proxy.HostID]*member
	// registered is when the host's own entry was known to be in the store, and
	// counted from when on the others count it; zero before.
	registered, counted proxy.Instant
	// votes are what other hosts said of primaries that this one suspects.
	votes map[proxy.InstanceID]vote
	// suspects are primaries that this host cannot reach, since the instant.
	suspects map[proxy.InstanceID]proxy.Instant
}

func newBeliefs() *beliefs {
	return &beliefs{
		vacancy:   assumedVacancy,
		tenures:   make(map[proxy.GroupID]*tenure),
		instances: make(map[proxy.InstanceID]*listed),
		histories: make(map[proxy.GroupID]*freshness.History),
		members:   make(map[proxy.HostID]*member),
		votes:     make(map[proxy.InstanceID]vote),
		suspects:  make(map[proxy.InstanceID]proxy.Instant),
	}
}

// current returns the configuration and the instant as of which it is in force.
func (b *beliefs) current() (*directory.Configuration, proxy.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.configuration, b.configured
}

// leaderLocked returns the group's primary and the version of its record if the
// host may use it at now. The caller holds the lock.
func (b *beliefs) leaderLocked(now proxy.Instant, id proxy.GroupID) (proxy.InstanceID, proxy.Version, bool) {
	t := b.tenures[id]
	if t == nil || t.record.Phase != succession.Settled || now >= b.led.Add(succession.Lease) {
		return "", 0, false
	}
	if b.registered == 0 || b.led < b.registered {
		// A conductor that listed the hosts before does not wait for this one.
		return "", 0, false
	}
	return t.record.Primary, t.version, true
}

// enter counts an operation that may write on the group's primary.
func (b *beliefs) enter(now proxy.Instant, id proxy.GroupID, instance proxy.InstanceID) (proxy.Version, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	leader, version, ok := b.leaderLocked(now, id)
	if !ok || leader != instance {
		return 0, false
	}
	b.tenures[id].working++
	return version, true
}

// leave ends an operation that enter has counted.
func (b *beliefs) leave(id proxy.GroupID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.tenures[id]; t != nil {
		t.working--
	}
}

// holds reports whether the host still knows instance to be the group's primary
// as of the version of the record under which an operation began: yes, no, or
// not known at now.
func (b *beliefs) holds(now proxy.Instant, id proxy.GroupID, version proxy.Version) (holds, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tenures[id]
	switch {
	case t == nil:
		return false, true
	case t.record.Phase == succession.Settled && t.version == version:
		return true, now < b.led.Add(succession.Lease)
	case t.record.Phase == succession.Replacing && t.base == version && !t.accepted:
		// The old primary still leads while a planned replacement waits for
		// running operations.
		return true, now < b.led.Add(succession.Lease)
	default:
		return false, true
	}
}

// record dates a position that the group's primary told. The statement was sent
// at now.
func (b *beliefs) record(now proxy.Instant, id proxy.GroupID, instance proxy.InstanceID, at *proxy.Bookmark) {
	if at == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	leader, _, ok := b.leaderLocked(now, id)
	if !ok || leader != instance {
		return
	}
	h := b.histories[id]
	if h == nil {
		h = &freshness.History{}
		b.histories[id] = h
	}
	h.Record(now, *at)
}

// bound returns the lowest position that holds every commit acknowledged before
// since.
func (b *beliefs) bound(id proxy.GroupID, since proxy.Instant) (proxy.Bookmark, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.histories[id]
	if h == nil {
		return proxy.Bookmark{}, false
	}
	return h.MinimumPosition(since)
}

// stale returns the groups whose newest dated position is older than age.
func (b *beliefs) stale(now proxy.Instant, age time.Duration) map[proxy.GroupID]proxy.InstanceID {
	b.mu.Lock()
	defer b.mu.Unlock()
	groups := make(map[proxy.GroupID]proxy.InstanceID)
	for id := range b.tenures {
		leader, _, ok := b.leaderLocked(now, id)
		if !ok {
			continue
		}
		if h := b.histories[id]; h == nil || now.Sub(h.Latest()) > age {
			groups[id] = leader
		}
	}
	return groups
}

// groupInstances returns the registered instances of a group.
func (b *beliefs) groupInstances(id proxy.GroupID) []directory.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []directory.Instance
	for _, i := range b.instances {
		if i.Group == id && i.missing == 0 {
			found = append(found, i.Instance)
		}
	}
	slices.SortFunc(found, func(a, b directory.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return found
}

// suspect records that an attempt to reach an instance has failed.
func (b *beliefs) suspect(now proxy.Instant, id proxy.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspects[id] == 0 {
		b.suspects[id] = now
	}
}

// unreachableLocked reports whether this host has failed for long enough to reach
// an instance that it says so to others. The caller holds the lock.
func (b *beliefs) unreachableLocked(now proxy.Instant, id proxy.InstanceID) bool {
	since := b.suspects[id]
	return since != 0 && now.Sub(since) > suspectTime
}

// inTouchLocked reports whether the store has recently confirmed the tenures, so
// that this host may change what others rely on. The caller holds the lock.
func (b *beliefs) inTouchLocked(now proxy.Instant) bool {
	return b.led != 0 && now.Sub(b.led) <= 2*proofWait+storeSlack
}

// suspected returns the suspected primaries and forgets other suspects, which
// nobody votes on.
func (b *beliefs) suspected() []proxy.InstanceID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []proxy.InstanceID
	for _, t := range b.tenures {
		if b.suspects[t.record.Primary] != 0 {
			found = append(found, t.record.Primary)
		}
	}
	for id := range b.suspects {
		if !slices.Contains(found, id) {
			delete(b.suspects, id)
		}
	}
	return found
}

// trust records that an instance has answered and reports whether it was
// suspected.
func (b *beliefs) trust(id proxy.InstanceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspects[id] == 0 {
		return false
	}
	delete(b.suspects, id)
	return true
}
