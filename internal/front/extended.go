package front

import (
	"errors"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/statement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// batchSize is the number of bytes that are sent ahead of replies. An instance
// that waits for its replies to be read stops reading, so what is sent ahead
// must fit the sockets' buffers.
const batchSize = 16 << 10 // bytes

// batch holds the messages since the last Sync that were not sent yet.
type batch struct {
	messages []byte
	requests []request
	// sent reports that messages since the last Sync were sent.
	sent bool
}

func (b *batch) empty() bool { return len(b.requests) == 0 }

// stage adds a message to the batch. What the batch holds is sent first if it
// would become too long.
func (s *session) stage(message pgproto3.FrontendMessage, r request) error {
	start := len(s.batch.messages)
	encoded, err := message.Encode(s.batch.messages)
	if err != nil {
		return &fatal{proxy.Refuse(proxy.ProtocolViolation, "malformed message: %v", err)}
	}
	if start == 0 || len(encoded) <= batchSize {
		s.batch.messages = encoded
		s.batch.requests = append(s.batch.requests, r)
		return nil
	}
	last := slices.Clone(encoded[start:])
	if err := s.flushBatch(); err != nil {
		return err
	}
	if s.skipping {
		s.undo([]request{r})
		return nil
	}
	s.batch.messages = last
	s.batch.requests = append(s.batch.requests, r)
	return nil
}

// split sends a batch before anything follows a statement that concerns what
// follows: a COMMIT is confirmed first, and statements that SQL text drops are
// known to be gone. It reports that the batch has failed.
func (s *session) split() (bool, error) {
	if !s.splits {
		return false, nil
	}
	s.splits = false
	err := s.flushBatch()
	return s.skipping, err
}

func (s *session) parse(m *pgproto3.Parse) error {
	if skip, err := s.split(); skip || err != nil {
		return err
	}
	statements := statement.Classify(m.Query)
	if refusal := s.examine(statements); refusal != nil {
		return s.refuseBatch(refusal)
	}
	limits := s.server.Limits
	if _, replaces := s.state.statements[m.Name]; !replaces && len(s.state.statements) >= limits.Statements {
		return s.refuseBatch(proxy.Refuse(proxy.ConfigurationLimit,
			"too many prepared statements: at most %d", limits.Statements))
	}
	if m.Name != "" && s.state.prepared+len(m.Query) > limits.Prepared {
		return s.refuseBatch(proxy.Refuse(proxy.ConfigurationLimit,
			"prepared statements are too long: at most %d bytes in all", limits.Prepared))
	}
	d := &definition{name: m.Name, query: m.Query, oids: slices.Clone(m.ParameterOIDs), statements: statements}
	r := request{kind: askParse, name: m.Name, definition: d, previous: s.state.define(d)}
	return s.stage(m, r)
}

func (s *session) bind(m *pgproto3.Bind) error {
	if skip, err := s.split(); skip || err != nil {
		return err
	}
	d := s.state.statements[m.PreparedStatement]
	if s.state.portals == nil {
		s.state.portals = make(map[string]*definition)
	}
	s.state.portals[m.DestinationPortal] = d
	return s.stage(m, request{kind: askBind, name: m.PreparedStatement, definition: d})
}

func (s *session) describe(m *pgproto3.Describe) error {
	if skip, err := s.split(); skip || err != nil {
		return err
	}
	switch m.ObjectType {
	case 'S':
		return s.stage(m, request{kind: askDescribeStatement, name: m.Name, definition: s.state.statements[m.Name]})
	case 'P':
		return s.stage(m, request{kind: askDescribePortal, name: m.Name})
	}
	return s.refuseBatch(proxy.Refuse(proxy.ProtocolViolation, "Describe of object type %q: want S or P", m.ObjectType))
}

func (s *session) closeObject(m *pgproto3.Close) error {
	switch m.ObjectType {
	case 'S':
		if skip, err := s.split(); skip || err != nil {
			return err
		}
		previous := s.state.statements[m.Name]
		s.state.undefine(m.Name, nil)
		return s.stage(m, request{kind: askCloseStatement, name: m.Name, previous: previous})
	case 'P':
		return s.stage(m, request{kind: askClosePortal})
	}
	return s.refuseBatch(proxy.Refuse(proxy.ProtocolViolation, "Close of object type %q: want S or P", m.ObjectType))
}

func (s *session) execute(m *pgproto3.Execute) error {
	var statements []statement.Statement
	if d := s.state.portals[m.Portal]; d != nil {
		statements = d.statements
	}
	if refusal := s.examine(statements); refusal != nil {
		return s.refuseBatch(refusal)
	}
	if err := s.admit(statements); err != nil {
		return s.failBatch(err)
	}
	if skip, err := s.split(); skip || err != nil {
		return err
	}
	s.splits = slices.ContainsFunc(statements, splitsBatch)
	s.server.metrics.statements.Inc(1)
	return s.stage(m, request{kind: askExecute, name: m.Portal, statements: statements})
}

func splitsBatch(one statement.Statement) bool {
	return one.Kind == statement.Commit || one.Kind == statement.Deallocate || one.Kind == statement.Discard
}

// flushBatch sends what the batch holds and relays the replies.
func (s *session) flushBatch() error {
	if s.batch.empty() {
		return s.out.flush()
	}
	if err := s.transmit(&pgproto3.Flush{}); err != nil {
		return s.failBatch(err)
	}
	if err := s.relay(); err != nil {
		return err
	}
	return s.out.flush()
}

// sync ends a batch.
func (s *session) sync() error {
	if s.batch.empty() && s.loan == nil {
		return s.syncLocally()
	}
	s.batch.requests = append(s.batch.requests, request{kind: askSync})
	if err := s.transmit(&pgproto3.Sync{}); err != nil {
		if err := s.failBatch(err); err != nil {
			return err
		}
		return s.syncLocally()
	}
	return s.relay()
}

// syncLocally answers Sync where there is no loan.
func (s *session) syncLocally() error {
	s.conclude()
	s.state.ended(false)
	clear(s.state.portals)
	return s.sendReady()
}

// transmit sends the batch, followed by a Flush or Sync.
func (s *session) transmit(end pgproto3.FrontendMessage) error {
	if s.loan == nil {
		if err := s.borrow(s.access(s.batchReadOnly())); err != nil {
			return err
		}
	}
	s.reparse()
	frontend := s.loan.frontend
	frontend.Send(raw(s.batch.messages))
	frontend.Send(end)
	for _, r := range s.batch.requests {
		s.mark(&r)
		s.queue = append(s.queue, r)
	}
	s.batch.requests = s.batch.requests[:0]
	s.batch.messages = nil
	s.batch.sent = true
	if err := s.push(); err != nil {
		return &lost{err}
	}
	return nil
}

// batchReadOnly reports whether the batch begins a read-only transaction and
// does not end it.
func (s *session) batchReadOnly() bool {
	first := true
	for _, r := range s.batch.requests {
		if r.kind != askExecute {
			continue
		}
		if first && !beginsReadOnly(r.statements) {
			return false
		}
		if !first && changesTransaction(r.statements) {
			return false
		}
		first = false
	}
	return !first
}

func changesTransaction(statements []statement.Statement) bool {
	for _, one := range statements {
		if one.Kind == statement.Commit || one.Kind == statement.Rollback || one.ReadWrite {
			return true
		}
	}
	return false
}

// mark notes what a request changes on the loan's connection.
func (s *session) mark(r *request) {
	parsed := s.loan.state.parsed
	switch {
	case r.kind == askExecute:
		s.loan.executed = true
	case r.kind == askParse:
		r.parsed = parsed[r.name]
		parsed[r.name] = r.definition
	case r.kind == askCloseStatement:
		r.parsed = parsed[r.name]
		delete(parsed, r.name)
	}
}

// reparse sends the prepared statements that the batch uses and that the
// loan's connection does not have.
func (s *session) reparse() {
	var seen map[string]bool
	for _, r := range s.batch.requests {
		d := r.definition
		switch r.kind {
		case askParse:
			d = r.previous
			if r.name == "" {
				d = nil
			}
		case askBind, askDescribeStatement:
		case askCloseStatement:
			d = nil
		case askExecute:
			s.reparseDeallocated(r.statements, seen)
			continue
		default:
			continue
		}
		if d != nil && !seen[r.name] && s.loan.state.parsed[r.name] != d {
			s.reparseOne(d)
		}
		if seen == nil && len(s.batch.requests) > 1 {
			seen = make(map[string]bool)
		}
		if seen != nil {
			seen[r.name] = true
		}
	}
}

// reparseDeallocated sends the statements that SQL text drops by name.
func (s *session) reparseDeallocated(statements []statement.Statement, seen map[string]bool) {
	for _, one := range statements {
		d := s.state.statements[one.Name]
		if one.Kind != statement.Deallocate || d == nil || one.Name == "" || seen[one.Name] {
			continue
		}
		if s.loan.state.parsed[one.Name] == nil {
			s.reparseOne(d)
		}
	}
}

func (s *session) reparseOne(d *definition) {
	if d.name != "" && s.loan.state.parsed[d.name] != nil {
		s.loan.frontend.Send(&pgproto3.Close{ObjectType: 'S', Name: d.name})
		s.queue = append(s.queue, request{kind: askCloseStatement, hidden: true})
	}
	s.loan.frontend.Send(d.message())
	r := request{kind: askParse, hidden: true, name: d.name, definition: d}
	s.mark(&r)
	r.parsed = nil
	s.queue = append(s.queue, r)
}

// undo takes back what requests without a reply have changed, newest first.
func (s *session) undo(requests []request) {
	for i := len(requests) - 1; i >= 0; i-- {
		r := requests[i]
		if r.kind != askParse && r.kind != askCloseStatement {
			continue
		}
		if !r.hidden {
			s.state.undefine(r.name, r.previous)
		}
		if s.loan == nil || s.loan.state == nil {
			continue
		}
		if r.parsed == nil || r.name == "" {
			delete(s.loan.state.parsed, r.name)
			continue
		}
		s.loan.state.parsed[r.name] = r.parsed
	}
}

// failBatch answers a batch that could not be sent.
func (s *session) failBatch(err error) error {
	var broken *lost
	if errors.As(err, &broken) {
		return s.lose(broken.err)
	}
	var refusal *proxy.Refusal
	if errors.As(err, &refusal) {
		return s.refuseBatch(refusal)
	}
	return err
}

// refuseBatch answers the batch with an error and skips to Sync. What was not
// sent is dropped; a transaction on the instance fails.
func (s *session) refuseBatch(refusal *proxy.Refusal) error {
	s.undo(s.batch.requests)
	s.batch.requests = s.batch.requests[:0]
	s.batch.messages = nil
	s.skipping = true
	if s.loan != nil && s.status != statusFailed {
		s.loan.frontend.Send(&pgproto3.Parse{Name: "auburnyoke", Query: failing})
		s.loan.frontend.Send(&pgproto3.Flush{})
		s.queue = append(s.queue, request{kind: askFailure, hidden: true})
		s.batch.sent = true
		if err := s.push(); err != nil {
			return s.lose(err)
		}
		if err := s.relay(); err != nil || s.loan == nil {
			return err
		}
	}
	s.server.metrics.refused(refusal)
	if err := s.out.send(response(refusal, severityError)); err != nil {
		return fmt.Errorf("refuse: %w", err)
	}
	return s.out.flush()
}
