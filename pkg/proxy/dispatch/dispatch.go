// Package dispatch chooses the instance connection on which an operation runs
// and orders the operations that wait for one.
//
// It answers this load: instances run few statements at once and accept few
// connections, each connection serves one account and is expensive to open, and
// many hosts that know little of each other share them. A host therefore keeps
// its own statements in progress on an instance at about the instance's slots
// and lets the rest wait here, where the choice of instance, the order and a
// truthful "not run" remain possible.
package dispatch

import (
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// Costs that the choice of an instance weighs against its usual delay.
const (
	// initialDelay is assumed of an instance that has not answered yet: about the
	// usual work of a statement.
	initialDelay = 15 * time.Millisecond
	// remoteDelay is added to the assumed delay across availability zones: a
	// round trip of twice 4.5 ms.
	remoteDelay = 9 * time.Millisecond
	// openDelay is a new connection: two round trips and the instance's 12 ms.
	openDelay = 25 * time.Millisecond
	// spareDelay keeps reads that a replica can serve away from the primary,
	// which alone serves writes.
	spareDelay = 15 * time.Millisecond
	// delayWeight is the weight of a new measurement in the moving average.
	delayWeight = 0.15
)

// Times for which an instance is avoided after it failed.
const (
	// shunTime follows a failed connection attempt or a broken connection.
	shunTime = 300 * time.Millisecond
	// maxShunTime bounds its doubling on repeated failures.
	maxShunTime = 2 * time.Second
	// fullTime follows a refused connection: another host has to close one.
	fullTime = 100 * time.Millisecond
	// lagTime follows a replica's answer that it lacks a position.
	lagTime = 300 * time.Millisecond
	// idleTime is how long a connection above the host's share of an instance is
	// kept, where instances accept fewer connections than there are hosts.
	idleTime = 400 * time.Millisecond
	// sharedLimit bounds the connections of a host without a share of its own:
	// one for a transaction and one for other statements.
	sharedLimit = 2
)

// Want describes an operation that needs a connection.
type Request struct {
	Group   proxy.GroupID
	Account proxy.AccountID
	// Primary restricts the choice to the group's primary.
	Primary bool
	// Avoid lists instances that have failed this operation.
	Avoid []proxy.InstanceID
	// Priority is lower for more urgent operations.
	Priority int
	// Due is the instant at which the operation should be answered.
	Due proxy.Instant
	// Expires is the last instant at which a connection is of use.
	Expires proxy.Instant
}

// Connection is a connection to an instance that the table has lent.
type Connection struct {
	proxy.Target
	// Link is nil until the borrower has opened the connection.
	Conn proxy.Connection
	// Fresh reports that the link's session opens with its first exchange.
	SessionPending bool
	// Owner is the session whose values and prepared statements are on the
	// connection; zero for none.
	SessionID uint64
	// Values and Prepared are the session state on the connection, as the texts
	// that set it.
	Values   map[string]string
	Prepared map[string]string

	at      *instance
	used    proxy.Instant
	started proxy.Instant
	running bool
}

// Grant lends a connection. The borrower closes Evicted and, if the
// connection's Link is nil, opens it.
type Grant struct {
	Connection *Connection
	Evicted    []proxy.Connection
}

// instance is what the table knows of an instance.
type instance struct {
	directory.Instance
	// share is the number of connections that the host may keep open; zero where
	// there are fewer connections than hosts.
	share int
	// open counts connections that are lent, idle or being opened.
	open    int
	running int
	// idle connections, the least recently used first.
	idle []*Connection
	// shunned, full and lagging are the instants until which the instance gets
	// no operation, no new connection and no bounded read.
	shunned, full, lagging proxy.Instant
	failures               int
	// delay is the moving average of the time of an exchange.
	delay time.Duration
	gone  bool
}

// Table holds the connections of one host and the operations that wait for
// them. It is safe for concurrent use.
//
// Invariants: an instance's running is at most its slots, except for statements
// of open transactions; its open equals its lent plus its idle connections.
type Table struct {
	// Zone is the host's availability zone.
	Zone proxy.Zone

	mu        sync.Mutex
	instances map[proxy.InstanceID]*instance
	groups    map[proxy.GroupID]*group
}

type group struct {
	// leader is empty while the group has no usable primary, which is expected
	// until vacant.
	leader    proxy.InstanceID
	vacant    proxy.Instant
	instances []*instance
	waiters   []*Waiter
}

// Member is an instance with the connections that the host may keep to it.
type Member struct {
	directory.Instance
	Share int
}

// Update sets the instances in use. It returns connections to close.
func (t *Table) Update(now proxy.Instant, members []Member) []proxy.Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var closed []proxy.Connection
	known := make(map[proxy.InstanceID]*instance, len(members))
	for _, m := range members {
		at := t.instances[m.ID]
		if at != nil && (at.Address != m.Address || at.Born != m.Born || at.Group != m.Group) {
			closed = append(closed, at.retire()...)
			at = nil
		}
		if at == nil {
			at = &instance{delay: t.assumedDelay(m.Zone)}
		}
		at.Instance, at.share = m.Instance, m.Share
		known[m.ID] = at
	}
	for id, at := range t.instances {
		if known[id] == nil {
			closed = append(closed, at.retire()...)
		}
	}
	t.instances = known
	t.regroup()
	for id := range t.groups {
		t.serve(now, id)
	}
	return closed
}

func (t *Table) assumedDelay(zone proxy.Zone) time.Duration {
	if zone != t.Zone {
		return initialDelay + remoteDelay
	}
	return initialDelay
}

// limit is the number of connections that the host may have open at a time.
func (i *instance) limit() int {
	if i.share == 0 {
		return sharedLimit
	}
	return i.share
}

// retire makes the instance unusable and returns its idle connections.
func (i *instance) retire() []proxy.Connection {
	i.gone = true
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
	for _, at := range t.instances {
		g := t.group(at.Group)
		g.instances = append(g.instances, at)
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

// Lead sets a group's primary; empty while there is none, which is expected to
// last until vacant.
func (t *Table) SetPrimary(now proxy.Instant, id proxy.GroupID, leader proxy.InstanceID, vacant proxy.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(id)
	g.leader, g.vacant = leader, vacant
	t.serve(now, id)
}

// Return gives back a connection that is outside any transaction. It returns
// connections to close.
func (t *Table) Release(now proxy.Instant, c *Connection) []proxy.Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.stop(now)
	if c.at.gone {
		c.at.open--
		t.serve(now, c.Group)
		return []proxy.Connection{c.Conn}
	}
	c.used = now
	c.at.failures = 0
	c.at.idle = append(c.at.idle, c)
	t.serve(now, c.Group)
	return nil
}

// Discard gives back a connection that is closed or could not be opened.
// Reason tells what the instance answered or zero for none.
func (t *Table) Discard(now proxy.Instant, c *Connection, reason Reason) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.stop(now)
	c.at.open--
	switch reason {
	case Unreachable:
		c.at.failures++
		c.at.shunned = now.Add(min(shunTime<<min(c.at.failures-1, 4), maxShunTime))
	case Exhausted:
		c.at.full = now.Add(fullTime)
	}
	t.serve(now, c.Group)
}

// Reason tells why a connection is discarded.
type Reason uint8

// The reasons for which a connection is discarded.
const (
	// Unneeded connections are closed without a failure.
	Unneeded Reason = iota
	// Unreachable instances did not answer or broke the connection.
	Unreachable
	// Exhausted instances accept no more connections.
	Exhausted
)

// Lagged records that an instance lacked a position.
func (t *Table) MarkLagging(now proxy.Instant, c *Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.at.lagging = now.Add(lagTime)
}

// Pause ends a statement of an open transaction, whose connection stays lent.
func (t *Table) Pause(now proxy.Instant, c *Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.stop(now)
	t.serve(now, c.Group)
}

// Resume starts a further statement of an open transaction. It does not wait:
// what the transaction holds is free sooner when it goes first.
func (t *Table) Resume(now proxy.Instant, c *Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.start(now)
}

func (c *Connection) start(now proxy.Instant) {
	c.running, c.started = true, now
	c.at.running++
}

func (c *Connection) stop(now proxy.Instant) {
	if !c.running {
		return
	}
	c.running = false
	c.at.running--
	taken := now.Sub(c.started)
	c.at.delay += time.Duration(delayWeight * float64(taken-c.at.delay))
}

// Trim returns idle connections above the host's share, to be closed.
func (t *Table) Trim(now proxy.Instant) []proxy.Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var closed []proxy.Connection
	for _, at := range t.instances {
		for at.open > at.share && len(at.idle) > 0 && now.Sub(at.idle[0].used) > idleTime {
			closed = append(closed, at.evict())
		}
	}
	return closed
}

// evict removes the least recently used idle connection.
func (i *instance) evict() proxy.Connection {
	link := i.idle[0].Conn
	i.idle = append(i.idle[:0], i.idle[1:]...)
	i.open--
	return link
}

// Idle lends an idle connection to an instance for a statement that takes no
// slot; nil where there is none.
func (t *Table) AcquireIdle(now proxy.Instant, id proxy.InstanceID) *Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.instances[id]
	if at == nil || len(at.idle) == 0 {
		return nil
	}
	c := at.idle[len(at.idle)-1]
	at.idle = at.idle[:len(at.idle)-1]
	c.start(now)
	return c
}

// Load returns the numbers of waiting operations, of running statements and of
// open connections.
func (t *Table) Load() (waiting, running, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups {
		waiting += len(g.waiters)
	}
	for _, at := range t.instances {
		running += at.running
		open += at.open
	}
	return waiting, running, open
}
