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

// groupFixture is a pool with an emulated primary "one" and replica "two".
type groupFixture struct {
	pool     *pool.Pool
	one, two *instance.Instance
	leaders  *leaders
	catalog  *catalog
	clock    *manualClock
	metrics  metrics.Registry
}

func startGroup(t testing.TB, share, slots int) *groupFixture {
	t.Helper()
	faults := instance.Faults{Connections: share}
	one := startEmulator(t, instance.Options{Name: "one", User: "system", Password: "secret", Faults: faults})
	two := startEmulator(t, instance.Options{Name: "two", User: "system", Password: "secret", Source: one.ControlAddress(), Faults: faults})
	g := &groupFixture{one: one, two: two, leaders: &leaders{}, catalog: &catalog{}, clock: &manualClock{now: 1}, metrics: metrics.NewRegistry()}
	g.leaders.set(proxy.Leadership{Term: 7, Primary: "one"})
	g.catalog.set(g.document(slots, false))
	g.pool = &pool.Pool{
		Catalog: g.catalog, Stage: proxy.Production, Zone: "a", Leaders: g.leaders, Clock: g.clock,
		User: "system", Password: "secret", Share: func(proxy.GroupID) int { return share },
		ProbeTimeout: 300 * time.Millisecond, MeasurementInterval: 5 * time.Millisecond, Metrics: g.metrics,
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

func (g *groupFixture) document(slots int, leaving bool) *proxy.Document {
	return &proxy.Document{Groups: []proxy.Group{{ID: "orders", Database: "orders", Slots: slots, Instances: []proxy.Instance{
		{ID: "one", Zone: "a", Address: g.one.Address(), Primary: true},
		{ID: "two", Zone: "b", Address: g.two.Address(), Leaving: leaving},
	}}}}
}

func (g *groupFixture) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, g.metrics).Count()
}

// waitUntil waits until the condition holds. If it never does, the timeout of the test
// binary ends the test.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

func (g *groupFixture) state(id proxy.InstanceID) proxy.InstanceState {
	for _, s := range g.pool.InstanceStates("orders") {
		if s.Instance == id {
			return s
		}
	}
	return proxy.InstanceState{}
}

func readRequest(after proxy.Bookmark) proxy.ConnectionRequest {
	request := writeRequest(1)
	request.Access = proxy.Read
	request.AfterCoversWrites = true
	request.After = after
	return request
}

// Guards against a read that does not see a write of its session, and against reads
// that still go to the primary when the replica has caught up.
func TestReadsAfterWrite(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3, 2)
	waitUntil(func() bool { return g.state("one").Term == 7 && g.state("two").Term == 7 })
	is.NoErr(g.two.SetFaults(instance.Faults{Lag: time.Hour}))
	write, err := g.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	runQuery(t, write, "INSERT INTO kv VALUES ('rug', 'sold')")
	at, err := write.Confirm(t.Context())
	is.NoErr(err)
	write.Release(proxy.ReleaseState{Wrote: true})
	read, err := g.pool.Acquire(t.Context(), readRequest(at))
	is.NoErr(err)
	is.Equal(read.ConnectionInfo().Instance, proxy.InstanceID("one")) // the replica lags
	read.Release(proxy.ReleaseState{})
	is.NoErr(g.two.SetFaults(instance.Faults{}))
	waitUntil(func() bool { return g.state("two").Replayed >= at.Position })
	read, err = g.pool.Acquire(t.Context(), readRequest(at))
	is.NoErr(err)
	is.Equal(withoutConnectionID(t, read.ConnectionInfo()), proxy.ConnectionInfo{Instance: "two", Term: 7})
	read.Release(proxy.ReleaseState{})
}

// Guards against a request that fails because one connection is unresponsive although
// the instance works.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 2, 1)
	acquired, err := g.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	acquired.Release(proxy.ReleaseState{})
	is.True(g.one.SilenceAll() > 0)
	g.clock.advance(time.Minute)
	acquired, err = g.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	is.True(!acquired.ConnectionInfo().SameSession)
	runQuery(t, acquired, "SELECT 1")
	acquired.Release(proxy.ReleaseState{})
	is.Equal(g.counter("pool.discarded"), int64(1))
}

// Guards against new requests for a leaving instance, and against connections to it that
// stay open.
func TestLeavingInstance(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3, 2)
	waitUntil(func() bool { return g.state("two").Term == 7 })
	acquired, err := g.pool.Acquire(t.Context(), readRequest(proxy.Bookmark{}))
	is.NoErr(err)
	is.Equal(acquired.ConnectionInfo().Instance, proxy.InstanceID("two"))
	g.catalog.set(g.document(2, true))
	next, err := g.pool.Acquire(t.Context(), readRequest(proxy.Bookmark{}))
	is.NoErr(err)
	is.Equal(next.ConnectionInfo().Instance, proxy.InstanceID("one"))
	next.Release(proxy.ReleaseState{})
	runQuery(t, acquired, "SELECT 1") // the acquired connection is not interrupted
	acquired.Release(proxy.ReleaseState{})
	waitUntil(func() bool { return g.pool.OpenConnections("orders", "two") <= 1 })
}

// Guards against more connections than the share, a connection that is acquired twice
// and waiters that are never served. The emulator refuses connections above its limit,
// which would count as failed dials.
func TestContendedShare(t *testing.T) {
	for _, share := range []int{1, 2, 3} {
		is := is.New(t)
		g := startGroup(t, share, share)
		random := rand.New(rand.NewPCG(1, uint64(share)))
		var working sync.WaitGroup
		for session := range uint64(8) {
			seed := random.Uint64()
			working.Go(func() { runWorker(t, g, session, rand.New(rand.NewPCG(seed, session))) })
		}
		working.Wait()
		is.Equal(g.counter("pool.dial.failed"), int64(0))
		is.True(g.pool.OpenConnections("orders", "one") <= share)
	}
}

func runWorker(t *testing.T, g *groupFixture, session uint64, random *rand.Rand) {
	for range 20 {
		acquired, err := g.pool.Acquire(t.Context(), writeRequest(session+1))
		if err != nil {
			t.Error(err)
			return
		}
		if random.IntN(2) == 0 {
			runQuery(t, acquired, "SELECT 1")
		}
		acquired.Release(proxy.ReleaseState{})
	}
}

// Guards against a write that still waits for the old primary after a promotion.
func TestPromotionMovesWaitingWrites(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 2, 1)
	held, err := g.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	done := make(chan proxy.ConnectionInfo)
	go func() {
		acquired, err := g.pool.Acquire(t.Context(), writeRequest(2))
		if err != nil {
			t.Error(err)
			close(done)
			return
		}
		acquired.Release(proxy.ReleaseState{})
		done <- acquired.ConnectionInfo()
	}()
	is.NoErr(g.two.Promote())
	g.leaders.set(proxy.Leadership{Term: 8, Primary: "two"})
	is.Equal(withoutConnectionID(t, <-done), proxy.ConnectionInfo{Instance: "two", Primary: true, Term: 8})
	_, err = held.Confirm(t.Context())
	is.Equal(proxy.AsRefusal(err).Outcome, proxy.Unknown) // the old primary's write is not acknowledged
	held.Release(proxy.ReleaseState{})
}

// withoutConnectionID checks that the connection has an id and returns info without it,
// since it is random.
func withoutConnectionID(t *testing.T, info proxy.ConnectionInfo) proxy.ConnectionInfo {
	t.Helper()
	if info.Connection == 0 {
		t.Error("connection without an id")
	}
	info.Connection = 0
	return info
}
