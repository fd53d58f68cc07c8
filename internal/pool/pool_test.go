package pool_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/auburnyoke/auburnyoke/internal/pool"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// fixture is a pool with one scripted instance.
type fixture struct {
	pool     *pool.Pool
	instance *scripted
	leaders  *leaders
	catalog  *catalog
	clock    *manual
}

func startBench(t testing.TB, share, slots int) *fixture {
	t.Helper()
	b := &fixture{instance: startScripted(t), leaders: &leaders{}, catalog: &catalog{}, clock: &manual{now: 1}}
	b.leaders.set(proxy.Leadership{Term: 1, Primary: "one"})
	b.catalog.set(b.document(false, slots))
	b.pool = &pool.Pool{
		Catalog: b.catalog, Stage: proxy.Production, Leaders: b.leaders, Clock: b.clock,
		User: "system", Share: func(proxy.GroupID) int { return share },
		ProbeTimeout: 200 * time.Millisecond, Poll: 5 * time.Millisecond, Metrics: metrics.NewRegistry(),
	}
	start(t, b.pool)
	return b
}

func (b *fixture) document(leaving bool, slots int) *proxy.Document {
	instance := proxy.Instance{ID: "one", Zone: "a", Address: b.instance.address(), Primary: true, Leaving: leaving}
	return &proxy.Document{Groups: []proxy.Group{{ID: "orders", Instances: []proxy.Instance{instance}, Slots: slots, Database: "orders"}}}
}

func ask(session uint64) proxy.ConnectionRequest {
	return proxy.ConnectionRequest{Group: "orders", Account: "clerks", Access: proxy.Write, Weight: 1, Session: session, WaitTimeout: 10 * time.Second}
}

// run executes one simple query on the loan.
func run(t testing.TB, loan proxy.AcquiredConnection, statement string) {
	t.Helper()
	f := loan.Frontend()
	f.SendQuery(&pgproto3.Query{String: statement})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	for {
		m, err := f.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}

// Guards against a lender that cannot lend the primary or confirm a write.
func TestLendAndConfirm(t *testing.T) {
	is := is.New(t)
	b := startBench(t, 2, 2)
	loan, err := b.pool.Acquire(t.Context(), ask(1))
	is.NoErr(err)
	run(t, loan, "INSERT")
	at, err := loan.Confirm(t.Context())
	is.NoErr(err)
	is.Equal(at, proxy.Bookmark{Term: 1, Position: 0x100})
	is.Equal(b.leaders.acknowledged, []proxy.Bookmark{at})
	b.leaders.refusal = proxy.UnknownOutcome(proxy.OutcomeUnknown, "no lease")
	_, err = loan.Confirm(t.Context())
	is.Equal(proxy.AsRefusal(err).Text, "no lease")
	b.leaders.refusal = nil
	b.leaders.set(proxy.Leadership{Term: 2, Primary: "one"})
	_, err = loan.Confirm(t.Context())
	is.Equal(proxy.AsRefusal(err).Outcome, proxy.Unknown) // a loan of an older term
	loan.Release(proxy.ReleaseState{Wrote: true})
}

// Guards against session state that reaches another session.
func TestResetBetweenSessions(t *testing.T) {
	is := is.New(t)
	b := startBench(t, 1, 1)
	for _, step := range []struct {
		session uint64
		same    bool
		resets  int
	}{{1, false, 0}, {1, true, 0}, {2, false, 1}, {1, false, 2}} {
		loan, err := b.pool.Acquire(t.Context(), ask(step.session))
		is.NoErr(err)
		is.Equal(loan.ConnectionInfo().SameSession, step.same)
		is.Equal(b.instance.count("DISCARD ALL"), step.resets)
		loan.Release(proxy.ReleaseState{})
	}
}

// Guards against a connection that is lent inside another one's transaction.
func TestOpenTransactionIsClosed(t *testing.T) {
	is := is.New(t)
	b := startBench(t, 1, 1)
	loan, err := b.pool.Acquire(t.Context(), ask(1))
	is.NoErr(err)
	run(t, loan, "BEGIN")
	loan.Release(proxy.ReleaseState{})
	loan, err = b.pool.Acquire(t.Context(), ask(1))
	is.NoErr(err)
	is.True(!loan.ConnectionInfo().SameSession)
	loan.Release(proxy.ReleaseState{})
}

// Guards against waiting without end, and against a refusal that does not say
// that nothing ran.
func TestPatience(t *testing.T) {
	is := is.New(t)
	b := startBench(t, 1, 1)
	held, err := b.pool.Acquire(t.Context(), ask(1))
	is.NoErr(err)
	impatient := ask(2)
	impatient.WaitTimeout = time.Millisecond
	_, err = b.pool.Acquire(t.Context(), impatient)
	var refusal *proxy.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.State, proxy.TooManyConnections)
	is.Equal(refusal.Outcome, proxy.NotRun)
	is.True(refusal.RetryAfter > 0)
	held.Release(proxy.ReleaseState{})
}
