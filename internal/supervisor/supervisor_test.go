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

// testTimeout ends a test that would otherwise wait forever.
const testTimeout = time.Minute

type catalog struct{ document *proxy.Document }

func (c catalog) Current() (*proxy.Document, proxy.Revision) { return c.document, 1 }

type clock struct{ start time.Time }

func (c clock) Now() proxy.Instant { return proxy.Instant(time.Since(c.start)) }

// observedSupervisor is a supervisor of one instance that sends its observations to
// observed.
type observedSupervisor struct {
	*supervisor.Supervisor
	observed chan promotion.Observed
}

func start(t *testing.T, id proxy.InstanceID, i *instance.Instance) *observedSupervisor {
	t.Helper()
	document := &proxy.Document{Groups: []proxy.Group{{
		ID: group, Database: "orders", Instances: []proxy.Instance{
			{ID: id, Address: i.Address()}, {ID: "other", Address: "127.0.0.1:1"},
		},
	}}}
	s := &observedSupervisor{observed: make(chan promotion.Observed)}
	ctx, stop := context.WithCancel(context.Background())
	s.Supervisor = &supervisor.Supervisor{
		Catalog: catalog{document}, Stage: proxy.Production, Clock: clock{time.Now()}, User: "auburnyoke",
		Pooled: func(proxy.GroupID) bool { return true }, Interval: 5 * time.Millisecond, Timeout: testTimeout,
		Logger: zerolog.Nop(),
		Observed: func(o promotion.Observed) {
			if o.Instance != id {
				return
			}
			select {
			case s.observed <- o:
			case <-ctx.Done():
			}
		},
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return s
}

// newInstance runs an emulated instance until the end of the test or a call of stop.
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

// TestCommandWhileLockHeld guards against commands that wait at the instance while
// another host executes a command. Each of them would occupy a slot, and each wait that
// is given up would leave a connection open beyond the limit.
func TestCommandWhileLockHeld(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	i, _ := newInstance(t, instance.Options{Name: string(replica), Replica: true})
	holder, err := pgx.Connect(ctx, "postgres://other@"+i.Address()+"/orders?sslmode=disable")
	is.NoErr(err)
	defer func() { _ = holder.Close(ctx) }()
	_, err = holder.Exec(ctx, "SELECT pg_advisory_lock(7214009)")
	is.NoErr(err)

	s := start(t, replica, i)
	is.True((<-s.observed).Reachable)
	s.Execute(promotion.Follow{Group: group, Instance: replica, Primary: "other", Term: 1})
	for range 5 {
		is.True((<-s.observed).Reachable)
	}
	is.Equal(i.Status().PeakConnections, 2) // the holder and the supervisor
	is.Equal(i.Engine().State().Source, "") // the command was not executed
	is.Equal(i.Status().Waiting, 0)
}

// TestPositionOfFailedPrimary guards against reads that wait until their timeout for the
// position of a failed primary, although the group has got another primary meanwhile.
func TestPositionOfFailedPrimary(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithTimeout(context.Background(), testTimeout)
	defer stop()
	i, end := newInstance(t, instance.Options{Name: string(primary)})
	s := start(t, primary, i)
	is.True((<-s.observed).Reachable)
	go func() {
		for {
			select {
			case <-s.observed:
			case <-ctx.Done():
				return
			}
		}
	}()
	_, err := s.PrimaryPosition(ctx, group, primary)
	is.NoErr(err)
	end()
	_, err = s.PrimaryPosition(ctx, group, primary)
	is.True(err != nil)
	is.NoErr(ctx.Err())
}
