package pool_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
	"github.com/auburnyoke/auburnyoke/internal/pool"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// group is a pool with an emulated primary "one" and replica "two".
type group struct {
	pool     *pool.Pool
	one, two *instance.Instance
	leaders  *leaders
	catalog  *catalog
	clock    *manual
	metrics  metrics.Registry
}

func startGroup(t testing.TB, share, slots int) *group {
	t.Helper()
	faults := instance.Faults{Connections: share}
	one := startEmulator(t, instance.Options{Name: "one", User: "system", Password: "secret", Faults: faults})
	two := startEmulator(t, instance.Options{Name: "two", User: "system", Password: "secret", Source: one.ControlAddress(), Faults: faults})
	g := &group{one: one, two: two, leaders: &leaders{}, catalog: &catalog{}, clock: &manual{now: 1}, metrics: metrics.NewRegistry()}
	g.leaders.set(proxy.Leadership{Term: 7, Primary: "one"})
	g.catalog.set(g.document(slots, false))
	g.pool = &pool.Pool{
		Catalog: g.catalog, Stage: proxy.Production, Zone: "a", Leaders: g.leaders, Clock: g.clock,
		User: "system", Password: "secret", Share: func(proxy.GroupID) int { return share },
		ProbeTimeout: 300 * time.Millisecond, Poll: 5 * time.Millisecond, Metrics: g.metrics,
	}
	start(t, g.pool)
	t.Cleanup(func() {
		if n := g.counter("pool.violations"); n != 0 {
			t.Errorf("%d violations", n)
		}
	})
	return g
}

func startEmulator(t testing.TB, options instance.Options) *instance.Instance {
	t.Helper()
	i, stop, err := instance.New(options)
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() { _ = i.Run(context.Background()) })
	t.Cleanup(func() { stop(); running.Wait() })
	return i
}

// start runs the pool until the end of the test.
func start(t testing.TB, p *pool.Pool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	<-p.Started()
}

func (g *group) document(slots int, leaving bool) *proxy.Document {
	return &proxy.Document{Groups: []proxy.Group{{ID: "orders", Database: "orders", Slots: slots, Instances: []proxy.Instance{
		{ID: "one", Zone: "a", Address: g.one.Address(), Primary: true},
		{ID: "two", Zone: "b", Address: g.two.Address(), Leaving: leaving},
	}}}}
}

func (g *group) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, g.metrics).Count()
}

// eventually waits until the condition holds; the test binary's timeout ends a
// wait without end.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func (g *group) state(id proxy.InstanceID) proxy.InstanceState {
	for _, s := range g.pool.States("orders") {
		if s.Instance == id {
			return s
		}
	}
	return proxy.InstanceState{}
}

func reading(after proxy.Bookmark) proxy.ConnectionRequest {
	a := ask(1)
	a.Access = proxy.Read
	a.AfterCoversWrites = true
	a.After = after
	return a
}

// Guards against a read that misses a write of its session, and against reads
// that stay on the primary when the replica has caught up.
func TestReadsAfterWrite(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3, 2)
	eventually(func() bool { return g.state("one").Term == 7 && g.state("two").Term == 7 })
	is.NoErr(g.two.SetFaults(instance.Faults{Lag: time.Hour}))
	write, err := g.pool.Acquire(t.Context(), ask(1))
	is.NoErr(err)
	run(t, write, "INSERT INTO kv VALUES ('rug', 'sold')")
	at, err := write.Confirm(t.Context())
	is.NoErr(err)
	write.Release(proxy.ReleaseState{Wrote: true})
	read, err := g.pool.Acquire(t.Context(), reading(at))
	is.NoErr(err)
	is.Equal(read.ConnectionInfo().Instance, proxy.InstanceID("one")) // the replica lags
	read.Release(proxy.ReleaseState{})
	is.NoErr(g.two.SetFaults(instance.Faults{}))
	eventually(func() bool { return g.state("two").Replayed >= at.Position })
	read, err = g.pool.Acquire(t.Context(), reading(at))
	is.NoErr(err)
	is.Equal(numbered(t, read.ConnectionInfo()), proxy.ConnectionInfo{Instance: "two", Term: 7})
	read.Release(proxy.ReleaseState{})
}

// Guards against a silent connection that fails a request although the instance
// works.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 2, 1)
	loan, err := g.pool.Acquire(t.Context(), ask(1))
	is.NoErr(err)
	loan.Release(proxy.ReleaseState{})
	is.True(g.one.SilenceAll() > 0)
	g.clock.move(time.Minute)
	loan, err = g.pool.Acquire(t.Context(), ask(1))
	is.NoErr(err)
	is.True(!loan.ConnectionInfo().SameSession)
	run(t, loan, "SELECT 1")
	loan.Release(proxy.ReleaseState{})
	is.Equal(g.counter("pool.discarded"), int64(1))
}

// Guards against new work for a leaving instance and connections that stay open.
func TestLeavingInstance(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3, 2)
	eventually(func() bool { return g.state("two").Term == 7 })
	loan, err := g.pool.Acquire(t.Context(), reading(proxy.Bookmark{}))
	is.NoErr(err)
	is.Equal(loan.ConnectionInfo().Instance, proxy.InstanceID("two"))
	g.catalog.set(g.document(2, true))
	next, err := g.pool.Acquire(t.Context(), reading(proxy.Bookmark{}))
	is.NoErr(err)
	is.Equal(next.ConnectionInfo().Instance, proxy.InstanceID("one"))
	next.Release(proxy.ReleaseState{})
	run(t, loan, "SELECT 1") // the loan in progress is not interrupted
	loan.Release(proxy.ReleaseState{})
	eventually(func() bool { return g.pool.Connections("orders", "two") <= 1 })
}

// Guards against connections above the share, a loan held twice and waiters that
// are never served. The emulator refuses connections above its limit, which
// would count as failed dials.
func TestContendedShare(t *testing.T) {
	for _, share := range []int{1, 2, 3} {
		is := is.New(t)
		g := startGroup(t, share, share)
		random := rand.New(rand.NewPCG(1, uint64(share)))
		var working sync.WaitGroup
		for session := range uint64(8) {
			seed := random.Uint64()
			working.Go(func() { work(t, g, session, rand.New(rand.NewPCG(seed, session))) })
		}
		working.Wait()
		is.Equal(g.counter("pool.dial.failed"), int64(0))
		is.True(g.pool.Connections("orders", "one") <= share)
	}
}

func work(t *testing.T, g *group, session uint64, random *rand.Rand) {
	for range 20 {
		loan, err := g.pool.Acquire(t.Context(), ask(session+1))
		if err != nil {
			t.Error(err)
			return
		}
		if random.IntN(2) == 0 {
			run(t, loan, "SELECT 1")
		}
		loan.Release(proxy.ReleaseState{})
	}
}

// Guards against a write that waits for the old primary after a promotion.
func TestPromotionMovesWaitingWrites(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 2, 1)
	held, err := g.pool.Acquire(t.Context(), ask(1))
	is.NoErr(err)
	done := make(chan proxy.ConnectionInfo)
	go func() {
		loan, err := g.pool.Acquire(t.Context(), ask(2))
		if err != nil {
			t.Error(err)
			close(done)
			return
		}
		loan.Release(proxy.ReleaseState{})
		done <- loan.ConnectionInfo()
	}()
	is.NoErr(g.two.Promote())
	g.leaders.set(proxy.Leadership{Term: 8, Primary: "two"})
	is.Equal(numbered(t, <-done), proxy.ConnectionInfo{Instance: "two", Primary: true, Term: 8})
	_, err = held.Confirm(t.Context())
	is.Equal(proxy.AsRefusal(err).Outcome, proxy.Unknown) // the old primary's write is not acknowledged
	held.Release(proxy.ReleaseState{})
}

// numbered checks that the connection has a number, which is random, and
// returns the rest of what is lent.
func numbered(t *testing.T, lent proxy.ConnectionInfo) proxy.ConnectionInfo {
	t.Helper()
	if lent.Connection == 0 {
		t.Error("connection without a number")
	}
	lent.Connection = 0
	return lent
}
