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
	// retryAfter is the RetryAfter of the refusal when no connection was free in time.
	retryAfter = 100 * time.Millisecond
	// recheckInterval is the interval at which a waiting request checks the leadership
	// again. After a promotion the request may wait this much longer than necessary.
	recheckInterval = 50 * time.Millisecond
)

// errChooseAgain makes a request choose an instance again.
var errChooseAgain = eris.New("the instance is no longer suitable for the request")

// Acquire implements proxy.Acquirer.
func (p *Pool) Acquire(ctx context.Context, request proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	select {
	case <-p.startedChannel():
	default:
		return nil, proxy.Refuse(proxy.CannotConnectNow, "the pool has not started")
	}
	if p.draining.Load() {
		return nil, errDraining
	}
	if p.Share(request.Group) <= 0 {
		return nil, proxy.Refuse(proxy.CannotConnectNow, "this host does not pool group %s", request.Group)
	}
	waitTimeout := request.WaitTimeout
	if waitTimeout <= 0 {
		waitTimeout = defaultWaitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		request, err := p.admit(ctx, request)
		if err != nil {
			return nil, err
		}
		i, info, err := p.chooseInstance(ctx, request)
		if err != nil {
			return nil, err
		}
		acquired, err := p.acquireFrom(ctx, i, info, request)
		if !eris.Is(err, errChooseAgain) {
			return acquired, err
		}
		p.awaitChange(ctx, p.changes.wait())
	}
}

// awaitChange waits for a change, but no longer than recheckInterval.
func (p *Pool) awaitChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(recheckInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// chooseInstance waits until there is an instance that can serve the request.
func (p *Pool) chooseInstance(ctx context.Context, request proxy.ConnectionRequest) (*instance, proxy.ConnectionInfo, error) {
	startedAt := p.Clock.Now()
	for {
		if p.ctx.Err() != nil {
			return nil, proxy.ConnectionInfo{}, proxy.Refuse(proxy.CannotConnectNow, "the pool is shutting down")
		}
		changed := p.changes.wait()
		choice := p.choice(request)
		if choice.Kind == routing.Refuse || ctx.Err() != nil {
			return nil, proxy.ConnectionInfo{}, p.refuseBusy("group %s: no connection in time: %s", request.Group, choice.Reason)
		}
		if choice.Kind == routing.Primary && p.shouldAwaitReplica(request, startedAt) {
			p.awaitReplica(ctx, request.Group)
			continue
		}
		if choice.Kind != routing.Wait {
			if i := p.findInstance(request.Group, choice.Instance); i != nil {
				return i, proxy.ConnectionInfo{Instance: choice.Instance, Primary: choice.Kind == routing.Primary, Term: choice.Term}, nil
			}
			p.requestReconcile()
		}
		p.awaitChange(ctx, changed)
	}
}

// requestReconcile makes Run reconcile before the next interval.
func (p *Pool) requestReconcile() {
	select {
	case p.reconcileNow <- struct{}{}:
	default:
	}
}

// choice returns the instance that the routing chooses for a request.
func (p *Pool) choice(request proxy.ConnectionRequest) routing.Choice {
	return routing.Choose(p.Clock.Now(), request, p.routingTable(request.Group))
}

// routingTable returns the state of a group on which the routing depends.
func (p *Pool) routingTable(group proxy.GroupID) routing.GroupState {
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

// awaitReplica waits for the next observation of the group, but no longer than
// Linger.
func (p *Pool) awaitReplica(ctx context.Context, group proxy.GroupID) {
	ctx, cancel := context.WithTimeout(ctx, p.Linger)
	defer cancel()
	p.AwaitObservation(ctx, group)
}

// shouldAwaitReplica reports whether a read that has waited since startedAt should wait
// for a replica instead of going to the primary.
func (p *Pool) shouldAwaitReplica(request proxy.ConnectionRequest, startedAt proxy.Instant) bool {
	if p.Linger == 0 || p.AwaitObservation == nil || request.Access != proxy.Read || request.After.Position == positionBeyondLog {
		return false
	}
	now := p.Clock.Now()
	remaining := p.Linger - now.Sub(startedAt)
	return remaining > 0 && routing.ReplicaExpected(now, request, p.routingTable(request.Group), p.Linger)
}

// acquireFrom acquires a connection to the instance. It returns errChooseAgain if
// another instance must be chosen.
func (p *Pool) acquireFrom(ctx context.Context, i *instance, info proxy.ConnectionInfo, request proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	key := sessionKey{request.Account, request.Session}
	for {
		c, err := p.awaitConnection(ctx, i, info, request)
		if err != nil {
			return nil, err
		}
		info.SameSession = key.session != 0 && c.session == key
		c, err = p.prepare(ctx, i, c, &info)
		if err != nil {
			return nil, err
		}
		if c == nil {
			continue
		}
		c.session = key
		info.Connection = c.id
		isWriter := request.Access == proxy.Write
		if isWriter {
			p.addWriter(i.group, 1)
		}
		if info.Primary {
			i.addPrimaryConnection(c, info.Term)
		}
		// The writer is counted before the check, so that a switchover either counts
		// it or makes the check fail, after which the request waits.
		if p.unsuitable(i, info) || isWriter && p.checkWritable(i.group) != nil {
			p.releaseConnection(i, c, proxy.ReleaseState{})
			if isWriter {
				p.addWriter(i.group, -1)
			}
			return nil, errChooseAgain
		}
		return &acquiredConnection{pool: p, instance: i, conn: c, info: info, isWriter: isWriter}, nil
	}
}

// awaitConnection waits in the instance's queue for a connection.
func (p *Pool) awaitConnection(ctx context.Context, i *instance, info proxy.ConnectionInfo, request proxy.ConnectionRequest) (*connection, error) {
	w := &waiter{sessionKey: sessionKey{request.Account, request.Session}, granted: make(chan grantResult, 1)}
	item := &queue.Item[*waiter]{Account: request.Account, Weight: request.Weight, Priority: request.Priority, Value: w}
	if err := p.enqueue(i, item); err != nil {
		return nil, err
	}
	select {
	case r := <-w.granted:
		return r.conn, r.err
	default:
	}
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-w.granted:
			return r.conn, r.err
		case <-ticker.C:
			if p.unsuitable(i, info) {
				return nil, p.leaveQueue(i, item, errChooseAgain)
			}
		case <-ctx.Done():
			return nil, p.leaveQueue(i, item, p.refuseBusy("no connection to instance %s of group %s was free in time", i.id, i.group))
		}
	}
}

// enqueue adds a waiter to the instance's queue. If the queue is full, it refuses one
// waiter, which may be the new one.
func (p *Pool) enqueue(i *instance, item *queue.Item[*waiter]) error {
	now := p.Clock.Now()
	i.mu.Lock()
	if i.leaving {
		i.mu.Unlock()
		return errChooseAgain
	}
	evicted := i.waiting.Push(now, item)
	dials := i.grant()
	i.mu.Unlock()
	p.startDials(i, dials)
	if evicted != nil {
		evicted.Value.granted <- grantResult{err: p.refuseBusy("the queue of instance %s of group %s is full", i.id, i.group)}
	}
	return nil
}

// leaveQueue removes a waiter from the queue and returns err. It releases a connection
// that was granted in the meantime.
func (p *Pool) leaveQueue(i *instance, item *queue.Item[*waiter], err error) error {
	i.mu.Lock()
	waiting := i.waiting.Remove(item)
	i.mu.Unlock()
	if waiting {
		return err
	}
	if r := <-item.Value.granted; r.conn != nil {
		p.releaseConnection(i, r.conn, proxy.ReleaseState{})
	}
	return err
}

// unsuitable reports whether the leadership has changed since the instance was chosen,
// or the chosen replica no longer answers.
func (p *Pool) unsuitable(i *instance, info proxy.ConnectionInfo) bool {
	leadership, known := p.Leaders.Leader(i.group)
	if !known || leadership.Term != info.Term {
		return true
	}
	if info.Primary {
		return leadership.Primary != i.id
	}
	return i.unreachable() || p.Clock.Now().Sub(p.states.get(i.group, i.id).MeasuredAt) > p.MaxMeasurementAge
}

// refuseBusy counts a refusal and returns it with a RetryAfter.
func (p *Pool) refuseBusy(format string, args ...any) *proxy.Refusal {
	p.count("pool.refused")
	refusal := proxy.Refuse(proxy.TooManyConnections, format, args...)
	refusal.RetryAfter = retryAfter
	return refusal
}

func (p *Pool) count(name string) {
	metrics.GetOrRegisterCounter(name, p.Metrics).Inc(1)
}

// releaseConnection makes an acquired connection idle again or closes it.
func (p *Pool) releaseConnection(i *instance, c *connection, state proxy.ReleaseState) {
	usable := !state.Broken && c.idle() && p.ctx.Err() == nil
	now := p.Clock.Now()
	i.mu.Lock()
	if !c.acquired {
		i.mu.Unlock()
		p.reportViolation("released connection was not acquired", i)
		return
	}
	c.acquired = false
	delete(i.primaryConnections, c)
	c.lastUsed = now
	i.acquired--
	kept := i.keepIdle(c, usable)
	dials := i.grant()
	i.mu.Unlock()
	if !kept {
		c.close()
	}
	p.startDials(i, dials)
}
