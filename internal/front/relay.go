package front

import (
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
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
	if !s.held.empty() && s.loan != nil {
		return s.passUnsynced()
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
	first, _, _ := strings.Cut(tag, " ")
	switch first {
	case "SELECT", "SHOW", "SET", "RESET", "BEGIN", "START", "COMMIT", "ROLLBACK", "SAVEPOINT", "RELEASE",
		"FETCH", "MOVE", "DECLARE", "CLOSE", "EXPLAIN", "DISCARD", "DEALLOCATE", "EXECUTE", "UNLISTEN", "COPY":
		return false
	}
	return true
}

// endsWithReady reports that a ReadyForQuery will follow what was sent.
func (s *session) endsWithReady() bool {
	return slices.ContainsFunc(s.queue, func(r request) bool { return r.kind == askSync || r.kind == askQuery })
}

// ready handles ReadyForQuery. At the end of a transaction that may have
// written, the instance is confirmed immediately before the client learns of it.
func (s *session) ready(status byte) error {
	before := s.status
	s.setStatus(status)
	idle := status == statusIdle
	confirms := s.needsConfirmation(status, before)
	if confirms {
		if refusal := s.confirm(); refusal != nil {
			if err := s.unconfirmed(refusal); err != nil {
				return err
			}
		}
	}
	if idle {
		s.state.ended(!s.erred)
		clear(s.state.portals)
	}
	s.conclude()
	if err := s.passHeld(); err != nil {
		return err
	}
	if idle && !confirms {
		s.release()
	}
	err := s.sendReady()
	if idle && confirms {
		s.release()
	}
	return err
}
