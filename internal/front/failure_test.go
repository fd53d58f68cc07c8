package front_test

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

	"github.com/auburnyoke/auburnyoke/internal/front"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// TestUnconfirmedCommit guards against the acknowledgement of a write by a
// primary that has been replaced.
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
			w := start(t)
			w.instance.confirm = errors.New("lease expired")
			frontend := w.dial()
			send(frontend, test.sent...)
			is.Equal(w.replies(frontend, test.ready), test.want)
			is.Equal(len(w.committed), 0)
		})
	}
}

// TestConnectionLoss guards against "not run" for statements that may have run,
// and against the rest of a lost transaction being run by itself.
func TestConnectionLoss(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("orders", "")
	is.Equal(run(conn, "die", "select 1"), []string{"08007 outcome unknown", "none"})
	_, err := conn.Exec(background, "die", pgx.QueryExecModeExec)
	is.Equal(code(err), "08007 outcome unknown")
	is.Equal(run(conn, "select 1"), []string{"none"})
	frontend := w.dial()
	send(frontend, &pgproto3.Query{String: "begin"}, &pgproto3.Query{String: "die"}, &pgproto3.Query{String: "insert"})
	is.Equal(w.replies(frontend, 3), []string{"BEGIN", "ready T", "error 08007 outcome unknown", "closed"})
	frontend = w.dial()
	send(frontend, &pgproto3.Query{String: "begin; die"}, &pgproto3.Query{String: "insert"})
	is.Equal(w.replies(frontend, 2), []string{"error 08007 outcome unknown", "closed"})
	for _, text := range w.instance.history() {
		is.True(text != "insert")
	}
}

// TestTimeout guards against statements that hold a connection beyond their
// route's timeout, whether or not the instance heeds the cancel.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("short", "")
	is.Equal(run(conn, "block", "select 1"), []string{"57014 ", "none"})
	is.Equal(w.instance.broken(), 0)
	is.Equal(run(conn, "hang", "select 1"), []string{"08007 outcome unknown", "none"})
	is.Equal(w.instance.broken(), 1)
}

// TestCancelRequest guards against cancel requests that miss their statement,
// reach it without the secret, or are not forwarded to their host.
func TestCancelRequest(t *testing.T) {
	is := is.New(t)
	forwarded := make(chan uint32, 1)
	w := start(t, func(w *world) { w.Canceler = forward(forwarded) })
	conn := w.session("orders", "")
	is.Equal(front.HostOf(conn.PgConn().PID()), uint32(7))
	result := make(chan []string)
	go func() { result <- run(conn, "block", "select 1") }()
	<-w.instance.running
	is.True(!w.Cancel(background, conn.PgConn().PID(), []byte("none")))
	is.NoErr(conn.PgConn().CancelRequest(background))
	is.Equal(<-result, []string{"57014 ", "none"})
	is.Equal(w.refusedWith(packet(-1, 80877102, "\x00\x10\x00\x01abcd")), "unexpected EOF")
	is.Equal(<-forwarded, uint32(2))
}

// TestCancelWhileWaiting guards against clients that cannot take back a request
// that waits for a connection.
func TestCancelWhileWaiting(t *testing.T) {
	is := is.New(t)
	waits := make(waiting)
	w := start(t, func(w *world) { w.Acquirer = waits })
	conn := w.session("orders", "")
	result := make(chan []string)
	go func() { result <- run(conn, "select 1") }()
	<-waits
	is.NoErr(conn.PgConn().CancelRequest(background))
	is.Equal(<-result, []string{"57014 not run"})
}

// waiting is a Lender that never lends and tells when it is asked.
type waiting chan struct{}

func (w waiting) Acquire(ctx context.Context, _ proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	w <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

type forward chan uint32

func (f forward) Forward(_ context.Context, host, _ uint32, _ []byte) error {
	f <- host
	return nil
}

// TestWithdrawal guards against sessions that outlive their key, in each state
// that a session can be in.
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
			w := start(t)
			idle, open, running := w.session("orders", ""), w.session("orders", ""), w.session("orders", "")
			is.Equal(run(open, "begin", "insert"), []string{"none", "none"})
			result := make(chan []string)
			go func() { result <- run(running, "hang") }()
			<-w.instance.running
			w.change(edit)
			w.Recheck()
			is.Equal(<-result, []string{"28000 outcome unknown"})
			is.Equal(run(idle, "select 1"), []string{"28000 not run"})
			is.Equal(run(open, "insert"), []string{"28000 not run"})
			is.Equal(w.instance.broken(), 2)
			is.Equal(w.instance.history(), []string{"begin", "insert", "hang"})
			is.Equal(w.count("front.sessions.withdrawn"), int64(3))
		})
	}
	// Without Recheck, the next request finds the key withdrawn.
	is := is.New(t)
	w := start(t)
	conn := w.session("orders", "")
	is.Equal(run(conn, "select 1"), []string{"none"})
	w.change(withdraw)
	is.Equal(run(conn, "select 2"), []string{"28000 not run"})
}

// TestShutdown guards against a planned stop that interrupts a transaction or
// waits for idle clients.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	w := start(t, func(w *world) { w.Limits.Grace = time.Minute })
	idle, open := w.session("orders", ""), w.session("orders", "")
	is.Equal(run(open, "begin"), []string{"none"})
	is.Equal(len(w.Sessions()), 2)
	w.stop()
	for len(w.Sessions()) > 1 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(run(idle, "select 1"), []string{"57P01 not run"})
	is.Equal(run(open, "insert", "commit", "select 1"), []string{"none", "none", "57P01 not run"})
	w.shutdown()
	is.Equal(w.instance.broken(), 0)
	is.Equal(len(w.Sessions()), 0)
}

// TestShutdownGrace guards against a stop that waits forever.
func TestShutdownGrace(t *testing.T) {
	is := is.New(t)
	w := start(t, func(w *world) { w.Limits.Grace = 30 * time.Millisecond })
	conn := w.session("orders", "")
	result := make(chan []string)
	go func() { result <- run(conn, "hang") }()
	<-w.instance.running
	w.shutdown()
	is.Equal(<-result, []string{"57P01 outcome unknown"})
}

// TestCopy guards against COPY data that is lost, and against a COPY that
// leaves its session in a wrong state.
func TestCopy(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("orders", "")
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
	is.Equal(w.instance.history(), []string{"copy in", "confirm", "copy in", "copy out", "confirm"})
	is.Equal(w.instance.broken(), 0)
	frontend := w.dial()
	sync := &pgproto3.Sync{}
	send(frontend, pipeline("copy in", sync, &pgproto3.CopyData{Data: []byte("a\n")}, &pgproto3.CopyDone{}, sync)...)
	is.Equal(w.replies(frontend, 1), []string{"ParseComplete", "BindComplete", "CopyInResponse", "COPY 1", "ready I"})
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("no data") }

// TestBackPressure guards against results that are buffered whole: the instance
// must not get ahead of a client that does not read.
func TestBackPressure(t *testing.T) {
	is := is.New(t)
	w := start(t)
	frontend := w.dial()
	const rows = 200_000 // 200 MB
	send(frontend, &pgproto3.Query{String: "rows 200000"})
	_, err := frontend.Receive()
	is.NoErr(err)
	before := allocated()
	got := 0
	for {
		message, err := frontend.Receive()
		is.NoErr(err)
		if _, ok := message.(*pgproto3.DataRow); ok {
			got++
			if got == rows/2 {
				is.True(allocated() < before+16<<20)
			}
			continue
		}
		break
	}
	is.Equal(got, rows)
}

// TestLargeMessage guards against clients that exhaust memory by one message.
func TestLargeMessage(t *testing.T) {
	w := start(t, func(w *world) { w.Limits.Message = 1000 })
	conn := w.session("orders", "")
	_, err := conn.PgConn().Exec(background, strings.Repeat("x", 2000)).ReadAll()
	var response *pgconn.PgError
	is.New(t).True(errors.As(err, &response) && response.Code == "54000")
}
