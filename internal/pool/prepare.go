package pool

import (
	"context"
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	resetSessionStatement = "DISCARD ALL"
	// probeStatement is the empty statement, the cheapest round trip.
	probeStatement = ""
)

// prepare makes a granted connection ready for its user. It replaces a connection that
// does not answer by a new one, to distinguish one unresponsive connection from a
// failed instance. If the instance accepts no new connection either, prepare ends the
// grant and returns nil.
func (p *Pool) prepare(ctx context.Context, i *instance, c *connection, info *proxy.ConnectionInfo) (*connection, error) {
	if !c.idle() {
		p.reportViolation("granted connection is not idle", i)
		p.releaseConnection(i, c, proxy.ReleaseState{Broken: true})
		return nil, proxy.Refuse(proxy.InternalInconsistency, "connection to instance %s is not idle", i.id)
	}
	err := p.resetOrProbe(ctx, c, info.SameSession)
	if err == nil {
		return c, nil
	}
	p.count("pool.discarded")
	p.instanceLogger(i).Warn().Err(err).Msg("connection discarded")
	info.SameSession = false
	return p.replaceConnection(ctx, i, c), nil
}

// resetOrProbe resets a connection that another session used last, and probes one that
// has been unused for ProbeAfter.
func (p *Pool) resetOrProbe(ctx context.Context, c *connection, sameSession bool) error {
	if err := c.checkUntouched(); err != nil {
		return err
	}
	statement := probeStatement
	if !sameSession && c.session != (sessionKey{}) {
		statement = resetSessionStatement
	} else if p.Clock.Now().Sub(c.lastUsed) < p.ProbeAfter {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.ProbeTimeout)
	defer cancel()
	if _, err := c.query(ctx, statement); err != nil {
		return fmt.Errorf("check connection: %w", err)
	}
	if !c.idle() {
		return errNotIdle
	}
	return nil
}

// replaceConnection closes an acquired connection and opens a new one in its place, so
// that the numbers of open and acquired connections stay the same.
func (p *Pool) replaceConnection(ctx context.Context, i *instance, old *connection) *connection {
	old.close()
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	c, err := p.connect(ctx, i)
	if err != nil {
		p.recordDialFailure(i, err)
		p.releaseConnection(i, old, proxy.ReleaseState{Broken: true})
		return nil
	}
	i.mu.Lock()
	old.acquired = false
	c.acquired = true
	i.dialFailures = 0
	i.mu.Unlock()
	return c
}
