package evacuation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/internal/rapidtest"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/evacuation"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const bound = 5 * time.Second

// start is an instant of a host that has run for some time.
const start = proxy.Instant(time.Hour)

func at(after time.Duration) proxy.Instant { return start.Add(after) }

func evacuate(zone string) []proxy.Record {
	return []proxy.Record{{Name: zone, Version: proxy.StoreVersion{Version: 1}}}
}

func takeBack(zone string) []proxy.Record {
	return []proxy.Record{{Name: zone, Version: proxy.StoreVersion{Version: 1}, Deleted: true}}
}

// Guards against a statement that is sent later than the bound after the acknowledgement,
// however late the host learns of the evacuation, and after a host has missed one that was
// taken back and repeated.
func TestNothingIsSentAfterTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := evacuation.Table{Bound: bound}
		now := start
		evacuatedAt := proxy.Instant(0) // the store's acknowledgement
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				if evacuatedAt == 0 {
					evacuatedAt = now
				}
			case 1:
				evacuatedAt = 0
			case 2, 3:
				// The call returns the state as of its start or later.
				var records []proxy.Record
				if evacuatedAt != 0 {
					records = evacuate("a")
				}
				confirmedAt := now
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "transfer")) * time.Millisecond)
				table.Replace(now, confirmedAt, records)
			}
			if evacuatedAt != 0 && now.Sub(evacuatedAt) > bound && table.State(now, "a") != evacuation.Closed {
				t.Fatalf("zone is %v %v after its evacuation", table.State(now, "a"), now.Sub(evacuatedAt))
			}
		}
	})
}

// Guards against a zone that is closed before its primary could be replaced, one that stays
// closed after the evacuation was taken back, and against one that the operator writes again
// and that is used for longer.
func TestStatesOfAZone(t *testing.T) {
	is := is.New(t)
	table := evacuation.Table{Bound: bound}
	is.True(!table.Known())
	is.Equal(table.State(at(0), "a"), evacuation.Closed)
	is.True(!table.Replace(at(0), at(0), nil))
	is.Equal(table.State(at(0), "a"), evacuation.Open)
	is.True(table.Apply(at(time.Second), at(time.Second), evacuate("a")))
	is.Equal(table.State(at(4*time.Second), "a"), evacuation.Evacuating)
	is.Equal(table.State(at(4*time.Second), "b"), evacuation.Open)
	is.True(!table.Apply(at(4*time.Second), at(4*time.Second), evacuate("a")))
	is.Equal(table.State(at(bound-evacuation.SendMargin), "a"), evacuation.Closed)
	is.Equal(table.State(at(bound-evacuation.SendMargin), "b"), evacuation.Open)
	is.True(table.Apply(at(6*time.Second), at(6*time.Second), takeBack("a")))
	is.Equal(table.State(at(6*time.Second), "a"), evacuation.Open)
}

// Guards against a host that starts, or returns after it was cut off, and uses a zone that
// was evacuated long ago.
func TestUnconfirmedHostUsesNoZone(t *testing.T) {
	is := is.New(t)
	table := evacuation.Table{Bound: bound}
	table.Replace(at(0), at(0), evacuate("a"))
	is.Equal(table.State(at(0), "a"), evacuation.Closed)
	is.Equal(table.State(at(bound), "b"), evacuation.Closed)
	is.Equal(table.Refuse(at(bound), evacuation.Search{}).Code, proxy.Busy)
	table.Apply(at(bound+time.Second), at(bound+time.Second), nil)
	is.Equal(table.State(at(bound+time.Second), "a"), evacuation.Closed)
	is.Equal(table.State(at(bound+time.Second), "b"), evacuation.Open)
}

// Guards against effects on deployments without evacuations.
func TestNoEvacuations(t *testing.T) {
	is := is.New(t)
	var table evacuation.Table
	is.True(table.Known())
	is.True(table.Confirmed(at(0)))
	is.Equal(table.State(at(time.Hour), "a"), evacuation.Open)
	is.Equal(table.Refuse(at(time.Hour), evacuation.Search{NeedsPrimary: true}), nil)
}

// Guards against operations that wait for an instance which will not come, and against
// refusals while a primary is about to be replaced or may still be used.
func TestRefusals(t *testing.T) {
	inA, inB := directory.Instance{ID: "a1", Zone: "a"}, directory.Instance{ID: "b1", Zone: "b"}
	leaving := directory.Instance{ID: "b2", Zone: "b", Leaving: true}
	const changeTime = time.Second
	end := bound - evacuation.SendMargin
	for name, test := range map[string]struct {
		at      time.Duration
		search  evacuation.Search
		refused bool
	}{
		"read, another one is open":      {time.Second, evacuation.Search{Instances: []directory.Instance{inA, inB}}, false},
		"read, all are evacuated":        {time.Second, evacuation.Search{Instances: []directory.Instance{inA}}, true},
		"read, the other one is leaving": {time.Second, evacuation.Search{Instances: []directory.Instance{inA, leaving}}, true},
		"write, primary still usable": {
			time.Second, evacuation.Search{Instances: []directory.Instance{inA}, NeedsPrimary: true, Primary: &inA}, false,
		},
		"write, nothing is left": {
			end, evacuation.Search{Instances: []directory.Instance{inA}, NeedsPrimary: true, Primary: &inA}, true,
		},
		"write, primary is being replaced": {
			end, evacuation.Search{Instances: []directory.Instance{inA, inB}, NeedsPrimary: true}, false,
		},
		"write, change is due": {
			end, evacuation.Search{Instances: []directory.Instance{inA, inB}, NeedsPrimary: true, Primary: &inA}, false,
		},
		"write, change has not come": {
			end + changeTime, evacuation.Search{Instances: []directory.Instance{inA, inB}, NeedsPrimary: true, Primary: &inA}, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := evacuation.Table{Bound: bound}
			table.Replace(at(0), at(0), nil)
			table.Apply(at(0), at(0), evacuate("a"))
			table.Apply(at(test.at), at(test.at), nil)
			test.search.ChangeTime = changeTime
			refusal := table.Refuse(at(test.at), test.search)
			is.Equal(refusal != nil, test.refused)
			if refusal != nil {
				is.True(refusal.RetryAfter > 0)
			}
		})
	}
}

// Guards against a planned change without an instance that can take over, and against none
// where there is one.
func TestPrimaryMovesIfAnotherInstanceIsOpen(t *testing.T) {
	is := is.New(t)
	a, b, c := directory.Instance{ID: "a", Zone: "a"}, directory.Instance{ID: "b", Zone: "b"}, directory.Instance{ID: "c", Zone: "c"}
	table := evacuation.Table{Bound: bound}
	table.Replace(at(0), at(0), nil)
	is.True(!table.MustMove(at(0), a, []directory.Instance{a, b}))
	table.Apply(at(0), at(0), evacuate("a"))
	is.True(table.MustMove(at(0), a, []directory.Instance{a, b}))
	is.True(!table.MustMove(at(0), b, []directory.Instance{a, b}))
	table.Apply(at(0), at(0), evacuate("b"))
	is.True(!table.MustMove(at(0), a, []directory.Instance{a, b}))
	is.True(table.MustMove(at(0), a, []directory.Instance{a, b, c}))
	c.Leaving = true
	is.True(!table.MustMove(at(0), a, []directory.Instance{a, b, c}))
	table.Apply(at(0), at(0), takeBack("a"))
	is.True(!table.MustMove(at(0), a, []directory.Instance{a, b}))
}
