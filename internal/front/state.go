package front

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/statement"
)

// maxConnections is the number of connections whose state a session remembers.
const maxConnections = 8

// definition is a prepared statement. Its identity tells definitions of the
// same name apart.
type definition struct {
	name       string
	query      string
	oids       []uint32
	statements []statement.Statement
}

func (d *definition) message() *pgproto3.Parse {
	return &pgproto3.Parse{Name: d.name, Query: d.query, ParameterOIDs: d.oids}
}

// connectionState is what a session has left on one instance connection.
type connectionState struct {
	version  uint64 // of the settings
	readOnly bool   // set by the route, not by the client
	parsed   map[string]*definition
}

// sessionState is the state that outlives a loan.
type sessionState struct {
	settings
	statements map[string]*definition
	// portals are those of the current transaction.
	portals map[string]*definition
	// prepared is the length of the prepared statements in bytes.
	prepared int
	// used reports that a statement was prepared at any time.
	used        bool
	connections map[uint64]*connectionState
}

func newSessionState(parameters map[string]string) (sessionState, error) {
	base, err := startupSettings(parameters)
	if err != nil {
		return sessionState{}, err
	}
	return sessionState{settings: settings{base: base}}, nil
}

// define enters a prepared statement and returns the one that it replaces.
func (s *sessionState) define(d *definition) *definition {
	previous := s.statements[d.name]
	if s.statements == nil {
		s.statements = make(map[string]*definition)
	}
	s.undefine(d.name, d)
	s.used = true
	return previous
}

// undefine puts the previous definition of a name back; nil removes the name.
func (s *sessionState) undefine(name string, previous *definition) {
	if current := s.statements[name]; current != nil {
		s.prepared -= len(current.query)
	}
	if previous == nil {
		delete(s.statements, name)
		return
	}
	s.prepared += len(previous.query)
	s.statements[name] = previous
}

// forgetAll removes all prepared statements.
func (s *sessionState) forgetAll(on *connectionState) {
	clear(s.statements)
	clear(on.parsed)
	s.prepared = 0
}

// settle remembers the state in which a connection is given back.
func (s *sessionState) settle(loan *borrowed) {
	if loan.state == nil || loan.lent.Connection == 0 {
		return
	}
	if s.reset {
		s.reset = false
		delete(s.connections, loan.lent.Connection)
		return
	}
	loan.state.version = s.version
	if s.connections == nil {
		s.connections = make(map[uint64]*connectionState)
	}
	if _, known := s.connections[loan.lent.Connection]; !known && len(s.connections) >= maxConnections {
		clear(s.connections)
	}
	s.connections[loan.lent.Connection] = loan.state
}

// abandon forgets a transaction that was lost with its connection.
func (s *sessionState) abandon() {
	s.ended(false)
	clear(s.portals)
}

// ran notes a statement that succeeded.
func (s *sessionState) ran(done statement.Statement, tag string, on *connectionState) {
	s.settings.ran(done, tag)
	switch done.Kind {
	case statement.Discard:
		s.forgetAll(on)
	case statement.Deallocate:
		if done.Name == "" {
			s.forgetAll(on)
			return
		}
		s.undefine(done.Name, nil)
		delete(on.parsed, done.Name)
	}
}
