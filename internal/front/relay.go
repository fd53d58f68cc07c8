package front

import (
	"bytes"
	"context"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// relay passes replies to the client until all requests are answered.
func (s *session) relay() error {
	for len(s.queue) > 0 {
		message, err := s.loan.frontend.Receive()
		if err != nil {
			return s.lose(err)
		}
		if err := s.receive(message); err != nil {
			return err
		}
	}
	// Without a Sync the transaction goes on: nothing held is its end.
	if len(s.held) > 0 {
		return s.passHeld()
	}
	return nil
}

// receive handles one message of the instance.
func (s *session) receive(message pgproto3.BackendMessage) error {
	switch m := message.(type) {
	case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus:
		return s.out.send(message)
	case *pgproto3.NotificationResponse:
		s.violated("notification on a connection that listens to nothing")
		s.loan.suspect = true
		return nil
	case *pgproto3.ErrorResponse:
		return s.receiveError(m)
	}
	head := &s.queue[0]
	answer := head.answers(message)
	if answer == unexpected {
		s.violated("message %T answers no request", message)
		return s.lose(errUnexpected)
	}
	if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
		s.queue = s.queue[1:]
		return s.ready(ready.TxStatus)
	}
	hidden := head.hidden
	if m, ok := message.(*pgproto3.CommandComplete); ok {
		s.completed(head, string(m.CommandTag))
	}
	if answer == complete {
		s.queue = s.queue[1:]
	}
	if hidden || s.muted {
		return nil
	}
	return s.pass(message)
}

// completed notes a statement that succeeded.
func (s *session) completed(head *request, tag string) {
	if isWrite(tag) {
		s.loan.wrote = true
	}
	if head.done < len(head.statements) {
		s.state.ran(head.statements[head.done], tag, s.loan.state)
	}
	head.done++
}

// isWrite recognises the tags of statements that a read-only transaction does
// not run.
func isWrite(tag string) bool {
	first, _, _ := bytes.Cut([]byte(tag), []byte(" "))
	switch string(first) {
	case "SELECT", "SHOW", "SET", "RESET", "BEGIN", "START", "COMMIT", "ROLLBACK", "SAVEPOINT", "RELEASE",
		"FETCH", "MOVE", "DECLARE", "CLOSE", "EXPLAIN", "DISCARD", "DEALLOCATE", "EXECUTE", "UNLISTEN", "COPY":
		return false
	}
	return true
}

// pass sends a reply to the client. The completion of what may be the
// transaction's last statement is held until the transaction's end is known.
func (s *session) pass(message pgproto3.BackendMessage) error {
	if len(s.held) > 0 {
		if s.endsBatch() {
			s.held = append(s.held, clone(message))
			return nil
		}
		if err := s.passHeld(); err != nil || s.muted {
			return err
		}
	}
	switch m := message.(type) {
	case *pgproto3.CommandComplete:
		if s.loan.confirms() {
			s.held = append(s.held, clone(m))
			return nil
		}
	case *pgproto3.CopyInResponse:
		return s.copyIn(m)
	}
	return s.out.send(message)
}

// endsBatch reports that no more statements run before the Sync that was sent.
func (s *session) endsBatch() bool {
	for _, r := range s.queue {
		switch r.kind {
		case askExecute, askQuery:
			return false
		case askSync:
			return true
		}
	}
	return false
}

// passHeld sends held replies ahead of further results. A COMMIT among them is
// confirmed first.
func (s *session) passHeld() error {
	for _, message := range s.held {
		m, ok := message.(*pgproto3.CommandComplete)
		if ok && bytes.HasPrefix(m.CommandTag, []byte("COMMIT")) {
			if refusal := s.confirm(); refusal != nil {
				return s.unconfirmed(refusal)
			}
		}
	}
	held := s.held
	s.held = nil
	for _, message := range held {
		if err := s.out.send(message); err != nil {
			return err
		}
	}
	return nil
}

// unconfirmed replaces replies by an error. Nothing else is sent to the client
// until ReadyForQuery.
func (s *session) unconfirmed(refusal *proxy.Refusal) error {
	s.held = nil
	s.muted = true
	if !s.endsWithReady() {
		s.skipping = true
	}
	s.server.metrics.refused(refusal)
	return s.out.send(response(refusal, severityError))
}

// endsWithReady reports that a ReadyForQuery will follow what was sent.
func (s *session) endsWithReady() bool {
	return slices.ContainsFunc(s.queue, func(r request) bool { return r.kind == askSync || r.kind == askQuery })
}

// clone copies a small reply that outlives the next Receive.
func clone(message pgproto3.BackendMessage) pgproto3.BackendMessage {
	if m, ok := message.(*pgproto3.CommandComplete); ok {
		return &pgproto3.CommandComplete{CommandTag: bytes.Clone(m.CommandTag)}
	}
	return message
}

// ready handles ReadyForQuery. At the end of a transaction that may have
// written, the instance is confirmed immediately before the client learns of it.
func (s *session) ready(status byte) error {
	s.setStatus(status)
	muted := s.muted
	idle := status == statusIdle
	confirms := idle && s.loan.confirms()
	if confirms && !muted && !s.erred && !s.rolledBack() {
		if refusal := s.confirm(); refusal != nil {
			if err := s.unconfirmed(refusal); err != nil {
				return err
			}
		}
	}
	held := s.held
	s.held = nil
	s.conclude()
	if idle {
		s.state.ended(!s.erred)
		clear(s.state.portals)
	}
	if idle && !confirms {
		s.release()
	}
	for _, message := range held {
		if err := s.out.send(message); err != nil {
			return err
		}
	}
	err := s.sendReady()
	if idle && confirms {
		s.release()
	}
	return err
}

// rolledBack reports that the held replies end a transaction without effect.
func (s *session) rolledBack() bool {
	if len(s.held) == 0 {
		return false
	}
	m, ok := s.held[0].(*pgproto3.CommandComplete)
	return ok && string(m.CommandTag) == "ROLLBACK"
}

// confirm checks that the instance is still the primary and records what the
// transaction has committed.
func (s *session) confirm() *proxy.Refusal {
	ctx, stop := context.WithTimeout(s.ctx, s.server.Limits.Patience)
	defer stop()
	bookmark, err := s.loan.Confirm(ctx)
	if err != nil {
		s.server.Logger.Warn().Err(err).Str("instance", string(s.loan.lent.Instance)).Msg("commit is not confirmed")
		return proxy.Doubt(proxy.OutcomeUnknown, "the commit is not confirmed: %v", err)
	}
	s.server.Positions.Committed(s.server.Clock.Now(), s.loan.group, s.grant.account.ID, s.name, bookmark)
	return nil
}
