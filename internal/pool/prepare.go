package pool

import (
	"context"
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	resetStatement = "DISCARD ALL"
	// probeStatement is the empty statement, the cheapest round trip.
	probeStatement = ""
)

// prepare makes a granted connection ready for its borrower. A connection that
// does not answer is replaced by a new one, so that one silent connection is
// told from a dead instance. It returns nil when the instance did not accept a
// new connection either; the grant has ended then.
func (p *Pool) prepare(ctx context.Context, i *instance, c *connection, lent *proxy.ConnectionInfo) (*connection, error) {
	if !c.idle() {
		p.violation("connection that is not idle was about to be lent", i)
		p.takeBack(i, c, proxy.ReleaseState{Broken: true})
		return nil, proxy.Refuse(proxy.InternalInconsistency, "connection to instance %s is not idle", i.id)
	}
	err := p.refresh(ctx, c, lent.SameSession)
	if err == nil {
		return c, nil
	}
	p.count("pool.discarded")
	p.log(i).Warn().Err(err).Msg("connection discarded")
	lent.SameSession = false
	return p.replace(ctx, i, c), nil
}

// refresh resets a connection that another session used and probes one that was
// unused for long.
func (p *Pool) refresh(ctx context.Context, c *connection, same bool) error {
	if err := c.untouched(); err != nil {
		return err
	}
	statement := probeStatement
	if !same && c.session != (owner{}) {
		statement = resetStatement
	} else if p.Clock.Now().Sub(c.used) < p.ProbeAfter {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.ProbeTimeout)
	defer cancel()
	if _, err := c.query(ctx, statement); err != nil {
		return fmt.Errorf("refresh: %w", err)
	}
	if !c.idle() {
		return errNotIdle
	}
	return nil
}

// replace closes a lent connection and opens another in its place, which keeps
// the count of open and lent connections.
func (p *Pool) replace(ctx context.Context, i *instance, old *connection) *connection {
	old.close()
	ctx, cancel := context.WithTimeout(ctx, p.DialTimeout)
	defer cancel()
	c, err := p.connect(ctx, i)
	if err != nil {
		p.failed(i, err)
		p.takeBack(i, old, proxy.ReleaseState{Broken: true})
		return nil
	}
	i.mu.Lock()
	old.lent = false
	c.lent = true
	i.failures = 0
	i.mu.Unlock()
	return c
}
