package frontend_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/frontend"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// TestUnconfirmedCommit guards against acknowledging a write on an instance that is no
// longer the primary.
func TestUnconfirmedCommit(t *testing.T) {
	sync := &pgproto3.Sync{}
	for name, test := range map[string]struct {
		sent  []pgproto3.FrontendMessage
		ready int
		want  []string
	}{
		"query":  {[]pgproto3.FrontendMessage{&pgproto3.Query{String: "insert"}}, 1, []string{"error 08007 outcome unknown", "ready I"}},
		"select": {[]pgproto3.FrontendMessage{&pgproto3.Query{String: "select 1"}}, 1, []string{"RowDescription", "row 1", "error 08007 outcome unknown", "ready I"}},
		"transaction": {
			[]pgproto3.FrontendMessage{&pgproto3.Query{String: "begin"}, &pgproto3.Query{String: "insert"}, &pgproto3.Query{String: "commit"}},
			3,
			[]string{"BEGIN", "ready T", "INSERT 0 1", "ready T", "error 08007 outcome unknown", "ready I"},
		},
		"rollback": {
			[]pgproto3.FrontendMessage{&pgproto3.Query{String: "begin"}, &pgproto3.Query{String: "rollback"}},
			2,
			[]string{"BEGIN", "ready T", "ROLLBACK", "ready I"},
		},
		"commit in the middle": {
			[]pgproto3.FrontendMessage{&pgproto3.Query{String: "begin;insert;commit;select 1"}},
			1,
			[]string{"BEGIN", "INSERT 0 1", "error 08007 outcome unknown", "ready I"},
		},
		"extended": {
			pipeline("insert", &pgproto3.Close{ObjectType: 'P'}, sync), 1,
			[]string{"ParseComplete", "BindComplete", "error 08007 outcome unknown", "ready I"},
		},
		"extended commit in the middle": {
			pipeline("begin", "commit", "select 1", sync), 1,
			[]string{"ParseComplete", "BindComplete", "BEGIN", "ParseComplete", "BindComplete", "error 08007 outcome unknown", "ready I"},
		},
		"commit then flush": {
			pipeline("begin", "commit", &pgproto3.Flush{}, "insert", sync, "insert", sync), 2,
			[]string{
				"ParseComplete", "BindComplete", "BEGIN", "ParseComplete", "BindComplete", "error 08007 outcome unknown", "ready I",
				"ParseComplete", "BindComplete", "error 08007 outcome unknown", "ready I",
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := start(t)
			h.instance.confirm = errors.New("lease expired")
			client := h.dial()
			send(client, test.sent...)
			is.Equal(h.replies(client, test.ready), test.want)
			is.Equal(len(h.committed), 0)
		})
	}
}

// TestConnectionLoss guards against reporting "not run" for statements that may have
// run, and against running the rest of a transaction whose beginning was lost with its
// connection.
func TestConnectionLoss(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("orders", "")
	is.Equal(run(conn, "die", "select 1"), []string{"08007 outcome unknown", "none"})
	_, err := conn.Exec(background, "die", pgx.QueryExecModeExec)
	is.Equal(code(err), "08007 outcome unknown")
	is.Equal(run(conn, "select 1"), []string{"none"})
	client := h.dial()
	send(client, &pgproto3.Query{String: "begin"}, &pgproto3.Query{String: "die"}, &pgproto3.Query{String: "insert"})
	is.Equal(h.replies(client, 3), []string{"BEGIN", "ready T", "error 08007 outcome unknown", "closed"})
	client = h.dial()
	send(client, &pgproto3.Query{String: "begin; die"}, &pgproto3.Query{String: "insert"})
	is.Equal(h.replies(client, 2), []string{"error 08007 outcome unknown", "closed"})
	for _, text := range h.instance.history() {
		is.True(text != "insert")
	}
}

// TestTimeout guards against statements that occupy a connection beyond their route's
// timeout, whether or not the instance reacts to the cancel request.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("short", "")
	is.Equal(run(conn, "block", "select 1"), []string{"57014 ", "none"})
	is.Equal(h.instance.broken(), 0)
	is.Equal(run(conn, "hang", "select 1"), []string{"08007 outcome unknown", "none"})
	is.Equal(h.instance.broken(), 1)
}

// TestCancelRequest guards against cancel requests that do not cancel their statement,
// cancel it without the right secret, or are not forwarded to the host of the session.
func TestCancelRequest(t *testing.T) {
	is := is.New(t)
	forwarded := make(chan uint32, 1)
	h := start(t, func(h *harness) { h.Canceler = cancelRecorder(forwarded) })
	conn := h.session("orders", "")
	is.Equal(frontend.HostOf(conn.PgConn().PID()), uint32(7))
	result := make(chan []string)
	go func() { result <- run(conn, "block", "select 1") }()
	<-h.instance.running
	is.True(!h.Cancel(background, conn.PgConn().PID(), []byte("none")))
	is.NoErr(conn.PgConn().CancelRequest(background))
	is.Equal(<-result, []string{"57014 ", "none"})
	is.Equal(h.refusedWith(startupPacket(-1, 80877102, "\x00\x10\x00\x01abcd")), "unexpected EOF")
	is.Equal(<-forwarded, uint32(2))
}

// TestCancelWhileWaiting guards against clients that cannot cancel a request that is
// waiting for a connection.
func TestCancelWhileWaiting(t *testing.T) {
	is := is.New(t)
	waits := make(blockedAcquirer)
	h := start(t, func(h *harness) { h.Acquirer = waits })
	conn := h.session("orders", "")
	result := make(chan []string)
	go func() { result <- run(conn, "select 1") }()
	<-waits
	is.NoErr(conn.PgConn().CancelRequest(background))
	is.Equal(<-result, []string{"57014 not run"})
}

// blockedAcquirer is a proxy.Acquirer that never returns a connection. It sends on the
// channel when a request arrives.
type blockedAcquirer chan struct{}

func (a blockedAcquirer) Acquire(ctx context.Context, _ proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	a <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// cancelRecorder is a Canceler that sends the number of the host on the channel.
type cancelRecorder chan uint32

func (f cancelRecorder) Forward(_ context.Context, host, _ uint32, _ []byte) error {
	f <- host
	return nil
}

// TestWithdrawal guards against sessions that continue after their account key was
// withdrawn, in each state of a session.
func TestWithdrawal(t *testing.T) {
	withdraw := func(d *proxy.Document) { d.Accounts[0].Keys = nil }
	for name, edit := range map[string]func(d *proxy.Document){
		"withdrawn": func(d *proxy.Document) { d.Accounts[0].Keys[0].Withdrawn = true },
		"deleted":   withdraw,
		"reissued":  func(d *proxy.Document) { d.Accounts[0].Keys[0].Verifier = verifier("other") },
		"not admitted": func(d *proxy.Document) {
			d.Routes[1].Accounts = nil
			d.Routes[1].Accounts = []proxy.AccountID{"weavers"}
		},
		"no route": func(d *proxy.Document) { d.Routes = d.Routes[:1] },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := start(t)
			idle, open, running := h.session("orders", ""), h.session("orders", ""), h.session("orders", "")
			is.Equal(run(open, "begin", "insert"), []string{"none", "none"})
			result := make(chan []string)
			go func() { result <- run(running, "hang") }()
			<-h.instance.running
			h.editDocument(edit)
			h.ReauthorizeSessions()
			is.Equal(<-result, []string{"28000 outcome unknown"})
			is.Equal(run(idle, "select 1"), []string{"28000 not run"})
			is.Equal(run(open, "insert"), []string{"28000 not run"})
			is.Equal(h.instance.broken(), 2)
			is.Equal(h.instance.history(), []string{"begin", "insert", "hang"})
			is.Equal(h.count("front.sessions.withdrawn"), int64(3))
		})
	}
	// Without ReauthorizeSessions, the next request detects that the key is withdrawn.
	is := is.New(t)
	h := start(t)
	conn := h.session("orders", "")
	is.Equal(run(conn, "select 1"), []string{"none"})
	h.editDocument(withdraw)
	is.Equal(run(conn, "select 2"), []string{"28000 not run"})
}

// TestShutdown guards against a shutdown that interrupts a transaction within the grace
// period, or that waits for idle clients.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	h := start(t, func(h *harness) { h.Limits.Grace = time.Minute })
	idle, open := h.session("orders", ""), h.session("orders", "")
	is.Equal(run(open, "begin"), []string{"none"})
	is.Equal(len(h.Sessions()), 2)
	h.stop()
	for len(h.Sessions()) > 1 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(run(idle, "select 1"), []string{"57P01 not run"})
	is.Equal(run(open, "insert", "commit", "select 1"), []string{"none", "none", "57P01 not run"})
	h.shutdown()
	is.Equal(h.instance.broken(), 0)
	is.Equal(len(h.Sessions()), 0)
}

// TestShutdownGrace guards against a shutdown that waits beyond the grace period for a
// statement that does not end.
func TestShutdownGrace(t *testing.T) {
	is := is.New(t)
	h := start(t, func(h *harness) { h.Limits.Grace = 30 * time.Millisecond })
	conn := h.session("orders", "")
	result := make(chan []string)
	go func() { result <- run(conn, "hang") }()
	<-h.instance.running
	h.shutdown()
	is.Equal(<-result, []string{"57P01 outcome unknown"})
}

// TestCopy guards against lost COPY data, and against a session that is in a wrong
// state after COPY.
func TestCopy(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("orders", "")
	data := strings.Repeat("0123456789\n", 100_000)
	tag, err := conn.PgConn().CopyFrom(background, strings.NewReader(data), "copy in")
	is.NoErr(err)
	is.Equal(tag.RowsAffected(), int64(100_000))
	_, err = conn.PgConn().CopyFrom(background, failingReader{}, "copy in")
	is.Equal(code(err), "57014 ")
	var out bytes.Buffer
	_, err = conn.PgConn().CopyTo(background, &out, "copy out")
	is.NoErr(err)
	is.Equal(strings.Count(out.String(), "\n"), 100)
	is.Equal(h.instance.history(), []string{"copy in", "confirm", "copy in", "copy out", "confirm"})
	is.Equal(h.instance.broken(), 0)
	client := h.dial()
	sync := &pgproto3.Sync{}
	send(client, pipeline("copy in", sync, &pgproto3.CopyData{Data: []byte("a\n")}, &pgproto3.CopyDone{}, sync)...)
	is.Equal(h.replies(client, 1), []string{"ParseComplete", "BindComplete", "CopyInResponse", "COPY 1", "ready I"})
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("no data") }

// TestBackPressure guards against buffering of whole results: the server must not read
// ahead of a slow client. It checks the heap after half of a result was received.
func TestBackPressure(t *testing.T) {
	is := is.New(t)
	h := start(t)
	client := h.dial()
	const rows = 200_000 // of 1000 bytes, 200 MB in all
	send(client, &pgproto3.Query{String: "rows 200000"})
	_, err := client.Receive()
	is.NoErr(err)
	before := liveHeap()
	got := 0
	for {
		message, err := client.Receive()
		is.NoErr(err)
		if _, ok := message.(*pgproto3.DataRow); ok {
			got++
			if got == rows/2 {
				is.True(liveHeap() < before+16<<20)
			}
			continue
		}
		break
	}
	is.Equal(got, rows)
}

// TestLargeMessage guards against clients that exhaust the memory with one message.
func TestLargeMessage(t *testing.T) {
	h := start(t, func(h *harness) { h.Limits.MessageBytes = 1000 })
	conn := h.session("orders", "")
	_, err := conn.PgConn().Exec(background, strings.Repeat("x", 2000)).ReadAll()
	var response *pgconn.PgError
	is.New(t).True(errors.As(err, &response) && response.Code == "54000")
}
