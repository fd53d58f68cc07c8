package routing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/routing"
)

const now = proxy.Instant(time.Hour)

var names = []proxy.InstanceID{"one", "two", "three"}

func drawGroupState(t *rapid.T) routing.GroupState {
	groupState := routing.GroupState{
		Leadership: proxy.Leadership{
			Term:    proxy.Term(rapid.IntRange(1, 3).Draw(t, "term")),
			Primary: rapid.SampledFrom(names).Draw(t, "primary"),
			Start:   proxy.Position(rapid.IntRange(0, 10).Draw(t, "start")),
		},
		Known:             rapid.IntRange(0, 9).Draw(t, "known") > 0,
		Zone:              "a",
		Slots:             rapid.IntRange(0, 3).Draw(t, "slots"),
		MaxMeasurementAge: time.Second,
	}
	for _, name := range names[:rapid.IntRange(0, 3).Draw(t, "instances")] {
		seen := now.Add(-time.Duration(rapid.IntRange(0, 1500).Draw(t, "seen")) * time.Millisecond)
		groupState.States = append(groupState.States, proxy.InstanceState{
			Instance:   name,
			Zone:       rapid.SampledFrom([]proxy.Zone{"a", "b"}).Draw(t, "zone"),
			Primary:    name == groupState.Leadership.Primary != (rapid.IntRange(0, 9).Draw(t, "role") == 0),
			Term:       groupState.Leadership.Term + proxy.Term(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "newer")),
			Replayed:   proxy.Position(rapid.IntRange(0, 20).Draw(t, "replayed")),
			MeasuredAt: seen,
			CurrentAt:  seen.Add(-time.Duration(rapid.IntRange(0, 1500).Draw(t, "lag")) * time.Millisecond),
			Busy:       rapid.IntRange(0, 4).Draw(t, "busy"),
		})
	}
	return groupState
}

func drawRequest(t *rapid.T) proxy.ConnectionRequest {
	return proxy.ConnectionRequest{
		Access: rapid.SampledFrom([]proxy.Access{proxy.Read, proxy.Write}).Draw(t, "access"),
		After: proxy.Bookmark{
			Term:     proxy.Term(rapid.IntRange(0, 3).Draw(t, "after term")),
			Position: proxy.Position(rapid.IntRange(0, 15).Draw(t, "after")),
		},
		MaxStaleness: time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * 500 * time.Millisecond,
	}
}

// Guards against a read that sees an older state than its minimum position or its
// maximum staleness allows, a write on another instance than the current primary, and
// a replica that does not follow the current term.
func TestChoiceIsNeverStale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groupState, request := drawGroupState(t), drawRequest(t)
		choice := routing.Choose(now, request, groupState)
		switch choice.Kind {
		case routing.Replica:
			checkReplica(t, groupState, request, choice)
		case routing.Primary:
			if choice.Instance != groupState.Leadership.Primary || choice.Term != groupState.Leadership.Term || !groupState.Known {
				t.Fatalf("primary of the current term not chosen: %+v", choice)
			}
			if request.After.Term > groupState.Leadership.Term {
				t.Fatalf("the request has seen term %d", request.After.Term)
			}
		case routing.Wait, routing.Refuse:
			if choice.Reason == "" {
				t.Fatalf("no reason: %+v", choice)
			}
		default:
			t.Fatalf("undefined choice %+v", choice)
		}
	})
}

func checkReplica(t *rapid.T, groupState routing.GroupState, request proxy.ConnectionRequest, choice routing.Choice) {
	if request.Access != proxy.Read || !groupState.Known {
		t.Fatalf("replica chosen for %+v", request)
	}
	for _, s := range groupState.States {
		if s.Instance != choice.Instance {
			continue
		}
		lost := request.After.Term < s.Term && request.After.Position > groupState.Leadership.Start
		behind := s.Replayed < request.After.Position && (!lost || s.Replayed < groupState.Leadership.Start)
		if s.Term != groupState.Leadership.Term || request.After.Term > s.Term || behind {
			t.Fatalf("%+v is behind %+v", s, request.After)
		}
		staleness := s.MeasuredAt.Sub(s.CurrentAt) + now.Sub(s.MeasuredAt)
		if request.MaxStaleness > 0 && staleness > request.MaxStaleness {
			t.Fatalf("%v old, accepted %v", staleness, request.MaxStaleness)
		}
		return
	}
	t.Fatalf("chosen instance %s takes no new work", choice.Instance)
}

// Guards against wrong preferences between instances. Each case tests another rule.
func TestPreference(t *testing.T) {
	primary := proxy.InstanceState{Instance: "one", Zone: "a", Primary: true, Term: 2, Replayed: 9, MeasuredAt: now, CurrentAt: now}
	replica := func(id proxy.InstanceID, zone proxy.Zone, busy int) proxy.InstanceState {
		return proxy.InstanceState{Instance: id, Zone: zone, Term: 2, Replayed: 9, MeasuredAt: now, CurrentAt: now, Busy: busy}
	}
	measured := func(seen, current time.Duration) proxy.InstanceState {
		s := replica("two", "a", 0)
		s.MeasuredAt, s.CurrentAt = now.Add(-seen*time.Millisecond), now.Add(-current*time.Millisecond)
		return s
	}
	aged := proxy.ConnectionRequest{Access: proxy.Read, MaxStaleness: 500 * time.Millisecond}
	read := proxy.ConnectionRequest{Access: proxy.Read, After: proxy.Bookmark{Term: 2, Position: 9}}
	for _, c := range []struct {
		name    string
		request proxy.ConnectionRequest
		states  []proxy.InstanceState
		want    routing.Choice
	}{
		{"replica before primary", read, []proxy.InstanceState{primary, replica("two", "b", 1)}, routing.Choice{Kind: routing.Replica, Instance: "two", Term: 2}},
		{"own zone", read, []proxy.InstanceState{primary, replica("two", "b", 0), replica("three", "a", 1)}, routing.Choice{Kind: routing.Replica, Instance: "three", Term: 2}},
		{"free slots before zone", read, []proxy.InstanceState{primary, replica("two", "b", 0), replica("three", "a", 2)}, routing.Choice{Kind: routing.Replica, Instance: "two", Term: 2}},
		{"less load", read, []proxy.InstanceState{primary, replica("two", "a", 1), replica("three", "a", 0)}, routing.Choice{Kind: routing.Replica, Instance: "three", Term: 2}},
		{"primary where replicas lag", proxy.ConnectionRequest{Access: proxy.Read, After: proxy.Bookmark{Term: 2, Position: 10}}, []proxy.InstanceState{primary, replica("two", "a", 0)}, routing.Choice{Kind: routing.Primary, Instance: "one", Term: 2}},
		{"replica within the maximum staleness", aged, []proxy.InstanceState{primary, measured(400, 500)}, routing.Choice{Kind: routing.Replica, Instance: "two", Term: 2}},
		{"staleness includes the age of the measurement", aged, []proxy.InstanceState{primary, measured(400, 501)}, routing.Choice{Kind: routing.Primary, Instance: "one", Term: 2}},
		{"write", proxy.ConnectionRequest{Access: proxy.Write}, []proxy.InstanceState{primary, replica("two", "a", 0)}, routing.Choice{Kind: routing.Primary, Instance: "one", Term: 2}},
		{"unmeasured primary", proxy.ConnectionRequest{Access: proxy.Write}, []proxy.InstanceState{{Instance: "one"}}, routing.Choice{Kind: routing.Primary, Instance: "one", Term: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			groupState := routing.GroupState{Leadership: proxy.Leadership{Term: 2, Primary: "one", Start: 5}, Known: true, States: c.states, Zone: "a", Slots: 2, MaxMeasurementAge: time.Second}
			is.Equal(routing.Choose(now, c.request, groupState), c.want)
		})
	}
}
