package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/routing"
)

// Guards against reads that wait for a replica which cannot catch up in time.
func TestSoonNeedsAReplicaThatIsNearlyCurrent(t *testing.T) {
	is := is.New(t)
	now := proxy.Instant(10 * time.Second)
	state := proxy.InstanceState{Instance: "b", Term: 3, MeasuredAt: now, CurrentAt: now.Add(-50 * time.Millisecond)}
	table := routing.GroupState{Leadership: proxy.Leadership{Term: 3, Primary: "a"}, Known: true, States: []proxy.InstanceState{state}}
	read := proxy.ConnectionRequest{Access: proxy.Read}
	is.True(routing.ReplicaExpected(now, read, table, 75*time.Millisecond))
	is.True(!routing.ReplicaExpected(now, read, table, 40*time.Millisecond))
	is.True(!routing.ReplicaExpected(now, proxy.ConnectionRequest{Access: proxy.Write}, table, time.Second))
	table.States[0].Term = 2 // it follows an older term
	is.True(!routing.ReplicaExpected(now, read, table, time.Second))
	table.States[0].Term = 3
	table.States[0].Instance = "a" // it is the primary
	is.True(!routing.ReplicaExpected(now, read, table, time.Second))
}
