package frontend

import (
	"errors"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/statement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxBatchBytes limits the messages that are sent before their replies are read. An
// instance whose replies are not read stops reading, so these messages must fit into
// the socket buffers; otherwise proxy and instance would wait for each other.
const maxBatchBytes = 16 << 10

// maxBatchRequests limits the memory of the requests of short messages.
const maxBatchRequests = 256

// batch holds the extended-query messages since the last Sync that were not sent to
// the instance yet.
type batch struct {
	messages []byte
	requests []request
	// sent is set if messages since the last Sync were already sent.
	sent bool
}

func (b *batch) empty() bool { return len(b.requests) == 0 }

// addToBatch adds a message and its request to the batch. If the batch would exceed
// maxBatchBytes, the messages that it holds are sent first.
func (s *session) addToBatch(message pgproto3.FrontendMessage, r request) error {
	start := len(s.batch.messages)
	// A long message is encoded without growing its buffer repeatedly.
	s.batch.messages = slices.Grow(s.batch.messages, s.reader.encodedSize())
	encoded, err := message.Encode(s.batch.messages)
	if err != nil {
		return &fatalError{proxy.Refuse(proxy.ProtocolViolation, "malformed message: %v", err)}
	}
	s.reader.drop()
	if start == 0 || len(encoded) <= maxBatchBytes && len(s.batch.requests) < maxBatchRequests {
		s.batch.messages = encoded
		s.batch.requests = append(s.batch.requests, r)
		return nil
	}
	added := slices.Clone(encoded[start:])
	if err := s.flushBatch(); err != nil {
		return err
	}
	if s.skipping {
		s.undo([]request{r})
		return nil
	}
	s.batch.messages = added
	s.batch.requests = append(s.batch.requests, r)
	return nil
}

// flushIfRequired sends the batch if it ends with a statement that later messages
// depend on: a COMMIT must be confirmed first, and prepared statements that
// DEALLOCATE or DISCARD drops must be known to be gone. It reports whether the batch
// has failed.
func (s *session) flushIfRequired() (bool, error) {
	if !s.flushBeforeNext {
		return false, nil
	}
	s.flushBeforeNext = false
	err := s.flushBatch()
	return s.skipping, err
}

func (s *session) parse(m *pgproto3.Parse) error {
	if skip, err := s.flushIfRequired(); skip || err != nil {
		return err
	}
	statements, refusal := s.classify(m.Query)
	if refusal != nil {
		return s.refuseBatch(refusal)
	}
	if refusal := s.examine(statements); refusal != nil {
		return s.refuseBatch(refusal)
	}
	limits := s.server.Limits
	if _, replaces := s.state.statements[m.Name]; !replaces && len(s.state.statements) >= limits.PreparedStatements {
		return s.refuseBatch(proxy.Refuse(proxy.ConfigurationLimit,
			"too many prepared statements: at most %d", limits.PreparedStatements))
	}
	d := &definition{name: m.Name, query: m.Query, oids: slices.Clone(m.ParameterOIDs), statements: statements}
	if m.Name != "" && s.state.preparedBytes+d.memory() > limits.PreparedBytes {
		return s.refuseBatch(proxy.Refuse(proxy.ConfigurationLimit,
			"prepared statements are too long: at most %d bytes in all", limits.PreparedBytes))
	}
	if refusal := s.reserveState(d.memory()); refusal != nil {
		return s.refuseBatch(refusal)
	}
	r := request{kind: requestParse, name: m.Name, definition: d, previous: s.state.define(d)}
	return s.addToBatch(m, r)
}

func (s *session) bind(m *pgproto3.Bind) error {
	if skip, err := s.flushIfRequired(); skip || err != nil {
		return err
	}
	d := s.state.statements[m.PreparedStatement]
	addition := portalMemory + len(m.DestinationPortal)
	if m.DestinationPortal != "" && s.state.portalBytes+addition > s.server.Limits.PortalBytes {
		return s.refuseBatch(proxy.Refuse(proxy.ConfigurationLimit,
			"portals are too many or their names too long: at most %d bytes in all", s.server.Limits.PortalBytes))
	}
	if refusal := s.reserveState(addition); refusal != nil {
		return s.refuseBatch(refusal)
	}
	s.state.bindPortal(m.DestinationPortal, d)
	return s.addToBatch(m, request{kind: requestBind, name: m.PreparedStatement, definition: d})
}

func (s *session) describe(m *pgproto3.Describe) error {
	if skip, err := s.flushIfRequired(); skip || err != nil {
		return err
	}
	switch m.ObjectType {
	case 'S':
		return s.addToBatch(m, request{kind: requestDescribeStatement, name: m.Name, definition: s.state.statements[m.Name]})
	case 'P':
		return s.addToBatch(m, request{kind: requestDescribePortal, name: m.Name})
	}
	return s.refuseBatch(proxy.Refuse(proxy.ProtocolViolation, "Describe of object type %q: want S or P", m.ObjectType))
}

func (s *session) closeObject(m *pgproto3.Close) error {
	switch m.ObjectType {
	case 'S':
		if skip, err := s.flushIfRequired(); skip || err != nil {
			return err
		}
		previous := s.state.statements[m.Name]
		s.state.setDefinition(m.Name, nil)
		return s.addToBatch(m, request{kind: requestCloseStatement, name: m.Name, previous: previous})
	case 'P':
		s.state.closePortal(m.Name)
		return s.addToBatch(m, request{kind: requestClosePortal})
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
	if skip, err := s.flushIfRequired(); skip || err != nil {
		return err
	}
	s.flushBeforeNext = slices.ContainsFunc(statements, requiresFlush)
	s.server.metrics.statements.Inc(1)
	return s.addToBatch(m, request{kind: requestExecute, name: m.Portal, statements: statements})
}

// requiresFlush reports whether the batch must be sent before another message follows
// the statement; see flushIfRequired.
func requiresFlush(stmt statement.Statement) bool {
	return stmt.Kind == statement.Commit || stmt.Kind == statement.Deallocate || stmt.Kind == statement.Discard
}

// flushBatch sends the messages of the batch, followed by Flush, and relays the
// replies.
func (s *session) flushBatch() error {
	if s.batch.empty() {
		return s.out.flush()
	}
	if err := s.sendBatch(&pgproto3.Flush{}); err != nil {
		return s.failBatch(err)
	}
	if err := s.relay(); err != nil {
		return err
	}
	return s.out.flush()
}

// sync executes a Sync message, which ends the batch.
func (s *session) sync() error {
	if s.batch.empty() && s.acquired == nil {
		return s.syncLocally()
	}
	s.batch.requests = append(s.batch.requests, request{kind: requestSync})
	if err := s.sendBatch(&pgproto3.Sync{}); err != nil {
		if err := s.failBatch(err); err != nil {
			return err
		}
		return s.syncLocally()
	}
	return s.relay()
}

// syncLocally answers Sync without an acquired connection.
func (s *session) syncLocally() error {
	s.endRequest()
	s.state.endTransaction(false)
	s.state.closePortals()
	return s.sendReady()
}

// sendBatch sends the batch, followed by a Flush or Sync. It acquires a connection if
// there is none.
func (s *session) sendBatch(end pgproto3.FrontendMessage) error {
	if s.acquired == nil {
		if err := s.acquire(s.access(s.batchReadOnly())); err != nil {
			return err
		}
	}
	if err := s.reparse(); err != nil {
		return &connectionLostError{err}
	}
	frontend := s.acquired.frontend
	frontend.Send(encodedMessages(s.batch.messages))
	frontend.Send(end)
	for _, r := range s.batch.requests {
		s.trackRequest(&r)
		s.queue = append(s.queue, r)
	}
	s.batch.requests = s.batch.requests[:0]
	s.batch.messages = nil
	s.batch.sent = true
	if err := s.flushToInstance(); err != nil {
		return &connectionLostError{err}
	}
	return nil
}

// batchReadOnly reports whether the batch begins a read-only transaction and
// does not end it.
func (s *session) batchReadOnly() bool {
	first := true
	for _, r := range s.batch.requests {
		if r.kind != requestExecute {
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
	for _, stmt := range statements {
		if stmt.Kind == statement.Commit || stmt.Kind == statement.Rollback || stmt.ReadWrite {
			return true
		}
	}
	return false
}

// trackRequest records the effect of a request on the acquired connection: that a
// statement was executed, or which prepared statements the connection has.
func (s *session) trackRequest(r *request) {
	parsed := s.acquired.state.parsed
	switch {
	case r.kind == requestExecute:
		s.acquired.executed = true
	case r.kind == requestParse:
		r.parsed = parsed[r.name]
		parsed[r.name] = r.definition
	case r.kind == requestCloseStatement:
		r.parsed = parsed[r.name]
		delete(parsed, r.name)
	}
}

// reparse sends Parse for the prepared statements that the batch uses and that the
// acquired connection does not have.
func (s *session) reparse() error {
	var seen map[string]bool
	unsent := 0
	for _, r := range s.batch.requests {
		d := r.definition
		switch r.kind {
		case requestParse:
			// With the previous definition on the connection, Parse of a name in use fails
			// as on a direct connection. Parse of the unnamed statement always replaces it.
			d = r.previous
			if r.name == "" {
				d = nil
			}
		case requestBind, requestDescribeStatement:
		case requestCloseStatement:
			d = nil
		case requestExecute:
			s.reparseDeallocated(r.statements, seen)
			continue
		default:
			continue
		}
		if d != nil && !seen[r.name] && s.acquired.state.parsed[r.name] != d {
			s.reparseOne(d)
			unsent += len(d.query)
		}
		if unsent >= writeThreshold {
			// These messages are none of the client. Their replies are short.
			if err := s.acquired.frontend.Flush(); err != nil {
				return err
			}
			unsent = 0
		}
		if seen == nil && len(s.batch.requests) > 1 {
			seen = make(map[string]bool)
		}
		if seen != nil {
			seen[r.name] = true
		}
	}
	return nil
}

// reparseDeallocated sends Parse for the prepared statements that a DEALLOCATE in SQL
// names and that the acquired connection does not have.
func (s *session) reparseDeallocated(statements []statement.Statement, seen map[string]bool) {
	for _, stmt := range statements {
		d := s.state.statements[stmt.Name]
		if stmt.Kind != statement.Deallocate || d == nil || stmt.Name == "" || seen[stmt.Name] {
			continue
		}
		if s.acquired.state.parsed[stmt.Name] == nil {
			s.reparseOne(d)
		}
	}
}

// reparseOne sends Parse for one prepared statement, after Close if the connection has
// another one under that name.
func (s *session) reparseOne(d *definition) {
	if d.name != "" && s.acquired.state.parsed[d.name] != nil {
		s.acquired.frontend.Send(&pgproto3.Close{ObjectType: 'S', Name: d.name})
		s.queue = append(s.queue, request{kind: requestCloseStatement, hidden: true})
	}
	s.acquired.frontend.Send(d.message())
	r := request{kind: requestParse, hidden: true, name: d.name, definition: d}
	s.trackRequest(&r)
	r.parsed = nil
	s.queue = append(s.queue, r)
}

// undo reverts the changes to prepared statements that unanswered requests have made,
// newest first.
func (s *session) undo(requests []request) {
	for i := len(requests) - 1; i >= 0; i-- {
		r := requests[i]
		if r.kind != requestParse && r.kind != requestCloseStatement {
			continue
		}
		if !r.hidden {
			s.state.setDefinition(r.name, r.previous)
		}
		if s.acquired == nil || s.acquired.state == nil {
			continue
		}
		if r.parsed == nil || r.name == "" {
			delete(s.acquired.state.parsed, r.name)
			continue
		}
		s.acquired.state.parsed[r.name] = r.parsed
	}
}

// failBatch answers a batch that could not be sent.
func (s *session) failBatch(err error) error {
	var broken *connectionLostError
	if errors.As(err, &broken) {
		return s.handleConnectionLoss(broken.err)
	}
	var refusal *proxy.Refusal
	if errors.As(err, &refusal) {
		return s.refuseBatch(refusal)
	}
	return err
}

// refuseBatch answers the batch with an error and skips to Sync. Messages that were
// not sent are discarded. An open transaction on the instance is aborted by a
// statement with invalid SQL.
func (s *session) refuseBatch(refusal *proxy.Refusal) error {
	s.undo(s.batch.requests)
	s.batch.requests = s.batch.requests[:0]
	s.batch.messages = nil
	s.skipping = true
	if s.acquired != nil && s.status != statusFailed {
		s.acquired.frontend.Send(&pgproto3.Parse{Name: "auburnyoke", Query: invalidSQL})
		s.acquired.frontend.Send(&pgproto3.Flush{})
		s.queue = append(s.queue, request{kind: requestAbort, hidden: true})
		s.batch.sent = true
		if err := s.flushToInstance(); err != nil {
			return s.handleConnectionLoss(err)
		}
		if err := s.relay(); err != nil || s.acquired == nil {
			return err
		}
	}
	s.server.metrics.countRefusal(refusal)
	if err := s.out.send(errorResponse(refusal, severityError)); err != nil {
		return fmt.Errorf("send refusal: %w", err)
	}
	return s.out.flush()
}
