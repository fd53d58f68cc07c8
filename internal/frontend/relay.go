package frontend

import (
	"errors"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/replies"
)

// relay passes replies to the client until all requests are answered.
func (s *session) relay() error {
	for len(s.queue) > 0 {
		message, err := s.acquired.frontend.Receive()
		if errors.Is(err, replies.ErrLong) {
			if err := s.receiveLong(); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return s.handleConnectionLoss(err)
		}
		if err := s.receive(message); err != nil {
			return err
		}
		s.connection.reserve(&s.connection.reply, 0)
	}
	// Without a Sync the transaction is still open, unless the replies contain a COMMIT.
	if !s.held.empty() && s.acquired != nil {
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
		s.reportViolation("notification on a connection without LISTEN")
		s.acquired.suspect = true
		return nil
	case *pgproto3.ErrorResponse:
		return s.receiveError(m)
	}
	head := &s.queue[0]
	match := head.matchReply(message)
	if match == unexpectedReply {
		s.reportViolation("message %T does not answer the oldest request", message)
		return s.handleConnectionLoss(errUnexpected)
	}
	if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
		s.queue = s.queue[1:]
		return s.ready(ready.TxStatus)
	}
	hidden := head.hidden
	if m, ok := message.(*pgproto3.CommandComplete); ok {
		s.statementCompleted(head, string(m.CommandTag))
	}
	if match == finalReply {
		s.queue = s.queue[1:]
	}
	if hidden || s.discardReplies {
		return nil
	}
	return s.pass(message)
}

// statementCompleted records a statement that succeeded.
func (s *session) statementCompleted(head *request, tag string) {
	if isWrite(tag) {
		s.acquired.wrote = true
	}
	if head.completed < len(head.statements) {
		s.state.statementSucceeded(head.statements[head.completed], tag, s.acquired.state)
	}
	head.completed++
}

// isWrite reports whether a tag is that of a statement which PostgreSQL rejects in a
// read-only transaction.
func isWrite(tag string) bool {
	command, _, _ := strings.Cut(tag, " ")
	switch command {
	case "SELECT", "SHOW", "SET", "RESET", "BEGIN", "START", "COMMIT", "ROLLBACK", "SAVEPOINT", "RELEASE",
		"FETCH", "MOVE", "DECLARE", "CLOSE", "EXPLAIN", "DISCARD", "DEALLOCATE", "EXECUTE", "UNLISTEN", "COPY":
		return false
	}
	return true
}

// endsWithReady reports whether the instance will answer the queued requests with a
// ReadyForQuery.
func (s *session) endsWithReady() bool {
	return slices.ContainsFunc(s.queue, func(r request) bool { return r.kind == requestSync || r.kind == requestQuery })
}

// ready handles ReadyForQuery. At the end of a transaction that may have written, it
// confirms the commit immediately before it sends the replies to the client.
func (s *session) ready(status byte) error {
	previousStatus := s.status
	s.setStatus(status)
	idle := status == statusIdle
	mustConfirm := s.needsConfirmation(status, previousStatus)
	if mustConfirm {
		if refusal := s.confirm(); refusal != nil {
			if err := s.unconfirmed(refusal); err != nil {
				return err
			}
		}
	}
	if idle {
		s.state.endTransaction(!s.failed)
		s.state.closePortals()
	}
	s.endRequest()
	if err := s.passHeld(); err != nil {
		return err
	}
	if idle && !mustConfirm {
		s.release()
	}
	err := s.sendReady()
	if idle && mustConfirm {
		s.release()
	}
	return err
}
