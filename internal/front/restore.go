package front

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Statements that clear what a session has left on a connection. The first
// cannot run together with others.
const (
	discardAll    = "DISCARD ALL"
	resetSettings = "RESET SESSION AUTHORIZATION;RESET ALL"
	setReadOnly   = "SET default_transaction_read_only TO on"
)

// restore gives a new loan the session's settings. Prepared statements follow
// when they are used.
func (s *session) restore() error {
	loan := s.loan
	if n := loan.frontend.ReadBufferLen(); n > 0 {
		s.violated("lent connection holds %d bytes of an earlier reply", n)
		return s.unusable(proxy.Refuse(proxy.InternalInconsistency, "the lent connection was not idle"))
	}
	readOnly := s.grant.route.Access == proxy.Read
	known := s.state.connections[loan.lent.Connection]
	if !loan.lent.SameSession || loan.lent.Connection == 0 {
		known = nil
	}
	plain := s.state.version == 0 && !s.state.used
	if known != nil && known.version == s.state.version && known.readOnly == readOnly {
		delete(known.parsed, "") // a statement of the pool may have dropped it
		loan.state = known
		return nil
	}
	loan.state = &connectionState{version: s.state.version, readOnly: readOnly, parsed: make(map[string]*definition)}
	var texts []string
	switch {
	case known != nil:
		delete(known.parsed, "")
		loan.state.parsed = known.parsed
		texts = append(texts, resetSettings)
	case loan.lent.SameSession && !plain:
		if err := s.prepare(discardAll); err != nil {
			return err
		}
	}
	texts = append(texts, s.state.restoring()...)
	if readOnly {
		texts = append(texts, setReadOnly)
	}
	if len(texts) == 0 {
		return nil
	}
	return s.prepare(strings.Join(texts, ";"))
}

// prepare runs a statement of the proxy ahead of a request.
func (s *session) prepare(text string) error {
	s.loan.frontend.Send(&pgproto3.Query{String: text})
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

// unusable closes a loan on which no request has run.
func (s *session) unusable(refusal *proxy.Refusal) error {
	s.sever()
	s.drop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending != nil {
		return errEnded
	}
	return refusal
}

// exchange sends what the frontend holds and reads up to ReadyForQuery. It
// returns the first error that the instance reports. Replies are not for the
// client, except for parameters.
func (s *session) exchange() (*pgproto3.ErrorResponse, byte, error) {
	if err := s.loan.frontend.Flush(); err != nil {
		return nil, 0, err
	}
	var failure *pgproto3.ErrorResponse
	for {
		message, err := s.loan.frontend.Receive()
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
