package front

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// borrowed is the loan of a session's current transaction.
type borrowed struct {
	proxy.AcquiredConnection
	access   proxy.Access
	group    proxy.GroupID
	frontend *pgproto3.Frontend
	lent     proxy.ConnectionInfo
	state    *connectionState
	executed bool // a statement was sent
	wrote    bool // a statement on a loan for reading reported a write
	suspect  bool // an invariant was violated
	taken    bool // released by another goroutine; guarded by session.mu
}

// confirms reports that the transaction's end must be confirmed.
func (b *borrowed) confirms() bool {
	return b.executed && (b.access == proxy.Write || b.wrote && b.lent.Primary)
}

// borrow gets a loan for the next transaction and restores the session's state
// on it. Nothing of the request has been sent when it refuses.
func (s *session) borrow(access proxy.Access) error {
	if refusal := s.authorize(); refusal != nil {
		refusal.State = proxy.InvalidAuthorization
		return &fatal{refusal}
	}
	route := s.grant.route
	patience := s.server.Limits.WaitTimeout
	if route.Timeout > 0 {
		patience = max(route.Timeout-time.Since(s.started), time.Millisecond)
	}
	now := s.server.Clock.Now()
	ask := proxy.ConnectionRequest{
		Group:        route.Group,
		Route:        route.ID,
		Account:      s.grant.account.ID,
		Access:       access,
		After:        s.server.Positions.Minimum(now, route.Group, s.grant.account.ID, s.name),
		MaxStaleness: route.MaxStaleness,
		Priority:     route.Priority,
		Weight:       max(s.grant.account.Weight, 1),
		WaitTimeout:  patience,
		Session:      s.id,
		Revision:     s.grant.revision,
	}
	loan, err := s.lend(ask)
	if err != nil {
		return err
	}
	taken := &borrowed{AcquiredConnection: loan, access: access, group: route.Group, frontend: loan.Frontend(), lent: loan.ConnectionInfo()}
	s.mu.Lock()
	ended := s.ending != nil
	if !ended {
		s.loan = taken
	}
	s.mu.Unlock()
	if ended {
		loan.Release(proxy.ReleaseState{})
		return errEnded
	}
	s.server.metrics.loans.Inc(1)
	if access == proxy.Read {
		s.server.metrics.reads.Inc(1)
	}
	return s.restore()
}

// lend waits for a loan until the ask's patience ends, the client cancels its
// request or the session ends.
func (s *session) lend(ask proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	ctx, stop := context.WithTimeout(s.ctx, ask.WaitTimeout)
	defer stop()
	s.mu.Lock()
	s.unlend = stop
	s.mu.Unlock()
	loan, err := s.server.Acquirer.Acquire(ctx, ask)
	s.mu.Lock()
	s.unlend = nil
	s.mu.Unlock()
	if err == nil {
		return loan, nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		err = proxy.Refuse(proxy.QueryCanceled, "canceled while waiting for a connection to an instance")
	}
	return nil, s.notLent(err, ask.WaitTimeout)
}

// notLent returns the refusal of a request for which there is no loan.
func (s *session) notLent(err error, patience time.Duration) error {
	s.mu.Lock()
	ended := s.ending != nil
	s.mu.Unlock()
	if ended {
		return errEnded
	}
	var refusal *proxy.Refusal
	if errors.As(err, &refusal) {
		told := *refusal
		told.Outcome = proxy.NotRun
		return &told
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return proxy.Refuse(proxy.QueryCanceled, "no connection to an instance within %v", patience)
	}
	return proxy.Refuse(proxy.ConnectionFailure, "no connection to an instance: %v", err)
}

// access returns what the next transaction asks for: the route's access, and
// Read if the session or the transaction is read-only.
func (s *session) access(readOnly bool) proxy.Access {
	if s.grant.route.Access == proxy.Read || s.state.readOnly() || readOnly {
		return proxy.Read
	}
	return proxy.Write
}

// release gives an idle connection back. A connection that is not idle is
// closed instead, and the violation is reported.
func (s *session) release() {
	idle := s.status == statusIdle && len(s.queue) == 0 && s.held.empty()
	if !idle {
		s.violated("loan released in transaction state %q with %d open requests", s.status, len(s.queue))
	}
	s.cancelling.Lock()
	defer s.cancelling.Unlock()
	s.mu.Lock()
	loan := s.loan
	s.loan = nil
	taken := loan == nil || loan.taken
	s.open = false
	s.mu.Unlock()
	if taken {
		return
	}
	broken := !idle || loan.suspect
	if broken {
		s.server.metrics.broken.Inc(1)
	} else {
		s.state.settle(loan)
	}
	loan.Release(proxy.ReleaseState{Broken: broken, Wrote: loan.confirms()})
}

// sever closes the loan's connection. Another goroutine may call it; a Receive
// or Flush that waits for the instance then fails.
func (s *session) sever() {
	s.mu.Lock()
	loan := s.loan
	if loan == nil || loan.taken {
		s.mu.Unlock()
		return
	}
	loan.taken = true
	s.mu.Unlock()
	s.server.metrics.broken.Inc(1)
	loan.Release(proxy.ReleaseState{Broken: true, Wrote: loan.access == proxy.Write})
}

// drop forgets a severed loan and everything that was open on it.
func (s *session) drop() {
	s.mu.Lock()
	s.loan = nil
	s.open = false
	s.mu.Unlock()
	s.status = statusIdle
	s.queue = nil
	s.held = held{}
	s.state.abandon()
}

// violated reports the violation of an invariant.
func (s *session) violated(format string, args ...any) {
	s.server.metrics.violations.Inc(1)
	s.server.Logger.Error().Uint32("process", s.process).Str("route", string(s.who.route)).Msgf("invariant violated: "+format, args...)
}
