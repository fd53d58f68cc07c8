package frontend

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/statement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// invalidSQL is a text that every instance rejects as a syntax error. It is sent to
// abort an open transaction after the proxy has refused one of its statements.
const invalidSQL = "auburnyoke refused the statement"

// query executes a Query message.
func (s *session) query(text string) error {
	if !s.batch.empty() || s.acquired != nil && s.batch.sent {
		if err := s.flushBatch(); err != nil || s.skipping {
			return err
		}
		s.batch.sent = false
	}
	statements, refusal := s.classify(text)
	if refusal != nil {
		return s.refuseQuery(refusal)
	}
	if refusal := s.examine(statements); refusal != nil {
		return s.refuseQuery(refusal)
	}
	if err := s.admit(statements); err != nil {
		return s.failQuery(err)
	}
	if s.acquired == nil {
		if err := s.acquire(s.access(beginsReadOnly(statements))); err != nil {
			return s.failQuery(err)
		}
	}
	if err := s.prepareDeallocated(statements); err != nil {
		return s.handleConnectionLoss(err)
	}
	s.dropUnnamed()
	s.server.metrics.statements.Inc(1)
	s.acquired.executed = true
	s.queue = append(s.queue, request{kind: requestQuery, statements: statements})
	s.acquired.frontend.Send(&pgproto3.Query{String: text})
	if err := s.flushToInstance(); err != nil {
		return s.handleConnectionLoss(err)
	}
	return s.relay()
}

// dropUnnamed records that a Query message drops the unnamed prepared statement.
func (s *session) dropUnnamed() {
	s.state.setDefinition("", nil)
	delete(s.acquired.state.parsed, "")
}

// prepareDeallocated prepares the statements that a Query deallocates by name and that
// the acquired connection does not have, so that DEALLOCATE finds them.
func (s *session) prepareDeallocated(statements []statement.Statement) error {
	var missing []*definition
	for _, stmt := range statements {
		if stmt.Kind != statement.Deallocate || stmt.Name == "" {
			continue
		}
		d := s.state.statements[stmt.Name]
		if d == nil || s.acquired.state.parsed[stmt.Name] != nil {
			continue
		}
		s.acquired.frontend.Send(d.message())
		missing = append(missing, d)
	}
	if len(missing) == 0 {
		return nil
	}
	s.acquired.frontend.Send(&pgproto3.Sync{})
	failure, _, err := s.exchange()
	if err != nil || failure != nil {
		return err // an error has aborted an open transaction, so the Query will fail
	}
	for _, d := range missing {
		s.acquired.state.parsed[d.name] = d
	}
	return nil
}

// failQuery answers a Query of which nothing was sent to the instance.
func (s *session) failQuery(err error) error {
	var refusal *proxy.Refusal
	if errors.As(err, &refusal) {
		return s.refuseQuery(refusal)
	}
	return err
}

// refuseQuery answers a Query with an error. It aborts an open transaction, as any
// error does in PostgreSQL.
func (s *session) refuseQuery(refusal *proxy.Refusal) error {
	if s.acquired != nil && s.status == statusOpen {
		s.acquired.frontend.Send(&pgproto3.Query{String: invalidSQL})
		_, status, err := s.exchange()
		if err != nil {
			return s.handleConnectionLoss(err)
		}
		s.setStatus(status)
	}
	s.endRequest()
	s.server.metrics.countRefusal(refusal)
	if err := s.out.send(errorResponse(refusal, severityError)); err != nil {
		return err
	}
	return s.sendReady()
}

// sendReady sends ReadyForQuery and flushes the output.
func (s *session) sendReady() error {
	if err := s.out.send(&pgproto3.ReadyForQuery{TxStatus: s.status}); err != nil {
		return err
	}
	return s.out.flush()
}

func (s *session) setStatus(status byte) {
	s.status = status
	s.mu.Lock()
	s.inTransaction = status != statusIdle
	s.mu.Unlock()
}
