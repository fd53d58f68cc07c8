package dispatch

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/pace"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/queue"
)

// Waiter is an operation that waits for a connection.
type Waiter struct {
	request Request
	inst    *instance
	item    *queue.Item[*Waiter]
	ended   chan Outcome
	// Until reuseUntil the operation may wait for a connection that becomes idle. reuse
	// reports that it does.
	reuseUntil proxy.Instant
	reuse      bool
}

// Outcome is the end of a wait: a grant, or a refusal.
type Outcome struct {
	Grant   Grant
	Refusal *proxy.NotExecuted
}

// Ended returns the channel on which the operation receives the end of its wait. The
// channel is buffered, so that the table does not wait for the operation.
func (w *Waiter) Ended() <-chan Outcome { return w.ended }

// Acquire returns a connection if one is free. Otherwise it queues the operation and
// returns its Waiter, or a refusal if the operation is not expected to get a connection in
// its time.
func (t *Table) Acquire(now proxy.Instant, request Request) (Grant, *Waiter, *proxy.NotExecuted) {
	t.mu.Lock()
	defer t.mu.Unlock()
	inst := t.instances[request.Instance]
	if inst == nil {
		return Grant{}, nil, unserved()
	}
	if now < inst.excludedUntil {
		return Grant{}, nil, unreachable(inst.excludedUntil.Sub(now))
	}
	if request.Patience > 0 && inst.health.Refuses(now) {
		return Grant{}, nil, failing()
	}
	w := &Waiter{request: request, inst: inst, ended: make(chan Outcome, 1), reuseUntil: now.Add(reuseWait)}
	priority := min(max(queue.Priorities-1-request.Priority, 0), queue.Priorities-1)
	w.item = &queue.Item[*Waiter]{Account: request.Account, Priority: priority, Due: request.Due, Value: w}
	inst.waiting.Push(now, w.item)
	inst.serve(now)
	if w.item.Waiting() && !w.reuse {
		inst.refuseUnservable(now, w)
	}
	select {
	case end := <-w.ended:
		return end.Grant, nil, end.Refusal
	default:
		return Grant{}, w, nil
	}
}

// ReuseWait returns for how long the operation may wait for a connection that is about to
// become idle, also after it has waited for a slot. The caller calls Table.ServeInstance after
// that time.
func (*Waiter) ReuseWait() time.Duration { return reuseWait }

// refuseUnservable ends the waits of the operations that are not expected to get a
// connection in their time after another one has arrived, in the order of service, because
// each refusal shortens the wait of those behind.
func (i *instance) refuseUnservable(now proxy.Instant, arrived *Waiter) {
	ahead := 0
	for _, item := range i.waiting.Ordered(now, i.delay) {
		w := item.Value
		ahead++
		if w.reuse && now < w.reuseUntil {
			continue
		}
		// Those that wait already have accepted the state of the instance, which may end at
		// any moment; only their place has changed.
		wait := i.timeFor(ahead)
		impatient := false
		if w == arrived {
			wait = i.expectedWait(now, w, ahead)
			impatient = w.request.Patience > 0 && wait > w.request.Patience
		}
		if now.Add(wait) <= w.request.Expires && !impatient {
			continue
		}
		ahead--
		i.waiting.Remove(item)
		w.ended <- Outcome{Refusal: crowded(i.returnDelay(now, item.Priority, wait))}
	}
}

// returnDelay returns the time after which a refused operation should return, when wait is
// its expected wait. Operations of a priority that are refused together are told to return one
// after the other, as fast as the instance serves them.
func (i *instance) returnDelay(now proxy.Instant, priority int, wait time.Duration) time.Duration {
	until := &i.returnsUntil[priority]
	*until = max(*until, now.Add(wait)).Add(i.timeFor(1))
	if delay := until.Sub(now); delay <= maxReturnDelay {
		return delay
	}
	*until = now.Add(wait)
	return min(wait, maxReturnDelay)
}

func crowded(wait time.Duration) *proxy.NotExecuted {
	return &proxy.NotExecuted{Cause: proxy.Crowded, Failure: proxy.Failure{
		Code: proxy.Busy, Text: "expected wait is longer than the time left", RetryAfter: wait,
	}}
}

// failing returns the refusal of an operation that another instance can serve.
func failing() *proxy.NotExecuted {
	return &proxy.NotExecuted{Cause: proxy.Crowded, Failure: proxy.Failure{
		Code: proxy.Busy, Text: "instance fails statements", RetryAfter: unservedRetry,
	}}
}

func unreachable(retryAfter time.Duration) *proxy.NotExecuted {
	return &proxy.NotExecuted{Cause: proxy.Unreachable, Failure: proxy.Failure{
		Code: proxy.Busy, Text: "instance was not reached", RetryAfter: retryAfter,
	}}
}

// unservedRetry is the time after which a client may retry an operation whose host does
// not use the instance.
const unservedRetry = 150 * time.Millisecond

func unserved() *proxy.NotExecuted {
	return &proxy.NotExecuted{Cause: proxy.Unserved, Failure: proxy.Failure{
		Code: proxy.Busy, Text: "instance is not in use", RetryAfter: unservedRetry,
	}}
}

// Cancel ends the wait of an operation. If a connection was granted in the meantime,
// Cancel returns the grant, and the caller must release the connection.
func (t *Table) Cancel(w *Waiter) (Grant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.inst.waiting.Remove(w.item)
	select {
	case end := <-w.ended:
		return end.Grant, end.Refusal == nil
	default:
		return Grant{}, false
	}
}

// QueueLoad returns the load of the queue for an instance.
func (t *Table) QueueLoad(now proxy.Instant, id proxy.InstanceID) proxy.QueueLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	inst := t.instances[id]
	if inst == nil {
		return proxy.QueueLoad{}
	}
	load := proxy.QueueLoad{
		Waiting: inst.waiting.Len(), Service: max(inst.delay, 0), Failing: int(1000 * inst.health.Failing(now)),
	}
	if inst.full() {
		load.Wait = inst.timeFor(inst.waiting.Len()+1) + inst.stall(now)
	}
	if inst.warmup != nil {
		load.Wait = max(load.Wait, inst.warmup.Wait(now, inst.ID, inst.waiting.Len()+1))
	}
	return load
}

// timeFor returns how long an instance takes to serve a number of operations. While its
// limit rises, the limit is assumed to double with each round.
func (i *instance) timeFor(operations int) time.Duration {
	limit := i.capacity()
	var rounds time.Duration
	if i.limiter.State() == pace.Rising {
		for limit < i.OwnSlots && operations > limit {
			operations -= limit
			rounds += i.delay
			limit = min(2*limit, i.OwnSlots)
		}
	}
	return rounds + time.Duration(float64(operations)*float64(i.delay)/float64(limit))
}

// expectedWait estimates how long the operation at a place in the queue waits: for those
// that are served before it, and until the instance accepts another connection.
func (i *instance) expectedWait(now proxy.Instant, w *Waiter, place int) time.Duration {
	wait := i.timeFor(place) + i.stall(now)
	if i.findIdle(w.request.Account) < 0 {
		wait = max(wait, i.openAfter.Sub(now))
	}
	if i.warmup != nil {
		wait = max(wait, i.warmup.Wait(now, i.ID, place))
	}
	return wait
}

// stall returns for how long all slots have been occupied without an answer, if that is
// far longer than usual. How much longer it lasts is not known; as long again is assumed.
func (i *instance) stall(now proxy.Instant) time.Duration {
	elapsed := now.Sub(i.latestStart)
	if !i.full() || elapsed < stallFactor*i.delay {
		return 0
	}
	return elapsed
}

// serve grants connections to waiting operations.
func (i *instance) serve(now proxy.Instant) {
	for i.waiting.Len() > 0 && i.mayStart(now) {
		var grant Grant
		expected := make(map[proxy.AccountID]int)
		item := i.waiting.PopFirst(now, i.delay, func(item *queue.Item[*Waiter]) bool {
			if i.awaitsReuse(now, item.Value, expected) {
				return false
			}
			var ok bool
			grant, ok = i.tryAcquire(now, &item.Value.request)
			return ok
		})
		if item == nil {
			return
		}
		item.Value.ended <- Outcome{Grant: grant}
	}
}

// awaitsReuse reports whether an operation should wait a moment for a connection of its
// account, although a slot is free. Expected counts the operations that already do, by account.
func (i *instance) awaitsReuse(now proxy.Instant, w *Waiter, expected map[proxy.AccountID]int) bool {
	account := w.request.Account
	if now >= w.reuseUntil || !i.mayStart(now) || i.findIdle(account) >= 0 {
		return false
	}
	soon := 0
	for c := range i.active {
		running := now.Sub(c.started)
		if c.Account == account && !c.held && !c.opening && i.delay-running <= reuseWait && running < 2*i.delay {
			soon++
		}
	}
	if soon <= expected[account] {
		return false
	}
	expected[account]++
	w.reuse = true
	return true
}

// refuseAll ends the wait of all operations with a refusal.
func (i *instance) refuseAll(refusal *proxy.NotExecuted) {
	for _, item := range i.waiting.Clear() {
		item.Value.ended <- Outcome{Refusal: refusal}
	}
}

// Serve grants connections to waiting operations. It must be called regularly, because
// instances become usable again as time passes.
func (t *Table) Serve(now proxy.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, inst := range t.instances {
		inst.serve(now)
	}
}

// ServeInstance grants connections to the operations that wait for an instance.
func (t *Table) ServeInstance(now proxy.Instant, id proxy.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if inst := t.instances[id]; inst != nil {
		inst.serve(now)
	}
}

// tryAcquire takes an idle connection of the account or adds a new one, if the instance
// has a free slot. If the connection limit is reached, it evicts an idle connection for
// the new one.
func (i *instance) tryAcquire(now proxy.Instant, request *Request) (Grant, bool) {
	if !i.mayStart(now) {
		return Grant{}, false
	}
	if n := i.findIdle(request.Account); n >= 0 {
		c := i.idle[n]
		if !i.reserve(now, c) {
			return Grant{}, false
		}
		i.idle = slices.Delete(i.idle, n, n+1)
		c.held = request.Hold
		c.take(now)
		return Grant{Connection: c}, true
	}
	full := i.open >= i.Limit
	if !i.mayOpen(now) || full && len(i.idle) == 0 || i.acquired[request.Account] >= i.accountLimit() {
		return Grant{}, false
	}
	grant := Grant{Connection: &Connection{
		Target: proxy.Target{Group: i.Group, Instance: i.ID, Address: i.Address, Account: request.Account},
		Zone:   i.Zone, inst: i, opening: true, held: request.Hold,
	}}
	if !i.reserve(now, grant.Connection) {
		return Grant{}, false
	}
	if full {
		grant.Evicted = append(grant.Evicted, i.evict())
	}
	i.open++
	i.opening++
	i.latestOpening = now
	grant.Connection.take(now)
	return grant, true
}

// findIdle returns the index of the account's most recently used idle connection,
// or -1.
func (i *instance) findIdle(account proxy.AccountID) int {
	for n := len(i.idle) - 1; n >= 0; n-- {
		if i.idle[n].Account == account {
			return n
		}
	}
	return -1
}
