package pool

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// confirmStatement reads the position that covers everything committed so far.
const confirmStatement = "SELECT pg_current_wal_lsn()"

// loan implements proxy.Loan on a connection of this host.
type loan struct {
	pool     *Pool
	instance *instance
	conn     *connection
	lent     proxy.ConnectionInfo
	// writes reports that the loan counts as a writer.
	writes bool

	mu sync.Mutex
	// returned is set by Release, cancelled by Cancel.
	returned  bool
	cancelled bool
}

// ConnectionInfo implements proxy.Loan.
func (l *loan) ConnectionInfo() proxy.ConnectionInfo { return l.lent }

// Frontend implements proxy.Loan.
func (l *loan) Frontend() *pgproto3.Frontend { return l.conn.frontend }

// Raw returns the connection below Frontend. It may be used in place of
// Frontend while the protocol state is quiet.
func (l *loan) Raw() net.Conn { return l.conn.wire }

// SetDeadline limits the reads and writes of Frontend; zero removes the limit.
func (l *loan) SetDeadline(t time.Time) error { return l.conn.wire.SetDeadline(t) }

// Confirm implements proxy.Loan.
func (l *loan) Confirm(ctx context.Context) (proxy.Bookmark, error) {
	return l.ConfirmFor(ctx, 0)
}

// ConfirmFor is Confirm with an answer that holds for a time counted from before
// the call, which leaves a caller on another host time to use it.
func (l *loan) ConfirmFor(ctx context.Context, valid time.Duration) (proxy.Bookmark, error) {
	until := l.pool.Clock.Now().Add(valid)
	if err := l.checkTerm(); err != nil {
		return proxy.Bookmark{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.pool.ProbeTimeout)
	defer cancel()
	at, err := l.position(ctx)
	if err != nil {
		return proxy.Bookmark{}, err
	}
	if err = l.checkTerm(); err != nil {
		return proxy.Bookmark{}, err
	}
	if err = l.acknowledge(ctx, until, at); err != nil {
		return proxy.Bookmark{}, fmt.Errorf("acknowledge: %w", err)
	}
	return at, nil
}

// acknowledge waits until the write may be acknowledged. A refusal with a
// RetryAfter tells that replicas have not confirmed the position yet; they are
// asked at once, since the next regular observation may be far away.
func (l *loan) acknowledge(ctx context.Context, until proxy.Instant, at proxy.Bookmark) error {
	for {
		until = max(until, l.pool.Clock.Now())
		err := l.pool.Leaders.Acknowledge(until, l.instance.group, l.instance.id, at)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if r := proxy.AsRefusal(err); r.RetryAfter == 0 || l.pool.Await == nil {
			return err
		}
		l.pool.Await(ctx, l.instance.group)
	}
}

// checkTerm refuses a loan whose term or primary has been replaced.
func (l *loan) checkTerm() error {
	leadership, known := l.pool.Leaders.Leader(l.instance.group)
	if !known || leadership.Term != l.lent.Term || leadership.Primary != l.instance.id {
		return proxy.UnknownOutcome(proxy.OutcomeUnknown,
			"instance %s is not the primary of group %s in term %d any more", l.instance.id, l.instance.group, l.lent.Term)
	}
	return nil
}

func (l *loan) position(ctx context.Context) (proxy.Bookmark, error) {
	row, err := l.conn.query(ctx, confirmStatement)
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
	return proxy.Bookmark{Term: l.lent.Term, Position: position}, nil
}

// Cancel implements proxy.Loan. It may be called while another goroutine uses
// the loan.
func (l *loan) Cancel(ctx context.Context) error {
	l.mu.Lock()
	if l.returned {
		l.mu.Unlock()
		return nil
	}
	l.cancelled = true
	l.mu.Unlock()
	return l.conn.cancel(ctx)
}

// Release implements proxy.Loan. A second call is a violation and has no effect.
func (l *loan) Release(r proxy.ReleaseState) {
	l.mu.Lock()
	if l.returned {
		l.mu.Unlock()
		l.pool.violation("loan released twice", l.instance)
		return
	}
	l.returned = true
	// A cancel request can take effect late and would then hit the statement of
	// the next borrower.
	r.Broken = r.Broken || l.cancelled
	l.mu.Unlock()
	l.pool.takeBack(l.instance, l.conn, r)
	if l.writes {
		l.pool.addWriter(l.instance.group, -1)
	}
}
