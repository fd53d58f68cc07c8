package pool_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Guards against a client that waits until the route's timeout, because a former primary
// never answers.
func TestFormerPrimaryConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3, 2)
	read := readRequest(proxy.Bookmark{})
	read.AfterCoversWrites = false // without a minimum position the read goes to the primary
	ended := make(chan error, 2)
	var connections []proxy.AcquiredConnection
	for _, request := range []proxy.ConnectionRequest{writeRequest(1), read} {
		acquired, err := g.pool.Acquire(t.Context(), request)
		is.NoErr(err)
		is.True(acquired.ConnectionInfo().Primary)
		defer acquired.Release(proxy.ReleaseState{Broken: true})
		connections = append(connections, acquired)
	}
	is.True(g.one.SilenceAll() > 0)
	for _, acquired := range connections {
		acquired.Frontend().SendQuery(&pgproto3.Query{String: "SELECT 1"})
		is.NoErr(acquired.Frontend().Flush())
		go func() {
			_, err := acquired.Frontend().Receive()
			ended <- err
		}()
	}
	is.NoErr(g.two.Promote())
	g.leaders.set(proxy.Leadership{Term: 8, Primary: "two"})
	is.True(<-ended != nil) // if the connections stay open, the test hangs here
	is.True(<-ended != nil)
}

// Guards against a planned stop that closes connections that other hosts have acquired,
// and against new acquisitions while it waits for them.
func TestDrainWaitsForRelease(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3, 2)
	acquired, err := g.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.Equal(g.pool.Drain(short), 1)
	_, err = g.pool.Acquire(t.Context(), writeRequest(2))
	refusal := proxy.AsRefusal(err)
	is.Equal(refusal.State, proxy.CannotConnectNow) // makes the client's host try another pool host
	is.Equal(refusal.Outcome, proxy.NotRun)
	runQuery(t, acquired, "SELECT 1")
	acquired.Release(proxy.ReleaseState{})
	is.Equal(g.pool.Drain(t.Context()), 0)
}
