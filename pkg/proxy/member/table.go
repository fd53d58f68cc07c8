// Package member decides which hosts are live. The platform's list of hosts
// lags, so the hosts probe each other. In each period a host pings one peer. If
// the peer does not answer, the host asks a few others to ping it, then suspects
// it, and declares it failed unless the peer refutes the suspicion in time.
// Changes spread with the probe messages, so that each host's traffic does not
// grow with the fleet. This is the SWIM protocol (Das, Gupta, Motivala: SWIM,
// DSN 2002) with suspicion.
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
	DefaultProbePeriod      = 500 * time.Millisecond
	DefaultProbeTimeout     = 200 * time.Millisecond
	DefaultSuspicionTimeout = 2 * time.Second
	// DefaultRefreshInterval is the time between two reads of the platform's list.
	DefaultRefreshInterval = 30 * time.Second
	// relayFanout is the number of peers that are asked to ping an unresponsive
	// host, and of peers that are pinged to announce a planned stop.
	relayFanout = 3
	// maxUpdates is the largest number of updates in one message.
	maxUpdates = 8
	// failedRetention is how long a failed host stays in the table, so that a late
	// update of its old incarnation does not list it as alive again.
	failedRetention = 10 * time.Minute
)

// Status tells whether a host is considered alive.
type Status uint8

// The statuses of a host. Of two updates with the same incarnation and sequence
// number, the one with the higher status is applied.
const (
	Alive Status = iota + 1
	Suspect
	Failed
)

// Changed is the effect that reports a change of the live hosts.
type Changed struct {
	// Live holds the other hosts that are alive or suspected.
	Live []proxy.HostState
	// ExpectedHosts is the number of other hosts that should be running: alive,
	// suspected, or failed but still on the platform's list.
	ExpectedHosts int
}

// Seed is the event that names hosts from the settings, so that a host that
// starts during an outage of the platform finds its peers.
type Seed struct{ Hosts []proxy.HostState }

// Leave is the event that makes the host announce its planned stop.
type Leave struct{}

// entry is what the table knows of another host.
type entry struct {
	state  proxy.HostState
	status Status
	// sequence is the highest Update.Sequence received for the incarnation.
	sequence    uint64
	statusSince proxy.Instant
	// listed reports that the host was on the platform's list when last read.
	listed bool
}

// probe is a ping that waits for its answer.
type probe struct {
	target  proxy.HostID
	sentAt  proxy.Instant
	relayed bool
}

// relayedPing is a ping sent at the request of another host.
type relayedPing struct {
	requester proxy.HostID
	nonce     uint64
	sentAt    proxy.Instant
}

// Table is the membership as one host sees it. Exported fields are set before
// the first event. It implements proxy.Module.
type Table struct {
	Self proxy.HostState
	// Prefix is the key prefix of the platform's list of hosts.
	Prefix           proxy.Key
	ProbePeriod      time.Duration
	ProbeTimeout     time.Duration
	SuspicionTimeout time.Duration
	RefreshInterval  time.Duration

	mu          sync.Mutex
	sequence    uint64
	entries     map[proxy.HostID]*entry
	probeOrder  []proxy.HostID
	nextProbe   int
	probes      map[uint64]probe
	relays      map[uint64]relayedPing
	pending     []pendingUpdate
	pingedAt    proxy.Instant
	listedAt    proxy.Instant
	initialized bool
}

var _ proxy.Module = (*Table)(nil)

// Handle implements proxy.Module.
func (t *Table) Handle(now proxy.Instant, event proxy.Event) []proxy.Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	switch e := event.(type) {
	case proxy.Tick:
		return t.tick(now, e.Random)
	case proxy.Listed:
		return t.applyList(now, e)
	case proxy.Received:
		return t.receive(now, e)
	case Seed:
		return t.addSeeds(now, e.Hosts)
	case Leave:
		return t.announceLeave()
	}
	return nil
}

func (t *Table) initialize() {
	if t.initialized {
		return
	}
	t.initialized = true
	setDefault(&t.ProbePeriod, DefaultProbePeriod)
	setDefault(&t.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&t.SuspicionTimeout, DefaultSuspicionTimeout)
	setDefault(&t.RefreshInterval, DefaultRefreshInterval)
	t.entries = make(map[proxy.HostID]*entry)
	t.probes = make(map[uint64]probe)
	t.relays = make(map[uint64]relayedPing)
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Live returns the other hosts that are alive or suspected, and the number of
// other hosts that should be running, as described at Changed.
func (t *Table) Live() ([]proxy.HostState, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.live()
}

// Find returns the last known state of another host, whether it is live or not.
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
	expected := 0
	for _, id := range t.probeOrder {
		e := t.entries[id]
		switch {
		case e.status == Alive || e.status == Suspect:
			hosts = append(hosts, e.state)
			expected++
		case e.listed && !e.state.Leaving:
			expected++
		}
	}
	return hosts, expected
}

func (t *Table) changed() proxy.Effect {
	hosts, expected := t.live()
	return Changed{Live: hosts, ExpectedHosts: expected}
}

// applyList adds new hosts from the platform's list and records which hosts are
// on it.
func (t *Table) applyList(now proxy.Instant, e proxy.Listed) []proxy.Effect {
	if e.Err != nil || e.Prefix != t.Prefix {
		return nil
	}
	for _, host := range t.entries {
		host.listed = false
	}
	for _, object := range e.Objects {
		var state proxy.HostState
		if json.Unmarshal(object.Value, &state) != nil || state.Validate() != nil || state.ID == t.Self.ID {
			continue
		}
		host, ok := t.entries[state.ID]
		if !ok {
			host = t.insert(now, state, Alive)
		}
		host.listed = true
	}
	return []proxy.Effect{t.changed()}
}

func (t *Table) addSeeds(now proxy.Instant, hosts []proxy.HostState) []proxy.Effect {
	for _, state := range hosts {
		if _, ok := t.entries[state.ID]; !ok && state.ID != t.Self.ID {
			t.insert(now, state, Alive)
		}
	}
	return []proxy.Effect{t.changed()}
}

// insert adds a host to the table and to the probe order.
func (t *Table) insert(now proxy.Instant, state proxy.HostState, status Status) *entry {
	e := &entry{state: state, status: status, statusSince: now}
	t.entries[state.ID] = e
	index, _ := slices.BinarySearch(t.probeOrder, state.ID)
	t.probeOrder = slices.Insert(t.probeOrder, index, state.ID)
	return e
}

// announceLeave sends the host's planned stop to a few peers at once; further
// pings spread it.
func (t *Table) announceLeave() []proxy.Effect {
	t.Self.Leaving = true
	t.sequence++
	t.disseminate(Update{State: t.Self, Status: Alive, Sequence: t.sequence})
	var effects []proxy.Effect
	for i, id := range t.probeOrder {
		if i == relayFanout {
			break
		}
		effects = append(effects, proxy.Send{To: id, Message: &Ping{Nonce: uint64(i) + 1, From: t.Self, Sequence: t.sequence, Updates: t.updates()}})
	}
	return effects
}
