package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Waiter is an operation that waits for a connection.
type Waiter struct {
	request Request
	granted chan Grant
}

// Granted returns the channel on which the operation receives its connection. The
// channel is buffered, so that the table does not wait for the operation.
func (w *Waiter) Granted() <-chan Grant { return w.granted }

// Acquire returns a connection if one is free. Otherwise it queues the operation and
// returns its Waiter, or a failure if the operation is not expected to get a
// connection before it expires.
func (t *Table) Acquire(now proxy.Instant, request Request) (Grant, *Waiter, *proxy.Failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(request.Group)
	if grant, ok := t.tryAcquire(now, g, &request); ok {
		return grant, nil, nil
	}
	w := &Waiter{request: request, granted: make(chan Grant, 1)}
	if wait := t.expectedWait(now, g, w); now.Add(wait) > request.Expires {
		return Grant{}, nil, &proxy.Failure{Code: proxy.Busy, Text: "expected wait is longer than the time left", RetryAfter: wait}
	}
	g.waiters = append(g.waiters, w)
	return Grant{}, w, nil
}

// Cancel ends the wait of an operation. If a connection was granted in the meantime,
// Cancel returns the grant, and the caller must release the connection.
func (t *Table) Cancel(id proxy.GroupID, w *Waiter) (Grant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(id)
	g.waiters = slices.DeleteFunc(g.waiters, func(other *Waiter) bool { return other == w })
	select {
	case grant := <-w.granted:
		return grant, true
	default:
		return Grant{}, false
	}
}

// expectedWait estimates how long an operation waits: for a new primary, or for the
// operations that are served before it.
func (t *Table) expectedWait(now proxy.Instant, g *group, w *Waiter) time.Duration {
	if w.request.Primary && g.primary == "" {
		return max(g.primaryExpected.Sub(now), 0)
	}
	ahead := 1
	for _, other := range g.waiters {
		if g.compare(now, other, w) <= 0 && other.request.Primary == w.request.Primary {
			ahead++
		}
	}
	var rate float64
	for _, inst := range g.instances {
		if w.request.Primary && inst.ID != g.primary || inst.Leaving || now < inst.excludedUntil {
			continue
		}
		rate += float64(inst.Slots) / inst.delay.Seconds()
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// compare orders waiting operations. Those that can still be answered in time come
// first, assuming that they are sent at now and take as long as usual. Operations are
// then ordered by priority, and then by the instant at which they are due. An
// operation that will be late in any case gains little from being served first, but
// can make the next one late too.
func (g *group) compare(now proxy.Instant, a, b *Waiter) int {
	lateA, lateB := now.Add(g.usualDelay(a)) > a.request.Due, now.Add(g.usualDelay(b)) > b.request.Due
	switch {
	case lateB && !lateA:
		return -1
	case lateA && !lateB:
		return 1
	}
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.request.Due, b.request.Due))
}

// usualDelay returns the usual duration of a statement on the fastest instance that
// may run the operation.
func (g *group) usualDelay(w *Waiter) time.Duration {
	var shortest time.Duration
	for _, inst := range g.instances {
		if w.request.Primary && inst.ID != g.primary {
			continue
		}
		if shortest == 0 || inst.delay < shortest {
			shortest = inst.delay
		}
	}
	return shortest
}

// serveGroup grants connections to the waiting operations of a group.
func (t *Table) serveGroup(now proxy.Instant, id proxy.GroupID) {
	g := t.group(id)
	if len(g.waiters) == 0 {
		return
	}
	slices.SortStableFunc(g.waiters, func(a, b *Waiter) int { return g.compare(now, a, b) })
	g.waiters = slices.DeleteFunc(g.waiters, func(w *Waiter) bool {
		grant, ok := t.tryAcquire(now, g, &w.request)
		if ok {
			w.granted <- grant
		}
		return ok
	})
}

// Serve grants connections to the waiting operations of all groups. It must be called
// regularly, because instances become usable again as time passes.
func (t *Table) Serve(now proxy.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.groups {
		t.serveGroup(now, id)
	}
}

// tryAcquire acquires a connection to the usable instance with the lowest expected
// delay, if there is one.
func (t *Table) tryAcquire(now proxy.Instant, g *group, request *Request) (Grant, bool) {
	var best *instance
	var lowest time.Duration
	for _, inst := range g.instances {
		if !inst.usable(now, g, request) {
			continue
		}
		if expectedDelay := inst.expectedDelay(g, request); best == nil || expectedDelay < lowest {
			best, lowest = inst, expectedDelay
		}
	}
	if best == nil {
		return Grant{}, false
	}
	return best.acquire(now, request.Account), true
}

func (i *instance) usable(now proxy.Instant, g *group, request *Request) bool {
	if request.Primary {
		if i.ID != g.primary {
			return false
		}
	} else if i.Leaving || now < i.laggingUntil {
		return false
	}
	if i.running >= i.Slots || now < i.excludedUntil || slices.Contains(request.Avoid, i.ID) {
		return false
	}
	return i.findIdle(request.Account) >= 0 || now >= i.openAfter && (i.open < i.limit() || len(i.idle) > 0)
}

func (i *instance) expectedDelay(g *group, request *Request) time.Duration {
	expectedDelay := i.delay * time.Duration(i.running+1)
	if i.findIdle(request.Account) < 0 {
		expectedDelay += connectDelay
	}
	if i.ID == g.primary && !request.Primary {
		expectedDelay += primaryReadPenalty
	}
	return expectedDelay
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

// acquire takes an idle connection of the account or adds a new one. If the
// connection limit is reached, it evicts an idle connection for the new one.
func (i *instance) acquire(now proxy.Instant, account proxy.AccountID) Grant {
	if n := i.findIdle(account); n >= 0 {
		c := i.idle[n]
		i.idle = slices.Delete(i.idle, n, n+1)
		c.acquired = true
		c.start(now)
		return Grant{Connection: c}
	}
	var grant Grant
	if i.open >= i.limit() {
		grant.Evicted = append(grant.Evicted, i.evict())
	}
	i.open++
	c := &Connection{
		Target: proxy.Target{Group: i.Group, Instance: i.ID, Address: i.Address, Account: account},
		inst:   i, acquired: true,
	}
	c.start(now)
	grant.Connection = c
	return grant
}
