// Package dispatch orders the operations that wait for the connections of a host to
// instances.
//
// Instances run few statements at once and accept few connections. Each connection
// serves one account and is expensive to open. A host therefore runs at most as many
// statements on an instance as the instance has slots, and lets the others wait here in
// the order of package queue: by priority, then those that can still be in time, in turns
// of the accounts and by due time. While an operation waits, a refusal can state with
// certainty that it has not run; one that is not expected to get a connection in its time
// is refused at once, also when more urgent ones have arrived after it.
package dispatch

import (
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/pace"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/queue"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/warmup"
)

const (
	// initialDelay is the assumed duration of a statement on an instance that has not
	// answered yet.
	initialDelay = 15 * time.Millisecond
	// delaySmoothing is the weight of a new measurement in the moving average.
	delaySmoothing = 0.15
)

const (
	// exclusionTime is how long an instance is excluded after a failed connection
	// attempt.
	exclusionTime = 300 * time.Millisecond
	// maxExclusionTime limits the exclusion time, which doubles on repeated failures.
	maxExclusionTime = 2 * time.Second
	// openRetryDelay is how long no connection is opened after an instance refused
	// one. Another host must close a connection first. It doubles on repeated refusals up to
	// maxOpenRetryDelay.
	openRetryDelay    = 100 * time.Millisecond
	maxOpenRetryDelay = 400 * time.Millisecond
	// reuseWait is how long an operation waits for a connection of its account that is about to
	// become idle, in place of opening one. Opening one takes a slot of the instance for about
	// as long, and two round trips.
	reuseWait = 10 * time.Millisecond
	// openingTime is the time after which a connection that is still being opened, after a
	// refusal of another one, does not keep further ones from being opened.
	openingTime = 100 * time.Millisecond
	// excessIdleTime is how long an idle connection above the host's share of an
	// instance is kept.
	excessIdleTime = 400 * time.Millisecond
	// stallFactor times the usual duration of a statement is the time after which an
	// instance without an answer counts as stalled.
	stallFactor = 8
	// accountShareLimit is the connection limit from which one account may use at most
	// half of the connections, so that it does not push out those of the others.
	accountShareLimit = 4
	// maxBypass is the number of more urgent operations that may be served while others
	// wait, so that the least urgent ones are still served under overload.
	maxBypass = 19
	// maxReturnDelay limits the time after which a refused operation is told to return.
	maxReturnDelay = 2 * time.Second
)

// Request describes an operation that needs a connection to an instance.
type Request struct {
	Instance proxy.InstanceID
	Account  proxy.AccountID
	// Priority is lower for more urgent operations.
	Priority int
	// Due is the instant by which the operation should be answered.
	Due proxy.Instant
	// Expires is the last instant at which a connection is still useful.
	Expires proxy.Instant
	// Hold reports that the connection is kept for further statements.
	Hold bool
	// Patience is the longest expected wait at which the operation is queued; zero for no
	// limit but Expires.
	Patience time.Duration
}

// Connection is a connection to an instance that the table manages. Its exported
// fields belong to the caller between Acquire and Release.
type Connection struct {
	proxy.Target
	// Zone is the availability zone of the instance.
	Zone proxy.Zone
	// Conn is nil until the caller of Acquire has opened the connection.
	Conn proxy.Connection
	// OpenedAt is an instant after the instance has opened the connection's session.
	OpenedAt proxy.Instant
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
	// restarts is that of the instance when the statement began.
	restarts int
	// acquired reports that the connection belongs to the caller of Acquire.
	acquired bool
	// opening reports that the instance has not answered on the connection yet, held that it
	// stays acquired after its statement.
	opening, held bool
	// reserved reports that a statement to a cold instance is reserved for the connection.
	reserved bool
}

// Grant grants the use of a connection. The receiver must close the connections in
// Evicted and, if the Conn of the granted connection is nil, open it.
type Grant struct {
	Connection *Connection
	Evicted    []proxy.Connection
}

// instance is the state of an instance in the table.
type instance struct {
	Member
	// open counts the connections that are acquired, idle or being opened.
	open    int
	running int
	// opening counts those that are being opened; latestOpening is when the last of these
	// began.
	opening       int
	latestOpening proxy.Instant
	// latestStart is when the last of the running statements began.
	latestStart proxy.Instant
	// acquired counts the acquired connections by account.
	acquired map[proxy.AccountID]int
	// active holds the connections on which a statement runs.
	active map[*Connection]struct{}
	// idle holds the idle connections, the least recently used first.
	idle    []*Connection
	waiting *queue.Queue[*Waiter]
	// returnsUntil holds the instants up to which refused operations of each priority were
	// told to return.
	returnsUntil [queue.Priorities]proxy.Instant
	// excludedUntil and openAfter are the instants until which the instance gets no
	// operations and no new connections, respectively.
	excludedUntil, openAfter proxy.Instant
	failures                 int
	// openRefusals counts the connections that the instance has refused one after the other.
	openRefusals int
	// delay is the moving average of the duration of a statement.
	delay time.Duration
	// limiter limits the statements that run at once, health is how the instance answers.
	limiter *pace.Limiter
	health  pace.Health
	lag     pace.Lag
	// restarts counts how often the limiter began anew. earlier counts the running
	// statements from before the last time; their answers may never come, and the limit does
	// not count them.
	restarts, earlier int
	// removed reports that the instance is no longer in use. Its connections are
	// closed when they are released.
	removed bool
	// warmup is that of the table.
	warmup *warmup.Table
}

// Table holds the connections of a host and the operations that wait for them. Its exported
// field is set before use. It is safe for concurrent use.
//
// Invariants: for each instance, running is at most the number of slots, except for
// statements of open transactions and for connections of AcquireIdle; open is the
// number of acquired and idle connections. A statement starts only while fewer run than
// the instance's limiter allows.
type Table struct {
	// SlowStart makes the host begin with one statement at once on all instances, also on
	// those of the first Update. A host that starts does not know how they are: after a mass
	// restart they still count the connections of the hosts that have gone.
	SlowStart bool
	// Warmup limits the statements that are sent to cold instances. It is set before use;
	// nil for no limit.
	Warmup *warmup.Table

	mu        sync.Mutex
	instances map[proxy.InstanceID]*instance
}

// Member is an instance in use.
type Member struct {
	directory.Instance
	// OwnSlots is the number of statements that the host may run on the instance at once.
	OwnSlots int
	// Share is the number of connections that the host may keep open to the instance, and
	// Limit the number that it may open. Those above the share are closed when they have
	// been idle for a short time.
	Share, Limit int
}

// Update sets the instances in use. It returns the connections that the caller must
// close.
func (t *Table) Update(now proxy.Instant, members []Member) []proxy.Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var closed []proxy.Connection
	known := make(map[proxy.InstanceID]*instance, len(members))
	slow := t.SlowStart || len(t.instances) > 0
	for _, m := range members {
		inst := t.instances[m.ID]
		if inst != nil && (inst.Address != m.Address || inst.Born != m.Born || inst.Group != m.Group) {
			closed = append(closed, inst.remove()...)
			inst = nil
		}
		if inst == nil {
			inst = &instance{
				delay: initialDelay, acquired: make(map[proxy.AccountID]int), active: make(map[*Connection]struct{}),
				waiting: queue.New[*Waiter](queue.Limits{Bypass: maxBypass}), limiter: pace.NewLimiter(m.OwnSlots),
				warmup: t.Warmup,
			}
			inst.Primary = m.Primary
			if slow {
				inst.restart(now)
			}
		}
		if m.Primary && !inst.Primary {
			inst.restart(now)
		}
		inst.limiter.Resize(m.OwnSlots)
		inst.Member = m
		known[m.ID] = inst
	}
	for id, inst := range t.instances {
		if known[id] == nil {
			closed = append(closed, inst.remove()...)
		}
	}
	t.instances = known
	for _, inst := range t.instances {
		inst.serve(now)
	}
	return closed
}

// capacity returns the number of statements that the host may run on the instance at once:
// at most its slots, fewer after a start or while the instance refuses statements.
func (i *instance) capacity() int { return i.limiter.Limit() }

// mayStart reports whether a waiting operation may be sent to the instance now.
func (i *instance) mayStart(now proxy.Instant) bool {
	return !i.full() && now >= i.excludedUntil
}

// full reports whether the instance runs as many statements of the host as it may.
func (i *instance) full() bool {
	return i.running >= i.OwnSlots || i.running-i.earlier >= i.capacity()
}

// restart begins with few statements at once, after the instance has started, recovered or
// become the primary. Answers to statements that are sent before from do not count.
func (i *instance) restart(from proxy.Instant) {
	i.limiter.Restart(from)
	i.restarts++
	i.earlier = i.running
}

// accountLimit returns the maximum number of connections that one account may have
// acquired.
func (i *instance) accountLimit() int {
	if i.Limit >= accountShareLimit {
		return i.Limit / 2
	}
	return i.Limit
}

// remove marks the instance as removed, refuses its waiters and returns its idle
// connections.
func (i *instance) remove() []proxy.Connection {
	i.removed = true
	i.refuseAll(unserved())
	return i.takeIdle()
}

func (i *instance) takeIdle() []proxy.Connection {
	taken := make([]proxy.Connection, 0, len(i.idle))
	for _, c := range i.idle {
		taken = append(taken, c.Conn)
	}
	i.open -= len(i.idle)
	i.idle = nil
	return taken
}

// Release releases a connection without an open transaction. It returns the
// connections that the caller must close.
func (t *Table) Release(now proxy.Instant, c *Connection) []proxy.Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.giveBack(now)
	if c.inst.removed {
		c.inst.open--
		return []proxy.Connection{c.Conn}
	}
	c.lastUsed = now
	c.inst.failures = 0
	c.inst.idle = append(c.inst.idle, c)
	c.inst.serve(now)
	return nil
}

// Discard releases a connection that is closed or could not be opened. It returns the
// connections that the caller must close.
func (t *Table) Discard(now proxy.Instant, c *Connection, reason Reason) []proxy.Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.discard(now, reason)
}

// Abandon discards a connection unless it was released or discarded before. It reports
// whether the caller must close the connection.
func (t *Table) Abandon(now proxy.Instant, c *Connection) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !c.acquired {
		return false
	}
	c.discard(now, Unneeded)
	return true
}

func (c *Connection) discard(now proxy.Instant, reason Reason) []proxy.Connection {
	c.endOpening()
	c.giveBack(now)
	inst := c.inst
	inst.open--
	var closed []proxy.Connection
	if inst.warmup != nil && (reason == Broken || reason == Silent || reason == Unreachable) {
		inst.warmup.Suspect(now, inst.ID)
	}
	switch reason {
	case Unreachable:
		inst.failures++
		inst.excludedUntil = now.Add(min(exclusionTime<<min(inst.failures-1, 4), maxExclusionTime))
		inst.restart(inst.excludedUntil)
		inst.refuseAll(unreachable(inst.excludedUntil.Sub(now)))
		closed = inst.takeIdle()
	case Silent:
		inst.restart(now)
		closed = inst.takeIdle()
	case Exhausted:
		inst.openRefused(now)
	}
	inst.serve(now)
	return closed
}

// openRefused records that the instance accepts no more connections. Those that were opened
// together count once.
func (i *instance) openRefused(now proxy.Instant) {
	if now < i.openAfter {
		return
	}
	i.openAfter = now.Add(min(openRetryDelay<<min(i.openRefusals, 4), maxOpenRetryDelay))
	i.openRefusals++
}

// mayOpen reports whether a further connection may be opened. After a refusal, one at a time
// finds out whether the instance accepts connections again.
func (i *instance) mayOpen(now proxy.Instant) bool {
	if now < i.openAfter {
		return false
	}
	return i.openRefusals == 0 || i.opening == 0 || now.Sub(i.latestOpening) >= openingTime
}

// Opened records that the instance has opened the session of a connection.
func (t *Table) Opened(now proxy.Instant, c *Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.opened()
	c.inst.serve(now)
}

func (c *Connection) opened() {
	if c.opening {
		c.endOpening()
		c.inst.openRefusals = 0
	}
}

func (c *Connection) endOpening() {
	if c.opening {
		c.opening = false
		c.inst.opening--
	}
}

// Reason is the reason for discarding a connection.
type Reason uint8

// The reasons for discarding a connection.
const (
	// Unneeded means that the connection was closed without a failure.
	Unneeded Reason = iota
	// Broken means that the connection was broken. Others may still work.
	Broken
	// Silent means that the instance did not answer on the connection. The others of this
	// host may be as silent, but new ones may work.
	Silent
	// Unreachable means that a connection to the instance could not be opened.
	Unreachable
	// Exhausted means that the instance accepts no more connections.
	Exhausted
)

// Answered records the end of a statement that was sent on the connection at sent. It is
// called before the connection is released, discarded or paused.
func (t *Table) Answered(now proxy.Instant, c *Connection, sent proxy.Instant, outcome pace.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inst := c.inst
	if outcome != pace.Broken && outcome != pace.TimedOut {
		c.opened()
	}
	// A short time limit of the statement says nothing about the instance.
	if outcome == pace.TimedOut && now.Sub(sent) < stallFactor*inst.delay {
		outcome = pace.Ignored
	}
	inst.limiter.Record(now, pace.Answer{Outcome: outcome, Sent: sent})
	inst.health.Record(now, outcome)
}

// Lacks reports whether an instance is assumed to lack a position, as it has answered a
// short time ago. A statement that needs the position is not sent then.
func (t *Table) Lacks(now proxy.Instant, id proxy.InstanceID, position proxy.Bookmark) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	inst := t.instances[id]
	return inst != nil && inst.lag.Lacks(now, position)
}

// RecordLag records whether an instance has answered that it lacks the position which a
// command sent at sent needed.
func (t *Table) RecordLag(now, sent proxy.Instant, c *Connection, command proxy.Command, lacked bool) {
	if command.After == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.inst.lag.Record(now, sent, *command.After, lacked)
}

// Pace is the limit of the statements that the host runs on an instance at once.
type Pace struct {
	Instance     proxy.InstanceID
	Group        proxy.GroupID
	State        pace.State
	Limit, Slots int
	// Failing is the share of recent answers that left the caller without a result, OnTrial
	// whether the instance gets trial work only because of that.
	Failing float64
	OnTrial bool
}

// Limited returns the instances that the host uses less than it could: those on which it
// runs fewer statements than it has slots, and those that get trial work only.
func (t *Table) Limited(now proxy.Instant) []Pace {
	t.mu.Lock()
	defer t.mu.Unlock()
	var limited []Pace
	for _, inst := range t.instances {
		state, onTrial := inst.limiter.State(), inst.health.OnTrial(now)
		if state == pace.Rising && inst.running == 0 && inst.waiting.Len() == 0 {
			// The host does not use the instance, as others hold the connections to it.
			state = pace.Full
		}
		if state != pace.Full || onTrial {
			limited = append(limited, Pace{
				Instance: inst.ID, Group: inst.Group, State: state, Limit: inst.capacity(), Slots: inst.OwnSlots,
				Failing: inst.health.Failing(now), OnTrial: onTrial,
			})
		}
	}
	return limited
}

// Pause ends a statement of an open transaction. The connection stays acquired.
func (t *Table) Pause(now proxy.Instant, c *Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.stop(now)
	c.inst.serve(now)
}

// Resume starts a further statement of an open transaction. It does not wait for a
// slot, so that the transaction ends and frees its connection and locks sooner.
func (t *Table) Resume(now proxy.Instant, c *Connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.start(now)
}

// take marks the connection as acquired.
func (c *Connection) take(now proxy.Instant) {
	c.acquired = true
	c.inst.acquired[c.Account]++
	c.start(now)
}

// giveBack marks the connection as no longer acquired.
func (c *Connection) giveBack(now proxy.Instant) {
	c.stop(now)
	c.acquired, c.held = false, false
	c.cancelReservation()
	if c.inst.acquired[c.Account]--; c.inst.acquired[c.Account] <= 0 {
		delete(c.inst.acquired, c.Account)
	}
}

func (c *Connection) start(now proxy.Instant) {
	if c.running {
		return
	}
	c.running, c.started, c.restarts = true, now, c.inst.restarts
	c.inst.running++
	c.inst.active[c] = struct{}{}
	c.inst.latestStart = now
}

func (c *Connection) stop(now proxy.Instant) {
	if !c.running {
		return
	}
	c.running = false
	c.inst.running--
	delete(c.inst.active, c)
	if c.restarts != c.inst.restarts {
		c.inst.earlier--
	}
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
		for inst.open > inst.Share && len(inst.idle) > 0 && now.Sub(inst.idle[0].lastUsed) > excessIdleTime {
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

// CloseIdle removes all idle connections and returns them for the caller to close, so
// that another host can open connections in their place.
func (t *Table) CloseIdle() []proxy.Connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	var closed []proxy.Connection
	for _, inst := range t.instances {
		closed = append(closed, inst.takeIdle()...)
	}
	return closed
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
	if !inst.reserve(now, c) {
		return nil
	}
	inst.idle = inst.idle[:len(inst.idle)-1]
	c.take(now)
	return c
}

// Load returns the numbers of waiting operations, running statements and open
// connections.
func (t *Table) Load() (waiting, running, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, inst := range t.instances {
		waiting += inst.waiting.Len()
		running += inst.running
		open += inst.open
	}
	return waiting, running, open
}
