package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Waiter is an operation that waits for a connection.
type Waiter struct {
	want    Request
	granted chan Grant
}

// Granted receives the connection. The channel has room for it, so that the
// table never waits for the operation.
func (w *Waiter) Granted() <-chan Grant { return w.granted }

// Acquire lends a connection at once, or queues the operation and returns its
// Waiter, or refuses it where it cannot be served before it expires.
func (t *Table) Acquire(now proxy.Instant, want Request) (Grant, *Waiter, *proxy.Failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(want.Group)
	if grant, ok := t.place(now, g, &want); ok {
		return grant, nil, nil
	}
	w := &Waiter{want: want, granted: make(chan Grant, 1)}
	if wait := t.expectedWait(now, g, w); now.Add(wait) > want.Expires {
		return Grant{}, nil, &proxy.Failure{Code: proxy.Busy, Text: "expected wait is longer than the time left", RetryAfter: wait}
	}
	g.waiters = append(g.waiters, w)
	return Grant{}, w, nil
}

// Cancel ends the wait of an operation. It returns the grant if one arrived
// meanwhile, which the caller must give back.
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

// expectedWait estimates how long an operation waits: for a new primary, or
// behind those that go first.
func (t *Table) expectedWait(now proxy.Instant, g *group, w *Waiter) time.Duration {
	if w.want.Primary && g.leader == "" {
		return max(g.vacant.Sub(now), 0)
	}
	ahead := 1
	for _, other := range g.waiters {
		if g.compare(now, other, w) <= 0 && other.want.Primary == w.want.Primary {
			ahead++
		}
	}
	var rate float64
	for _, at := range g.instances {
		if w.want.Primary && at.ID != g.leader || at.Leaving || now < at.shunned {
			continue
		}
		rate += float64(at.Slots) / at.delay.Seconds()
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// compare orders waiting operations: those that can still be answered in time,
// if they are sent at now and take as long as usual, then by priority, then by
// the instant at which they are due. An operation that will be late gains little
// from going first, and costs the next one its time.
func (g *group) compare(now proxy.Instant, a, b *Waiter) int {
	lateA, lateB := now.Add(g.usual(a)) > a.want.Due, now.Add(g.usual(b)) > b.want.Due
	switch {
	case lateB && !lateA:
		return -1
	case lateA && !lateB:
		return 1
	}
	return cmp.Or(cmp.Compare(a.want.Priority, b.want.Priority), cmp.Compare(a.want.Due, b.want.Due))
}

// usual returns how long a statement of the operation usually takes on the
// fastest instance that may run it.
func (g *group) usual(w *Waiter) time.Duration {
	var shortest time.Duration
	for _, at := range g.instances {
		if w.want.Primary && at.ID != g.leader {
			continue
		}
		if shortest == 0 || at.delay < shortest {
			shortest = at.delay
		}
	}
	return shortest
}

// serve lends connections to the waiting operations of a group.
func (t *Table) serve(now proxy.Instant, id proxy.GroupID) {
	g := t.group(id)
	if len(g.waiters) == 0 {
		return
	}
	slices.SortStableFunc(g.waiters, func(a, b *Waiter) int { return g.compare(now, a, b) })
	g.waiters = slices.DeleteFunc(g.waiters, func(w *Waiter) bool {
		grant, ok := t.place(now, g, &w.want)
		if ok {
			w.granted <- grant
		}
		return ok
	})
}

// Serve retries the waiting operations, since instances become usable again as
// time passes.
func (t *Table) Serve(now proxy.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.groups {
		t.serve(now, id)
	}
}

// place lends the connection with the lowest expected delay.
func (t *Table) place(now proxy.Instant, g *group, want *Request) (Grant, bool) {
	var best *instance
	var lowest time.Duration
	for _, at := range g.instances {
		if !at.usable(now, g, want) {
			continue
		}
		if cost := at.cost(g, want); best == nil || cost < lowest {
			best, lowest = at, cost
		}
	}
	if best == nil {
		return Grant{}, false
	}
	return best.lend(now, want.Account), true
}

func (i *instance) usable(now proxy.Instant, g *group, want *Request) bool {
	if want.Primary {
		if i.ID != g.leader {
			return false
		}
	} else if i.Leaving || now < i.lagging {
		return false
	}
	if i.running >= i.Slots || now < i.shunned || slices.Contains(want.Avoid, i.ID) {
		return false
	}
	return i.find(want.Account) >= 0 || now >= i.full && (i.open < i.limit() || len(i.idle) > 0)
}

func (i *instance) cost(g *group, want *Request) time.Duration {
	cost := i.delay * time.Duration(i.running+1)
	if i.find(want.Account) < 0 {
		cost += openDelay
	}
	if i.ID == g.leader && !want.Primary {
		cost += spareDelay
	}
	return cost
}

// find returns the index of the account's most recently used idle connection,
// or -1.
func (i *instance) find(account proxy.AccountID) int {
	for n := len(i.idle) - 1; n >= 0; n-- {
		if i.idle[n].Account == account {
			return n
		}
	}
	return -1
}

// lend takes an idle connection of the account or makes room for a new one.
func (i *instance) lend(now proxy.Instant, account proxy.AccountID) Grant {
	if n := i.find(account); n >= 0 {
		c := i.idle[n]
		i.idle = slices.Delete(i.idle, n, n+1)
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
		at:     i,
	}
	c.start(now)
	grant.Connection = c
	return grant
}
