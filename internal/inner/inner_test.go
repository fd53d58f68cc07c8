package inner_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/inner"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

func ask(session uint64) proxy.Ask {
	return proxy.Ask{Group: "orders", Account: "clerks", Access: proxy.Write, Weight: 1, Session: session, Patience: 10 * time.Second}
}

// query runs a statement and returns the first value of each row.
func query(loan proxy.Loan, statement string) (values []string, err error) {
	f := loan.Frontend()
	f.SendQuery(&pgproto3.Query{String: statement})
	if err = f.Flush(); err != nil {
		return nil, err
	}
	for {
		m, receiveErr := f.Receive()
		if receiveErr != nil {
			return nil, receiveErr
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			values = append(values, string(m.Values[0]))
		case *pgproto3.ErrorResponse:
			err = pgconn.ErrorResponseToPgError(m)
		case *pgproto3.ReadyForQuery:
			return values, err
		}
	}
}

// Guards against answers of one loan that reach another on the same peer
// connection, a connection that is not reset between the sessions of two fronts,
// and a confirmation that loses its bookmark.
func TestRemoteLoans(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 2)
	front, other := h.client(t, 1), h.client(t, 2)
	for _, step := range []struct {
		client *inner.Client
		same   bool
	}{{front, false}, {front, true}, {other, false}, {other, true}, {front, false}} {
		loan, err := step.client.At(h.address).Lend(t.Context(), ask(5))
		is.NoErr(err)
		is.Equal(loan.Lent(), proxy.Lent{Instance: "one", Primary: true, Term: 3, Same: step.same})
		values, err := query(loan, "SELECT 1")
		is.NoErr(err)
		is.Equal(values, []string{"1"})
		at, err := loan.Confirm(t.Context())
		is.NoErr(err)
		is.Equal(at.Term, proxy.Term(3))
		loan.Release(proxy.Return{Wrote: true})
	}
}

// Guards against a refusal that loses its state or its outcome on the way.
func TestRemoteRefusal(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 2)
	lender := h.client(t, 1).At(h.address)
	unknown := ask(1)
	unknown.Group = "unknown"
	_, err := lender.Lend(t.Context(), unknown)
	refusal := proxy.AsRefusal(err)
	is.Equal(refusal.State, proxy.TooManyConnections)
	is.Equal(refusal.Outcome, proxy.NotRun)
	is.True(refusal.RetryAfter > 0)
	_, err = h.client(t, 1).At("127.0.0.1:1").Lend(t.Context(), ask(1))
	var unreachable *inner.Unreachable
	is.True(errors.As(err, &unreachable))
	is.Equal(proxy.AsRefusal(err).Outcome, proxy.NotRun)
}

// Guards against a transaction that stays open when the front's connection
// breaks or stops responding.
func TestBrokenFrontRollsBack(t *testing.T) {
	for _, c := range []struct {
		name string
		harm func(*link)
	}{{"cut", (*link).cut}, {"silent", (*link).mute}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := startHost(t, 3)
			l := startLink(t, h.address)
			loan, err := h.client(t, 1).At(l.address()).Lend(t.Context(), ask(1))
			is.NoErr(err)
			_, err = query(loan, "BEGIN")
			is.NoErr(err)
			_, err = query(loan, "INSERT INTO kv VALUES ('rug', 'sold')")
			is.NoErr(err)
			c.harm(l)
			_, err = query(loan, "COMMIT")
			is.True(err != nil)
			is.Equal(proxy.AsRefusal(err).Outcome, proxy.Unknown)
			loan.Release(proxy.Return{Broken: true})
			local, err := h.pool.Lend(t.Context(), ask(2))
			is.NoErr(err)
			// The insert waits for the end of the broken transaction.
			_, err = query(local, "INSERT INTO kv VALUES ('rug', 'kept')")
			is.NoErr(err)
			local.Release(proxy.Return{})
		})
	}
}

// Guards against a result that is lost, reordered or buffered without limit on
// its way, and against a cancel that waits for the result.
func TestLargeResultAndCancel(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 2)
	loan, err := h.client(t, 1).At(h.address).Lend(t.Context(), ask(1))
	is.NoErr(err)
	values, err := query(loan, "SELECT * FROM generate_series(1, 100000)")
	is.NoErr(err)
	is.Equal(len(values), 100000)
	is.Equal(values[len(values)-1], "100000")
	f := loan.Frontend()
	f.SendQuery(&pgproto3.Query{String: "SELECT pg_sleep(3600)"})
	is.NoErr(f.Flush())
	// A cancel request that comes before the statement runs has no effect.
	run(t, func(ctx context.Context) {
		for ctx.Err() == nil && loan.Cancel(ctx) == nil {
			time.Sleep(10 * time.Millisecond)
		}
	})
	for {
		m, err := f.Receive()
		is.NoErr(err)
		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			is.Equal(e.Code, string(proxy.QueryCanceled))
			break
		}
	}
	loan.Release(proxy.Return{Broken: true})
}

type note struct {
	Text string `cbor:"1,keyasint"`
}

func (n *note) Validate() error {
	if n.Text == "" {
		return errors.New("note: empty")
	}
	return nil
}

// Guards against control messages that are lost, that lose their sender or that
// are accepted although they are invalid.
func TestDeliver(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 2)
	client := h.client(t, 1)
	is.NoErr(client.Deliver(t.Context(), h.address, "host-1", []proxy.Message{&note{"first"}, &note{""}, &note{"second"}}))
	is.Equal(<-h.delivered, proxy.Received{From: "host-1", Message: &note{"first"}})
	is.Equal(<-h.delivered, proxy.Received{From: "host-1", Message: &note{"second"}})
	is.True(client.Deliver(t.Context(), h.address, "Host 1", nil) != nil) // an invalid sender
}

// link forwards connections to a server and can be harmed.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []net.Conn
	muted bool
}

func startLink(t testing.TB, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			l.mu.Lock()
			l.conns = append(l.conns, near, far)
			l.mu.Unlock()
			running.Go(func() { l.forward(near, far) })
			running.Go(func() { l.forward(far, near) })
		}
	})
	t.Cleanup(func() { _ = listener.Close(); l.cut(); running.Wait() })
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		muted := l.muted
		l.mu.Unlock()
		if muted {
			continue
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err = to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted = false
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted = true
}
