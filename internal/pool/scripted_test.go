package pool_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// scriptedInstance is an instance that answers statements from a script.
type scriptedInstance struct {
	listener net.Listener

	mu         sync.Mutex
	total      int
	statements []string
	// position is the answer to the position statements.
	position string
	conns    map[int]net.Conn
}

func startScriptedInstance(t testing.TB) *scriptedInstance {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedInstance{listener: listener, position: "0/100", conns: map[int]net.Conn{}}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
		serving.Wait()
	})
	return s
}

func (s *scriptedInstance) address() string { return s.listener.Addr().String() }

func (s *scriptedInstance) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	backend := pgproto3.NewBackend(conn, conn)
	if _, err := backend.ReceiveStartupMessage(); err != nil {
		return
	}
	s.mu.Lock()
	number := s.total
	s.total++
	s.conns[number] = conn
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, number)
	}()
	backend.Send(&pgproto3.AuthenticationOk{})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: uint32(number), SecretKey: []byte{1, 2, 3, 4}})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	status := byte('I')
	for {
		message, err := backend.Receive()
		if err != nil {
			return
		}
		query, ok := message.(*pgproto3.Query)
		if !ok {
			return
		}
		s.recordStatement(query.String)
		status = s.answer(backend, query.String, status)
		if backend.Flush() != nil {
			return
		}
	}
}

func (s *scriptedInstance) recordStatement(statement string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statements = append(s.statements, statement)
}

func (s *scriptedInstance) answer(backend *pgproto3.Backend, statement string, status byte) byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch statement {
	case "BEGIN":
		status = 'T'
	case "COMMIT":
		status = 'I'
	case "":
		backend.Send(&pgproto3.EmptyQueryResponse{})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
		return status
	case "SELECT pg_current_wal_lsn()":
		backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(s.position)}})
	case "SELECT pg_is_in_recovery()":
		backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("f")}})
	case "SELECT timeline_id FROM pg_control_checkpoint()":
		backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("1")}})
	}
	backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("OK")})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return status
}

func (s *scriptedInstance) count(statement string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, x := range s.statements {
		if x == statement {
			n++
		}
	}
	return n
}

// leaders is a proxy.Leaders with the same leadership for all groups.
type leaders struct {
	mu         sync.Mutex
	leadership proxy.Leadership
	// refusal is the result of Acknowledge.
	refusal      error
	acknowledged []proxy.Bookmark
}

func (l *leaders) set(leadership proxy.Leadership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leadership = leadership
}

func (l *leaders) Leader(proxy.GroupID) (proxy.Leadership, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leadership, true
}

// Acknowledge accepts all writes, so that the pool's own checks are tested.
func (l *leaders) Acknowledge(_ proxy.Instant, _ proxy.GroupID, _ proxy.InstanceID, at proxy.Bookmark) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged = append(l.acknowledged, at)
	return l.refusal
}

// catalog is a proxy.Catalog whose document is replaced by tests.
type catalog struct {
	mu       sync.Mutex
	document *proxy.Document
	revision proxy.Revision
}

func (c *catalog) Current() (*proxy.Document, proxy.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document, c.revision
}

func (c *catalog) set(document *proxy.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.document = document
	c.revision++
}

// manualClock is a proxy.Clock that advances only when a test calls advance.
type manualClock struct {
	mu  sync.Mutex
	now proxy.Instant
}

func (m *manualClock) Now() proxy.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *manualClock) advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
