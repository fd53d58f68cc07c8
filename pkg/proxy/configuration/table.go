// Package configuration decides which revision of the environment's document
// is in force on a host, and how revisions spread. A few hosts of each
// availability zone watch the platform; the others receive new revisions from
// their peers. The revision in force never decreases.
package configuration

import (
	"bytes"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Defaults of a Table.
const (
	// DefaultPollInterval is the time between two polls of a peer.
	DefaultPollInterval = 500 * time.Millisecond
	// DefaultFanout is the number of peers to which a host announces a new revision
	// at once.
	DefaultFanout = 3
	// DefaultWatchers is the number of hosts of a zone that watch the platform.
	DefaultWatchers = 2
	// refetchInterval is the time after which a watching host reads the document
	// even if its watch reports no change, since a watch may stop responding.
	refetchInterval = 2 * time.Second
	// pollTimeout is how long an unanswered poll stays recorded.
	pollTimeout = 2 * time.Second
)

// Loaded is a decoded revision of the document.
type Loaded struct {
	Revision proxy.Revision
	Document *proxy.Document
	// Digest identifies the document's text in the status that hosts report.
	Digest string
	// Data is the encoded form that is sent to peers.
	Data []byte
}

// Decode decodes and validates the encoded form of a revision.
type Decode func(data []byte) (Loaded, error)

// Apply is the effect that reports a revision that has come into force.
type Apply struct{ Loaded Loaded }

// Reject is the effect that reports a revision that could not be decoded.
type Reject struct{ Err error }

// Peers is the event that reports which other hosts are live and how many should
// be running.
type Peers struct {
	// Live holds the other live hosts.
	Live []proxy.HostState
	// ExpectedHosts is the number of other hosts that should be running.
	ExpectedHosts int
}

// Table holds the configuration of one host. Exported fields are set before the
// first event. It implements proxy.Module and proxy.Catalog.
//
// Invariant: the revision in force never decreases.
type Table struct {
	Host         proxy.HostState
	Key          proxy.Key
	Decode       Decode
	PollInterval time.Duration
	Fanout       int
	Watchers     int

	mu            sync.RWMutex
	current       Loaded
	live          []proxy.HostState
	expectedHosts int
	watching      bool
	// reachedAt is the latest known instant of a request for the document that the
	// platform answered, sent by this host or, as peers report, by another one. It
	// is zero until everReached is set.
	reachedAt   proxy.Instant
	everReached bool
	fetchedAt   proxy.Instant
	polledAt    proxy.Instant
	polls       map[uint64]proxy.Instant
	lastNonce   uint64
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

// Loaded returns the revision in force, or the zero value if there is none.
func (t *Table) Loaded() Loaded {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current
}

// Handle implements proxy.Module.
func (t *Table) Handle(now proxy.Instant, event proxy.Event) []proxy.Effect {
	result := t.decode(event)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setDefaults()
	switch e := event.(type) {
	case proxy.Tick:
		return t.tick(now, e.Random)
	case Peers:
		t.live, t.expectedHosts = e.Live, e.ExpectedHosts
	case proxy.Fetched:
		return t.handleFetched(now, e, result)
	case proxy.Received:
		return t.receive(now, e, result)
	}
	return nil
}

// decodeResult is the decoded document of an event. The zero value means that the
// event contains no document or the one in force.
type decodeResult struct {
	loaded Loaded
	err    error
}

// decode decodes the document that an event contains. Decoding a large document
// takes hundreds of milliseconds, so it runs without the lock, which the request
// path needs, and is skipped for the revision in force.
func (t *Table) decode(event proxy.Event) decodeResult {
	data := t.encodedRevision(event)
	if len(data) == 0 {
		return decodeResult{}
	}
	t.mu.RLock()
	same := bytes.Equal(data, t.current.Data)
	t.mu.RUnlock()
	if same {
		return decodeResult{}
	}
	loaded, err := t.Decode(data)
	return decodeResult{loaded: loaded, err: err}
}

func (t *Table) encodedRevision(event proxy.Event) []byte {
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
	if t.PollInterval == 0 {
		t.PollInterval = DefaultPollInterval
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

// tick starts or stops the watch, polls a peer, and reads the document from the
// platform if this host watches it or has no revision yet.
func (t *Table) tick(now proxy.Instant, random uint64) []proxy.Effect {
	var effects []proxy.Effect
	if t.watching != t.shouldWatch() {
		t.watching = !t.watching
		effects = append(effects, proxy.Watch{Prefix: t.Key, Stop: !t.watching})
	}
	if (t.watching || t.current.Document == nil) && due(now, t.fetchedAt, refetchInterval) {
		t.fetchedAt = now
		effects = append(effects, proxy.Fetch{Key: t.Key})
	}
	if len(t.live) > 0 && due(now, t.polledAt, t.PollInterval) {
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

// handleFetched handles the platform's answer to a read or watch.
func (t *Table) handleFetched(now proxy.Instant, e proxy.Fetched, result decodeResult) []proxy.Effect {
	if e.Err != nil || e.Object.Key != t.Key {
		return nil
	}
	t.recordReached(e.Sent)
	return t.adopt(now, result)
}

// recordReached records that the platform was reached at an instant, unless a
// later one is already recorded.
func (t *Table) recordReached(instant proxy.Instant) {
	if !t.everReached || instant > t.reachedAt {
		t.everReached = true
		t.reachedAt = instant
	}
}

// adopt puts a decoded revision into force if it is newer, and announces it to a
// few peers.
func (t *Table) adopt(now proxy.Instant, result decodeResult) []proxy.Effect {
	if result.err != nil {
		return []proxy.Effect{Reject{Err: result.err}}
	}
	if result.loaded.Revision <= t.current.Revision {
		return nil
	}
	t.current = result.loaded
	effects := []proxy.Effect{Apply{Loaded: result.loaded}}
	for _, peer := range t.sample(uint64(now), t.Fanout) {
		effects = append(effects, proxy.Send{To: peer, Message: &Report{Revision: result.loaded.Revision}})
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
