package frontend

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/replies"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// acquiredConn is the acquired connection of a session's current transaction.
type acquiredConn struct {
	proxy.AcquiredConnection
	access   proxy.Access
	group    proxy.GroupID
	frontend *pgproto3.Frontend
	info     proxy.ConnectionInfo
	state    *connectionState
	replies  *replies.Reader // below frontend; nil if rows are read as a whole
	executed bool            // a statement was sent
	wrote    bool            // a command tag or a COPY FROM STDIN indicated a write
	suspect  bool            // an invariant was violated; the connection must not be reused
	closed   bool            // released by closeAcquired, perhaps in another goroutine; guarded by session.mu
}

// requiresConfirmation reports whether the end of the transaction must be
// confirmed because it may have written on a primary.
func (a *acquiredConn) requiresConfirmation() bool {
	return a.executed && (a.access == proxy.Write || a.wrote && a.info.Primary)
}

// acquire acquires a connection for the next transaction and restores the
// session's state on it. If it returns an error, no part of the client's request
// has been sent to the instance.
func (s *session) acquire(access proxy.Access) error {
	if refusal := s.authorize(); refusal != nil {
		refusal.State = proxy.InvalidAuthorization
		return &fatalError{refusal}
	}
	route := s.grant.route
	waitTimeout := s.server.Limits.WaitTimeout
	if route.Timeout > 0 {
		waitTimeout = max(route.Timeout-time.Since(s.started), time.Millisecond)
	}
	now := s.server.Clock.Now()
	req := proxy.ConnectionRequest{
		Group:        route.Group,
		Route:        route.ID,
		Account:      s.grant.account.ID,
		Access:       access,
		After:        s.server.Positions.Minimum(now, route.Group, s.grant.account.ID, s.name),
		MaxStaleness: route.MaxStaleness,
		Priority:     route.Priority,
		Weight:       max(s.grant.account.Weight, 1),
		WaitTimeout:  waitTimeout,
		Session:      s.id,
		Revision:     s.grant.revision,
	}
	acquired, err := s.waitForConnection(req)
	if err != nil {
		return err
	}
	current := &acquiredConn{
		AcquiredConnection: acquired, access: access, group: route.Group,
		frontend: acquired.Frontend(), info: acquired.ConnectionInfo(),
	}
	if r, ok := acquired.(interface{ Replies() *replies.Reader }); ok {
		current.replies = r.Replies()
		current.replies.Track(s.reserveReply)
	}
	s.mu.Lock()
	ended := s.endReason != nil
	if !ended {
		s.acquired = current
	}
	s.mu.Unlock()
	if ended {
		current.untrack()
		acquired.Release(proxy.ReleaseState{})
		return errEnded
	}
	s.server.metrics.acquisitions.Inc(1)
	if access == proxy.Read {
		s.server.metrics.readAcquisitions.Inc(1)
	}
	return s.restore()
}

// waitForConnection waits for a connection until the request's wait timeout
// expires, the client cancels its request or the session ends.
func (s *session) waitForConnection(req proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	ctx, stop := context.WithTimeout(s.ctx, req.WaitTimeout)
	defer stop()
	s.mu.Lock()
	s.cancelAcquire = stop
	s.mu.Unlock()
	// A client that stops reading keeps a connection that others wait for.
	defer s.server.endStalledDuring(func(other *session, now proxy.Instant) endReason {
		return other.keepsConnection(now, req.Group)
	})()
	acquired, err := s.server.Acquirer.Acquire(ctx, req)
	s.mu.Lock()
	s.cancelAcquire = nil
	s.mu.Unlock()
	if err == nil {
		return acquired, nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		err = proxy.Refuse(proxy.QueryCanceled, "canceled while waiting for a connection to an instance")
	}
	return nil, s.acquireError(err, req.WaitTimeout)
}

// acquireError converts an error of the Acquirer to the error that ends the session
// or answers the request.
func (s *session) acquireError(err error, waitTimeout time.Duration) error {
	s.mu.Lock()
	ended := s.endReason != nil
	s.mu.Unlock()
	if ended {
		return errEnded
	}
	var refusal *proxy.Refusal
	if errors.As(err, &refusal) {
		notRun := *refusal
		notRun.Outcome = proxy.NotRun
		return &notRun
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return proxy.Refuse(proxy.QueryCanceled, "no connection to an instance within %v", waitTimeout)
	}
	return proxy.Refuse(proxy.ConnectionFailure, "no connection to an instance: %v", err)
}

// access returns the access that the next transaction requires: Read if the route,
// the session or the transaction is read-only, and Write otherwise.
func (s *session) access(readOnly bool) proxy.Access {
	if s.grant.route.Access == proxy.Read || s.state.readOnly() || readOnly {
		return proxy.Read
	}
	return proxy.Write
}

// release releases the acquired connection at the end of a transaction. A connection
// that is not idle is closed instead, and the violation is reported.
func (s *session) release() {
	idle := s.status == statusIdle && len(s.queue) == 0 && s.held.empty()
	if !idle {
		s.reportViolation("connection released in transaction state %q with %d unanswered requests", s.status, len(s.queue))
	}
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	s.mu.Lock()
	acquired := s.acquired
	s.acquired = nil
	closed := acquired == nil || acquired.closed
	s.inTransaction = false
	s.mu.Unlock()
	if closed {
		return
	}
	broken := !idle || acquired.suspect
	if broken {
		s.server.metrics.broken.Inc(1)
	} else {
		s.state.saveConnection(acquired)
	}
	acquired.untrack()
	acquired.Release(proxy.ReleaseState{Broken: broken, Wrote: acquired.requiresConfirmation()})
}

// keepsConnection returns why the session can be ended in favour of clients that wait for a
// connection to a group; it is empty if it can't.
func (s *session) keepsConnection(now proxy.Instant, group proxy.GroupID) endReason {
	s.mu.Lock()
	uses := s.acquired != nil && s.acquired.group == group
	s.mu.Unlock()
	if !uses {
		return ""
	}
	since := proxy.Instant(s.connection.idleSince.Load())
	if since != 0 && now.Sub(since) >= s.server.Limits.TransactionStallTime {
		return reasonTransaction
	}
	return s.stallReason(now)
}

// closeAcquired closes the acquired connection. Any goroutine may call it; a Receive
// or Flush that waits for the instance then fails.
func (s *session) closeAcquired() {
	s.mu.Lock()
	acquired := s.acquired
	if acquired == nil || acquired.closed {
		s.mu.Unlock()
		return
	}
	acquired.closed = true
	s.mu.Unlock()
	s.server.metrics.broken.Inc(1)
	acquired.Release(proxy.ReleaseState{Broken: true, Wrote: acquired.access == proxy.Write})
}

// clearAcquired discards the closed connection together with the transaction and the
// requests that were open on it.
func (s *session) clearAcquired() {
	s.mu.Lock()
	s.acquired = nil
	s.inTransaction = false
	s.mu.Unlock()
	s.status = statusIdle
	s.queue = nil
	s.held = held{}
	s.state.abortTransaction()
}

// reportViolation logs and counts the violation of an invariant.
func (s *session) reportViolation(format string, args ...any) {
	s.server.metrics.violations.Inc(1)
	s.server.Logger.Error().Uint32("process", s.process).Str("route", string(s.client.route)).
		Msgf("invariant violated: "+format, args...)
}
