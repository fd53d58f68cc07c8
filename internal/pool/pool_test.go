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

// scriptedFixture is a pool with one scripted instance.
type scriptedFixture struct {
	pool     *pool.Pool
	instance *scriptedInstance
	leaders  *leaders
	catalog  *catalog
	clock    *manualClock
}

func startScriptedFixture(t testing.TB, share, slots int) *scriptedFixture {
	t.Helper()
	f := &scriptedFixture{instance: startScriptedInstance(t), leaders: &leaders{}, catalog: &catalog{}, clock: &manualClock{now: 1}}
	f.leaders.set(proxy.Leadership{Term: 1, Primary: "one"})
	f.catalog.set(f.document(false, slots))
	f.pool = &pool.Pool{
		Catalog: f.catalog, Stage: proxy.Production, Leaders: f.leaders, Clock: f.clock,
		User: "system", Share: func(proxy.GroupID) int { return share },
		ProbeTimeout: 200 * time.Millisecond, MeasurementInterval: 5 * time.Millisecond, Metrics: metrics.NewRegistry(),
	}
	start(t, f.pool)
	return f
}

func (f *scriptedFixture) document(leaving bool, slots int) *proxy.Document {
	instance := proxy.Instance{ID: "one", Zone: "a", Address: f.instance.address(), Primary: true, Leaving: leaving}
	return &proxy.Document{Groups: []proxy.Group{{ID: "orders", Instances: []proxy.Instance{instance}, Slots: slots, Database: "orders"}}}
}

func writeRequest(session uint64) proxy.ConnectionRequest {
	return proxy.ConnectionRequest{Group: "orders", Account: "clerks", Access: proxy.Write, Weight: 1, Session: session, WaitTimeout: 10 * time.Second}
}

// runQuery runs one simple query on the connection.
func runQuery(t testing.TB, acquired proxy.AcquiredConnection, statement string) {
	t.Helper()
	frontend := acquired.Frontend()
	frontend.SendQuery(&pgproto3.Query{String: statement})
	if err := frontend.Flush(); err != nil {
		t.Fatal(err)
	}
	for {
		m, err := frontend.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return
		}
	}
}

// Guards against a pool that acquires no connection to the primary or does not confirm a
// write.
func TestAcquireAndConfirm(t *testing.T) {
	is := is.New(t)
	f := startScriptedFixture(t, 2, 2)
	acquired, err := f.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	runQuery(t, acquired, "INSERT")
	at, err := acquired.Confirm(t.Context())
	is.NoErr(err)
	is.Equal(at, proxy.Bookmark{Term: 1, Position: 0x100})
	is.Equal(f.leaders.acknowledged, []proxy.Bookmark{at})
	f.leaders.refusal = proxy.UnknownOutcome(proxy.OutcomeUnknown, "no lease")
	_, err = acquired.Confirm(t.Context())
	is.Equal(proxy.AsRefusal(err).Text, "no lease")
	f.leaders.refusal = nil
	f.leaders.set(proxy.Leadership{Term: 2, Primary: "one"})
	_, err = acquired.Confirm(t.Context())
	is.Equal(proxy.AsRefusal(err).Outcome, proxy.Unknown) // acquired in an older term
	acquired.Release(proxy.ReleaseState{Wrote: true})
}

// Guards against session state that leaks into another session.
func TestResetBetweenSessions(t *testing.T) {
	is := is.New(t)
	f := startScriptedFixture(t, 1, 1)
	for _, step := range []struct {
		session uint64
		same    bool
		resets  int
	}{{1, false, 0}, {1, true, 0}, {2, false, 1}, {1, false, 2}} {
		acquired, err := f.pool.Acquire(t.Context(), writeRequest(step.session))
		is.NoErr(err)
		is.Equal(acquired.ConnectionInfo().SameSession, step.same)
		is.Equal(f.instance.count("DISCARD ALL"), step.resets)
		acquired.Release(proxy.ReleaseState{})
	}
}

// Guards against a connection that is acquired while the transaction of its previous user
// is still open.
func TestConnectionWithOpenTransactionIsClosed(t *testing.T) {
	is := is.New(t)
	f := startScriptedFixture(t, 1, 1)
	acquired, err := f.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	runQuery(t, acquired, "BEGIN")
	acquired.Release(proxy.ReleaseState{})
	acquired, err = f.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	is.True(!acquired.ConnectionInfo().SameSession)
	acquired.Release(proxy.ReleaseState{})
}

// Guards against an unlimited wait, and against a refusal that does not state that nothing
// was run.
func TestWaitTimeout(t *testing.T) {
	is := is.New(t)
	f := startScriptedFixture(t, 1, 1)
	acquired, err := f.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	request := writeRequest(2)
	request.WaitTimeout = time.Millisecond
	_, err = f.pool.Acquire(t.Context(), request)
	var refusal *proxy.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.State, proxy.TooManyConnections)
	is.Equal(refusal.Outcome, proxy.NotRun)
	is.True(refusal.RetryAfter > 0)
	acquired.Release(proxy.ReleaseState{})
}
