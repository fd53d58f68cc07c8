package inner_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/inner"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// lender lends one end of a pipe; the test serves the other end.
type lender struct {
	serve func(net.Conn)
	term  proxy.Term

	mu      sync.Mutex
	asks    []proxy.Ask
	returns chan proxy.Return
}

type fakeLoan struct {
	lender *lender
	conn   net.Conn
}

func (l *lender) Lend(_ context.Context, ask proxy.Ask) (proxy.Loan, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asks = append(l.asks, ask)
	if ask.Group == "full" {
		r := proxy.Refuse(proxy.TooManyConnections, "full")
		r.RetryAfter = time.Second
		return nil, r
	}
	near, far := net.Pipe()
	go l.serve(far)
	return &fakeLoan{l, near}, nil
}

func (f *fakeLoan) Lent() proxy.Lent {
	return proxy.Lent{Instance: "one", Primary: true, Term: f.lender.term}
}
func (f *fakeLoan) Frontend() *pgproto3.Frontend { return pgproto3.NewFrontend(f.conn, f.conn) }
func (f *fakeLoan) Raw() net.Conn                { return f.conn }
func (f *fakeLoan) Valid() time.Duration         { return time.Hour }
func (f *fakeLoan) Cancel(context.Context) error { return nil }
func (f *fakeLoan) Release(r proxy.Return)       { _ = f.conn.Close(); f.lender.returns <- r }
func (f *fakeLoan) Confirm(context.Context) (proxy.Bookmark, error) {
	return proxy.Bookmark{Term: f.lender.term, Position: 7}, nil
}

type frozen struct{}

func (frozen) Now() proxy.Instant { return 1 }

// echo answers each simple query with its text as the command tag.
func echo(conn net.Conn) {
	backend := pgproto3.NewBackend(conn, conn)
	for {
		m, err := backend.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*pgproto3.Query)
		if !ok {
			return
		}
		backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(q.String)})
		backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		if backend.Flush() != nil {
			return
		}
	}
}

// start runs a server for l and returns a lender that borrows from it.
func start(t testing.TB, l *lender) (proxy.Lender, context.CancelFunc) {
	t.Helper()
	codec, err := inner.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	clientCtx, stopClient := context.WithCancel(ctx)
	server := &inner.Server{Lender: l, Codec: codec}
	client := &inner.Client{Codec: codec, Clock: frozen{}, Nonce: 42}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Run(ctx, listener) })
	running.Go(func() { client.Run(clientCtx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return client.At(listener.Addr().String()), stopClient
}

func query(t testing.TB, loan proxy.Loan, statement string) string {
	t.Helper()
	f := loan.Frontend()
	f.SendQuery(&pgproto3.Query{String: statement})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	tag := ""
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		switch m := m.(type) {
		case *pgproto3.CommandComplete:
			tag = string(m.CommandTag)
		case *pgproto3.ReadyForQuery:
			return tag
		}
	}
}

// Guards against answers of one loan that reach another loan on the same peer
// connection, and against a confirmation that loses its bookmark.
func TestRemoteLoans(t *testing.T) {
	is := is.New(t)
	l := &lender{serve: echo, term: 3, returns: make(chan proxy.Return, 1)}
	remote, _ := start(t, l)
	for _, statement := range []string{"first", "second", "third"} {
		loan, err := remote.Lend(t.Context(), proxy.Ask{Group: "orders", Access: proxy.Write, Weight: 1, Session: 5})
		is.NoErr(err)
		is.Equal(loan.Lent(), proxy.Lent{Instance: "one", Primary: true, Term: 3})
		is.Equal(query(t, loan, statement), statement)
		at, err := loan.Confirm(t.Context())
		is.NoErr(err)
		is.Equal(at, proxy.Bookmark{Term: 3, Position: 7})
		loan.Release(proxy.Return{Wrote: true})
		is.Equal(<-l.returns, proxy.Return{Wrote: true})
	}
	is.True(l.asks[0].Session != 5) // sessions of different fronts differ
	is.Equal(l.asks[0].Session, l.asks[1].Session)
}

// Guards against a refusal that loses its state or its outcome on the way.
func TestRemoteRefusal(t *testing.T) {
	is := is.New(t)
	remote, _ := start(t, &lender{serve: echo})
	_, err := remote.Lend(t.Context(), proxy.Ask{Group: "full", Access: proxy.Write, Weight: 1})
	is.Equal(*proxy.AsRefusal(err), proxy.Refusal{State: proxy.TooManyConnections, Text: "full", Outcome: proxy.NotRun, RetryAfter: time.Second})
}
