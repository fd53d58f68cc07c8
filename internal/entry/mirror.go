package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Limits of the changes that a mirror keeps for its followers: their number, and
// the size of their objects in bytes.
const (
	maxChanges = 1024
	maxSize    = 4 << 20
)

// How long a relay gathers changes of a kind before it answers, since each
// answer costs every follower a wake-up. Leadership is not gathered: a group
// waits for it.
const (
	gatherConfiguration = 20 * time.Millisecond
	gatherInstances     = 50 * time.Millisecond
	// gatherMembers is long, since a fleet that starts registers by the hundred,
	// and a new host waits for joinTime anyway.
	gatherMembers = 400 * time.Millisecond
)

// mirror is a host's copy of a kind of the store's objects, which it also serves
// to the other hosts of its zone.
type mirror struct {
	// gather is how long changes are gathered before followers get them.
	gather time.Duration
	log    zerolog.Logger

	mu sync.Mutex
	// records are the objects by name, as of version of the store.
	records map[string]proxy.Record
	version proxy.Version
	// changes holds the newest changes. It is complete after version floor.
	changes []logged
	floor   proxy.Version
	// size is that of the objects in changes, in bytes.
	size int
	// hops is the number of relays between the mirror and the store.
	hops int
	// failing reports that the mirror's own source does not answer.
	failing bool
	// proof is the instant as of which the mirror is known to be complete.
	proof proxy.Instant
	// moved is closed and replaced when the mirror or its proof has changed.
	moved chan struct{}
	// packed are objects as they are sent to followers.
	packed packer
}

// logged is a change with the version of the store by which it was known.
type logged struct {
	record proxy.Record
	at     proxy.Version
}

func newMirror(gather time.Duration, log zerolog.Logger) *mirror {
	return &mirror{gather: gather, log: log, records: make(map[string]proxy.Record), moved: make(chan struct{})}
}

// replace takes a whole listing. What differs from the mirror counts as changed,
// so that followers need not read everything again.
func (m *mirror) replace(proof proxy.Instant, listing proxy.Listing, hops int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == 0 {
		m.floor = listing.Version
	}
	present := make(map[string]bool, len(listing.Records))
	for _, record := range listing.Records {
		present[record.Name] = true
		if m.records[record.Name].Version != record.Version {
			m.apply(record, listing.Version)
		}
	}
	for name, record := range m.records {
		if !present[name] {
			record.Deleted = true
			m.apply(record, listing.Version)
		}
	}
	m.advance(proof, listing.Version, hops)
}

// change takes changes.
func (m *mirror) change(proof proxy.Instant, listing proxy.Listing, hops int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range listing.Records {
		m.apply(record, listing.Version)
	}
	m.advance(proof, listing.Version, hops)
}

func (m *mirror) apply(record proxy.Record, at proxy.Version) {
	if record.Deleted {
		delete(m.records, record.Name)
	} else {
		m.records[record.Name] = record
	}
	m.changes = append(m.changes, logged{record, at})
	m.size += len(record.Spec)
	extra := 0
	for extra < len(m.changes)-1 && (len(m.changes)-extra > maxChanges || m.size > maxSize) {
		m.size -= len(m.changes[extra].record.Spec)
		m.floor = m.changes[extra].at
		extra++
	}
	m.changes = slices.Delete(m.changes, 0, extra)
}

// fail tells the followers to look for another source.
func (m *mirror) fail() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = true
	m.wake()
}

func (m *mirror) advance(proof proxy.Instant, version proxy.Version, hops int) {
	m.hops = hops
	m.version = max(m.version, version)
	m.proof = max(m.proof, proof)
	m.failing = false
	m.wake()
}

func (m *mirror) wake() {
	close(m.moved)
	m.moved = make(chan struct{})
}

// since returns what a follower that knows a version lacks, and what it has of
// that. The caller holds the lock.
func (m *mirror) since(known proxy.Version) (records []proxy.Record, bases map[string]proxy.Record, whole bool) {
	if known < m.floor || known == 0 {
		for _, record := range m.records {
			records = append(records, record)
		}
		return records, nil, true
	}
	bases = make(map[string]proxy.Record)
	newest := make(map[string]int)
	for n, l := range m.changes {
		if l.at <= known {
			bases[l.record.Name] = l.record
		} else {
			newest[l.record.Name] = n
		}
	}
	for n, l := range m.changes {
		if last, ok := newest[l.record.Name]; ok && last == n {
			records = append(records, l.record)
		}
	}
	return records, bases, false
}

// relay returns what a follower that knows a version lacks. Where it lacks
// nothing, it waits for a change or a newer proof, for at most wait. It returns
// false while the mirror has no source.
func (m *mirror) relay(clock proxy.Clock, known proxy.Version, wait time.Duration) (Relayed, bool) {
	arrived := clock.Now()
	m.mu.Lock()
	if !m.failing && (m.proof == 0 || known >= m.version) {
		moved := m.moved
		m.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-moved:
		case <-timer.C:
		}
		timer.Stop()
		time.Sleep(m.gather)
		m.mu.Lock()
	}
	if m.proof == 0 || m.failing {
		m.mu.Unlock()
		return Relayed{}, false
	}
	r := Relayed{Version: m.version, Lead: m.proof.Sub(arrived), Hops: m.hops}
	var records []proxy.Record
	var bases map[string]proxy.Record
	records, bases, r.Whole = m.since(known)
	m.mu.Unlock()
	for _, record := range records {
		c, err := m.packed.pack(record, bases[record.Name])
		if err != nil {
			m.log.Warn().Err(err).Msg("object is sent unpacked")
		}
		r.Changes = append(r.Changes, c)
	}
	return r, true
}

// unpack returns the records that a relay's changes lead to.
func (m *mirror) unpack(changes []Change) ([]proxy.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := make([]proxy.Record, 0, len(changes))
	for _, c := range changes {
		record, err := c.unpack(m.records[c.Name])
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
