package deployment

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Group emulates a database group: a primary and its replicas, each with a log.
type Group struct {
	Name string
	// Lag is the time after which a replica applies a commit.
	Lag time.Duration
	// MaxConnections is the maximum number of connections of each instance.
	MaxConnections int
	// Synchronous is the number of replicas that must have received a commit before the
	// primary answers it.
	Synchronous int
	// PromotionDelay is the time from the promote call until the instance leads.
	PromotionDelay time.Duration
	// WarmupTime is how long an instance that has restarted is cold, WarmupRate the number of
	// statements a second that it is good for then; zero for no warm-up.
	WarmupTime time.Duration
	WarmupRate float64

	mu sync.Mutex
	// fault returns the error code with which an instance answers a statement, or an
	// empty string if the instance runs it. It may be nil.
	fault func(instance, text string) string
	// work returns how long an instance works on a statement before the statement takes
	// effect. It may be nil.
	work func(text string) time.Duration
	// lost is the number of coming writes and commits whose answers are lost.
	lost      int
	store     *Store
	instances []*Instance
	observer  Observer
	arrived   func(Arrival)
	// commitCount and signatureCount are the last serial numbers of commits and
	// signatures.
	commitCount, signatureCount int
	// received is closed and replaced when replicas receive commits, and when an instance
	// stops or is replaced as the primary.
	received chan struct{}
}

// commit is an entry of a log. It holds the writes of one transaction.
type commit struct {
	serial int
	term   uint64
	writes []write
	// visibleAt is when replicas apply the commit.
	visibleAt time.Time
}

type write struct{ request, item, data string }

// commitLog is the log of an instance, oldest commit first.
type commitLog []commit

// contains searches from the end, where new commits are.
func (l commitLog) contains(serial int) bool {
	for _, c := range slices.Backward(l) {
		if c.serial == serial {
			return true
		}
	}
	return false
}

// endSerial returns the serial of the last commit, or zero if there is none.
func (l commitLog) endSerial() int {
	if len(l) == 0 {
		return 0
	}
	return l[len(l)-1].serial
}

// Instance is an instance of a group. The lock of the group guards its fields.
type Instance struct {
	ID      string
	Zone    string
	Address string

	group       *Group
	primary     bool
	term        uint64
	log         commitLog
	connections int
	seq         int
	draining    bool
	startedAt   time.Time
	// coldUntil is until when the instance warms up after a restart.
	coldUntil time.Time
	// stopped is set after a crash. A stopped instance ends new connections.
	stopped bool
	// deaf is set while a replica receives nothing.
	deaf    bool
	closers map[*session]func()
	// ran counts the statements that ran, by request id.
	ran map[string]int
}

// position returns the term and the number of the last commit that is applied at now.
// The caller holds the group's lock.
func (i *Instance) position(now time.Time) (term uint64, number int) {
	number = len(i.log)
	for !i.primary && number > 0 && i.log[number-1].visibleAt.After(now) {
		number--
	}
	term = i.term
	if number > 0 {
		term = i.log[number-1].term
	}
	return term, number
}

// positionText returns position in the form of the line protocol, TERM.NUMBER.
func (i *Instance) positionText(now time.Time) string {
	term, number := i.position(now)
	return fmt.Sprintf("%d.%d", term, number)
}

// value returns the value of an item as of the commits that are applied at now, or an
// empty string if it was never written.
func (i *Instance) value(item string, now time.Time) string {
	_, number := i.position(now)
	for n := number - 1; n >= 0; n-- {
		for w := len(i.log[n].writes) - 1; w >= 0; w-- {
			if i.log[n].writes[w].item == item {
				return i.log[n].writes[w].data
			}
		}
	}
	return ""
}

// commit appends a transaction to the log of the primary i and sends it to the replicas. It
// returns the serial of the commit. The caller holds the lock.
func (g *Group) commit(i *Instance, writes []write) int {
	now := time.Now()
	g.commitCount++
	c := commit{serial: g.commitCount, term: i.term, writes: writes, visibleAt: now.Add(g.Lag)}
	i.log = append(i.log, c)
	for _, other := range g.instances {
		if other == i || other.primary || other.stopped || other.deaf || other.term > i.term {
			continue
		}
		if other.log.endSerial() != i.log[:len(i.log)-1].endSerial() {
			g.copyLog(other, i)
			continue
		}
		other.term, other.log = i.term, append(other.log, c)
	}
	return c.serial
}

// awaitReceived waits until as many replicas have received a commit of the primary i as
// the group requires. It returns false if i stops or is replaced before.
func (g *Group) awaitReceived(i *Instance, serial int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for term := i.term; !i.stopped && i.primary && i.term == term; {
		holders := 0
		for _, other := range g.instances {
			if other != i && !other.primary && other.log.contains(serial) {
				holders++
			}
		}
		if holders >= g.Synchronous {
			return true
		}
		received := g.received
		g.mu.Unlock()
		<-received
		g.mu.Lock()
	}
	return false
}

// notifyReceived wakes those that wait for replicas. The caller holds the lock.
func (g *Group) notifyReceived() {
	close(g.received)
	g.received = make(chan struct{})
}

// promote makes an instance the primary of the next term after the promotion delay. It
// returns false if the instance is unknown or stopped.
func (g *Group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	promoted := g.running(id)
	if promoted == nil {
		return false
	}
	if g.PromotionDelay == 0 {
		g.lead(promoted)
		return true
	}
	time.AfterFunc(g.PromotionDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !promoted.stopped {
			g.lead(promoted)
		}
	})
	return true
}

// running returns the instance with an id, or nil if it is unknown or stopped. The caller
// holds the lock.
func (g *Group) running(id string) *Instance {
	for _, i := range g.instances {
		if i.ID == id && !i.stopped {
			return i
		}
	}
	return nil
}

// lead makes an instance the primary of the next term, unless it is the primary of the
// newest one. The caller holds the lock.
func (g *Group) lead(promoted *Instance) {
	var term uint64
	for _, i := range g.instances {
		term = max(term, i.term)
	}
	if promoted.primary && promoted.term == term {
		return
	}
	promoted.primary, promoted.deaf, promoted.term = true, false, term+1
	for _, i := range g.instances {
		switch {
		case i == promoted || i.stopped:
		case i.primary:
			// The old primary continues for a while, as it does not yet know of its
			// successor.
			time.AfterFunc(demotionDelay, func() { g.demote(i) })
		case !i.deaf:
			g.follow(i, promoted)
		}
	}
	g.register(promoted)
	g.notifyReceived()
}

// demotionDelay is how long a primary continues after another was promoted.
const demotionDelay = time.Second

// demote turns a primary into a replica of the current primary.
func (g *Group) demote(i *Instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if currentPrimary := g.currentPrimary(); currentPrimary != nil && currentPrimary != i && !i.stopped {
		g.follow(i, currentPrimary)
	}
}

// follow makes an instance a replica of a primary. The caller holds the lock.
func (g *Group) follow(i, primary *Instance) {
	g.copyLog(i, primary)
	g.register(i)
}

// copyLog makes i a replica in the primary's term, with a copy of the primary's log.
// Commits of i that the primary does not have are rolled back. The caller holds the lock.
func (g *Group) copyLog(i, primary *Instance) {
	kept := make(map[int]bool, len(primary.log))
	for _, c := range primary.log {
		kept[c.serial] = true
	}
	for _, c := range i.log {
		for _, w := range c.writes {
			if !kept[c.serial] && g.observer != nil {
				g.observer.Discarded(w.item, w.data)
			}
		}
	}
	i.primary, i.term = false, primary.term
	i.log = append(commitLog(nil), primary.log...)
	g.notifyReceived()
}

// register writes the entry of an instance to the store. The caller holds the lock.
func (g *Group) register(i *Instance) {
	if i.stopped {
		return
	}
	i.seq++
	role, state := "replica", "ready"
	if i.primary {
		role = "primary"
	}
	if i.draining {
		state = "draining"
	}
	// Encoding a map of plain values cannot fail.
	_ = g.store.Put("servers", i.ID, map[string]any{
		"service": g.Name, "address": i.Address, "zone": i.Zone, "version": "v1", "capacity": 2,
		"state": state, "warmup_left_ms": max(time.Until(i.coldUntil).Milliseconds(), 0), "db_role": role, "seq": i.seq, "born": i.startedAt.UnixMilli(),
	})
}

// Primary returns the id of the running primary of the newest term, or an empty string
// if there is none.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if currentPrimary := g.currentPrimary(); currentPrimary != nil {
		return currentPrimary.ID
	}
	return ""
}

// currentPrimary returns the running primary of the newest term, or nil if there is
// none. The caller holds the lock.
func (g *Group) currentPrimary() *Instance {
	var currentPrimary *Instance
	for _, i := range g.instances {
		if i.primary && !i.stopped && (currentPrimary == nil || i.term >= currentPrimary.term) {
			currentPrimary = i
		}
	}
	return currentPrimary
}

// Term returns the newest term.
func (g *Group) Term() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	var term uint64
	for _, i := range g.instances {
		term = max(term, i.term)
	}
	return term
}

// Instances returns the ids of the group's instances.
func (g *Group) Instances() []string {
	var ids []string
	for _, i := range g.instances {
		ids = append(ids, i.ID)
	}
	return ids
}

// Refresh writes the entry of an instance again, as instances do regularly.
func (g *Group) Refresh(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.ID == id {
			g.register(i)
		}
	}
}

// Address returns the address of an instance, or an empty string if it is unknown.
func (g *Group) Address(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.ID == id {
			return i.Address
		}
	}
	return ""
}

// Restart restarts an instance that has crashed or left, with its log. If another instance was
// promoted in the meantime, the instance returns as a replica.
func (g *Group) Restart(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.ID != id || !i.stopped {
			continue
		}
		currentPrimary := g.currentPrimary()
		i.stopped, i.draining, i.deaf, i.startedAt = false, false, false, time.Now()
		i.coldUntil = i.startedAt.Add(g.WarmupTime)
		for _, other := range g.instances {
			i.primary = i.primary && other.term <= i.term
		}
		if currentPrimary != nil && currentPrimary.term >= i.term && !i.primary {
			g.copyLog(i, currentPrimary)
		}
		g.register(i)
	}
}

// Reroute registers an instance under the address that redirect returns for its current
// address.
func (g *Group) Reroute(id string, redirect func(address string) (string, error)) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.ID != id {
			continue
		}
		address, err := redirect(i.Address)
		if err != nil {
			return err
		}
		i.Address = address
		g.register(i)
	}
	return nil
}

// SetLag sets the time after which replicas apply future commits.
func (g *Group) SetLag(lag time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Lag = lag
}

// Crash stops an instance, closes its connections and deletes its entry in the store.
func (g *Group) Crash(id string) {
	g.Kill(id)
	g.Lapse(id)
}

// Lapse deletes the entry of an instance in the store.
func (g *Group) Lapse(id string) { g.store.Delete("servers", id) }

// Deafen makes a replica receive nothing until Hear, or until it is promoted.
func (g *Group) Deafen(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		i.deaf = i.deaf || i.ID == id
	}
}

// Hear makes a replica receive again, beginning with what it has missed.
func (g *Group) Hear(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, primary := g.running(id), g.currentPrimary()
	if i == nil {
		return
	}
	if i.deaf = false; primary != nil && !i.primary && primary.term >= i.term {
		g.follow(i, primary)
	}
}

// Holds reports whether the log of an instance contains the writes of a request.
func (g *Group) Holds(id, request string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.ID == id {
			return slices.ContainsFunc(i.log, func(c commit) bool {
				return slices.ContainsFunc(c.writes, func(w write) bool { return w.request == request })
			})
		}
	}
	return false
}

// Kill stops an instance and closes its connections. Its entry stays until Lapse.
func (g *Group) Kill(id string) {
	g.mu.Lock()
	var closers []func()
	for _, i := range g.instances {
		if i.ID == id {
			i.stopped = true
			for _, closer := range i.closers {
				closers = append(closers, closer)
			}
		}
	}
	g.notifyReceived()
	g.mu.Unlock()
	for _, closer := range closers {
		closer()
	}
}

// Drain sets the state of an instance to draining in its entry: it is about to leave.
func (g *Group) Drain(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.ID == id {
			i.draining = true
			g.register(i)
		}
	}
}

// RunCount returns how often the statement with a request id ran on the instances of
// the group.
func (g *Group) RunCount(request string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	runs := 0
	for _, i := range g.instances {
		runs += i.ran[request]
	}
	return runs
}

// SetFault makes instances answer the statements for which fault returns an error code
// with this code. nil ends the fault. The group's lock is held while fault runs.
func (g *Group) SetFault(fault func(instance, text string) string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = fault
}

// SetWork sets how long instances work on a statement before it takes effect; nil for no
// time.
func (g *Group) SetWork(work func(text string) time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.work = work
}

// LoseAnswers makes the instances of the group run the next writes and commits and close
// the connection instead of answering them.
func (g *Group) LoseAnswers(writes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost = writes
}
