package pool

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Statements of a measurement.
const (
	roleStatement             = "SELECT pg_is_in_recovery()"
	replayedPositionStatement = "SELECT pg_last_wal_replay_lsn()"
	currentPositionStatement  = "SELECT pg_current_wal_lsn()"
	timelineStatement         = "SELECT timeline_id FROM pg_control_checkpoint()"
)

// measurement is the result of one measurement of an instance.
type measurement struct {
	inRecovery bool
	position   proxy.Position
	timeline   uint32
	// measuredAt is the instant before the first statement was sent.
	measuredAt    proxy.Instant
	roundTripTime time.Duration
}

// monitor measures the instance every MeasurementInterval until the pool removes it.
func (p *Pool) monitor(i *instance) {
	var conn *connection
	defer func() { p.closeMonitorConnection(i, conn) }()
	ticker := time.NewTicker(p.MeasurementInterval)
	defer ticker.Stop()
	for {
		conn = p.measureOnce(i, conn)
		select {
		case <-ticker.C:
		case <-i.removed:
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// measureOnce measures the instance once. With a share of at least two it uses a
// connection of the monitor's own, which it returns. With a share of one it uses the
// connection for requests while that is idle.
func (p *Pool) measureOnce(i *instance, conn *connection) *connection {
	if i.monitorSharesConnection() {
		p.closeMonitorConnection(i, conn)
		p.measureOnIdleConnection(i)
		return nil
	}
	newlyOpened := conn == nil
	if newlyOpened {
		conn = p.openMonitorConnection(i)
	}
	if conn == nil {
		return nil
	}
	if p.recordMeasurement(i, conn) == nil {
		return conn
	}
	p.closeMonitorConnection(i, conn)
	if newlyOpened {
		return nil
	}
	// A new connection distinguishes an unresponsive connection from a failed instance.
	return p.measureOnce(i, nil)
}

// monitorSharesConnection reports whether the share is too small for a connection of the
// monitor's own.
func (i *instance) monitorSharesConnection() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.share < 2
}

// openMonitorConnection opens the monitor's own connection if the share allows it.
func (p *Pool) openMonitorConnection(i *instance) *connection {
	i.mu.Lock()
	if i.open >= i.share {
		i.mu.Unlock()
		return nil
	}
	i.open++
	i.hasMonitorConnection = true
	i.mu.Unlock()
	p.backOffDial(i)
	ctx, cancel := context.WithTimeout(p.ctx, p.DialTimeout)
	defer cancel()
	c, err := p.connect(ctx, i)
	if err != nil {
		p.recordDialFailure(i, err)
		p.closeMonitorConnection(i, &connection{})
		return nil
	}
	i.mu.Lock()
	i.dialFailures = 0
	i.mu.Unlock()
	return c
}

// closeMonitorConnection closes the monitor's own connection. It does nothing if conn is
// nil.
func (p *Pool) closeMonitorConnection(i *instance, conn *connection) {
	if conn == nil {
		return
	}
	conn.close()
	i.mu.Lock()
	i.open--
	i.hasMonitorConnection = false
	dials := i.grant()
	i.mu.Unlock()
	p.startDials(i, dials)
}

// measureOnIdleConnection measures on an idle connection for requests. If there is none,
// it dials one for a later measurement.
func (p *Pool) measureOnIdleConnection(i *instance) {
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
		p.startDials(i, dials)
		return
	}
	c := i.takeIdle(sessionKey{})
	marked := i.markAcquired(c)
	i.mu.Unlock()
	if !marked {
		return
	}
	err := p.recordMeasurement(i, c)
	p.releaseConnection(i, c, proxy.ReleaseState{Broken: err != nil})
}

// recordMeasurement measures the instance on c and records its state.
func (p *Pool) recordMeasurement(i *instance, c *connection) error {
	ctx, cancel := context.WithTimeout(p.ctx, p.ProbeTimeout)
	defer cancel()
	before, _ := p.Leaders.Leader(i.group)
	m, err := measure(ctx, c, p.Clock)
	if err != nil {
		p.count("pool.measurement.failed")
		if p.OnFailure != nil && p.ctx.Err() == nil {
			p.OnFailure(i.group, i.id, err)
		}
		return err
	}
	leadership, known := p.Leaders.Leader(i.group)
	known = known && leadership == before
	state := p.states.recordMeasurement(i, m, leadership, known)
	p.changes.notify()
	if p.OnMeasurement != nil {
		p.OnMeasurement(i.group, state)
	}
	return nil
}

// measure queries the role, the log position and the timeline of an instance. The role
// is queried first, so that the position belongs to the returned role even if the
// instance is promoted during the measurement.
func measure(ctx context.Context, c *connection, clock proxy.Clock) (measurement, error) {
	m := measurement{measuredAt: clock.Now()}
	role, err := c.queryValue(ctx, roleStatement)
	if err != nil {
		return m, err
	}
	m.roundTripTime = clock.Now().Sub(m.measuredAt)
	m.inRecovery = role == "t"
	statement := currentPositionStatement
	if m.inRecovery {
		statement = replayedPositionStatement
	}
	position, err := c.queryValue(ctx, statement)
	if err != nil {
		return m, err
	}
	if m.position, err = proxy.ParsePosition(position); err != nil {
		return m, fmt.Errorf("measure the position: %w", err)
	}
	timeline, err := c.queryValue(ctx, timelineStatement)
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

// queryValue runs a statement that returns one value.
func (c *connection) queryValue(ctx context.Context, statement string) (string, error) {
	row, err := c.query(ctx, statement)
	if err != nil {
		return "", err
	}
	if len(row) != 1 {
		return "", eris.Errorf("answer to %q has %d columns", statement, len(row))
	}
	return row[0], nil
}
