package frontend

import (
	"context"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxHeldBytes limits the replies that are held back when more statements follow a
// COMMIT in the same Query.
const maxHeldBytes = 64 << 10

// held contains replies that the client must not receive before the end of the
// transaction is known. The first one is the CommandComplete of a statement that may
// be the last one of the transaction.
type held struct {
	replies []byte
	lastTag string // tag of the last CommandComplete
	commit  bool   // the replies contain the tag of a COMMIT
}

func (h *held) empty() bool { return len(h.replies) == 0 }

// hold appends a reply.
func (h *held) hold(message pgproto3.BackendMessage) error {
	encoded, err := message.Encode(h.replies)
	if err != nil {
		return fmt.Errorf("encode %T: %w", message, err)
	}
	h.replies = encoded
	if m, ok := message.(*pgproto3.CommandComplete); ok {
		h.lastTag = string(m.CommandTag)
		h.commit = h.commit || isCommit(h.lastTag)
	}
	return nil
}

// isCommit reports whether a tag is that of COMMIT or PREPARE TRANSACTION.
func isCommit(tag string) bool {
	return strings.HasPrefix(tag, "COMMIT") || tag == "PREPARE TRANSACTION"
}

// pass sends a reply to the client, or holds it until the transaction's end is known.
func (s *session) pass(message pgproto3.BackendMessage) error {
	if !s.held.empty() {
		if s.held.commit || s.endsBatch() {
			return s.holdMore(message)
		}
		if err := s.passHeld(); err != nil {
			return err
		}
	}
	switch m := message.(type) {
	case *pgproto3.CommandComplete:
		if s.acquired.requiresConfirmation() {
			return s.held.hold(m)
		}
	case *pgproto3.CopyInResponse:
		return s.copyIn(m)
	}
	return s.out.send(message)
}

// holdMore adds a reply to those that are held. If they become too long, or the
// reply starts a COPY FROM STDIN, the commit is reported as unconfirmed instead.
func (s *session) holdMore(message pgproto3.BackendMessage) error {
	if _, ok := message.(*pgproto3.CopyInResponse); ok || len(s.held.replies) > maxHeldBytes {
		refusal := proxy.UnknownOutcome(proxy.OutcomeUnknown, "the commit is not confirmed before further results of the same query")
		if err := s.unconfirmed(refusal); err != nil || !ok {
			return err
		}
		s.acquired.frontend.Send(&pgproto3.CopyFail{Message: "COPY after COMMIT in one query"})
		if err := s.flushToInstance(); err != nil {
			return s.handleConnectionLoss(err)
		}
		return nil
	}
	return s.held.hold(message)
}

// endsBatch reports whether no more statements run before the next Sync that was sent.
func (s *session) endsBatch() bool {
	for _, r := range s.queue {
		switch r.kind {
		case requestExecute, requestQuery:
			return false
		case requestSync:
			return true
		}
	}
	return false
}

// passHeld sends the held replies.
func (s *session) passHeld() error {
	replies := s.held.replies
	s.held = held{}
	return s.out.sendRaw(replies)
}

// passUnsynced handles held replies when the client has not sent Sync yet. After a
// COMMIT the proxy sends a Sync of its own: a commit can only be confirmed on an
// idle connection, and no transaction is open that the Sync could end.
func (s *session) passUnsynced() error {
	if !s.held.commit {
		return s.passHeld()
	}
	s.acquired.frontend.Send(&pgproto3.Sync{})
	failure, status, err := s.exchange()
	if err != nil {
		return s.handleConnectionLoss(err)
	}
	refusal := proxy.UnknownOutcome(proxy.OutcomeUnknown, "the commit is not confirmed: another transaction is open")
	if failure == nil && status == statusIdle {
		s.setStatus(statusIdle)
		refusal = s.confirm()
	}
	if refusal != nil {
		return s.unconfirmed(refusal)
	}
	return s.passHeld()
}

// unconfirmed replaces the held replies by an error. No other reply is sent to the
// client until ReadyForQuery.
func (s *session) unconfirmed(refusal *proxy.Refusal) error {
	s.held = held{}
	s.discardReplies = true
	if !s.endsWithReady() {
		s.skipping = true
	}
	s.server.metrics.countRefusal(refusal)
	return s.out.send(errorResponse(refusal, severityError))
}

// needsConfirmation reports whether the replies to a request that ends in the given
// transaction state tell the client that a transaction was committed.
func (s *session) needsConfirmation(status, previousStatus byte) bool {
	if s.discardReplies || !s.acquired.requiresConfirmation() {
		return false
	}
	if s.held.commit {
		return true
	}
	rolledBack := previousStatus != statusIdle && s.held.lastTag == "ROLLBACK"
	return status == statusIdle && !s.failed && !rolledBack
}

// confirm checks that the instance is still the primary and records the bookmark of
// the commit. The connection must be idle, because the pool may run statements on it
// for the check.
func (s *session) confirm() *proxy.Refusal {
	// The statement that the pool may run drops the unnamed prepared statement.
	delete(s.acquired.state.parsed, "")
	if s.status != statusIdle {
		return proxy.UnknownOutcome(proxy.OutcomeUnknown, "the commit is not confirmed: another transaction is open")
	}
	ctx, stop := context.WithTimeout(s.ctx, s.server.Limits.WaitTimeout)
	defer stop()
	bookmark, err := s.acquired.Confirm(ctx)
	if err != nil {
		s.server.Logger.Warn().Err(err).Str("instance", string(s.acquired.info.Instance)).Msg("commit is not confirmed")
		return proxy.UnknownOutcome(proxy.OutcomeUnknown, "the commit is not confirmed: %v", err)
	}
	s.server.Positions.Committed(s.server.Clock.Now(), s.acquired.group, s.grant.account.ID, s.name, bookmark)
	return nil
}
