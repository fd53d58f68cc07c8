package supervisor_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
	"github.com/auburnyoke/auburnyoke/internal/supervisor"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

const group, replica, primary = proxy.GroupID("orders"), proxy.InstanceID("orders-1"), proxy.InstanceID("orders-2")

// patience ends a test that would otherwise wait for ever.
const patience = time.Minute

type catalog struct{ document *proxy.Document }

func (c catalog) Current() (*proxy.Document, proxy.Revision) { return c.document, 1 }

type clock struct{ start time.Time }

func (c clock) Now() proxy.Instant { return proxy.Instant(time.Since(c.start)) }

// world is a supervisor of one instance.
type world struct {
	*supervisor.Supervisor
	observed chan promotion.Observed
}

func start(t *testing.T, id proxy.InstanceID, i *instance.Instance) *world {
	t.Helper()
	document := &proxy.Document{Groups: []proxy.Group{{
		ID: group, Database: "orders", Instances: []proxy.Instance{
			{ID: id, Address: i.Address()}, {ID: "other", Address: "127.0.0.1:1"},
		},
	}}}
	w := &world{observed: make(chan promotion.Observed)}
	ctx, stop := context.WithCancel(context.Background())
	w.Supervisor = &supervisor.Supervisor{
		Catalog: catalog{document}, Stage: proxy.Production, Clock: clock{time.Now()}, User: "auburnyoke",
		Pooled: func(proxy.GroupID) bool { return true }, Interval: 5 * time.Millisecond, Timeout: patience,
		Logger: zerolog.Nop(),
		Observed: func(o promotion.Observed) {
			if o.Instance != id {
				return
			}
			select {
			case w.observed <- o:
			case <-ctx.Done():
			}
		},
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return w
}

// newInstance runs an emulated instance; stop ends it early.
func newInstance(t *testing.T, options instance.Options) (i *instance.Instance, stop func()) {
	t.Helper()
	i, stop, err := instance.New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	go func() { _ = i.Run(context.Background()) }()
	return i, stop
}

// TestOrderWithLockTaken guards against orders that wait at the instance for
// another host's order: each would occupy a slot, and each wait given up a
// connection above the limit.
func TestOrderWithLockTaken(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	i, _ := newInstance(t, instance.Options{Name: string(replica), Replica: true})
	holder, err := pgx.Connect(ctx, "postgres://other@"+i.Address()+"/orders?sslmode=disable")
	is.NoErr(err)
	defer func() { _ = holder.Close(ctx) }()
	_, err = holder.Exec(ctx, "SELECT pg_advisory_lock(7214009)")
	is.NoErr(err)

	w := start(t, replica, i)
	is.True((<-w.observed).Reachable)
	w.Carry(promotion.Follow{Group: group, Instance: replica, Primary: "other", Term: 1})
	for range 5 {
		is.True((<-w.observed).Reachable)
	}
	is.Equal(i.Status().PeakConnections, 2) // the holder and the supervisor
	is.Equal(i.Engine().State().Source, "") // the order was not carried out
	is.Equal(i.Status().Waiting, 0)
}

// TestBoundOfFailedPrimary guards against reads that wait for the position of a
// primary that has failed until their time is over, although the group has
// another primary meanwhile.
func TestBoundOfFailedPrimary(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	i, end := newInstance(t, instance.Options{Name: string(primary)})
	w := start(t, primary, i)
	is.True((<-w.observed).Reachable)
	go func() {
		for {
			select {
			case <-w.observed:
			case <-ctx.Done():
				return
			}
		}
	}()
	_, err := w.Bound(ctx, group, primary)
	is.NoErr(err)
	end()
	_, err = w.Bound(ctx, group, primary)
	is.True(err != nil)
	is.NoErr(ctx.Err())
}
