package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/routing"
)

// Guards against reads that wait for a replica that cannot catch up in time.
func TestReplicaExpectedNeedsNearlyCurrentReplica(t *testing.T) {
	is := is.New(t)
	now := proxy.Instant(10 * time.Second)
	state := proxy.InstanceState{Instance: "b", Term: 3, MeasuredAt: now, CurrentAt: now.Add(-50 * time.Millisecond)}
	groupState := routing.GroupState{Leadership: proxy.Leadership{Term: 3, Primary: "a"}, Known: true, States: []proxy.InstanceState{state}}
	read := proxy.ConnectionRequest{Access: proxy.Read}
	is.True(routing.ReplicaExpected(now, read, groupState, 75*time.Millisecond))
	is.True(!routing.ReplicaExpected(now, read, groupState, 40*time.Millisecond))
	is.True(!routing.ReplicaExpected(now, proxy.ConnectionRequest{Access: proxy.Write}, groupState, time.Second))
	groupState.States[0].Term = 2 // it follows an older term
	is.True(!routing.ReplicaExpected(now, read, groupState, time.Second))
	groupState.States[0].Term = 3
	groupState.States[0].Instance = "a" // it is the primary
	is.True(!routing.ReplicaExpected(now, read, groupState, time.Second))
}
