package frontend_test

import (
	"fmt"
	"math/rand"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// dial opens a session on the open route and returns its raw protocol connection.
func (h *harness) dial() *pgproto3.Frontend { return h.dialAt(h.address, "open") }

// dialAt is like dial for any server and database.
func (h *harness) dialAt(address, database string) *pgproto3.Frontend {
	h.t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second)) // so that a failing test does not hang
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "anyone", "database": database, "application_name": "test"},
	})
	if err := frontend.Flush(); err != nil {
		h.t.Fatal(err)
	}
	h.replies(frontend, 1)
	return frontend
}

// replies reads messages up to the nth ReadyForQuery and returns a description of each.
func (h *harness) replies(frontend *pgproto3.Frontend, ready int) []string {
	h.t.Helper()
	var got []string
	for ready > 0 {
		message, err := frontend.Receive()
		if err != nil {
			return append(got, "closed")
		}
		switch m := message.(type) {
		case *pgproto3.ReadyForQuery:
			ready--
			got = append(got, "ready "+string(m.TxStatus))
		case *pgproto3.ErrorResponse:
			got = append(got, strings.TrimSpace("error "+m.Code+" "+m.Detail))
		case *pgproto3.CommandComplete:
			got = append(got, string(m.CommandTag))
		case *pgproto3.ParameterStatus: // sent at any time, when the instance reports a value
		case *pgproto3.DataRow:
			got = append(got, "row "+string(m.Values[0]))
		default:
			got = append(got, strings.TrimPrefix(fmt.Sprintf("%T", message), "*pgproto3."))
		}
	}
	return got
}

func send(frontend *pgproto3.Frontend, messages ...pgproto3.FrontendMessage) {
	for _, message := range messages {
		frontend.Send(message)
	}
	_ = frontend.Flush()
}

// statementMessages returns the extended-query messages that run one unnamed statement.
func statementMessages(text string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: text}, &pgproto3.Bind{}, &pgproto3.Execute{}}
}

// pipeline returns the given messages; a string stands for the messages that run it as
// an unnamed statement.
func pipeline(parts ...any) []pgproto3.FrontendMessage {
	var messages []pgproto3.FrontendMessage
	for _, part := range parts {
		switch p := part.(type) {
		case string:
			messages = append(messages, statementMessages(p)...)
		case pgproto3.FrontendMessage:
			messages = append(messages, p)
		}
	}
	return messages
}

// TestPipeline guards against replies that are lost, out of order or assigned to
// another request when a client sends messages without waiting for replies.
func TestPipeline(t *testing.T) {
	sync := &pgproto3.Sync{}
	ran := func(tag ...string) []string { return append([]string{"ParseComplete", "BindComplete"}, tag...) }
	join := func(parts ...[]string) (all []string) {
		for _, p := range parts {
			all = append(all, p...)
		}
		return all
	}
	ready := []string{"ready I"}
	for name, test := range map[string]struct {
		sent  []pgproto3.FrontendMessage
		ready int
		want  []string
	}{
		"one":    {pipeline("insert", sync), 1, join(ran("INSERT 0 1"), ready)},
		"two":    {pipeline("insert", "select 2", sync), 1, join(ran("INSERT 0 1"), ran("row 2", "SELECT 1"), ready)},
		"syncs":  {pipeline("insert", sync, "select 2", sync), 2, join(ran("INSERT 0 1"), ready, ran("row 2", "SELECT 1"), ready)},
		"empty":  {pipeline(sync, sync), 2, join(ready, ready)},
		"flush":  {pipeline("insert", &pgproto3.Flush{}, "insert", sync), 1, join(ran("INSERT 0 1"), ran("INSERT 0 1"), ready)},
		"closes": {pipeline("insert", &pgproto3.Close{ObjectType: 'P'}, sync), 1, join(ran("INSERT 0 1"), []string{"CloseComplete"}, ready)},
		"error": {
			pipeline("insert", "wrong", "insert", sync, "insert", sync), 2,
			join(ran("INSERT 0 1"), ran("error 42601"), ready, ran("INSERT 0 1"), ready),
		},
		"refused": {
			pipeline("insert", "listen x", "insert", sync, "insert", sync), 2,
			join([]string{"error 0A000 not run"}, ready, ran("INSERT 0 1"), ready),
		},
		"refused after flush": {
			pipeline("insert", &pgproto3.Flush{}, "listen x", "insert", sync, "insert", sync), 2,
			join(ran("INSERT 0 1"), []string{"error 0A000 not run"}, ready, ran("INSERT 0 1"), ready),
		},
		"refused in transaction": {
			pipeline("begin", sync, "listen x", sync, "insert", sync, "rollback", sync), 4,
			join(ran("BEGIN"), []string{"ready T", "error 0A000 not run", "ready E"}, ran("error 25P02"), []string{"ready E"}, ran("ROLLBACK"), ready),
		},
		"query skipped": {pipeline("wrong", &pgproto3.Flush{}, &pgproto3.Query{String: "insert"}, sync), 1, join(ran("error 42601"), ready)},
		"query unsynced": {
			pipeline("insert", &pgproto3.Query{String: "insert"}), 1,
			join(ran("INSERT 0 1"), []string{"INSERT 0 1"}, ready),
		},
		"several statements": {
			[]pgproto3.FrontendMessage{&pgproto3.Query{String: "insert; select 1;wrong;insert"}},
			1,
			[]string{"INSERT 0 1", "RowDescription", "row 1", "SELECT 1", "error 42601", "ready I"},
		},
		"empty query":   {[]pgproto3.FrontendMessage{&pgproto3.Query{}}, 1, []string{"EmptyQueryResponse", "ready I"}},
		"function call": {[]pgproto3.FrontendMessage{&pgproto3.FunctionCall{}}, 1, []string{"error 0A000 not run", "ready I"}},
		"stray copy":    {pipeline(&pgproto3.CopyData{}, &pgproto3.CopyDone{}, "insert", sync), 1, join(ran("INSERT 0 1"), ready)},
		"portal missing": {
			pipeline(&pgproto3.Bind{PreparedStatement: "absent"}, &pgproto3.Execute{}, sync), 1,
			[]string{"error 26000", "ready I"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := start(t)
			frontend := h.dial()
			send(frontend, test.sent...)
			is.Equal(h.replies(frontend, test.ready), test.want)
			is.Equal(h.instance.broken(), 0)
		})
	}
}

// TestPreparedStatements guards against prepared statements that are missing on
// connections acquired later, and against a name that stands for an older statement on
// another connection.
func TestPreparedStatements(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("orders", "")
	value := func(name string) (string, error) {
		var v string
		err := conn.QueryRow(background, name).Scan(&v)
		return v, err
	}
	prepare := func(name, text string) {
		_, err := conn.PgConn().Prepare(background, name, text, nil)
		is.NoErr(err)
	}
	prepare("p", "select one")
	older := h.instance.swap()
	result := conn.PgConn().ExecPrepared(background, "p", nil, nil, nil).Read()
	is.NoErr(result.Err)
	is.Equal(string(result.Rows[0][0]), "one")
	_, err := conn.PgConn().Prepare(background, "p", "select two", nil)
	is.Equal(code(err), "42P05 ")
	h.instance.swap()
	_, err = conn.PgConn().Prepare(background, "p", "select two", nil)
	is.Equal(code(err), "42P05 ") // also on a connection that does not have it
	is.Equal(run(conn, "deallocate q"), []string{"42601 "})
	is.NoErr(conn.PgConn().Deallocate(background, "p"))
	prepare("p", "select two")
	h.instance.swap(older...)
	result = conn.PgConn().ExecPrepared(background, "p", nil, nil, nil).Read()
	is.NoErr(result.Err)
	is.Equal(string(result.Rows[0][0]), "two")
	v, err := value("select 3")
	is.NoErr(err)
	is.Equal(v, "3")
}

// TestSessionsDoNotMix guards against replies or settings of one session that reach
// another session when several of them run random batches concurrently.
func TestSessionsDoNotMix(t *testing.T) {
	h := start(t)
	const sessions = 8
	failures := make(chan error, sessions)
	for n := range sessions {
		conn := h.session("orders", fmt.Sprintf("application_name=s%d", n))
		random := rand.New(rand.NewSource(int64(n)))
		go func() { failures <- runMixedBatches(conn, n, random) }()
	}
	for range sessions {
		is.New(t).NoErr(<-failures)
	}
	is.New(t).Equal(h.instance.broken(), 0)
}

// runMixedBatches runs random batches and checks that each result belongs to the
// session.
func runMixedBatches(conn *pgx.Conn, n int, random *rand.Rand) error {
	for round := range 40 {
		batch := &pgx.Batch{}
		var want []string
		for range random.Intn(20) + 1 {
			value := fmt.Sprintf("v%d-%d-%d", n, round, random.Intn(1000))
			if random.Intn(3) == 0 {
				batch.Queue("show application_name")
				value = fmt.Sprintf("s%d", n)
			} else {
				batch.Queue("select $1", value)
			}
			want = append(want, value)
		}
		results := conn.SendBatch(background, batch)
		for _, value := range want {
			var got string
			if err := results.QueryRow().Scan(&got); err != nil || got != value {
				return fmt.Errorf("session %d: got %q, want %q: %w", n, got, value, err)
			}
		}
		if err := results.Close(); err != nil {
			return fmt.Errorf("session %d: %w", n, err)
		}
	}
	return nil
}

// TestLongPipeline guards against a deadlock: behind a statement with a large result, a
// client sends more than the socket buffers hold.
func TestLongPipeline(t *testing.T) {
	is := is.New(t)
	h := start(t)
	frontend := h.dial()
	long := strings.Repeat("y", 4<<20)
	go send(frontend, pipeline("rows 20000", "select "+long, "rows 20000", "insert", &pgproto3.Sync{})...)
	got := h.replies(frontend, 1)
	is.Equal(got[len(got)-2:], []string{"INSERT 0 1", "ready I"})
	is.Equal(len(got), 2*(20_000+3)+4+4)
}
