package pool_test

import (
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Guards against a read that returns data older than it accepts, and against a read that
// goes to the primary although it accepts data as old as the replica's.
func TestMaxStaleness(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3, 2)
	waitUntil(func() bool { return g.state("one").Term == 7 && g.state("two").CurrentAt == 1 })
	is.NoErr(g.two.SetFaults(instance.Faults{Lag: time.Hour}))
	write, err := g.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	runQuery(t, write, "INSERT INTO kv VALUES ('stop', 'empty')")
	write.Release(proxy.ReleaseState{Wrote: true})
	g.clock.advance(10 * time.Second)
	waitUntil(func() bool { return g.state("one").MeasuredAt > 1 && g.state("two").MeasuredAt > 1 })
	is.Equal(g.state("two").CurrentAt, proxy.Instant(1)) // before the write
	for _, c := range []struct {
		age  time.Duration
		want proxy.InstanceID
	}{{9 * time.Second, "one"}, {11 * time.Second, "two"}} {
		request := readRequest(proxy.Bookmark{})
		request.MaxStaleness = c.age
		acquired, err := g.pool.Acquire(t.Context(), request)
		is.NoErr(err)
		is.Equal(acquired.ConnectionInfo().Instance, c.want)
		acquired.Release(proxy.ReleaseState{})
	}
}

// Guards against reads that wait for a replica that is down.
func TestUnreachableReplica(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 3, 2)
	waitUntil(func() bool { return g.state("two").Term == 7 })
	is.NoErr(g.two.SetFaults(instance.Faults{Refuse: true}))
	g.two.SilenceAll()
	waitUntil(func() bool { return g.counter("pool.dial.failed") > 0 })
	acquired, err := g.pool.Acquire(t.Context(), readRequest(proxy.Bookmark{}))
	is.NoErr(err)
	is.Equal(acquired.ConnectionInfo().Instance, proxy.InstanceID("one"))
	acquired.Release(proxy.ReleaseState{})
}

// rawConnection is implemented by acquired connections that the RPC server can forward.
type rawConnection interface{ Raw() net.Conn }

// Guards against a tracked protocol state that depends on how the bytes are split. All
// requests must count as answered exactly when all answers have been read.
func TestProtocolState(t *testing.T) {
	is := is.New(t)
	g := startGroup(t, 2, 1)
	acquired, err := g.pool.Acquire(t.Context(), writeRequest(1))
	is.NoErr(err)
	conn := acquired.(rawConnection).Raw()
	allAnswered := func() bool { return conn.(interface{ AllAnswered() bool }).AllAnswered() }
	random := rand.New(rand.NewPCG(7, 7))
	for range 50 {
		request, answers := request(random)
		for len(request) > 0 {
			n := 1 + random.IntN(len(request))
			_, err = conn.Write(request[:n])
			is.NoErr(err)
			request = request[n:]
			is.True(!allAnswered())
		}
		for answers > 0 {
			is.True(!allAnswered())
			answers -= readSome(t, conn, random)
		}
		is.True(allAnswered())
	}
	acquired.Release(proxy.ReleaseState{})
	is.Equal(g.counter("pool.discarded"), int64(0))
}

// request returns the bytes of a simple or an extended request and the number of
// ReadyForQuery messages that answer it.
func request(random *rand.Rand) (bytes []byte, answers int) {
	messages := []pgproto3.FrontendMessage{&pgproto3.Query{String: "SELECT 1"}}
	if random.IntN(2) == 0 {
		messages = []pgproto3.FrontendMessage{
			&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{},
		}
	}
	answers = 1 + random.IntN(2)
	for range answers {
		for _, m := range messages {
			bytes, _ = m.Encode(bytes)
		}
	}
	return bytes, answers
}

// readSome reads one message in small pieces and returns 1 for ReadyForQuery.
func readSome(t *testing.T, conn io.Reader, random *rand.Rand) int {
	t.Helper()
	read := func(length int) []byte {
		data := make([]byte, length)
		for filled := 0; filled < length; {
			n, err := conn.Read(data[filled:min(length, filled+1+random.IntN(3))])
			if err != nil {
				t.Fatal(err)
			}
			filled += n
		}
		return data
	}
	header := read(5)
	read(int(header[1])<<24 | int(header[2])<<16 | int(header[3])<<8 | int(header[4]) - 4)
	if header[0] == 'Z' {
		return 1
	}
	return 0
}
