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
	lent     proxy.Lent

	mu sync.Mutex
	// returned is set by Release, cancelled by Cancel.
	returned  bool
	cancelled bool
}

// Lent implements proxy.Loan.
func (l *loan) Lent() proxy.Lent { return l.lent }

// Frontend implements proxy.Loan.
func (l *loan) Frontend() *pgproto3.Frontend { return l.conn.frontend }

// Raw returns the connection below Frontend. It may be used in place of
// Frontend while the protocol state is quiet.
func (l *loan) Raw() net.Conn { return l.conn.wire }

// SetDeadline limits the reads and writes of Frontend; zero removes the limit.
func (l *loan) SetDeadline(t time.Time) error { return l.conn.wire.SetDeadline(t) }

// Valid returns how long an acknowledgement holds, counted from before the call
// of Confirm that returned it.
func (l *loan) Valid() time.Duration { return l.pool.Validity }

// Confirm implements proxy.Loan.
func (l *loan) Confirm(ctx context.Context) (proxy.Bookmark, error) {
	now := l.pool.Clock.Now()
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
	// The answer must hold until the end of its validity, which a remote caller
	// counts from before its request.
	until := max(now.Add(l.pool.Validity), l.pool.Clock.Now())
	if err = l.pool.Leaders.Acknowledge(until, l.instance.group, l.instance.id, at); err != nil {
		return proxy.Bookmark{}, fmt.Errorf("acknowledge: %w", err)
	}
	return at, nil
}

// checkTerm refuses a loan whose term or primary has been replaced.
func (l *loan) checkTerm() error {
	leadership, known := l.pool.Leaders.Leader(l.instance.group)
	if !known || leadership.Term != l.lent.Term || leadership.Primary != l.instance.id {
		return proxy.Doubt(proxy.OutcomeUnknown,
			"instance %s is not the primary of group %s in term %d any more", l.instance.id, l.instance.group, l.lent.Term)
	}
	return nil
}

func (l *loan) position(ctx context.Context) (proxy.Bookmark, error) {
	row, err := l.conn.query(ctx, confirmStatement)
	if err != nil {
		return proxy.Bookmark{}, fmt.Errorf("confirm: %w", proxy.Doubt(proxy.OutcomeUnknown, "no log position: %v", err))
	}
	if len(row) != 1 {
		return proxy.Bookmark{}, proxy.Doubt(proxy.OutcomeUnknown, "log position with %d columns", len(row))
	}
	position, err := proxy.ParsePosition(row[0])
	if err != nil {
		return proxy.Bookmark{}, proxy.Doubt(proxy.OutcomeUnknown, "%v", err)
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
func (l *loan) Release(r proxy.Return) {
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
}
