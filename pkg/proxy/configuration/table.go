// Package configuration decides which revision of the environment's document
// is in force on a host, and how revisions spread. A few hosts of each
// availability zone watch the platform; the others learn of new revisions from
// their peers. Revisions only ascend.
package configuration

import (
	"bytes"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Defaults of a Table.
const (
	// DefaultInterval is the time between two polls of a peer.
	DefaultInterval = 500 * time.Millisecond
	// DefaultFanout is the number of peers told at once of a new revision.
	DefaultFanout = 3
	// DefaultWatchers is the number of hosts of a zone that watch the platform.
	DefaultWatchers = 2
	// refetch is the time after which a watching host reads the document even
	// though its watch reports nothing, since a watch may stop responding.
	refetch = 2 * time.Second
	// pollTimeout is how long an unanswered poll is remembered.
	pollTimeout = 2 * time.Second
)

// Loaded is a decoded revision of the document.
type Loaded struct {
	Revision proxy.Revision
	Document *proxy.Document
	// Digest identifies the document's text in what hosts report.
	Digest string
	// Data is the encoded form that is handed to peers.
	Data []byte
}

// Decode reads the encoded form of a revision and checks it.
type Decode func(data []byte) (Loaded, error)

// Apply is the effect that puts a revision into force.
type Apply struct{ Loaded Loaded }

// Reject is the effect that reports a revision that cannot be decoded.
type Reject struct{ Err error }

// Peers is the event that tells which hosts are live and how many are known.
type Peers struct {
	// Live holds the other live hosts.
	Live []proxy.HostState
	// Known is the number of other hosts that should be running.
	Known int
}

// Table is the configuration of one host. Exported fields are set before the
// first event. It implements proxy.Module and proxy.Catalog.
//
// Invariant: the revision in force never decreases.
type Table struct {
	Host     proxy.HostState
	Key      proxy.Key
	Decode   Decode
	Interval time.Duration
	Fanout   int
	Watchers int

	mu       sync.RWMutex
	current  Loaded
	live     []proxy.HostState
	known    int
	watching bool
	// reached is the latest instant at which the platform is known to have
	// confirmed the newest revision to this host or, through peers, to another.
	reached   proxy.Instant
	everSeen  bool
	fetchedAt proxy.Instant
	polledAt  proxy.Instant
	polls     map[uint64]proxy.Instant
	lastNonce uint64
}

var (
	_ proxy.Module  = (*Table)(nil)
	_ proxy.Catalog = (*Table)(nil)
)

// Current implements proxy.Catalog.
func (t *Table) Current() (*proxy.Document, proxy.Revision) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current.Document, t.current.Revision
}

// Loaded returns the revision in force, zero where there is none.
func (t *Table) Loaded() Loaded {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current
}

// Handle implements proxy.Module.
func (t *Table) Handle(now proxy.Instant, event proxy.Event) []proxy.Effect {
	found := t.decode(event)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setDefaults()
	switch e := event.(type) {
	case proxy.Tick:
		return t.tick(now, e.Random)
	case Peers:
		t.live, t.known = e.Live, e.Known
	case proxy.Fetched:
		return t.fetched(now, e, found)
	case proxy.Received:
		return t.receive(now, e, found)
	}
	return nil
}

// decoded is the document that an event carries. The zero value stands for none
// that differs from the one in force.
type decoded struct {
	loaded Loaded
	err    error
}

// decode decodes the document that an event carries. Decoding a large document
// takes hundreds of milliseconds, so it is done without the lock, which the
// request path needs, and not at all for the revision in force.
func (t *Table) decode(event proxy.Event) decoded {
	data := t.dataOf(event)
	if len(data) == 0 {
		return decoded{}
	}
	t.mu.RLock()
	same := bytes.Equal(data, t.current.Data)
	t.mu.RUnlock()
	if same {
		return decoded{}
	}
	loaded, err := t.Decode(data)
	return decoded{loaded: loaded, err: err}
}

func (t *Table) dataOf(event proxy.Event) []byte {
	switch e := event.(type) {
	case proxy.Fetched:
		if e.Err == nil && e.Object.Key == t.Key {
			return e.Object.Value
		}
	case proxy.Received:
		if report, ok := e.Message.(*Report); ok {
			return report.Data
		}
	}
	return nil
}

func (t *Table) setDefaults() {
	if t.Interval == 0 {
		t.Interval = DefaultInterval
	}
	if t.Fanout == 0 {
		t.Fanout = DefaultFanout
	}
	if t.Watchers == 0 {
		t.Watchers = DefaultWatchers
	}
	if t.polls == nil {
		t.polls = make(map[uint64]proxy.Instant)
	}
}

// tick polls a peer, and reads the platform where this host watches it or has
// no revision yet.
func (t *Table) tick(now proxy.Instant, random uint64) []proxy.Effect {
	var effects []proxy.Effect
	if t.watching != t.shouldWatch() {
		t.watching = !t.watching
		effects = append(effects, proxy.Watch{Prefix: t.Key, Stop: !t.watching})
	}
	if (t.watching || t.current.Document == nil) && due(now, t.fetchedAt, refetch) {
		t.fetchedAt = now
		effects = append(effects, proxy.Fetch{Key: t.Key})
	}
	if len(t.live) > 0 && due(now, t.polledAt, t.Interval) {
		t.polledAt = now
		peer := t.live[random%uint64(len(t.live))]
		effects = append(effects, t.poll(now, peer.ID, random))
	}
	t.forgetPolls(now)
	return effects
}

// due reports whether interval has passed since last; zero means never.
func due(now, last proxy.Instant, interval time.Duration) bool {
	return last == 0 || now.Sub(last) >= interval
}

func (t *Table) poll(now proxy.Instant, peer proxy.HostID, random uint64) proxy.Effect {
	nonce := random | 1
	if nonce == t.lastNonce {
		nonce += 2
	}
	t.lastNonce = nonce
	t.polls[nonce] = now
	return proxy.Send{To: peer, Message: &Poll{Nonce: nonce, Revision: t.current.Revision}}
}

func (t *Table) forgetPolls(now proxy.Instant) {
	for nonce, sent := range t.polls {
		if now.Sub(sent) > pollTimeout {
			delete(t.polls, nonce)
		}
	}
}

// fetched takes the platform's answer.
func (t *Table) fetched(now proxy.Instant, e proxy.Fetched, found decoded) []proxy.Effect {
	if e.Err != nil || e.Object.Key != t.Key {
		return nil
	}
	t.reach(e.Sent)
	return t.adopt(now, found)
}

// reach records that the platform was reached at an instant.
func (t *Table) reach(at proxy.Instant) {
	if !t.everSeen || at > t.reached {
		t.everSeen = true
		t.reached = at
	}
}

// adopt puts a decoded revision into force if it is newer, and tells a few peers.
func (t *Table) adopt(now proxy.Instant, found decoded) []proxy.Effect {
	if found.err != nil {
		return []proxy.Effect{Reject{Err: found.err}}
	}
	if found.loaded.Revision <= t.current.Revision {
		return nil
	}
	t.current = found.loaded
	effects := []proxy.Effect{Apply{Loaded: found.loaded}}
	for _, peer := range t.sample(uint64(now), t.Fanout) {
		effects = append(effects, proxy.Send{To: peer, Message: &Report{Revision: found.loaded.Revision}})
	}
	return effects
}

// sample returns up to n different live peers, starting at an arbitrary one.
func (t *Table) sample(start uint64, n int) []proxy.HostID {
	n = min(n, len(t.live))
	peers := make([]proxy.HostID, 0, n)
	for i := range n {
		// A stride spreads the choice over the ordered list of hosts.
		index := (start + uint64(i)*uint64(max(1, len(t.live)/n))) % uint64(len(t.live))
		peers = append(peers, t.live[index].ID)
	}
	return peers
}
