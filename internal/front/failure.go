package front

import (
	"errors"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// errUnexpected is a message of the instance that answers no request.
var errUnexpected = eris.New("unexpected message")

// lost is a failure of the instance connection.
type lost struct{ err error }

func (l *lost) Error() string { return "instance connection: " + l.err.Error() }

func (l *lost) Unwrap() error { return l.err }

// push writes to the instance and notes whether any byte left the proxy.
func (s *session) push() error {
	err := s.loan.frontend.Flush()
	var unsent interface{ SafeToRetry() bool }
	if err == nil || !errors.As(err, &unsent) || !unsent.SafeToRetry() {
		s.flushed = true
	}
	return err
}

// receiveError handles an ErrorResponse of the instance.
func (s *session) receiveError(m *pgproto3.ErrorResponse) error {
	if isFatal(m) {
		// The instance closes the connection; what it ran is not known.
		return s.lose(eris.Errorf("%s (SQLSTATE %s)", m.Message, m.Code))
	}
	s.erred = true
	if s.status == statusIdle && !s.begins {
		s.state.ended(false)
	}
	head := s.queue[0]
	if head.kind != askQuery {
		s.dropToSync()
	}
	if head.kind == askFailure || s.muted {
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

// dropToSync forgets the requests that the instance skips after an error.
func (s *session) dropToSync() {
	at := slices.IndexFunc(s.queue, func(r request) bool { return r.kind == askSync })
	if at < 0 {
		at = len(s.queue)
		s.skipping = true
	}
	s.undo(s.queue[:at])
	s.queue = s.queue[at:]
}

// lose answers the requests on a loan whose connection has failed. A request
// of which no byte was sent is "not run", any other "outcome unknown". The
// session goes on unless a transaction was open: a client that has sent ahead
// the rest of its transaction would have it run without the beginning.
func (s *session) lose(err error) error {
	s.mu.Lock()
	taken := s.loan != nil && s.loan.taken
	ended := s.ending != nil
	s.mu.Unlock()
	if ended {
		return errEnded
	}
	refusal := proxy.UnknownOutcome(proxy.OutcomeUnknown, "the instance connection failed: %v", err)
	if taken {
		refusal = proxy.UnknownOutcome(proxy.OutcomeUnknown, "the statement exceeded the timeout of route %q", string(s.who.route))
	}
	if !s.flushed {
		refusal.State = proxy.ConnectionFailure
		refusal.Outcome = proxy.NotRun
	}
	transaction := s.status != statusIdle || s.begins
	synced := s.endsWithReady()
	muted := s.muted
	s.stopTimer()
	s.sever()
	s.undo(s.queue)
	s.drop()
	if transaction || errors.Is(err, errUnexpected) {
		return &fatal{refusal}
	}
	s.server.metrics.refused(refusal)
	if !muted {
		if err := s.out.send(response(refusal, severityError)); err != nil {
			return err
		}
	}
	if !synced {
		s.skipping = true
		return s.out.flush()
	}
	s.conclude()
	return s.sendReady()
}
