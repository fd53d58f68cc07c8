package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// mirrorLog is the number of changes that a mirror keeps for its followers.
const mirrorLog = 1024

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

	mu sync.Mutex
	// records are the objects by name, as of version of the store.
	records map[string]proxy.Record
	version proxy.Version
	// log holds the newest changes. It is complete after version floor.
	log   []logged
	floor proxy.Version
	// hops is the number of relays between the mirror and the store.
	hops int
	// failing reports that the mirror's own source does not answer.
	failing bool
	// proof is the instant as of which the mirror is known to be complete.
	proof proxy.Instant
	// moved is closed and replaced when the mirror or its proof has changed.
	moved chan struct{}
}

// logged is a change with the version of the store by which it was known.
type logged struct {
	record proxy.Record
	at     proxy.Version
}

func newMirror(gather time.Duration) *mirror {
	return &mirror{gather: gather, records: make(map[string]proxy.Record), moved: make(chan struct{})}
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
	m.log = append(m.log, logged{record, at})
	if extra := len(m.log) - mirrorLog; extra > 0 {
		m.floor = m.log[extra-1].at
		m.log = slices.Delete(m.log, 0, extra)
	}
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

// Relayed is a mirror's answer to a follower.
type Relayed struct {
	// Whole reports that Records are all objects, not only changes.
	Whole   bool           `cbor:"1,keyasint,omitempty"`
	Records []proxy.Record `cbor:"2,keyasint,omitempty"`
	Version proxy.Version  `cbor:"3,keyasint"`
	// Lead is how long after the arrival of the request the relay's proof holds;
	// negative for a proof that precedes it.
	Lead time.Duration `cbor:"4,keyasint"`
	// Hops is the number of relays between the relay and the store.
	Hops int `cbor:"5,keyasint,omitempty"`
}

// since returns what a follower that knows a version lacks. The caller holds the
// lock.
func (m *mirror) since(known proxy.Version) (records []proxy.Record, whole bool) {
	if known >= m.floor && known != 0 {
		for _, l := range m.log {
			if l.at > known {
				records = append(records, l.record)
			}
		}
		return records, false
	}
	for _, record := range m.records {
		records = append(records, record)
	}
	return records, true
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
	defer m.mu.Unlock()
	if m.proof == 0 || m.failing {
		return Relayed{}, false
	}
	r := Relayed{Version: m.version, Lead: m.proof.Sub(arrived), Hops: m.hops}
	r.Records, r.Whole = m.since(known)
	return r, true
}
