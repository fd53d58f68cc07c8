package promotion_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// steadyHost returns a host of a group without faults, and an observation of each of
// the group's instances.
func steadyHost(b *testing.B) (*host, []promotion.Observed) {
	b.Helper()
	w := newSimulation(1, 4, 3, 0)
	w.run(warmUp)
	h := w.hosts[0]
	var all []promotion.Observed
	for _, i := range w.instances {
		o := i.observation()
		o.Group, o.Instance = simulatedGroup, i.id
		all = append(all, o)
	}
	return h, all
}

// BenchmarkObserved measures handling an observation of a group without faults.
func BenchmarkObserved(b *testing.B) {
	h, all := steadyHost(b)
	now := h.clock()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		o := all[n%len(all)]
		o.Sent = now
		h.machine.Handle(now, o)
	}
}

// BenchmarkTick measures a tick of a host with one group without faults.
func BenchmarkTick(b *testing.B) {
	h, _ := steadyHost(b)
	now := h.clock()
	b.ReportAllocs()
	for b.Loop() {
		h.machine.Handle(now, proxy.Tick{})
	}
}

// BenchmarkAcknowledge measures the check before a write is acknowledged.
func BenchmarkAcknowledge(b *testing.B) {
	h, all := steadyHost(b)
	now := h.clock()
	for _, o := range all {
		o.Sent = now
		h.machine.Handle(now, o)
	}
	bookmark := proxy.Bookmark{Term: 1, Position: all[1].Received}
	b.ReportAllocs()
	for b.Loop() {
		if err := h.machine.Acknowledge(now, simulatedGroup, "i0", bookmark); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTickElsewhere measures a tick of a host that knows 1,200 groups and
// is a pool host of none.
func BenchmarkTickElsewhere(b *testing.B) {
	const groups = 1200
	m, err := promotion.New(promotion.Settings{
		Host: "h", Incarnation: 1, Environment: "loom", Stage: proxy.Production, Timing: promotion.DefaultTiming(),
	})
	if err != nil {
		b.Fatal(err)
	}
	d := new(proxy.Document)
	for n := range groups {
		d.Groups = append(d.Groups, proxy.Group{ID: proxy.GroupID(fmt.Sprintf("g%d", n))})
	}
	m.Handle(testStart, promotion.Configured{Document: d, Revision: 1})
	b.ReportAllocs()
	for b.Loop() {
		m.Handle(testStart, proxy.Tick{})
	}
}
