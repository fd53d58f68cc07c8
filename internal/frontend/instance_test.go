package frontend_test

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// instance is a scripted database instance together with a pool of its connections.
type instance struct {
	mu         sync.Mutex
	listener   net.Listener
	statements []string // statements in the order of their execution
	requests   []proxy.ConnectionRequest
	releases   []proxy.ReleaseState
	idle       []*connection
	opened     uint64
	acquireErr error
	confirm    error
	replica    bool
	acquired   int
	released   *sync.Cond
	running    chan struct{} // receives a value when a statement "block" or "hang" starts
}

// connection is one connection to the instance; it has both ends.
type connection struct {
	i          *instance
	client     net.Conn
	frontend   *pgproto3.Frontend
	backend    *pgproto3.Backend
	id         uint64
	session    uint64
	status     byte
	settings   map[string]string
	statements map[string]string
	portals    map[string]string
	skipping   bool
	canceled   chan struct{}
	closed     chan struct{}
	once       sync.Once
}

func newInstance(t testing.TB) *instance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	i := &instance{listener: listener, running: make(chan struct{}, 16)}
	i.released = sync.NewCond(&i.mu)
	return i
}

func (i *instance) open() (*connection, error) {
	client, err := net.Dial("tcp", i.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	server, err := i.listener.Accept()
	if err != nil {
		return nil, err
	}
	i.opened++
	c := &connection{
		i: i, client: client, id: i.opened, status: 'I',
		frontend: pgproto3.NewFrontend(client, client), backend: pgproto3.NewBackend(server, server),
		canceled: make(chan struct{}, 1), closed: make(chan struct{}),
	}
	c.reset()
	go func() {
		defer func() { _ = server.Close() }()
		for c.step() {
		}
	}()
	return c, nil
}

func (c *connection) reset() {
	c.settings = map[string]string{}
	c.statements = map[string]string{}
	c.portals = map[string]string{}
}

// step receives and answers one message. It returns false when the connection ends.
func (c *connection) step() bool {
	message, err := c.backend.Receive()
	if err != nil {
		return false
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		for _, text := range strings.Split(m.String, ";") {
			alive, ok := c.run(strings.TrimSpace(text), true)
			if !alive {
				return false
			}
			if !ok {
				break
			}
		}
		return c.ready()
	case *pgproto3.Sync:
		return c.ready()
	case *pgproto3.Flush:
		return c.backend.Flush() == nil
	}
	if c.skipping {
		return true
	}
	switch m := message.(type) {
	case *pgproto3.Parse:
		if _, exists := c.statements[m.Name]; exists && m.Name != "" {
			c.fail("42P05", "prepared statement already exists")
		} else if strings.HasPrefix(m.Query, "auburnyoke") {
			c.fail("42601", "syntax error")
		} else {
			c.statements[m.Name] = m.Query
			c.backend.Send(&pgproto3.ParseComplete{})
		}
	case *pgproto3.Bind:
		text, exists := c.statements[m.PreparedStatement]
		if !exists {
			c.fail("26000", "prepared statement does not exist")
			break
		}
		for n, value := range m.Parameters {
			text = strings.ReplaceAll(text, "$"+strconv.Itoa(n+1), string(value))
		}
		c.portals[m.DestinationPortal] = text
		c.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			oids := make([]uint32, strings.Count(c.statements[m.Name], "$"))
			for n := range oids {
				oids[n] = 25
			}
			c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
		}
		c.describe(c.statements[m.Name] + c.portals[m.Name])
	case *pgproto3.Execute:
		alive, _ := c.run(c.portals[m.Portal], false)
		return alive
	case *pgproto3.Close:
		delete(c.statements, m.Name)
		c.backend.Send(&pgproto3.CloseComplete{})
	}
	return true
}

func (c *connection) ready() bool {
	if c.status == 'I' {
		clear(c.portals)
	}
	c.skipping = false
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	return c.backend.Flush() == nil
}

func (c *connection) fail(code, text string) {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text})
	c.skipping = true
	if c.status == 'T' {
		c.status = 'E'
	}
}

func (c *connection) describe(text string) {
	if !strings.HasPrefix(text, "select") && !strings.HasPrefix(text, "show") && !strings.HasPrefix(text, "rows") {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: 25}}})
}

func (c *connection) row(value string) {
	c.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
}

func (c *connection) complete(tag string) {
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}

// run executes one statement. It reports whether the connection stays open and whether
// the statement succeeded.
func (c *connection) run(text string, simple bool) (alive, ok bool) {
	c.i.mu.Lock()
	c.i.statements = append(c.i.statements, text)
	c.i.mu.Unlock()
	words := append(strings.Fields(strings.ToLower(text)), "", "")
	if c.status == 'E' && words[0] != "rollback" && words[0] != "commit" {
		c.fail("25P02", "current transaction is aborted")
		return true, false
	}
	if simple && (words[0] == "select" || words[0] == "show" || words[0] == "rows") {
		c.describe(words[0])
	}
	switch words[0] {
	case "":
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	case "begin":
		c.status = 'T'
		c.complete("BEGIN")
	case "commit", "rollback":
		tag := strings.ToUpper(words[0])
		if c.status == 'E' {
			tag = "ROLLBACK"
		}
		c.status = 'I'
		c.complete(tag)
	case "set":
		c.settings[strings.Trim(words[1], `"`)] = strings.Trim(words[3], "'")
		c.complete("SET")
	case "reset":
		clear(c.settings)
		c.complete("RESET")
	case "discard":
		c.reset()
		c.complete("DISCARD ALL")
	case "select", "show":
		value := words[1]
		if words[0] == "show" {
			value = c.settings[words[1]]
		}
		c.row(value)
		c.complete("SELECT 1")
	case "rows":
		n, _ := strconv.Atoi(words[1])
		for range n {
			c.row(strings.Repeat("x", 1000))
			if c.backend.Flush() != nil {
				return false, false
			}
		}
		c.complete(fmt.Sprintf("SELECT %d", n))
	case "insert":
		c.complete("INSERT 0 1")
	case "copy":
		return c.copy(words[1])
	case "block":
		c.i.running <- struct{}{}
		select {
		case <-c.canceled:
			c.fail("57014", "canceling statement due to user request")
			return true, false
		case <-c.closed:
			return false, false
		}
	case "hang":
		c.i.running <- struct{}{}
		<-c.closed
		return false, false
	case "die":
		return false, false
	default:
		c.fail("42601", "syntax error")
		return true, false
	}
	return true, true
}

func (c *connection) copy(direction string) (alive, ok bool) {
	if direction == "out" {
		c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0}})
		for n := range 100 {
			c.backend.Send(&pgproto3.CopyData{Data: []byte(strconv.Itoa(n) + "\n")})
		}
		c.backend.Send(&pgproto3.CopyDone{})
		c.complete("COPY 100")
		return true, true
	}
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0}})
	if c.backend.Flush() != nil {
		return false, false
	}
	lines := 0
	for {
		message, err := c.backend.Receive()
		if err != nil {
			return false, false
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			lines += strings.Count(string(m.Data), "\n")
		case *pgproto3.CopyDone:
			c.complete(fmt.Sprintf("COPY %d", lines))
			return true, true
		case *pgproto3.CopyFail:
			c.fail("57014", m.Message)
			return true, false
		}
	}
}
