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

// startedSimulation returns a simulation in which every host has acknowledged writes.
func startedSimulation(t *testing.T, seed uint64, instances int) *simulation {
	t.Helper()
	w := newSimulation(seed, 4, instances, 0)
	w.slowCommand = 0
	w.run(warmUp)
	if !w.allAcknowledged(warmUp - 500*time.Millisecond) {
		t.Fatalf("seed %d: no writes before the fault: %s", seed, w.describe())
	}
	for _, h := range w.hosts {
		h.longestGap = 0
	}
	return w
}

// TestUnavailability guards against a failover that takes longer than 2 s, or than
// 5 s while the platform answers slowly or not at all for a time.
func TestUnavailability(t *testing.T) {
	cases := []struct {
		name  string
		limit time.Duration
		fault func(w *simulation)
	}{
		{"primary fails", 2 * time.Second, func(w *simulation) { w.instances[0].stop(time.Hour) }},
		{"primary isolated", 2 * time.Second, func(w *simulation) { w.isolateFully(w.instances[0]) }},
		{"primary and its hosts fail", 2 * time.Second, func(w *simulation) {
			w.instances[0].stop(time.Hour)
			w.hosts[0].stop(time.Hour)
		}},
		{"primary cut from replicas", 2 * time.Second, func(w *simulation) {
			w.block("i0", "i1", true, time.Hour)
			w.block("i0", "i2", true, time.Hour)
		}},
		{"platform slow", 5 * time.Second, func(w *simulation) {
			w.store.slow = 250 * time.Millisecond
			w.instances[0].stop(time.Hour)
		}},
		{"platform down before, during and after", 5 * time.Second, func(w *simulation) {
			w.store.outage(3 * time.Second)
			w.instances[0].stop(time.Hour)
		}},
		{"platform down throughout", 500 * time.Millisecond, func(w *simulation) { w.store.outage(time.Hour) }},
		{"replica fails", 2 * time.Second, func(w *simulation) { w.instances[1].stop(time.Hour) }},
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
				w := startedSimulation(t, seed, 3)
				c.fault(w)
				w.run(warmUp + 8*time.Second)
				w.checkViolations(t)
				d := w.longestUnavailability()
				worst = max(worst, d)
				if d > c.limit {
					t.Errorf("seed %d: no write acknowledged for %v, want at most %v: %s", seed, d, c.limit, w.describe())
				}
			}
			t.Logf("longest %v", worst)
		})
	}
}

// longestUnavailability returns the longest time without an acknowledgement at any
// host that is running.
func (w *simulation) longestUnavailability() time.Duration {
	var d time.Duration
	for _, h := range w.hosts {
		if h.alive {
			d = max(d, h.longestGap, w.now-h.lastAckAt)
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

// TestPlannedChange guards against a switchover that takes more than 500 ms or leaves
// a write without an answer.
func TestPlannedChange(t *testing.T) {
	changes := map[string]func(w *simulation){
		"object": func(w *simulation) { w.requestSwitchover(w.instances[2]) },
		"document": func(w *simulation) {
			w.editDocument(func(i *proxy.Instance) { i.Primary = i.ID == "i2" })
		},
		"primary leaves": func(w *simulation) {
			w.editDocument(func(i *proxy.Instance) { i.Leaving = i.ID == "i0" })
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var worst time.Duration
			for seed := range uint64(scenarioSeeds) {
				w := startedSimulation(t, seed, 3)
				change(w)
				w.run(warmUp + 5*time.Second)
				w.checkViolations(t)
				worst = max(worst, w.longestUnavailability())
				is.True(w.primary().id != "i0")                            // the primary was changed
				is.Equal(w.stats.unknown+w.stats.timedOut, 0)              // every write was acknowledged
				is.True(w.longestUnavailability() <= 500*time.Millisecond) // the pause of writes
			}
			t.Logf("longest %v", worst)
		})
	}
}

// TestPlannedChangeBlocked guards against a switchover that holds new writes for
// longer than 500 ms because a running write does not end, and against hosts that
// repeat such attempts one after another.
func TestPlannedChangeBlocked(t *testing.T) {
	is := is.New(t)
	w := startedSimulation(t, 1, 3)
	w.hosts[2].addInFlightWrites(1)
	w.requestSwitchover(w.instances[2])
	refused := w.stats.refused
	w.run(warmUp + 7*time.Second)
	w.checkViolations(t)
	is.Equal(w.primary().id, proxy.InstanceID("i0"))
	is.True(w.longestUnavailability() <= 500*time.Millisecond)
	// In seven seconds there are at most three attempts that hold writes for 400 ms
	// each; four hosts write every 20 ms.
	is.True(w.stats.refused-refused <= 3*4*400/20)
	w.hosts[2].addInFlightWrites(-1)
	w.run(warmUp + 20*time.Second)
	w.checkViolations(t)
	is.Equal(w.primary().id, proxy.InstanceID("i2"))
	is.Equal(w.stats.unknown+w.stats.timedOut, 0)
}

// editDocument changes the instances of the document and puts it in force.
func (w *simulation) editDocument(edit func(i *proxy.Instance)) {
	instances := slices.Clone(w.document.Groups[0].Instances)
	for n := range instances {
		edit(&instances[n])
	}
	w.configure(instances)
}

// configure puts a document with the given instances in force, at a different time
// on each host.
func (w *simulation) configure(instances []proxy.Instance) {
	g := w.document.Groups[0]
	g.Instances = instances
	w.document = &proxy.Document{Groups: []proxy.Group{g}}
	w.revision++
	document, revision := w.document, w.revision
	for _, h := range w.hosts {
		w.after(w.between(0, time.Second), func() {
			h.do(h.incarnation, func() { h.handle(promotion.Configured{Document: document, Revision: revision}) })
		})
	}
}

// TestReplicaBehind guards against promoting the only reachable replica although
// another one may have confirmed later writes, and against a status that does not
// give this reason.
func TestReplicaBehind(t *testing.T) {
	is := is.New(t)
	w := startedSimulation(t, 1, 3)
	w.instances[2].lag = time.Hour
	w.run(warmUp + time.Second)
	w.instances[0].stop(time.Hour)
	w.instances[1].stop(20 * time.Second)
	w.run(warmUp + 10*time.Second)
	w.checkViolations(t)
	h := w.hosts[1]
	s, ok := h.machine.Status(h.clock(), simulatedGroup)
	is.True(ok)
	is.Equal(s.Term, proxy.Term(1))
	is.True(strings.Contains(s.Text, "no promotion: 1 of the 2 replicas"))
	r := proxy.AsRefusal(h.machine.Ready(h.clock(), simulatedGroup))
	is.Equal(r.Outcome, proxy.NotRun)
	is.True(r.RetryAfter > 0)
	w.run(warmUp + 40*time.Second)
	w.checkViolations(t)
	is.Equal(w.primary().id, proxy.InstanceID("i1")) // promoted once it is reachable
}

// TestRepeatedFailures guards against flapping: failovers of a group whose primaries
// keep failing must become rarer.
func TestRepeatedFailures(t *testing.T) {
	is := is.New(t)
	w := startedSimulation(t, 1, 5)
	for range 10 {
		p := w.primary()
		p.stop(1200 * time.Millisecond)
		w.run(w.now + 3*time.Second)
	}
	w.checkViolations(t)
	is.True(w.stats.promotions >= 2)
	is.True(w.stats.promotions <= 5)
}

// TestOneHostCutOff guards against a failover when only one host cannot reach the
// primary.
func TestOneHostCutOff(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(scenarioSeeds) {
		w := startedSimulation(t, seed, 3)
		w.block("h0", "i0", true, time.Hour)
		w.run(warmUp + 10*time.Second)
		w.checkViolations(t)
		is.Equal(w.stats.promotions, 0)
	}
}
