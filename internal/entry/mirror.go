package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// mirrorLog is the number of changes that a mirror keeps for its followers.
const mirrorLog = 256

// mirror is a host's copy of a kind of the store's objects, which it also serves
// to the other hosts of its zone.
type mirror struct {
	mu sync.Mutex
	// records are the objects by name, as of version of the store.
	records map[string]proxy.Record
	version proxy.Version
	// index counts the changes of the mirror. log holds the newest of them; the
	// change at index-len(log)+1 is its first.
	index uint64
	log   []proxy.Record
	// failing reports that the mirror's own source does not answer.
	failing bool
	// proof is the instant as of which the mirror is known to be complete.
	proof proxy.Instant
	// moved is closed and replaced when the mirror or its proof has changed.
	moved chan struct{}
}

func newMirror() *mirror {
	return &mirror{records: make(map[string]proxy.Record), moved: make(chan struct{})}
}

// replace takes a whole listing.
func (m *mirror) replace(proof proxy.Instant, listing proxy.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.records)
	for _, record := range listing.Records {
		m.records[record.Name] = record
	}
	// Followers need the whole listing too.
	m.index += mirrorLog + 1
	m.log = nil
	m.advance(proof, listing.Version)
}

// change takes changes.
func (m *mirror) change(proof proxy.Instant, listing proxy.Listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range listing.Records {
		if record.Deleted {
			delete(m.records, record.Name)
		} else {
			m.records[record.Name] = record
		}
		m.index++
		m.log = append(m.log, record)
	}
	if extra := len(m.log) - mirrorLog; extra > 0 {
		m.log = slices.Delete(m.log, 0, extra)
	}
	m.advance(proof, listing.Version)
}

// fail tells the followers to look for another source.
func (m *mirror) fail() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = true
	m.wake()
}

func (m *mirror) advance(proof proxy.Instant, version proxy.Version) {
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
	// Epoch is the relay's incarnation; an Index of another epoch means nothing.
	Epoch proxy.Incarnation `cbor:"1,keyasint"`
	Index uint64            `cbor:"2,keyasint"`
	// Whole reports that Records are all objects, not only changes.
	Whole   bool           `cbor:"3,keyasint,omitempty"`
	Records []proxy.Record `cbor:"4,keyasint,omitempty"`
	Version proxy.Version  `cbor:"5,keyasint"`
	// Lead is how long after the arrival of the request the relay's proof holds;
	// negative for a proof that precedes it.
	Lead time.Duration `cbor:"6,keyasint"`
}

// since returns what a follower at index lacks. The caller holds the lock.
func (m *mirror) since(index uint64) (records []proxy.Record, whole bool) {
	first := m.index - uint64(len(m.log))
	if index != 0 && index >= first && index <= m.index {
		return slices.Clone(m.log[index-first:]), false
	}
	for _, record := range m.records {
		records = append(records, record)
	}
	return records, true
}

// relay waits until the mirror has moved beyond what the follower has seen, for
// at most wait, and returns what it lacks. Known is the index and proof that the
// follower has, zero for none.
func (m *mirror) relay(clock proxy.Clock, epoch proxy.Incarnation, index uint64, wait time.Duration) (Relayed, bool) {
	arrived := clock.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	m.mu.Lock()
	if index == m.index && !m.failing || m.proof == 0 {
		moved := m.moved
		m.mu.Unlock()
		select {
		case <-moved:
		case <-timer.C:
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	if m.proof == 0 || m.failing {
		return Relayed{}, false
	}
	r := Relayed{Epoch: epoch, Index: m.index, Version: m.version, Lead: m.proof.Sub(arrived)}
	r.Records, r.Whole = m.since(index)
	return r, true
}
