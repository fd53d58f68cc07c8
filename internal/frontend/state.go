package frontend

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/statement"
)

// maxTrackedConnections is the number of connections whose state a session tracks.
const maxTrackedConnections = 8

// definition is the definition of a prepared statement. Pointers to definitions are
// compared to distinguish definitions with the same name.
type definition struct {
	name       string
	query      string
	oids       []uint32
	statements []statement.Statement
}

func (d *definition) message() *pgproto3.Parse {
	return &pgproto3.Parse{Name: d.name, Query: d.query, ParameterOIDs: d.oids}
}

// connectionState is the state that a session has left on one connection to an
// instance.
type connectionState struct {
	version  uint64                 // settings.version when the connection was released
	readOnly bool                   // made read-only because of the route, not by the client
	parsed   map[string]*definition // prepared statements by name
}

// sessionState is the state of a session that is kept when its connection is released.
type sessionState struct {
	settings
	statements map[string]*definition
	// portals maps the portals of the current transaction to their statements.
	portals map[string]*definition
	// portalBytes is the memory of the portals.
	portalBytes int
	// preparedBytes is the memory of the prepared statements.
	preparedBytes int
	// staleBytes is an upper bound of the memory of statements that only connections have,
	// countedStale what it was when it was last counted.
	staleBytes, countedStale int
	// everPrepared is set once a statement was prepared, and stays set.
	everPrepared bool
	connections  map[uint64]*connectionState
}

// memory returns the memory in bytes of a definition.
func (d *definition) memory() int {
	return definitionMemory + len(d.name) + len(d.query) + 4*len(d.oids) + statementMemory*len(d.statements)
}

// memory returns the memory in bytes of the state.
func (s *sessionState) memory() int {
	return s.portalBytes + s.preparedBytes + s.staleBytes + s.setBytes + s.changeBytes
}

// bindPortal records the statement of a portal.
func (s *sessionState) bindPortal(name string, d *definition) {
	if s.portals == nil {
		s.portals = make(map[string]*definition)
	}
	if _, known := s.portals[name]; !known {
		s.portalBytes += portalMemory + len(name)
	}
	s.portals[name] = d
}

// closePortal removes a portal.
func (s *sessionState) closePortal(name string) {
	if _, known := s.portals[name]; known {
		s.portalBytes -= portalMemory + len(name)
		delete(s.portals, name)
	}
}

// closePortals removes all portals.
func (s *sessionState) closePortals() {
	if s.portalBytes > rememberedMemory {
		s.portals = nil // clear does not shrink a map
	}
	clear(s.portals)
	s.portalBytes = 0
}

// maxStaleBytes limits staleBytes.
const maxStaleBytes = 1 << 20

// keepStale counts a definition that connections may still have. If they have too many,
// their states are dropped.
func (s *sessionState) keepStale(d *definition) {
	if len(s.connections) == 0 {
		return
	}
	s.staleBytes += d.memory()
	if s.staleBytes < s.countedStale+rememberedMemory {
		return
	}
	s.staleBytes = 0
	for _, conn := range s.connections {
		for name, d := range conn.parsed {
			if s.statements[name] != d {
				s.staleBytes += d.memory()
			}
		}
	}
	s.countedStale = s.staleBytes
	if s.staleBytes > maxStaleBytes {
		s.dropConnections()
	}
}

func (s *sessionState) dropConnections() {
	clear(s.connections)
	s.staleBytes, s.countedStale = 0, 0
}

func newSessionState(parameters map[string]string) (sessionState, error) {
	startup, err := startupSettings(parameters)
	if err != nil {
		return sessionState{}, err
	}
	return sessionState{settings: settings{startup: startup}}, nil
}

// define adds a prepared statement and returns the one that it replaces.
func (s *sessionState) define(d *definition) *definition {
	previous := s.statements[d.name]
	if s.statements == nil {
		s.statements = make(map[string]*definition)
	}
	s.setDefinition(d.name, d)
	s.everPrepared = true
	return previous
}

// setDefinition sets the definition of a name. If it is nil, the name is removed.
func (s *sessionState) setDefinition(name string, d *definition) {
	if current := s.statements[name]; current != nil {
		s.preparedBytes -= current.memory()
		if current != d {
			s.keepStale(current)
		}
	}
	if d == nil {
		delete(s.statements, name)
		return
	}
	s.preparedBytes += d.memory()
	s.statements[name] = d
}

// deallocateAll removes all prepared statements.
func (s *sessionState) deallocateAll(conn *connectionState) {
	for _, d := range s.statements {
		s.keepStale(d)
	}
	clear(s.statements)
	clear(conn.parsed)
	s.preparedBytes = 0
}

// saveConnection records the state in which a connection is released. It does not track
// a connection that may lack startup settings. If maxTrackedConnections others are
// tracked already, it drops their states.
func (s *sessionState) saveConnection(acquired *acquiredConn) {
	if acquired.state == nil || acquired.info.Connection == 0 {
		return
	}
	if s.reset {
		s.reset = false
		delete(s.connections, acquired.info.Connection)
		return
	}
	acquired.state.version = s.version
	if s.connections == nil {
		s.connections = make(map[uint64]*connectionState)
	}
	if _, known := s.connections[acquired.info.Connection]; !known && len(s.connections) >= maxTrackedConnections {
		s.dropConnections()
	}
	s.connections[acquired.info.Connection] = acquired.state
}

// abortTransaction discards the changes of a transaction whose connection was closed.
func (s *sessionState) abortTransaction() {
	s.endTransaction(false)
	s.closePortals()
}

// statementSucceeded records the effect of a statement that succeeded on a connection.
func (s *sessionState) statementSucceeded(stmt statement.Statement, tag string, conn *connectionState) {
	s.settings.statementSucceeded(stmt, tag)
	switch stmt.Kind {
	case statement.Discard:
		s.deallocateAll(conn)
	case statement.Deallocate:
		if stmt.Name == "" {
			s.deallocateAll(conn)
			return
		}
		s.setDefinition(stmt.Name, nil)
		delete(conn.parsed, stmt.Name)
	}
}
