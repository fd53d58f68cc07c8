package pool

import (
	"context"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// dialPause is the pause after a failed dial; it doubles up to dialPauseMax.
	dialPause = 50 * time.Millisecond
	// dialPauseMax bounds the time for which a returned instance is not noticed.
	dialPauseMax = 500 * time.Millisecond
	// dialDoublings keeps the shift within dialPauseMax.
	dialDoublings = 5
)

// dial opens connections in the background. They are counted already.
func (p *Pool) dial(i *instance, number int) {
	for range number {
		if !p.spawn(func() { p.dialOne(i) }) {
			i.mu.Lock()
			i.dialing--
			i.open--
			i.mu.Unlock()
		}
	}
}

func (p *Pool) dialOne(i *instance) {
	p.pause(i)
	ctx, cancel := context.WithTimeout(p.ctx, p.DialTimeout)
	defer cancel()
	c, err := p.connect(ctx, i)
	if err != nil {
		p.failed(i, err)
	}
	i.mu.Lock()
	i.dialing--
	kept := false
	if err == nil {
		i.failures = 0
		kept = i.keep(c, p.ctx.Err() == nil)
	} else {
		i.open--
	}
	dials := i.grant()
	i.mu.Unlock()
	if err == nil && !kept {
		c.close()
	}
	p.dial(i, dials)
}

// connect opens a connection to the instance.
func (p *Pool) connect(ctx context.Context, i *instance) (*connection, error) {
	p.count("pool.dialled")
	c, err := dial(ctx, i.address, i.database, credentials{p.User, p.Password})
	if err != nil {
		return nil, err
	}
	c.used = p.Clock.Now()
	return c, nil
}

// failed records that a connection could not be opened.
func (p *Pool) failed(i *instance, err error) {
	if p.ctx.Err() != nil {
		return
	}
	i.mu.Lock()
	i.failures++
	i.mu.Unlock()
	p.count("pool.dial.failed")
	p.log(i).Warn().Err(err).Msg("cannot connect")
	if p.Failed != nil {
		p.Failed(i.group, i.id, err)
	}
}

// pause waits before a dial that follows failed ones.
func (p *Pool) pause(i *instance) {
	i.mu.Lock()
	failures := i.failures
	i.mu.Unlock()
	if failures == 0 {
		return
	}
	timer := time.NewTimer(min(dialPause<<min(failures-1, dialDoublings), dialPauseMax))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// Connections returns the number of open connections to an instance, counting
// those being dialled and the monitor's.
func (p *Pool) Connections(group proxy.GroupID, id proxy.InstanceID) int {
	i := p.find(group, id)
	if i == nil {
		return 0
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.open
}
