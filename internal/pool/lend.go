package pool

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	resetStatement = "DISCARD ALL"
	// probeStatement is the empty statement, the cheapest round trip.
	probeStatement = ""
	// retryAfter is what callers are told when no connection was free in time.
	retryAfter = 100 * time.Millisecond
	// dialPause is the pause after a failed dial; it doubles up to dialPauseMax.
	dialPause    = 50 * time.Millisecond
	dialPauseMax = time.Second
)

// Lend implements proxy.Lender.
func (p *Pool) Lend(ctx context.Context, ask proxy.Ask) (proxy.Loan, error) {
	select {
	case <-p.ready():
	default:
		return nil, proxy.Refuse(proxy.CannotConnectNow, "the pool has not started")
	}
	patience := ask.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	i, lent, err := p.choose(ask)
	if err != nil {
		return nil, err
	}
	return p.lendFrom(ctx, i, lent, ask)
}

// choose returns the instance for an ask.
func (p *Pool) choose(ask proxy.Ask) (*instance, proxy.Lent, error) {
	leadership, known := p.Leaders.Leader(ask.Group)
	if !known {
		return nil, proxy.Lent{}, p.busy("group %s has no known primary", ask.Group)
	}
	i := p.find(ask.Group, leadership.Primary)
	if i == nil {
		return nil, proxy.Lent{}, p.busy("instance %s of group %s is not in the document", leadership.Primary, ask.Group)
	}
	return i, proxy.Lent{Instance: i.id, Primary: true, Term: leadership.Term}, nil
}

// lendFrom lends a connection of the instance that is reset and, where needed,
// probed. A connection that fails is replaced by one dialled afterwards, so that
// one silent connection is told from a dead instance.
func (p *Pool) lendFrom(ctx context.Context, i *instance, lent proxy.Lent, ask proxy.Ask) (proxy.Loan, error) {
	w := &waiter{owner: owner{ask.Account, ask.Session}, granted: make(chan *connection, 1)}
	for {
		c, err := p.acquire(ctx, i, w)
		if err != nil {
			return nil, err
		}
		lent.Same = ask.Session != 0 && c.session == w.owner
		if err = p.prepare(ctx, c, lent.Same); err == nil {
			c.session = w.owner
			return &loan{pool: p, instance: i, conn: c, lent: lent}, nil
		}
		p.count("pool.discarded")
		p.Logger.Warn().Err(err).Str("group", string(i.group)).Str("instance", string(i.id)).Msg("connection discarded")
		w.after = p.Clock.Now()
		p.takeBack(i, c, proxy.Return{Broken: true})
	}
}

// prepare probes a connection that was unused for long and resets one that
// another session used.
func (p *Pool) prepare(ctx context.Context, c *connection, same bool) error {
	if !c.idle() {
		return errNotIdle
	}
	ctx, cancel := context.WithTimeout(ctx, p.ProbeTimeout)
	defer cancel()
	if !same && c.session != (owner{}) {
		if _, err := c.query(ctx, resetStatement); err != nil {
			return fmt.Errorf("reset: %w", err)
		}
		return nil
	}
	if p.Clock.Now().Sub(c.used) < p.ProbeAfter {
		return nil
	}
	if _, err := c.query(ctx, probeStatement); err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	return nil
}

// acquire waits for a connection of the instance.
func (p *Pool) acquire(ctx context.Context, i *instance, w *waiter) (*connection, error) {
	i.mu.Lock()
	if i.leaving {
		i.mu.Unlock()
		return nil, p.busy("instance %s of group %s is leaving", i.id, i.group)
	}
	i.waiting = append(i.waiting, w)
	dials := i.grant()
	i.mu.Unlock()
	p.dial(i, dials)
	select {
	case c := <-w.granted:
		return p.accept(i, c)
	case <-ctx.Done():
	}
	i.mu.Lock()
	waiting := i.forget(w)
	i.mu.Unlock()
	if !waiting {
		if c := <-w.granted; c != nil {
			p.takeBack(i, c, proxy.Return{})
		}
	}
	return nil, p.busy("no connection to instance %s of group %s was free in time", i.id, i.group)
}

func (p *Pool) accept(i *instance, c *connection) (*connection, error) {
	if c == nil {
		return nil, p.busy("instance %s of group %s is leaving", i.id, i.group)
	}
	return c, nil
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
func (p *Pool) takeBack(i *instance, c *connection, r proxy.Return) {
	now := p.Clock.Now()
	keep := !r.Broken && c.idle()
	i.mu.Lock()
	if !c.lent {
		i.mu.Unlock()
		p.violation("connection returned that was not lent", i)
		c.close()
		return
	}
	c.lent = false
	c.used = now
	i.lent--
	keep = keep && !i.leaving && i.open <= i.share && p.ctx.Err() == nil
	if keep {
		i.idle = append(i.idle, c)
	} else {
		i.open--
	}
	dials := i.grant()
	i.mu.Unlock()
	if !keep {
		c.close()
	}
	p.dial(i, dials)
}

// dial opens connections in the background. They are counted already.
func (p *Pool) dial(i *instance, number int) {
	for range number {
		p.tasks.Add(1)
		go func() {
			defer p.tasks.Done()
			p.dialOne(i)
		}()
	}
}

func (p *Pool) dialOne(i *instance) {
	p.pause(i)
	dialled := p.Clock.Now()
	ctx, cancel := context.WithTimeout(p.ctx, p.DialTimeout)
	defer cancel()
	c, err := dial(ctx, i.address, i.database, credentials{p.User, p.Password})
	if err != nil {
		p.count("pool.dial.failed")
		p.Logger.Warn().Err(err).Str("group", string(i.group)).Str("instance", string(i.id)).Msg("cannot connect")
		p.dialFailed(i)
		return
	}
	c.dialled = dialled
	c.used = p.Clock.Now()
	i.mu.Lock()
	i.dialing--
	i.failures = 0
	keep := !i.leaving && i.open <= i.share && p.ctx.Err() == nil
	if keep {
		i.idle = append(i.idle, c)
	} else {
		i.open--
	}
	dials := i.grant()
	i.mu.Unlock()
	if !keep {
		c.close()
	}
	p.dial(i, dials)
}

// pause waits before a dial that follows failed ones.
func (p *Pool) pause(i *instance) {
	i.mu.Lock()
	failures := i.failures
	i.mu.Unlock()
	if failures == 0 {
		return
	}
	wait := min(dialPause<<min(failures-1, 10), dialPauseMax)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

func (p *Pool) dialFailed(i *instance) {
	i.mu.Lock()
	i.dialing--
	i.open--
	i.failures++
	dials := 0
	if p.ctx.Err() == nil {
		dials = i.grant()
	}
	i.mu.Unlock()
	p.dial(i, dials)
}
