package pool

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/queue"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/routing"
)

const (
	// retryAfter is what callers are told when no connection was free in time.
	retryAfter = 100 * time.Millisecond
	// recheck is the interval at which a waiting request looks at the leadership
	// again. The time without a primary after a promotion contains it once.
	recheck = 50 * time.Millisecond
)

// errMoved tells a waiter to choose an instance again.
var errMoved = eris.New("the instance does not suit the request any more")

// Acquire implements proxy.Lender.
func (p *Pool) Acquire(ctx context.Context, ask proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	select {
	case <-p.ready():
	default:
		return nil, proxy.Refuse(proxy.CannotConnectNow, "the pool has not started")
	}
	if p.draining.Load() {
		return nil, errDraining
	}
	if p.Share(ask.Group) <= 0 {
		return nil, proxy.Refuse(proxy.CannotConnectNow, "this host does not pool group %s", ask.Group)
	}
	patience := ask.WaitTimeout
	if patience <= 0 {
		patience = defaultPatience
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		ask, err := p.admit(ctx, ask)
		if err != nil {
			return nil, err
		}
		i, lent, err := p.choose(ctx, ask)
		if err != nil {
			return nil, err
		}
		loan, err := p.lendFrom(ctx, i, lent, ask)
		if !eris.Is(err, errMoved) {
			return loan, err
		}
		p.await(ctx, p.changes.wait())
	}
}

// await waits for a change, but not longer than recheck.
func (p *Pool) await(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// choose waits until there is an instance for the ask.
func (p *Pool) choose(ctx context.Context, ask proxy.ConnectionRequest) (*instance, proxy.ConnectionInfo, error) {
	began := p.Clock.Now()
	for {
		if p.ctx.Err() != nil {
			return nil, proxy.ConnectionInfo{}, proxy.Refuse(proxy.CannotConnectNow, "the pool is shutting down")
		}
		changed := p.changes.wait()
		choice := p.choice(ask)
		if choice.Kind == routing.Refuse || ctx.Err() != nil {
			return nil, proxy.ConnectionInfo{}, p.busy("group %s: no connection in time: %s", ask.Group, choice.Reason)
		}
		if choice.Kind == routing.Primary && p.lingers(ask, began) {
			p.linger(ctx, ask.Group)
			continue
		}
		if choice.Kind != routing.Wait {
			if i := p.find(ask.Group, choice.Instance); i != nil {
				return i, proxy.ConnectionInfo{Instance: choice.Instance, Primary: choice.Kind == routing.Primary, Term: choice.Term}, nil
			}
			p.adoptSoon()
		}
		p.await(ctx, changed)
	}
}

// adoptSoon asks Run to adopt the document before the next interval.
func (p *Pool) adoptSoon() {
	select {
	case p.unknown <- struct{}{}:
	default:
	}
}

// choice asks the routing for an instance.
func (p *Pool) choice(ask proxy.ConnectionRequest) routing.Choice {
	return routing.Choose(p.Clock.Now(), ask, p.table(ask.Group))
}

// table is what the routing depends on.
func (p *Pool) table(group proxy.GroupID) routing.GroupState {
	leadership, known := p.Leaders.Leader(group)
	states, slots := p.candidates(group, leadership.Primary)
	return routing.GroupState{
		Leadership:        leadership,
		Known:             known,
		States:            states,
		Zone:              p.Zone,
		Slots:             slots,
		MaxMeasurementAge: p.MaxMeasurementAge,
	}
}

// linger waits for the next observation of the group, but not longer than a
// replica that is about to catch up should take.
func (p *Pool) linger(ctx context.Context, group proxy.GroupID) {
	ctx, cancel := context.WithTimeout(ctx, p.Linger)
	defer cancel()
	p.Await(ctx, group)
}

// lingers reports that a read that arrived at began should wait for a replica
// rather than use the primary.
func (p *Pool) lingers(ask proxy.ConnectionRequest, began proxy.Instant) bool {
	if p.Linger == 0 || p.Await == nil || ask.Access != proxy.Read || ask.After.Position == beyondLog {
		return false
	}
	now := p.Clock.Now()
	left := p.Linger - now.Sub(began)
	return left > 0 && routing.ReplicaExpected(now, ask, p.table(ask.Group), p.Linger)
}

// lendFrom lends a connection of the instance. It returns errMoved when another
// instance must be chosen.
func (p *Pool) lendFrom(ctx context.Context, i *instance, lent proxy.ConnectionInfo, ask proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	o := owner{ask.Account, ask.Session}
	for {
		c, err := p.acquire(ctx, i, lent, ask)
		if err != nil {
			return nil, err
		}
		lent.SameSession = o.session != 0 && c.session == o
		c, err = p.prepare(ctx, i, c, &lent)
		if err != nil {
			return nil, err
		}
		if c == nil {
			continue
		}
		c.session = o
		lent.Connection = c.number
		writes := ask.Access == proxy.Write
		if writes {
			p.addWriter(i.group, 1)
		}
		if lent.Primary {
			i.addPrimaryLoan(c, lent.Term)
		}
		// The count is raised before the check, so that a planned change of
		// primary either sees this loan or makes it wait.
		if p.unfit(i, lent) || writes && p.readyToWrite(i.group) != nil {
			p.takeBack(i, c, proxy.ReleaseState{})
			if writes {
				p.addWriter(i.group, -1)
			}
			return nil, errMoved
		}
		return &loan{pool: p, instance: i, conn: c, lent: lent, writes: writes}, nil
	}
}

// acquire waits in the instance's queue for a connection.
func (p *Pool) acquire(ctx context.Context, i *instance, lent proxy.ConnectionInfo, ask proxy.ConnectionRequest) (*connection, error) {
	w := &waiter{owner: owner{ask.Account, ask.Session}, granted: make(chan result, 1)}
	item := &queue.Item[*waiter]{Account: ask.Account, Weight: ask.Weight, Priority: ask.Priority, Value: w}
	if err := p.enqueue(i, item); err != nil {
		return nil, err
	}
	select {
	case r := <-w.granted:
		return r.conn, r.err
	default:
	}
	ticker := time.NewTicker(recheck)
	defer ticker.Stop()
	for {
		select {
		case r := <-w.granted:
			return r.conn, r.err
		case <-ticker.C:
			if p.unfit(i, lent) {
				return nil, p.leave(i, item, errMoved)
			}
		case <-ctx.Done():
			return nil, p.leave(i, item, p.busy("no connection to instance %s of group %s was free in time", i.id, i.group))
		}
	}
}

// enqueue adds a waiter to the instance's queue.
func (p *Pool) enqueue(i *instance, item *queue.Item[*waiter]) error {
	now := p.Clock.Now()
	i.mu.Lock()
	if i.leaving {
		i.mu.Unlock()
		return errMoved
	}
	left := i.waiting.Push(now, item)
	dials := i.grant()
	i.mu.Unlock()
	p.dial(i, dials)
	if left != nil {
		left.Value.granted <- result{err: p.busy("the queue of instance %s of group %s is full", i.id, i.group)}
	}
	return nil
}

// leave takes a waiter out of the queue and returns err. A connection that was
// granted at the same time is given back.
func (p *Pool) leave(i *instance, item *queue.Item[*waiter], err error) error {
	i.mu.Lock()
	waiting := i.waiting.Remove(item)
	i.mu.Unlock()
	if waiting {
		return err
	}
	if r := <-item.Value.granted; r.conn != nil {
		p.takeBack(i, r.conn, proxy.ReleaseState{})
	}
	return err
}

// unfit reports that the leadership has changed since the instance was chosen or
// that a chosen replica does not answer any more.
func (p *Pool) unfit(i *instance, lent proxy.ConnectionInfo) bool {
	leadership, known := p.Leaders.Leader(i.group)
	if !known || leadership.Term != lent.Term {
		return true
	}
	if lent.Primary {
		return leadership.Primary != i.id
	}
	return i.unreachable() || p.Clock.Now().Sub(p.states.get(i.group, i.id).MeasuredAt) > p.MaxMeasurementAge
}

// busy returns the refusal of a request that may be tried again.
func (p *Pool) busy(format string, args ...any) *proxy.Refusal {
	p.count("pool.refused")
	r := proxy.Refuse(proxy.TooManyConnections, format, args...)
	r.RetryAfter = retryAfter
	return r
}

func (p *Pool) count(name string) {
	metrics.GetOrRegisterCounter(name, p.Metrics).Inc(1)
}

// takeBack returns a lent connection to the instance or closes it.
func (p *Pool) takeBack(i *instance, c *connection, r proxy.ReleaseState) {
	usable := !r.Broken && c.idle() && p.ctx.Err() == nil
	now := p.Clock.Now()
	i.mu.Lock()
	if !c.lent {
		i.mu.Unlock()
		p.violation("connection returned that was not lent", i)
		return
	}
	c.lent = false
	delete(i.primaryLoans, c)
	c.used = now
	i.lent--
	kept := i.keep(c, usable)
	dials := i.grant()
	i.mu.Unlock()
	if !kept {
		c.close()
	}
	p.dial(i, dials)
}
