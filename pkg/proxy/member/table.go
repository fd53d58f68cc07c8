// Package member decides which hosts are live. The platform's list of hosts
// lags, so the hosts probe each other: each period a host pings one peer, asks
// a few others to ping it if it does not answer, suspects it, and declares it
// failed when nobody refutes the suspicion. Changes spread on the probes, so
// that each host's traffic does not grow with the fleet. This is the SWIM
// protocol (Das, Gupta, Motivala: SWIM, DSN 2002) with suspicion.
package member

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Defaults of a Table.
const (
	DefaultPeriod    = 500 * time.Millisecond
	DefaultTimeout   = 200 * time.Millisecond
	DefaultSuspicion = 2 * time.Second
	// DefaultRefresh is the time between two reads of the platform's list.
	DefaultRefresh = 30 * time.Second
	// relays is the number of peers asked to ping a silent host.
	relays = 3
	// maxUpdates bounds the changes carried by one message.
	maxUpdates = 8
	// forgetAfter is how long a failed host is remembered, so that
	// a late update of its old incarnation does not revive it.
	forgetAfter = 10 * time.Minute
)

// Status is what a host knows of another.
type Status uint8

// The statuses of a host, ordered by precedence within one incarnation and round.
const (
	Alive Status = iota + 1
	Suspect
	Failed
)

// Changed is the effect that tells the live hosts. Known counts the other hosts
// that should be running: live, suspected, or failed and still on the
// platform's list.
type Changed struct {
	Live  []proxy.HostState
	Known int
}

// Seed is the event that names hosts from the settings, so that a host that
// starts during an outage of the platform finds its peers.
type Seed struct{ Hosts []proxy.HostState }

// Leave is the event that starts the announcement of a planned stop.
type Leave struct{}

// entry is what the table knows of another host.
type entry struct {
	state  proxy.HostState
	status Status
	// round rises when the host refutes a suspicion.
	round  uint64
	since  proxy.Instant
	listed bool
}

// probe is a ping that waits for its answer.
type probe struct {
	target  proxy.HostID
	sent    proxy.Instant
	relayed bool
}

// relay is a ping sent on behalf of another host.
type relay struct {
	asker proxy.HostID
	nonce uint64
	sent  proxy.Instant
}

// Table is the membership as one host sees it. Exported fields are set before
// the first event. It implements proxy.Module.
type Table struct {
	Self proxy.HostState
	// Prefix is that of the platform's list of hosts.
	Prefix    proxy.Key
	Period    time.Duration
	Timeout   time.Duration
	Suspicion time.Duration
	Refresh   time.Duration

	mu      sync.Mutex
	round   uint64
	entries map[proxy.HostID]*entry
	order   []proxy.HostID
	next    int
	probes  map[uint64]probe
	relays  map[uint64]relay
	pending []pendingUpdate
	pinged  proxy.Instant
	listed  proxy.Instant
	started bool
}

var _ proxy.Module = (*Table)(nil)

// Handle implements proxy.Module.
func (t *Table) Handle(now proxy.Instant, event proxy.Event) []proxy.Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start()
	switch e := event.(type) {
	case proxy.Tick:
		return t.tick(now, e.Random)
	case proxy.Listed:
		return t.list(now, e)
	case proxy.Received:
		return t.receive(now, e)
	case Seed:
		return t.seed(now, e.Hosts)
	case Leave:
		return t.leave()
	}
	return nil
}

func (t *Table) start() {
	if t.started {
		return
	}
	t.started = true
	setDefault(&t.Period, DefaultPeriod)
	setDefault(&t.Timeout, DefaultTimeout)
	setDefault(&t.Suspicion, DefaultSuspicion)
	setDefault(&t.Refresh, DefaultRefresh)
	t.entries = make(map[proxy.HostID]*entry)
	t.probes = make(map[uint64]probe)
	t.relays = make(map[uint64]relay)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Live returns the other hosts that are alive or suspected, and the number of
// other hosts that should be running.
func (t *Table) Live() ([]proxy.HostState, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live()
}

// Find returns what is known of another host, live or not.
func (t *Table) Find(id proxy.HostID) (proxy.HostState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[id]
	if !ok {
		return proxy.HostState{}, false
	}
	return e.state, true
}

func (t *Table) live() ([]proxy.HostState, int) {
	var hosts []proxy.HostState
	known := 0
	for _, id := range t.order {
		e := t.entries[id]
		switch {
		case e.status == Alive || e.status == Suspect:
			hosts = append(hosts, e.state)
			known++
		case e.listed && !e.state.Leaving:
			known++
		}
	}
	return hosts, known
}

func (t *Table) changed() proxy.Effect {
	hosts, known := t.live()
	return Changed{Live: hosts, Known: known}
}

// list takes the platform's list of hosts.
func (t *Table) list(now proxy.Instant, e proxy.Listed) []proxy.Effect {
	if e.Err != nil || e.Prefix != t.Prefix {
		return nil
	}
	for _, known := range t.entries {
		known.listed = false
	}
	for _, object := range e.Objects {
		var state proxy.HostState
		if json.Unmarshal(object.Value, &state) != nil || state.Validate() != nil || state.ID == t.Self.ID {
			continue
		}
		known, ok := t.entries[state.ID]
		if !ok {
			known = t.insert(now, state, Alive)
		}
		known.listed = true
	}
	return []proxy.Effect{t.changed()}
}

func (t *Table) seed(now proxy.Instant, hosts []proxy.HostState) []proxy.Effect {
	for _, state := range hosts {
		if _, ok := t.entries[state.ID]; !ok && state.ID != t.Self.ID {
			t.insert(now, state, Alive)
		}
	}
	return []proxy.Effect{t.changed()}
}

// insert adds a host to the table and to the order of probes.
func (t *Table) insert(now proxy.Instant, state proxy.HostState, status Status) *entry {
	e := &entry{state: state, status: status, since: now}
	t.entries[state.ID] = e
	at, _ := slices.BinarySearch(t.order, state.ID)
	t.order = slices.Insert(t.order, at, state.ID)
	return e
}

// leave announces the host's planned stop to a few peers at once.
func (t *Table) leave() []proxy.Effect {
	t.Self.Leaving = true
	t.round++
	t.disseminate(Update{State: t.Self, Status: Alive, Round: t.round})
	var effects []proxy.Effect
	for i, id := range t.order {
		if i == relays {
			break
		}
		effects = append(effects, proxy.Send{To: id, Message: &Ping{Nonce: uint64(i) + 1, From: t.Self, Round: t.round, Updates: t.updates()}})
	}
	return effects
}
