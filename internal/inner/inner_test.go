package inner_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

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
// connection, a connection whose number is lost on the way, a connection that is
// not reset between the sessions of two fronts, and a confirmation that loses its
// bookmark.
func TestRemoteLoans(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 2)
	front, other := h.client(t, 1), h.client(t, 2)
	var number uint64 // of the only connection
	for _, step := range []struct {
		client *inner.Client
		same   bool
	}{{front, false}, {front, true}, {other, false}, {other, true}, {front, false}} {
		loan, err := step.client.At(h.address).Lend(t.Context(), ask(5))
		is.NoErr(err)
		if number == 0 {
			number = loan.Lent().Connection
			is.True(number != 0)
		}
		is.Equal(loan.Lent(), proxy.Lent{Instance: "one", Primary: true, Term: 3, Same: step.same, Connection: number})
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

// Guards against answers that reach another request, connections that are lost
// and loans that are never given back while peer connections break all the time.
func TestLossyLink(t *testing.T) {
	is := is.New(t)
	h := startHost(t, 3)
	l := startLink(t, h.address)
	lender := h.client(t, 1).At(l.address())
	var working sync.WaitGroup
	for worker := range uint64(6) {
		random := rand.New(rand.NewPCG(3, worker))
		working.Go(func() {
			for range 40 {
				if random.IntN(10) == 0 {
					l.cut()
				}
				lendOver(t, lender, worker+1, random.IntN(1000))
			}
		})
	}
	working.Wait()
	for h.pool.InstanceStates("orders")[0].Busy > 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(h.pool.OpenConnections("orders", "one") <= 3)
	is.Equal(metrics.GetOrRegisterCounter("pool.violations", h.pool.Metrics).Count(), int64(0))
}

// lendOver runs one statement; the connection may break at any time.
func lendOver(t *testing.T, lender proxy.Lender, session uint64, number int) {
	loan, err := lender.Lend(t.Context(), ask(session))
	if err != nil {
		if proxy.AsRefusal(err).Outcome != proxy.NotRun {
			t.Errorf("a loan that was not lent is in doubt: %v", err)
		}
		return
	}
	values, err := query(loan, "SELECT "+strconv.Itoa(number))
	loan.Release(proxy.Return{Broken: err != nil})
	if err == nil && (len(values) != 1 || values[0] != strconv.Itoa(number)) {
		t.Errorf("answer %v to the request for %d", values, number)
	}
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
