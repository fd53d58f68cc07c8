package pool

import (
	"context"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// dialBackoff is the wait after a failed dial. Each further failure doubles it, up to
	// maxDialBackoff.
	dialBackoff = 50 * time.Millisecond
	// maxDialBackoff limits the time until the pool detects that an instance accepts
	// connections again.
	maxDialBackoff = 500 * time.Millisecond
	// maxDialDoublings keeps the shift of dialBackoff small, so that it does not overflow.
	maxDialDoublings = 5
)

// startDials opens connections in the background. The caller has already counted them
// as open and dialing.
func (p *Pool) startDials(i *instance, count int) {
	for range count {
		if !p.spawn(func() { p.dialOne(i) }) {
			i.mu.Lock()
			i.dialing--
			i.open--
			i.mu.Unlock()
		}
	}
}

func (p *Pool) dialOne(i *instance) {
	p.backOffDial(i)
	ctx, cancel := context.WithTimeout(p.ctx, p.DialTimeout)
	defer cancel()
	c, err := p.connect(ctx, i)
	if err != nil {
		p.recordDialFailure(i, err)
	}
	i.mu.Lock()
	i.dialing--
	kept := false
	if err == nil {
		i.dialFailures = 0
		kept = i.keepIdle(c, p.ctx.Err() == nil)
	} else {
		i.open--
	}
	dials := i.grant()
	i.mu.Unlock()
	if err == nil && !kept {
		c.close()
	}
	p.startDials(i, dials)
}

// connect opens a connection to the instance.
func (p *Pool) connect(ctx context.Context, i *instance) (*connection, error) {
	p.count("pool.dialled")
	c, err := dial(ctx, i.address, i.database, credentials{p.User, p.Password})
	if err != nil {
		return nil, err
	}
	c.lastUsed = p.Clock.Now()
	return c, nil
}

// recordDialFailure records, logs and reports that a connection could not be opened.
func (p *Pool) recordDialFailure(i *instance, err error) {
	if p.ctx.Err() != nil {
		return
	}
	i.mu.Lock()
	i.dialFailures++
	i.mu.Unlock()
	p.count("pool.dial.failed")
	p.instanceLogger(i).Warn().Err(err).Msg("cannot connect")
	if p.OnFailure != nil {
		p.OnFailure(i.group, i.id, err)
	}
}

// backOffDial waits before a dial if the previous dials failed.
func (p *Pool) backOffDial(i *instance) {
	i.mu.Lock()
	dialFailures := i.dialFailures
	i.mu.Unlock()
	if dialFailures == 0 {
		return
	}
	timer := time.NewTimer(min(dialBackoff<<min(dialFailures-1, maxDialDoublings), maxDialBackoff))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// OpenConnections returns the number of open connections to an instance, including
// those being dialled and the monitor's own one.
func (p *Pool) OpenConnections(group proxy.GroupID, id proxy.InstanceID) int {
	i := p.findInstance(group, id)
	if i == nil {
		return 0
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.open
}
