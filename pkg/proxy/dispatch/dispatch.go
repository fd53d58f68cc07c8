// Package dispatch chooses the instance connection on which an operation runs
// and orders the operations that wait for one.
//
// Instances run few statements at once and accept few connections. Each connection
// serves one account and is expensive to open, and many hosts share the instances
// with little information about each other. A host therefore runs about as many of
// its own statements on an instance as the instance has slots, and lets the others
// wait here. While an operation waits, its instance and its place in the order can
// still change, and a refusal can state with certainty that the operation has not run.
package dispatch

import (
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// Delays for estimating how long an operation takes on each instance.
const (
	// initialDelay is assumed for an instance that has not answered yet. It is about
	// the usual duration of a statement.
	initialDelay = 15 * time.Millisecond
	// crossZoneDelay is added to the assumed delay of an instance in another
	// availability zone. It is a round trip with 4.5 ms in each direction.
	crossZoneDelay = 9 * time.Millisecond
	// connectDelay is the time to open a connection: two round trips and 12 ms of
	// work on the instance.
	connectDelay = 25 * time.Millisecond
	// primaryReadPenalty is added for reads on the primary. It directs reads that a
	// replica can serve away from the primary, the only instance that serves writes.
	primaryReadPenalty = 15 * time.Millisecond
	// delaySmoothing is the weight of a new measurement in the moving average.
	delaySmoothing = 0.15
)

const (
	// exclusionTime is how long an instance is excluded after a failed connection
	// attempt or a broken connection.
	exclusionTime = 300 * time.Millisecond
	// maxExclusionTime limits the exclusion time, which doubles on repeated failures.
	maxExclusionTime = 2 * time.Second
	// openRetryDelay is how long no connection is opened after an instance refused
	// one. Another host must close a connection first.
	openRetryDelay = 100 * time.Millisecond
	// lagExclusionTime is how long a replica gets no reads after it answered that it
	// has not replayed the required position.
	lagExclusionTime = 300 * time.Millisecond
	// excessIdleTime is how long an idle connection above the host's share of an
	// instance is kept. Such connections exist where instances accept fewer
	// connections than there are hosts.
	excessIdleTime = 400 * time.Millisecond
	// zeroShareLimit is the connection limit of a host whose share is zero: one
	// connection for a transaction and one for other statements.
	zeroShareLimit = 2
)

// Request describes an operation that needs a connection.
type Request struct {
	Group   proxy.GroupID
	Account proxy.AccountID
	// Primary restricts the choice to the group's primary.
	Primary bool
	// Avoid lists instances on which this operation has failed.
	Avoid []proxy.InstanceID
	// Priority is lower for more urgent operations.
	Priority int
	// Due is the instant by which the operation should be answered.
	Due proxy.Instant
	// Expires is the last instant at which a connection is still useful.
	Expires proxy.Instant
}

// Connection is a connection to an instance that the table manages. Its exported
// fields belong to the caller between Acquire and Release.
type Connection struct {
	proxy.Target
	// Conn is nil until the caller of Acquire has opened the connection.
	Conn proxy.Connection
	// SessionPending reports that the session on the instance is opened by the
	// first exchange, which has not succeeded yet.
	SessionPending bool
	// Values are the session values on the connection, as the texts of the statements
	// that set them.
	Values map[string]string
	// Prepared holds the aliases of the prepared statements on the connection.
	Prepared map[string]bool

	inst     *instance
	lastUsed proxy.Instant
	started  proxy.Instant
	running  bool
	// acquired reports that the connection belongs to the caller of Acquire.
	acquired bool
}

// Grant grants the use of a connection. The receiver must close the connections in
// Evicted and, if the Conn of the granted connection is nil, open it.
type Grant struct {
	Connection *Connection
	Evicted    []proxy.Connection
}

// instance is the state of an instance in the table.
type instance struct {
	directory.Instance
	// share is the number of connections that the host may keep open; zero if the
	// instance accepts fewer connections than there are hosts.
	share int
	// open counts the connections that are acquired, idle or being opened.
	open    int
	running int
	// idle holds the idle connections, the least recently used first.
	idle []*Connection
	// excludedUntil, openAfter and laggingUntil are the instants until which the
	// instance gets no operations, no new connections, and no operations that do not
	// need the primary, respectively.
	excludedUntil, openAfter, laggingUntil proxy.Instant
	failures                               int
	// delay is the moving average of the duration of a statement.
	delay time.Duration
	// removed reports that the instance is no longer in use. Its connections are
	// closed when they are released.
	removed bool
}

// Table holds the connections of a host and the operations that wait for them. It
// is safe for concurrent use.
//
// Invariants: for each instance, running is at most the number of slots, except for
// statements of open transactions and for connections of AcquireIdle; open is the
// number of acquired and idle connections.
type Table struct {
	// Zone is the host's availability zone.
	Zone proxy.Zone

	mu        sync.Mutex
	instances map[proxy.InstanceID]*instance
	groups    map[proxy.GroupID]*group
}

type group struct {
	// primary is empty while the group has no usable primary. A new one is then
	// expected at primaryExpected.
	primary         proxy.InstanceID
	primaryExpected proxy.Instant
	instances       []*instance
	waiters         []*Waiter
}

// Member is an instance in use. Share is the number of connections that the host may
// keep open to it; zero if the instance accepts fewer connections than there are hosts.
type Member struct {
	directory.Instance
	Share int
}

// Update sets the instances in use. It returns the connections that the caller must
// close.
func (t *Table) Update(now proxy.Instant, members []Member) []proxy.Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var closed []proxy.Connection
	known := make(map[proxy.InstanceID]*instance, len(members))
	for _, m := range members {
		inst := t.instances[m.ID]
		if inst != nil && (inst.Address != m.Address || inst.Born != m.Born || inst.Group != m.Group) {
			closed = append(closed, inst.remove()...)
			inst = nil
		}
		if inst == nil {
			inst = &instance{delay: t.assumedDelay(m.Zone)}
		}
		inst.Instance, inst.share = m.Instance, m.Share
		known[m.ID] = inst
	}
	for id, inst := range t.instances {
		if known[id] == nil {
			closed = append(closed, inst.remove()...)
		}
	}
	t.instances = known
	t.regroup()
	for id := range t.groups {
		t.serveGroup(now, id)
	}
	return closed
}

func (t *Table) assumedDelay(zone proxy.Zone) time.Duration {
	if zone != t.Zone {
		return initialDelay + crossZoneDelay
	}
	return initialDelay
}

// limit returns the maximum number of open connections of the host.
func (i *instance) limit() int {
	if i.share == 0 {
		return zeroShareLimit
	}
	return i.share
}

// remove marks the instance as removed and returns its idle connections.
func (i *instance) remove() []proxy.Connection {
	i.removed = true
	closed := make([]proxy.Connection, 0, len(i.idle))
	for _, c := range i.idle {
		closed = append(closed, c.Conn)
	}
	i.open -= len(i.idle)
	i.idle = nil
	return closed
}

func (t *Table) regroup() {
	for _, g := range t.groups {
		g.instances = g.instances[:0]
	}
	for _, inst := range t.instances {
		g := t.group(inst.Group)
		g.instances = append(g.instances, inst)
	}
}

func (t *Table) group(id proxy.GroupID) *group {
	if t.groups == nil {
		t.groups = make(map[proxy.GroupID]*group)
	}
	g := t.groups[id]
	if g == nil {
		g = &group{}
		t.groups[id] = g
	}
	return g
}

// SetPrimary sets the primary of a group. It is empty while the group has none, and a
// new one is then expected at primaryExpected.
func (t *Table) SetPrimary(
	now proxy.Instant, id proxy.GroupID, primary proxy.InstanceID, primaryExpected proxy.Instant,
) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(id)
	g.primary, g.primaryExpected = primary, primaryExpected
	t.serveGroup(now, id)
}

// Release releases a connection without an open transaction. It returns the
// connections that the caller must close.
func (t *Table) Release(now proxy.Instant, c *Connection) []proxy.Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.stop(now)
	c.acquired = false
	if c.inst.removed {
		c.inst.open--
		t.serveGroup(now, c.Group)
		return []proxy.Connection{c.Conn}
	}
	c.lastUsed = now
	c.inst.failures = 0
	c.inst.idle = append(c.inst.idle, c)
	t.serveGroup(now, c.Group)
	return nil
}

// Discard releases a connection that is closed or could not be opened.
func (t *Table) Discard(now proxy.Instant, c *Connection, reason Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.discard(now, c, reason)
}

// Abandon discards a connection unless it was released or discarded before. It reports
// whether the caller must close the connection.
func (t *Table) Abandon(now proxy.Instant, c *Connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.acquired {
		return false
	}
	t.discard(now, c, Unneeded)
	return true
}

func (t *Table) discard(now proxy.Instant, c *Connection, reason Reason) {
	c.stop(now)
	c.acquired = false
	c.inst.open--
	switch reason {
	case Unreachable:
		c.inst.failures++
		c.inst.excludedUntil = now.Add(min(exclusionTime<<min(c.inst.failures-1, 4), maxExclusionTime))
	case Exhausted:
		c.inst.openAfter = now.Add(openRetryDelay)
	}
	t.serveGroup(now, c.Group)
}

// Reason is the reason for discarding a connection.
type Reason uint8

// The reasons for discarding a connection.
const (
	// Unneeded means that the connection was closed without a failure.
	Unneeded Reason = iota
	// Unreachable means that the instance did not answer or broke the connection.
	Unreachable
	// Exhausted means that the instance accepts no more connections.
	Exhausted
)

// MarkLagging records that the instance has not replayed a required position.
func (t *Table) MarkLagging(now proxy.Instant, c *Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.inst.laggingUntil = now.Add(lagExclusionTime)
}

// Pause ends a statement of an open transaction. The connection stays acquired.
func (t *Table) Pause(now proxy.Instant, c *Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.stop(now)
	t.serveGroup(now, c.Group)
}

// Resume starts a further statement of an open transaction. It does not wait for a
// slot, so that the transaction ends and frees its connection and locks sooner.
func (t *Table) Resume(now proxy.Instant, c *Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.start(now)
}

func (c *Connection) start(now proxy.Instant) {
	c.running, c.started = true, now
	c.inst.running++
}

func (c *Connection) stop(now proxy.Instant) {
	if !c.running {
		return
	}
	c.running = false
	c.inst.running--
	taken := now.Sub(c.started)
	c.inst.delay += time.Duration(delaySmoothing * float64(taken-c.inst.delay))
}

// Trim removes idle connections above the host's share and returns them for the
// caller to close.
func (t *Table) Trim(now proxy.Instant) []proxy.Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var closed []proxy.Connection
	for _, inst := range t.instances {
		for inst.open > inst.share && len(inst.idle) > 0 && now.Sub(inst.idle[0].lastUsed) > excessIdleTime {
			closed = append(closed, inst.evict())
		}
	}
	return closed
}

// evict removes the least recently used idle connection.
func (i *instance) evict() proxy.Connection {
	conn := i.idle[0].Conn
	i.idle = append(i.idle[:0], i.idle[1:]...)
	i.open--
	return conn
}

// AcquireIdle acquires an idle connection to an instance without waiting for a slot.
// It returns nil if there is none.
func (t *Table) AcquireIdle(now proxy.Instant, id proxy.InstanceID) *Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	inst := t.instances[id]
	if inst == nil || len(inst.idle) == 0 {
		return nil
	}
	c := inst.idle[len(inst.idle)-1]
	inst.idle = inst.idle[:len(inst.idle)-1]
	c.acquired = true
	c.start(now)
	return c
}

// Load returns the numbers of waiting operations, running statements and open
// connections.
func (t *Table) Load() (waiting, running, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups {
		waiting += len(g.waiters)
	}
	for _, inst := range t.instances {
		running += inst.running
		open += inst.open
	}
	return waiting, running, open
}
