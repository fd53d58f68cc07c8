package front

import (
	"context"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// heldSize bounds the replies that are held behind a COMMIT which is followed
// by more statements of the same Query.
const heldSize = 64 << 10 // bytes

// held are replies that the client must not see before the transaction's end
// is known. They start with the completion of what may be its last statement.
type held struct {
	replies []byte
	last    string // tag of the last completion
	commit  bool   // a COMMIT is among them
}

func (h *held) empty() bool { return len(h.replies) == 0 }

// hold adds a reply.
func (h *held) hold(message pgproto3.BackendMessage) error {
	encoded, err := message.Encode(h.replies)
	if err != nil {
		return fmt.Errorf("encode %T: %w", message, err)
	}
	h.replies = encoded
	if m, ok := message.(*pgproto3.CommandComplete); ok {
		h.last = string(m.CommandTag)
		h.commit = h.commit || isCommit(h.last)
	}
	return nil
}

// isCommit recognises the tags of COMMIT and PREPARE TRANSACTION.
func isCommit(tag string) bool {
	return strings.HasPrefix(tag, "COMMIT") || tag == "PREPARE TRANSACTION"
}

// pass sends a reply to the client, or holds it.
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
		if s.loan.confirms() {
			return s.held.hold(m)
		}
	case *pgproto3.CopyInResponse:
		return s.copyIn(m)
	}
	return s.out.send(message)
}

func (s *session) holdMore(message pgproto3.BackendMessage) error {
	if _, ok := message.(*pgproto3.CopyInResponse); ok || len(s.held.replies) > heldSize {
		refusal := proxy.UnknownOutcome(proxy.OutcomeUnknown, "the commit is not confirmed before further results of the same query")
		if err := s.unconfirmed(refusal); err != nil || !ok {
			return err
		}
		s.loan.frontend.Send(&pgproto3.CopyFail{Message: "COPY after COMMIT in one query"})
		if err := s.push(); err != nil {
			return s.lose(err)
		}
		return nil
	}
	return s.held.hold(message)
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

// passHeld sends the held replies.
func (s *session) passHeld() error {
	replies := s.held.replies
	s.held = held{}
	return s.out.sendRaw(replies)
}

// passUnsynced handles held replies where the client has not sent Sync yet. A
// COMMIT is followed by a Sync of the proxy, since only then an idle connection
// can be confirmed; no transaction is open that it could end.
func (s *session) passUnsynced() error {
	if !s.held.commit {
		return s.passHeld()
	}
	s.loan.frontend.Send(&pgproto3.Sync{})
	failure, status, err := s.exchange()
	if err != nil {
		return s.lose(err)
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

// unconfirmed replaces replies by an error. Nothing else is sent to the client
// until ReadyForQuery.
func (s *session) unconfirmed(refusal *proxy.Refusal) error {
	s.held = held{}
	s.muted = true
	if !s.endsWithReady() {
		s.skipping = true
	}
	s.server.metrics.refused(refusal)
	return s.out.send(response(refusal, severityError))
}

// needsConfirmation reports that the end of a request at a transaction state
// tells the client of a commit.
func (s *session) needsConfirmation(status, before byte) bool {
	if s.muted || !s.loan.confirms() {
		return false
	}
	if s.held.commit {
		return true
	}
	rolledBack := before != statusIdle && s.held.last == "ROLLBACK"
	return status == statusIdle && !s.erred && !rolledBack
}

// confirm checks that the instance is still the primary and records what the
// transaction has committed. The connection must be idle: the pool may use it.
func (s *session) confirm() *proxy.Refusal {
	// A statement of the pool drops the unnamed statement.
	delete(s.loan.state.parsed, "")
	if s.status != statusIdle {
		return proxy.UnknownOutcome(proxy.OutcomeUnknown, "the commit is not confirmed: another transaction is open")
	}
	ctx, stop := context.WithTimeout(s.ctx, s.server.Limits.WaitTimeout)
	defer stop()
	bookmark, err := s.loan.Confirm(ctx)
	if err != nil {
		s.server.Logger.Warn().Err(err).Str("instance", string(s.loan.lent.Instance)).Msg("commit is not confirmed")
		return proxy.UnknownOutcome(proxy.OutcomeUnknown, "the commit is not confirmed: %v", err)
	}
	s.server.Positions.Committed(s.server.Clock.Now(), s.loan.group, s.grant.account.ID, s.name, bookmark)
	return nil
}
