package promotion_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

const (
	scenarioSeeds = 2
	warmUp        = 1500 * time.Millisecond
)

// settled returns a simulation in which every host has acknowledged writes.
func settled(t *testing.T, seed uint64, instances int) *simulation {
	t.Helper()
	w := newSimulation(seed, 4, instances, 0)
	w.slowOrder = 0
	w.run(warmUp)
	if !w.acknowledging(warmUp - 500*time.Millisecond) {
		t.Fatalf("seed %d: no writes before the fault: %s", seed, w.describe())
	}
	for _, h := range w.hosts {
		h.longest = 0
	}
	return w
}

// TestUnavailability guards against a failover that takes longer than 2 s while
// the platform answers, and 5 s if its answers are slow or stop for a time.
func TestUnavailability(t *testing.T) {
	cases := []struct {
		name  string
		limit time.Duration
		fault func(w *simulation)
	}{
		{"primary fails", 2 * time.Second, func(w *simulation) { w.instances[0].kill(time.Hour) }},
		{"primary isolated", 2 * time.Second, func(w *simulation) { w.isolateFully(w.instances[0]) }},
		{"primary and its hosts fail", 2 * time.Second, func(w *simulation) {
			w.instances[0].kill(time.Hour)
			w.hosts[0].kill(time.Hour)
		}},
		{"primary cut from replicas", 2 * time.Second, func(w *simulation) {
			w.block("i0", "i1", true, time.Hour)
			w.block("i0", "i2", true, time.Hour)
		}},
		{"platform slow", 5 * time.Second, func(w *simulation) {
			w.store.slow = 250 * time.Millisecond
			w.instances[0].kill(time.Hour)
		}},
		{"platform down before, during and after", 5 * time.Second, func(w *simulation) {
			w.store.outage(3 * time.Second)
			w.instances[0].kill(time.Hour)
		}},
		{"platform down throughout", 500 * time.Millisecond, func(w *simulation) { w.store.outage(time.Hour) }},
		{"replica fails", 2 * time.Second, func(w *simulation) { w.instances[1].kill(time.Hour) }},
		{"host cut from platform", 500 * time.Millisecond, func(w *simulation) { w.block("h0", platform, true, time.Hour) }},
		{"connections stop", 2 * time.Second, func(w *simulation) {
			for _, h := range w.hosts {
				h.hung["i0"] = true
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var worst time.Duration
			for seed := range uint64(scenarioSeeds) {
				w := settled(t, seed, 3)
				c.fault(w)
				w.run(warmUp + 8*time.Second)
				w.report(t)
				d := w.unavailable()
				worst = max(worst, d)
				if d > c.limit {
					t.Errorf("seed %d: no write acknowledged for %v, want at most %v: %s", seed, d, c.limit, w.describe())
				}
			}
			t.Logf("longest %v", worst)
		})
	}
}

// unavailable returns the longest time without an acknowledgement at any host
// that was not killed.
func (w *simulation) unavailable() time.Duration {
	var d time.Duration
	for _, h := range w.hosts {
		if h.alive {
			d = max(d, h.longest, w.now-h.lastAck)
		}
	}
	return d
}

func (w *simulation) isolateFully(i *instance) {
	for _, other := range w.instances {
		if other != i {
			w.block(i.name(), other.name(), true, time.Hour)
		}
	}
	for _, h := range w.hosts {
		w.block(i.name(), h.name(), true, time.Hour)
	}
}

// TestPlannedChange guards against a planned change that takes more than 500 ms
// or leaves a write without an answer.
func TestPlannedChange(t *testing.T) {
	changes := map[string]func(w *simulation){
		"object": func(w *simulation) { w.nameNext(w.instances[2]) },
		"document": func(w *simulation) {
			w.declare(func(i *proxy.Instance) { i.Primary = i.ID == "i2" })
		},
		"primary leaves": func(w *simulation) {
			w.declare(func(i *proxy.Instance) { i.Leaving = i.ID == "i0" })
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var worst time.Duration
			for seed := range uint64(scenarioSeeds) {
				w := settled(t, seed, 3)
				change(w)
				w.run(warmUp + 5*time.Second)
				w.report(t)
				worst = max(worst, w.unavailable())
				is.True(w.primary().id != "i0")                  // the primary was changed
				is.Equal(w.stats.doubts+w.stats.given, 0)        // every write was acknowledged
				is.True(w.unavailable() <= 500*time.Millisecond) // the pause of writes
			}
			t.Logf("longest %v", worst)
		})
	}
}

// TestPlannedChangeBlocked guards against holding writes for longer than 500 ms,
// or again and again by every host in turn, while a write does not end.
func TestPlannedChangeBlocked(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 3)
	w.hosts[2].count(1)
	w.nameNext(w.instances[2])
	refused := w.stats.refused
	w.run(warmUp + 7*time.Second)
	w.report(t)
	is.Equal(w.primary().id, proxy.InstanceID("i0"))
	is.True(w.unavailable() <= 500*time.Millisecond)
	// Three tries in seven seconds, 400 ms each, of writes every 20 ms on four hosts.
	is.True(w.stats.refused-refused <= 3*4*400/20)
	w.hosts[2].count(-1)
	w.run(warmUp + 20*time.Second)
	w.report(t)
	is.Equal(w.primary().id, proxy.InstanceID("i2"))
	is.Equal(w.stats.doubts+w.stats.given, 0)
}

// declare puts a new document in force on all hosts, at different times.
func (w *simulation) declare(edit func(i *proxy.Instance)) {
	instances := slices.Clone(w.document.Groups[0].Instances)
	for n := range instances {
		edit(&instances[n])
	}
	w.configure(instances)
}

// configure puts a document with the given instances in force.
func (w *simulation) configure(instances []proxy.Instance) {
	g := w.document.Groups[0]
	g.Instances = instances
	w.document = &proxy.Document{Groups: []proxy.Group{g}}
	w.revision++
	document, revision := w.document, w.revision
	for _, h := range w.hosts {
		w.after(w.between(0, time.Second), func() {
			h.do(h.life, func() { h.handle(promotion.Configured{Document: document, Revision: revision}) })
		})
	}
}

// TestReplicaBehind guards against the promotion of the only reachable replica
// when another may have confirmed more, and against a status that hides it.
func TestReplicaBehind(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 3)
	w.instances[2].lag = time.Hour
	w.run(warmUp + time.Second)
	w.instances[0].kill(time.Hour)
	w.instances[1].kill(20 * time.Second)
	w.run(warmUp + 10*time.Second)
	w.report(t)
	h := w.hosts[1]
	s, ok := h.machine.Status(h.clock(), simulated)
	is.True(ok)
	is.Equal(s.Term, proxy.Term(1))
	is.True(strings.Contains(s.Text, "no promotion: 1 of the 2 replicas"))
	r := proxy.AsRefusal(h.machine.Ready(h.clock(), simulated))
	is.Equal(r.Outcome, proxy.NotRun)
	is.True(r.RetryAfter > 0)
	w.run(warmUp + 40*time.Second)
	w.report(t)
	is.Equal(w.primary().id, proxy.InstanceID("i1")) // promoted once it is reachable
}

// TestRepeatedFailures guards against flapping: promotions of a group whose
// primaries keep failing become rarer.
func TestRepeatedFailures(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1, 5)
	for range 10 {
		p := w.primary()
		p.kill(1200 * time.Millisecond)
		w.run(w.now + 3*time.Second)
	}
	w.report(t)
	is.True(w.stats.promotions >= 2)
	is.True(w.stats.promotions <= 5)
}

// TestOneHostCutOff guards against a promotion because one host cannot reach the
// primary while the others can.
func TestOneHostCutOff(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(scenarioSeeds) {
		w := settled(t, seed, 3)
		w.block("h0", "i0", true, time.Hour)
		w.run(warmUp + 10*time.Second)
		w.report(t)
		is.Equal(w.stats.promotions, 0)
	}
}
