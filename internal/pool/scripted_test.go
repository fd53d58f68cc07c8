package pool_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// scripted is an instance that answers statements from a script.
type scripted struct {
	listener net.Listener

	mu         sync.Mutex
	total      int
	statements []string
	// position is the answer to the position statements.
	position string
	conns    map[int]net.Conn
}

func startScripted(t testing.TB) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{listener: listener, position: "0/100", conns: map[int]net.Conn{}}
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

func (s *scripted) address() string { return s.listener.Addr().String() }

func (s *scripted) serve(conn net.Conn) {
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
		s.note(query.String)
		status = s.answer(backend, query.String, status)
		if backend.Flush() != nil {
			return
		}
	}
}

func (s *scripted) note(statement string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statements = append(s.statements, statement)
}

func (s *scripted) answer(backend *pgproto3.Backend, statement string, status byte) byte {
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

func (s *scripted) count(statement string) int {
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

// leaders is a proxy.Leaders of one primary for all groups.
type leaders struct {
	mu         sync.Mutex
	leadership proxy.Leadership
	// refusal is the answer of Acknowledge.
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

// catalog is a proxy.Catalog whose document tests replace.
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

// manual is a proxy.Clock that tests move.
type manual struct {
	mu  sync.Mutex
	now proxy.Instant
}

func (m *manual) Now() proxy.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *manual) move(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
