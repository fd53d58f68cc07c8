package pool_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Guards against a client that waits for a replaced primary which never answers
// until its statement exceeds the route's timeout.
func TestLoansOfReplacedPrimaryEnd(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3, 2)
	read := reading(proxy.Bookmark{})
	read.AfterCoversWrites = false // without a bound the read goes to the primary
	ended := make(chan error, 2)
	var loans []proxy.AcquiredConnection
	for _, a := range []proxy.ConnectionRequest{ask(1), read} {
		held, err := g.pool.Acquire(t.Context(), a)
		is.NoErr(err)
		is.True(held.ConnectionInfo().Primary)
		defer held.Release(proxy.ReleaseState{Broken: true})
		loans = append(loans, held)
	}
	is.True(g.one.SilenceAll() > 0)
	for _, held := range loans {
		held.Frontend().SendQuery(&pgproto3.Query{String: "SELECT 1"})
		is.NoErr(held.Frontend().Flush())
		go func() {
			_, err := held.Frontend().Receive()
			ended <- err
		}()
	}
	is.NoErr(g.two.Promote())
	g.leaders.set(proxy.Leadership{Term: 8, Primary: "two"})
	is.True(<-ended != nil) // without the mechanism the test does not end
	is.True(<-ended != nil)
}

// Guards against a planned stop that cuts off the loans of other hosts, and
// against new loans while it waits for them.
func TestDrainWaitsForLoans(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3, 2)
	held, err := g.pool.Acquire(t.Context(), ask(1))
	is.NoErr(err)
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	is.Equal(g.pool.Drain(short), 1)
	_, err = g.pool.Acquire(t.Context(), ask(2))
	refusal := proxy.AsRefusal(err)
	is.Equal(refusal.State, proxy.CannotConnectNow) // the front asks another pool host
	is.Equal(refusal.Outcome, proxy.NotRun)
	run(t, held, "SELECT 1")
	held.Release(proxy.ReleaseState{})
	is.Equal(g.pool.Drain(t.Context()), 0)
}
