package promotion_test

import (
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

const (
	second    = proxy.Instant(time.Second)
	testStart = 100 * second
)

// newMachine returns a machine that has read testObject(), in which c leads term 4
// from position 200. Its host is the only pool host.
func newMachine(t *testing.T) *promotion.Machine {
	t.Helper()
	is := is.New(t)
	m, err := promotion.New(promotion.Settings{
		Host: "h", Incarnation: 1, Environment: "loom", Stage: proxy.Production, Timing: promotion.DefaultTiming(),
	})
	is.NoErr(err)
	g := proxy.Group{ID: "orders", Instances: []proxy.Instance{{ID: "a", Primary: true}, {ID: "b"}, {ID: "c"}}}
	m.Handle(testStart, promotion.Configured{Document: &proxy.Document{Groups: []proxy.Group{g}}, Revision: 1})
	m.Handle(testStart, promotion.Placed{Group: "orders", Hosts: []proxy.HostID{"h"}})
	fetchObject(t, m, testStart, testObject())
	return m
}

// fetchObject passes an object to the machine as the answer to a read. Its version is
// the number of its term.
func fetchObject(t *testing.T, m *promotion.Machine, now proxy.Instant, o *promotion.Object) []proxy.Effect {
	t.Helper()
	value, err := json.Marshal(o)
	is.New(t).NoErr(err)
	key := promotion.Key("loom", proxy.Production, "orders")
	return m.Handle(now, proxy.Fetched{Object: proxy.Object{Key: key, Value: value, Version: proxy.Version(o.Term)}, Sent: now})
}

// replicaAt returns an observation of a replica that follows a term and has
// received log up to position.
func replicaAt(id proxy.InstanceID, term proxy.Term, position proxy.Position) promotion.Observed {
	return promotion.Observed{
		Group: "orders", Instance: id, Sent: testStart, Reachable: true,
		Recovery: true, TermState: promotion.TermState{Term: term, LeftTerm: term - 1}, Received: position,
	}
}

// TestAcknowledge guards against acknowledging a write that lacks a confirmation or a
// valid lease of its term.
func TestAcknowledge(t *testing.T) {
	lease := proxy.HolderTime(promotion.DefaultTiming().Lease)
	left := replicaAt("b", 4, 300)
	left.TermState.LeftTerm = 4
	former := replicaAt("b", 4, 300)
	former.Recovery = false
	cases := []struct {
		name     string
		observed promotion.Observed
		instance proxy.InstanceID
		bookmark proxy.Bookmark
		after    time.Duration
		ok       bool
		retry    bool
	}{
		{"confirmed", replicaAt("b", 4, 300), "c", proxy.Bookmark{Term: 4, Position: 300}, lease, true, false},
		{"lease expired", replicaAt("b", 4, 300), "c", proxy.Bookmark{Term: 4, Position: 300}, lease + 1, false, true},
		{"not confirmed", replicaAt("b", 4, 299), "c", proxy.Bookmark{Term: 4, Position: 300}, 0, false, true},
		{"follows an older term", replicaAt("b", 3, 300), "c", proxy.Bookmark{Term: 4, Position: 300}, 0, false, true},
		{"has left the term", left, "c", proxy.Bookmark{Term: 4, Position: 300}, 0, false, true},
		{"has not reached the start", replicaAt("b", 4, 199), "c", proxy.Bookmark{Term: 4, Position: 150}, 0, false, true},
		{"is not a replica", former, "c", proxy.Bookmark{Term: 4, Position: 300}, 0, false, true},
		{"older epoch", replicaAt("b", 4, 300), "c", proxy.Bookmark{Term: 3, Position: 300}, 0, false, false},
		{"replaced instance", replicaAt("b", 4, 300), "b", proxy.Bookmark{Term: 4, Position: 300}, 0, false, false},
		{"term not known yet", replicaAt("b", 4, 300), "c", proxy.Bookmark{Term: 5, Position: 300}, 0, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newMachine(t)
			m.Handle(testStart, c.observed)
			err := m.Acknowledge(testStart.Add(c.after), "orders", c.instance, c.bookmark)
			is.Equal(err == nil, c.ok)
			if err != nil {
				r := proxy.AsRefusal(err)
				is.Equal(r.Outcome, proxy.Unknown)
				is.Equal(r.RetryAfter > 0, c.retry)
			}
		})
	}
}

// TestRenewedTerm guards against refusing to acknowledge a write because the term was
// renewed, with the same primary, after the write.
func TestRenewedTerm(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	o := testObject()
	o.Term = 5
	fetchObject(t, m, testStart, o)
	m.Handle(testStart, replicaAt("b", 5, 300))
	is.NoErr(m.Acknowledge(testStart, "orders", "c", proxy.Bookmark{Term: 4, Position: 300}))
}

// TestBehindStart guards against detaching replicas when too few of them have reached
// the start of the term, and against a status that does not give this reason.
func TestBehindStart(t *testing.T) {
	is := is.New(t)
	m := newMachine(t)
	now := testStart
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		a, b := replicaAt("a", 4, 250), replicaAt("b", 4, 199)
		a.Sent, b.Sent = now, now
		failed := promotion.Observed{Group: "orders", Instance: "c", Sent: now, Fresh: true}
		for _, o := range []promotion.Observed{a, b, failed} {
			for _, e := range m.Handle(now, o) {
				_, detach := e.(promotion.Detach)
				is.True(!detach)
			}
		}
	}
	s, ok := m.Status(now, "orders")
	is.True(ok)
	is.True(strings.Contains(s.Text, "no promotion: 1 of the 2 replicas"))
	is.True(strings.Contains(s.Text, "b is at 0/C7 of term 4"))
	is.Equal(proxy.AsRefusal(m.Ready(now, "orders")).Outcome, proxy.NotRun)
}

// TestLateWritten guards against taking the late answer to an earlier write for the
// answer to the current one. The machine must read the object after every answer.
func TestLateWritten(t *testing.T) {
	is := is.New(t)
	m, err := promotion.New(promotion.Settings{
		Host: "h", Incarnation: 1, Environment: "loom", Stage: proxy.Production, Timing: promotion.DefaultTiming(),
	})
	is.NoErr(err)
	key := promotion.Key("loom", proxy.Production, "orders")
	g := proxy.Group{ID: "orders", Instances: []proxy.Instance{{ID: "a", Primary: true}, {ID: "b"}, {ID: "c"}}}
	m.Handle(testStart, promotion.Configured{Document: &proxy.Document{Groups: []proxy.Group{g}}, Revision: 1})
	is.Equal(m.Handle(testStart, promotion.Placed{Group: "orders", Hosts: []proxy.HostID{"h"}}), []proxy.Effect{proxy.Fetch{Key: key}})
	effects := m.Handle(testStart, proxy.Fetched{Object: proxy.Object{Key: key}, Sent: testStart, Err: proxy.ErrNotFound})
	is.Equal(len(effects), 1) // the first object
	_, known := m.Leader("orders")
	is.True(!known)
	later := testStart.Add(time.Second)
	is.Equal(m.Handle(later, proxy.Written{Key: key, Version: 9, Sent: testStart}), []proxy.Effect{proxy.Fetch{Key: key}})
	_, known = m.Leader("orders")
	is.True(!known)
	fetchObject(t, m, later, testObject())
	l, known := m.Leader("orders")
	is.True(known)
	is.Equal(l, proxy.Leadership{Term: 4, Primary: "c", Start: 200})
}

// TestConcurrentUse guards against data races between the event handling and the
// request path. It detects them under go test -race.
func TestConcurrentUse(t *testing.T) {
	m := newMachine(t)
	var workers sync.WaitGroup
	for n := range 4 {
		workers.Go(func() {
			for i := range 200 {
				now := testStart.Add(time.Duration(i) * time.Millisecond)
				o := replicaAt("b", 4, proxy.Position(200+i))
				o.Sent = now
				m.Handle(now, o)
				m.Handle(now, proxy.Tick{Random: uint64(n)})
				_ = m.Ready(now, "orders")
				_ = m.Acknowledge(now, "orders", "c", proxy.Bookmark{Term: 4, Position: 200})
				m.Status(now, "orders")
				m.Leader("orders")
			}
		})
	}
	workers.Wait()
}
