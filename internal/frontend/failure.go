package frontend

import (
	"errors"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// errUnexpected reports a message of the instance that does not answer the oldest
// request.
var errUnexpected = eris.New("unexpected message")

// connectionLostError wraps a failure of the connection to the instance.
type connectionLostError struct{ err error }

func (e *connectionLostError) Error() string { return "instance connection: " + e.err.Error() }

func (e *connectionLostError) Unwrap() error { return e.err }

// flushToInstance writes the queued messages to the instance and records whether bytes
// may have been sent.
func (s *session) flushToInstance() error {
	err := s.acquired.frontend.Flush()
	var unsent interface{ SafeToRetry() bool }
	if err == nil || !errors.As(err, &unsent) || !unsent.SafeToRetry() {
		s.flushed = true
	}
	return err
}

// receiveError handles an ErrorResponse of the instance.
func (s *session) receiveError(m *pgproto3.ErrorResponse) error {
	if isFatal(m) {
		// The instance closes the connection. Whether it has run the request is unknown.
		return s.handleConnectionLoss(eris.Errorf("%s (SQLSTATE %s)", m.Message, m.Code))
	}
	s.failed = true
	if s.status == statusIdle && !s.hasBegin {
		s.state.endTransaction(false)
	}
	head := s.queue[0]
	if head.kind != requestQuery {
		s.dropToSync()
	}
	if head.kind == requestAbort || s.discardReplies {
		return nil
	}
	return s.pass(m)
}

func isFatal(m *pgproto3.ErrorResponse) bool {
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	return severity == severityFatal || severity == "PANIC"
}

// dropToSync removes the requests up to the next Sync, which the instance skips after
// an error.
func (s *session) dropToSync() {
	syncIndex := slices.IndexFunc(s.queue, func(r request) bool { return r.kind == requestSync })
	if syncIndex < 0 {
		syncIndex = len(s.queue)
		s.skipping = true
	}
	s.undo(s.queue[:syncIndex])
	s.queue = s.queue[syncIndex:]
}

// handleConnectionLoss answers the requests on an acquired connection that has failed.
// The outcome is "not run" for a request of which no byte was sent, and "outcome
// unknown" for any other. The session continues unless a transaction was open or the
// instance sent an unexpected message. The client may already have sent the rest of an
// open transaction, which would otherwise run without its beginning.
func (s *session) handleConnectionLoss(err error) error {
	s.mu.Lock()
	closed := s.acquired != nil && s.acquired.closed
	ended := s.endReason != nil
	s.mu.Unlock()
	if ended {
		return errEnded
	}
	refusal := proxy.UnknownOutcome(proxy.OutcomeUnknown, "the instance connection failed: %v", err)
	if closed {
		refusal = proxy.UnknownOutcome(proxy.OutcomeUnknown, "the statement exceeded the timeout of route %q", string(s.client.route))
	}
	if !s.flushed {
		refusal.State = proxy.ConnectionFailure
		refusal.Outcome = proxy.NotRun
	}
	hadTransaction := s.status != statusIdle || s.hasBegin
	readyFollows := s.endsWithReady()
	discardReplies := s.discardReplies
	s.stopTimer()
	s.closeAcquired()
	s.undo(s.queue)
	s.clearAcquired()
	if hadTransaction || errors.Is(err, errUnexpected) {
		return &fatalError{refusal}
	}
	s.server.metrics.countRefusal(refusal)
	if !discardReplies {
		if err := s.out.send(errorResponse(refusal, severityError)); err != nil {
			return err
		}
	}
	if !readyFollows {
		s.skipping = true
		return s.out.flush()
	}
	s.endRequest()
	return s.sendReady()
}
