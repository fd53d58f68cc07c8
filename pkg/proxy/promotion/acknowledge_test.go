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
	second  = proxy.Instant(time.Second)
	present = 100 * second
)

// machine returns a machine that has read object(), whose term 4 is led by c and
// began at 200. It is the only pool host.
func machine(t *testing.T) *promotion.Machine {
	t.Helper()
	is := is.New(t)
	m, err := promotion.New(promotion.Settings{
		Host: "h", Incarnation: 1, Environment: "loom", Stage: proxy.Production, Timing: promotion.DefaultTiming(),
	})
	is.NoErr(err)
	g := proxy.Group{ID: "orders", Instances: []proxy.Instance{{ID: "a", Primary: true}, {ID: "b"}, {ID: "c"}}}
	m.Handle(present, promotion.Configured{Document: &proxy.Document{Groups: []proxy.Group{g}}, Revision: 1})
	m.Handle(present, promotion.Placed{Group: "orders", Hosts: []proxy.HostID{"h"}})
	fetched(t, m, present, object())
	return m
}

// fetched makes the machine read an object at the version of its term.
func fetched(t *testing.T, m *promotion.Machine, now proxy.Instant, o *promotion.Object) []proxy.Effect {
	t.Helper()
	value, err := json.Marshal(o)
	is.New(t).NoErr(err)
	key := promotion.Key("loom", proxy.Production, "orders")
	return m.Handle(now, proxy.Fetched{Object: proxy.Object{Key: key, Value: value, Version: proxy.Version(o.Term)}, Sent: now})
}

// replica returns an observation of a replica that follows a term.
func replica(id proxy.InstanceID, term proxy.Term, at proxy.Position) promotion.Observed {
	return promotion.Observed{
		Group: "orders", Instance: id, Sent: present, Reachable: true,
		Recovery: true, Mark: promotion.Mark{Term: term, Left: term - 1}, Received: at,
	}
}

// TestAcknowledge guards against acknowledging a write without a confirmation or
// without a valid lease of the term.
func TestAcknowledge(t *testing.T) {
	lease := proxy.HolderTime(promotion.DefaultTiming().Lease)
	left := replica("b", 4, 300)
	left.Mark.Left = 4
	former := replica("b", 4, 300)
	former.Recovery = false
	cases := []struct {
		name     string
		observed promotion.Observed
		instance proxy.InstanceID
		at       proxy.Bookmark
		after    time.Duration
		ok       bool
		again    bool
	}{
		{"confirmed", replica("b", 4, 300), "c", proxy.Bookmark{Term: 4, Position: 300}, lease, true, false},
		{"lease expired", replica("b", 4, 300), "c", proxy.Bookmark{Term: 4, Position: 300}, lease + 1, false, true},
		{"not confirmed", replica("b", 4, 299), "c", proxy.Bookmark{Term: 4, Position: 300}, 0, false, true},
		{"follows an older term", replica("b", 3, 300), "c", proxy.Bookmark{Term: 4, Position: 300}, 0, false, true},
		{"has left the term", left, "c", proxy.Bookmark{Term: 4, Position: 300}, 0, false, true},
		{"has not reached the start", replica("b", 4, 199), "c", proxy.Bookmark{Term: 4, Position: 150}, 0, false, true},
		{"is not a replica", former, "c", proxy.Bookmark{Term: 4, Position: 300}, 0, false, true},
		{"older era", replica("b", 4, 300), "c", proxy.Bookmark{Term: 3, Position: 300}, 0, false, false},
		{"replaced instance", replica("b", 4, 300), "b", proxy.Bookmark{Term: 4, Position: 300}, 0, false, false},
		{"term not known yet", replica("b", 4, 300), "c", proxy.Bookmark{Term: 5, Position: 300}, 0, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := machine(t)
			m.Handle(present, c.observed)
			err := m.Acknowledge(present.Add(c.after), "orders", c.instance, c.at)
			is.Equal(err == nil, c.ok)
			if err != nil {
				r := proxy.AsRefusal(err)
				is.Equal(r.Outcome, proxy.Unknown)
				is.Equal(r.RetryAfter > 0, c.again)
			}
		})
	}
}

// TestRenewedTerm guards against refusing a write of the same primary because
// its term was renewed meanwhile.
func TestRenewedTerm(t *testing.T) {
	is := is.New(t)
	m := machine(t)
	o := object()
	o.Term = 5
	fetched(t, m, present, o)
	m.Handle(present, replica("b", 5, 300))
	is.NoErr(m.Acknowledge(present, "orders", "c", proxy.Bookmark{Term: 4, Position: 300}))
}

// TestBehindStart guards against telling replicas to leave a term when too few
// of them have reached its start, and against a status that does not say so.
func TestBehindStart(t *testing.T) {
	is := is.New(t)
	m := machine(t)
	now := present
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		a, b := replica("a", 4, 250), replica("b", 4, 199)
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

// TestLateWritten guards against taking the content of one write for another
// when the answer to an earlier write arrives late: every answer leads to a read.
func TestLateWritten(t *testing.T) {
	is := is.New(t)
	m, err := promotion.New(promotion.Settings{
		Host: "h", Incarnation: 1, Environment: "loom", Stage: proxy.Production, Timing: promotion.DefaultTiming(),
	})
	is.NoErr(err)
	key := promotion.Key("loom", proxy.Production, "orders")
	g := proxy.Group{ID: "orders", Instances: []proxy.Instance{{ID: "a", Primary: true}, {ID: "b"}, {ID: "c"}}}
	m.Handle(present, promotion.Configured{Document: &proxy.Document{Groups: []proxy.Group{g}}, Revision: 1})
	is.Equal(m.Handle(present, promotion.Placed{Group: "orders", Hosts: []proxy.HostID{"h"}}), []proxy.Effect{proxy.Fetch{Key: key}})
	effects := m.Handle(present, proxy.Fetched{Object: proxy.Object{Key: key}, Sent: present, Err: proxy.ErrNotFound})
	is.Equal(len(effects), 1) // the first object
	_, known := m.Leader("orders")
	is.True(!known)
	later := present.Add(time.Second)
	is.Equal(m.Handle(later, proxy.Written{Key: key, Version: 9, Sent: present}), []proxy.Effect{proxy.Fetch{Key: key}})
	_, known = m.Leader("orders")
	is.True(!known)
	fetched(t, m, later, object())
	l, known := m.Leader("orders")
	is.True(known)
	is.Equal(l, proxy.Leadership{Term: 4, Primary: "c", Start: 200})
}

// TestConcurrentUse guards against data races between the control workers and
// the request path; it is meant for go test -race.
func TestConcurrentUse(t *testing.T) {
	m := machine(t)
	var workers sync.WaitGroup
	for n := range 4 {
		workers.Go(func() {
			for i := range 200 {
				now := present.Add(time.Duration(i) * time.Millisecond)
				o := replica("b", 4, proxy.Position(200+i))
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
