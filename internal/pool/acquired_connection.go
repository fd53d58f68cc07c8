package pool

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/replies"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// confirmStatement reads a log position that covers everything committed so far.
const confirmStatement = "SELECT pg_current_wal_lsn()"

// acquiredConnection implements proxy.AcquiredConnection for a connection of this
// host.
type acquiredConnection struct {
	pool     *Pool
	instance *instance
	conn     *connection
	info     proxy.ConnectionInfo
	// isWriter reports that the pool counts the connection as a writer of its
	// group.
	isWriter bool

	mu sync.Mutex
	// released is set by Release, cancelled by Cancel.
	released  bool
	cancelled bool
}

// ConnectionInfo implements proxy.AcquiredConnection.
func (a *acquiredConnection) ConnectionInfo() proxy.ConnectionInfo { return a.info }

// Frontend implements proxy.AcquiredConnection.
func (a *acquiredConnection) Frontend() *pgproto3.Frontend { return a.conn.frontend }

// Replies returns the reader below Frontend.
func (a *acquiredConnection) Replies() *replies.Reader { return a.conn.replies }

// Raw returns the connection below Frontend. It may be used instead of Frontend while
// no response is outstanding.
func (a *acquiredConnection) Raw() net.Conn { return a.conn.trackedConn }

// SetDeadline sets the deadline of the reads and writes of Frontend. A zero time removes
// it.
func (a *acquiredConnection) SetDeadline(t time.Time) error { return a.conn.trackedConn.SetDeadline(t) }

// Confirm implements proxy.AcquiredConnection.
func (a *acquiredConnection) Confirm(ctx context.Context) (proxy.Bookmark, error) {
	return a.ConfirmFor(ctx, 0)
}

// ConfirmFor is like Confirm, but the confirmation stays valid for a time that is
// counted from before the call, so that another host has time to use it.
func (a *acquiredConnection) ConfirmFor(ctx context.Context, valid time.Duration) (proxy.Bookmark, error) {
	validUntil := a.pool.Clock.Now().Add(valid)
	if err := a.checkTerm(); err != nil {
		return proxy.Bookmark{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.pool.ProbeTimeout)
	defer cancel()
	bookmark, err := a.position(ctx)
	if err != nil {
		return proxy.Bookmark{}, err
	}
	if err = a.checkTerm(); err != nil {
		return proxy.Bookmark{}, err
	}
	if err = a.acknowledge(ctx, validUntil, bookmark); err != nil {
		return proxy.Bookmark{}, fmt.Errorf("acknowledge: %w", err)
	}
	return bookmark, nil
}

// acknowledge waits until the write may be acknowledged at validUntil or now, whichever
// is later. A refusal with a RetryAfter means that the replicas have not confirmed the
// position yet. Their positions are then requested at once, since the next regular
// observation may be far away.
func (a *acquiredConnection) acknowledge(ctx context.Context, validUntil proxy.Instant, bookmark proxy.Bookmark) error {
	for {
		validUntil = max(validUntil, a.pool.Clock.Now())
		err := a.pool.Leaders.Acknowledge(validUntil, a.instance.group, a.instance.id, bookmark)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if refusal := proxy.AsRefusal(err); refusal.RetryAfter == 0 || a.pool.AwaitObservation == nil {
			return err
		}
		a.pool.AwaitObservation(ctx, a.instance.group)
	}
}

// checkTerm returns an error if the instance is no longer the primary in the term in
// which the connection was acquired.
func (a *acquiredConnection) checkTerm() error {
	leadership, known := a.pool.Leaders.Leader(a.instance.group)
	if !known || leadership.Term != a.info.Term || leadership.Primary != a.instance.id {
		return proxy.UnknownOutcome(proxy.OutcomeUnknown,
			"instance %s is not the primary of group %s in term %d any more", a.instance.id, a.instance.group, a.info.Term)
	}
	return nil
}

func (a *acquiredConnection) position(ctx context.Context) (proxy.Bookmark, error) {
	row, err := a.conn.query(ctx, confirmStatement)
	if err != nil {
		return proxy.Bookmark{}, fmt.Errorf("confirm: %w", proxy.UnknownOutcome(proxy.OutcomeUnknown, "no log position: %v", err))
	}
	if len(row) != 1 {
		return proxy.Bookmark{}, proxy.UnknownOutcome(proxy.OutcomeUnknown, "log position with %d columns", len(row))
	}
	position, err := proxy.ParsePosition(row[0])
	if err != nil {
		return proxy.Bookmark{}, proxy.UnknownOutcome(proxy.OutcomeUnknown, "%v", err)
	}
	return proxy.Bookmark{Term: a.info.Term, Position: position}, nil
}

// Cancel implements proxy.AcquiredConnection. It may be called while another goroutine
// uses the connection.
func (a *acquiredConnection) Cancel(ctx context.Context) error {
	a.mu.Lock()
	if a.released {
		a.mu.Unlock()
		return nil
	}
	a.cancelled = true
	a.mu.Unlock()
	return a.conn.cancel(ctx)
}

// Release implements proxy.AcquiredConnection. A second call is reported as a violation
// and has no other effect.
func (a *acquiredConnection) Release(state proxy.ReleaseState) {
	a.mu.Lock()
	if a.released {
		a.mu.Unlock()
		a.pool.reportViolation("connection released twice", a.instance)
		return
	}
	a.released = true
	// A cancel request can take effect late and would then cancel a statement of the
	// connection's next user.
	state.Broken = state.Broken || a.cancelled
	a.mu.Unlock()
	a.pool.releaseConnection(a.instance, a.conn, state)
	if a.isWriter {
		a.pool.addWriter(a.instance.group, -1)
	}
}
