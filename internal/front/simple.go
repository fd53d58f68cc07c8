package front

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/statement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// failing is a text that no instance accepts. It fails an open transaction
// whose statement the proxy has refused.
const failing = "auburnyoke refused the statement"

// query carries out a Query message.
func (s *session) query(text string) error {
	if !s.batch.empty() || s.loan != nil && s.batch.sent {
		if err := s.flushBatch(); err != nil || s.skipping {
			return err
		}
		s.batch.sent = false
	}
	statements := statement.Classify(text)
	if refusal := s.examine(statements); refusal != nil {
		return s.refuseQuery(refusal)
	}
	if err := s.admit(statements); err != nil {
		return s.failQuery(err)
	}
	if s.loan == nil {
		if err := s.borrow(s.access(beginsReadOnly(statements))); err != nil {
			return s.failQuery(err)
		}
	}
	if err := s.prepareDeallocated(statements); err != nil {
		return s.lose(err)
	}
	s.dropUnnamed()
	s.server.metrics.statements.Inc(1)
	s.loan.executed = true
	s.queue = append(s.queue, request{kind: askQuery, statements: statements})
	s.loan.frontend.Send(&pgproto3.Query{String: text})
	if err := s.push(); err != nil {
		return s.lose(err)
	}
	return s.relay()
}

// dropUnnamed forgets the unnamed statement, which a Query message drops.
func (s *session) dropUnnamed() {
	s.state.undefine("", nil)
	delete(s.loan.state.parsed, "")
}

// prepareDeallocated prepares the statements that a text deallocates by name
// and that are not on the loan's connection.
func (s *session) prepareDeallocated(statements []statement.Statement) error {
	var sent []*definition
	for _, one := range statements {
		if one.Kind != statement.Deallocate || one.Name == "" {
			continue
		}
		d := s.state.statements[one.Name]
		if d == nil || s.loan.state.parsed[one.Name] != nil {
			continue
		}
		s.loan.frontend.Send(d.message())
		sent = append(sent, d)
	}
	if len(sent) == 0 {
		return nil
	}
	s.loan.frontend.Send(&pgproto3.Sync{})
	failure, _, err := s.exchange()
	if err != nil || failure != nil {
		return err // an open transaction has failed; the query will tell
	}
	for _, d := range sent {
		s.loan.state.parsed[d.name] = d
	}
	return nil
}

// failQuery answers a Query for which nothing was sent.
func (s *session) failQuery(err error) error {
	var refusal *proxy.Refusal
	if errors.As(err, &refusal) {
		return s.refuseQuery(refusal)
	}
	return err
}

// refuseQuery answers a Query with an error. An open transaction fails, as it
// does after any error.
func (s *session) refuseQuery(refusal *proxy.Refusal) error {
	if s.loan != nil && s.status == statusOpen {
		s.loan.frontend.Send(&pgproto3.Query{String: failing})
		_, status, err := s.exchange()
		if err != nil {
			return s.lose(err)
		}
		s.setStatus(status)
	}
	s.conclude()
	s.server.metrics.refused(refusal)
	if err := s.out.send(response(refusal, severityError)); err != nil {
		return err
	}
	return s.sendReady()
}

// sendReady writes ReadyForQuery and everything before it.
func (s *session) sendReady() error {
	if err := s.out.send(&pgproto3.ReadyForQuery{TxStatus: s.status}); err != nil {
		return err
	}
	return s.out.flush()
}

func (s *session) setStatus(status byte) {
	s.status = status
	s.mu.Lock()
	s.open = status != statusIdle
	s.mu.Unlock()
}
