package frontend

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Statements that remove the state that earlier transactions have left on a
// connection, and the one that makes it read-only. DISCARD ALL cannot run together
// with other statements in one Query.
const (
	discardAll    = "DISCARD ALL"
	resetSettings = "RESET SESSION AUTHORIZATION;RESET ALL"
	setReadOnly   = "SET default_transaction_read_only TO on"
)

// restore applies the session's settings to the connection that was just acquired.
// Prepared statements are sent when they are used.
func (s *session) restore() error {
	acquired := s.acquired
	if n := acquired.unread(); n > 0 {
		s.reportViolation("acquired connection holds %d bytes of an earlier reply", n)
		return s.unusable(proxy.Refuse(proxy.InternalInconsistency, "the lent connection was not idle"))
	}
	readOnly := s.grant.route.Access == proxy.Read
	previous := s.state.connections[acquired.info.Connection]
	if !acquired.info.SameSession || acquired.info.Connection == 0 {
		previous = nil
	}
	neverModified := s.state.version == 0 && !s.state.everPrepared
	if previous != nil && previous.version == s.state.version && previous.readOnly == readOnly {
		delete(previous.parsed, "") // the pool may have dropped it by a statement of its own
		acquired.state = previous
		return nil
	}
	acquired.state = &connectionState{version: s.state.version, readOnly: readOnly, parsed: make(map[string]*definition)}
	var statements []string
	switch {
	case previous != nil:
		delete(previous.parsed, "")
		acquired.state.parsed = previous.parsed
		statements = append(statements, resetSettings)
	case acquired.info.SameSession && !neverModified:
		// The connection has state of this session that the session does not track.
		if err := s.runInternal(discardAll); err != nil {
			return err
		}
	}
	statements = append(statements, s.state.restoreStatements()...)
	if readOnly {
		statements = append(statements, setReadOnly)
	}
	return s.runInPieces(statements)
}

// runInPieces runs statements of the proxy itself. They are sent in several texts if they are
// long, so that they are not in memory a second time.
func (s *session) runInPieces(statements []string) error {
	for len(statements) > 0 {
		n, size := 0, 0
		for n < len(statements) && (n == 0 || size+len(statements[n]) <= writeThreshold) {
			size += len(statements[n])
			n++
		}
		if err := s.runInternal(strings.Join(statements[:n], ";")); err != nil {
			return err
		}
		statements = statements[n:]
	}
	return nil
}

// runInternal runs SQL of the proxy itself before the client's request.
func (s *session) runInternal(text string) error {
	s.acquired.frontend.Send(&pgproto3.Query{String: text})
	failure, status, err := s.exchange()
	switch {
	case err != nil:
		return s.unusable(proxy.Refuse(proxy.ConnectionFailure, "the instance connection failed: %v", err))
	case failure != nil:
		return s.unusable(proxy.Refuse(proxy.SQLState(failure.Code), "restore the session's settings: %s", failure.Message))
	case status != statusIdle:
		return s.unusable(proxy.Refuse(proxy.InternalInconsistency, "the lent connection was not idle"))
	}
	return nil
}

// unusable closes an acquired connection that has not run any request of the client,
// and returns the refusal, or errEnded if the session is to end.
func (s *session) unusable(refusal *proxy.Refusal) error {
	s.closeAcquired()
	s.clearAcquired()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason != nil {
		return errEnded
	}
	return refusal
}

// exchange flushes the messages that are queued for the instance and reads the replies
// up to ReadyForQuery. It returns the first ErrorResponse and the transaction state.
// Of the replies, only ParameterStatus is passed to the client.
func (s *session) exchange() (*pgproto3.ErrorResponse, byte, error) {
	if err := s.acquired.frontend.Flush(); err != nil {
		return nil, 0, err
	}
	var failure *pgproto3.ErrorResponse
	for {
		message, err := s.acquired.frontend.Receive()
		if err != nil {
			return failure, 0, err
		}
		switch m := message.(type) {
		case *pgproto3.ReadyForQuery:
			return failure, m.TxStatus, nil
		case *pgproto3.ErrorResponse:
			if failure == nil {
				copied := *m
				failure = &copied
			}
		case *pgproto3.ParameterStatus:
			if err := s.out.send(m); err != nil {
				return failure, 0, err
			}
		}
	}
}
