package pool

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// The statements of a measurement.
const (
	roleStatement     = "SELECT pg_is_in_recovery()"
	replayedStatement = "SELECT pg_last_wal_replay_lsn()"
	writtenStatement  = "SELECT pg_current_wal_lsn()"
	timelineStatement = "SELECT timeline_id FROM pg_control_checkpoint()"
)

// measurement is one answer of an instance.
type measurement struct {
	recovery bool
	position proxy.Position
	timeline uint32
	// seen is the instant before the first statement was sent.
	seen  proxy.Instant
	delay time.Duration
}

// monitor measures the instance at the interval Poll until it leaves the
// document.
func (p *Pool) monitor(i *instance) {
	var own *connection
	defer func() { p.unwatch(i, own) }()
	ticker := time.NewTicker(p.Poll)
	defer ticker.Stop()
	for {
		own = p.observe(i, own)
		select {
		case <-ticker.C:
		case <-i.gone:
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// observe measures once. From a share of two on it uses a connection of the
// monitor's own, which it returns; with a share of one it uses the connection
// for loans while that is idle.
func (p *Pool) observe(i *instance, own *connection) *connection {
	if i.shared() {
		p.unwatch(i, own)
		p.observeShared(i)
		return nil
	}
	fresh := own == nil
	if fresh {
		own = p.watch(i)
	}
	if own == nil {
		return nil
	}
	if p.record(i, own) == nil {
		return own
	}
	p.unwatch(i, own)
	if fresh {
		return nil
	}
	// A new connection tells a silent connection from a dead instance.
	return p.observe(i, nil)
}

// shared reports that the share leaves no connection for the monitor alone.
func (i *instance) shared() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.share < 2
}

// watch opens the monitor's own connection if the share has room for it.
func (p *Pool) watch(i *instance) *connection {
	i.mu.Lock()
	if i.open >= i.share {
		i.mu.Unlock()
		return nil
	}
	i.open++
	i.watched = true
	i.mu.Unlock()
	p.pause(i)
	ctx, cancel := context.WithTimeout(p.ctx, p.DialTimeout)
	defer cancel()
	c, err := p.connect(ctx, i)
	if err != nil {
		p.failed(i, err)
		p.unwatch(i, &connection{})
		return nil
	}
	i.mu.Lock()
	i.failures = 0
	i.mu.Unlock()
	return c
}

// unwatch closes the monitor's own connection.
func (p *Pool) unwatch(i *instance, own *connection) {
	if own == nil {
		return
	}
	own.close()
	i.mu.Lock()
	i.open--
	i.watched = false
	dials := i.grant()
	i.mu.Unlock()
	p.dial(i, dials)
}

// observeShared measures on an idle connection for loans. It opens one if there
// is none.
func (p *Pool) observeShared(i *instance) {
	i.mu.Lock()
	if i.leaving || i.waiting.Len() > 0 {
		i.mu.Unlock()
		return
	}
	if len(i.idle) == 0 {
		dials := max(0, min(1, i.share-i.open))
		i.open += dials
		i.dialing += dials
		i.mu.Unlock()
		p.dial(i, dials)
		return
	}
	c := i.take(owner{})
	held := i.hold(c)
	i.mu.Unlock()
	if !held {
		return
	}
	err := p.record(i, c)
	p.takeBack(i, c, proxy.ReleaseState{Broken: err != nil})
}

// record measures the instance on c and keeps the state.
func (p *Pool) record(i *instance, c *connection) error {
	ctx, cancel := context.WithTimeout(p.ctx, p.ProbeTimeout)
	defer cancel()
	before, _ := p.Leaders.Leader(i.group)
	m, err := measure(ctx, c, p.Clock)
	if err != nil {
		p.count("pool.measurement.failed")
		if p.Failed != nil && p.ctx.Err() == nil {
			p.Failed(i.group, i.id, err)
		}
		return err
	}
	leadership, known := p.Leaders.Leader(i.group)
	known = known && leadership == before
	state := p.states.record(i, m, leadership, known)
	p.changes.announce()
	if p.Observe != nil {
		p.Observe(i.group, state)
	}
	return nil
}

// measure asks an instance for its role, position and timeline. The role comes
// first, so that a position is never that of a later role.
func measure(ctx context.Context, c *connection, clock proxy.Clock) (measurement, error) {
	m := measurement{seen: clock.Now()}
	role, err := c.value(ctx, roleStatement)
	if err != nil {
		return m, err
	}
	m.delay = clock.Now().Sub(m.seen)
	m.recovery = role == "t"
	statement := writtenStatement
	if m.recovery {
		statement = replayedStatement
	}
	position, err := c.value(ctx, statement)
	if err != nil {
		return m, err
	}
	if m.position, err = proxy.ParsePosition(position); err != nil {
		return m, fmt.Errorf("measure the position: %w", err)
	}
	timeline, err := c.value(ctx, timelineStatement)
	if err != nil {
		return m, err
	}
	number, err := strconv.ParseUint(timeline, 10, 32)
	if err != nil {
		return m, fmt.Errorf("measure the timeline: %w", err)
	}
	m.timeline = uint32(number)
	return m, nil
}

// value runs a statement that returns one value.
func (c *connection) value(ctx context.Context, statement string) (string, error) {
	row, err := c.query(ctx, statement)
	if err != nil {
		return "", err
	}
	if len(row) != 1 {
		return "", eris.Errorf("answer to %q has %d columns", statement, len(row))
	}
	return row[0], nil
}
