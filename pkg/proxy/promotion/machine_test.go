package promotion_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	settling  = 2 * time.Second
	faultTime = 10 * time.Second
)

// fault is one disturbance of the world.
type fault struct {
	Kind     string
	At       time.Duration
	For      time.Duration
	A, B     int
	Strength int
}

var faultKinds = []string{
	"kill instance", "kill host", "pause host", "cut host from instance",
	"cut host from platform", "cut hosts", "cut instances", "isolate instance",
	"isolate with one host", "outage", "slow platform", "lose answers", "lag", "hang", "one way", "ask change",
}

func drawFault(t *rapid.T) fault {
	return fault{
		Kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		At:       settling + time.Duration(rapid.IntRange(0, int(faultTime/time.Millisecond)).Draw(t, "at"))*time.Millisecond,
		For:      time.Duration(rapid.IntRange(50, 5000).Draw(t, "for")) * time.Millisecond,
		A:        rapid.IntRange(0, 11).Draw(t, "a"),
		B:        rapid.IntRange(0, 11).Draw(t, "b"),
		Strength: rapid.IntRange(1, 10).Draw(t, "strength"),
	}
}

// inflict applies a fault that ends by itself.
func (w *world) inflict(f fault) {
	h := w.hosts[f.A%len(w.hosts)]
	i := w.instances[f.B%len(w.instances)]
	switch f.Kind {
	case "kill instance":
		if i.alive {
			i.kill(f.For)
		}
	case "kill host":
		if h.alive {
			h.kill(f.For)
		}
	case "pause host":
		h.paused = max(h.paused, w.now+f.For/time.Duration(f.Strength))
	case "cut host from instance":
		w.block(h.name(), i.name(), true, f.For)
	case "cut host from platform":
		w.block(h.name(), platform, true, f.For)
	case "cut hosts":
		if other := w.hosts[f.B%len(w.hosts)]; other != h {
			w.block(h.name(), other.name(), true, f.For)
		}
	case "cut instances":
		if other := w.instances[f.A%len(w.instances)]; other != i {
			w.block(i.name(), other.name(), true, f.For)
		}
	case "isolate instance", "isolate with one host":
		w.isolate(i, h, f)
	case "outage":
		w.store.outage(f.For)
	case "slow platform":
		w.store.slow += f.For / 10
		w.after(f.For, func() { w.store.slow -= f.For / 10 })
	case "lose answers":
		w.store.lose, w.store.late = 0.1*float64(f.Strength), 0.05*float64(f.Strength)
		w.after(f.For, func() { w.store.lose, w.store.late = 0, 0 })
	case "lag":
		i.lag = f.For / 4
		w.after(f.For, func() { i.lag = 5 * time.Millisecond })
	case "hang":
		h.hung[i.id] = true
	case "one way":
		w.block(i.name(), h.name(), false, f.For)
	case "ask change":
		w.nameNext(i)
	}
}

// isolate cuts an instance from all others and from the hosts, except perhaps
// one that stays with it.
func (w *world) isolate(i *instance, stays *host, f fault) {
	for _, other := range w.instances {
		if other != i {
			w.block(i.name(), other.name(), true, f.For)
		}
	}
	for _, h := range w.hosts {
		if h != stays || f.Kind == "isolate instance" {
			w.block(i.name(), h.name(), true, f.For)
		}
	}
	if f.Strength > 5 {
		w.block(stays.name(), platform, true, f.For)
	}
}

// TestSafety guards against acknowledgements by a replaced primary (G2) and
// acknowledged writes that a later primary lacks (G14) under random faults, and
// against a group that stays without writes after the faults have ended.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		instances := rapid.SampledFrom([]int{3, 3, 3, 2, 5}).Draw(t, "instances")
		faults := rapid.SliceOfN(rapid.Custom(drawFault), 0, 10).Draw(t, "faults")
		w := newWorld(seed, 4, instances, settling+faultTime)
		for _, f := range faults {
			w.after(f.At, func() { w.inflict(f) })
		}
		w.run(settling + faultTime + 5*time.Second)
		w.report(t)
		w.recovered(t)
	})
}

// report fails the test on a violation.
func (w *world) report(t interface{ Fatalf(string, ...any) }) {
	if len(w.violations) > 0 {
		t.Fatalf("%s", w.violations[0])
	}
}

// recoverWithin is how long after the last fault every host must get writes
// acknowledged again: five seconds, and the longest wait between promotions
// that ten faults can cause.
const recoverWithin = 10 * time.Second

func (w *world) recovered(t interface{ Fatalf(string, ...any) }) {
	w.run(w.now + recoverWithin)
	w.report(t)
	healed := w.now
	w.run(healed + 500*time.Millisecond)
	w.report(t)
	for _, h := range w.hosts {
		if h.lastAck < healed {
			s, _ := h.machine.Status(h.clock(), simulated)
			t.Fatalf("%s got no write acknowledged since %v: ready %v; status %+v; %s",
				h.id, h.lastAck, h.machine.Ready(h.clock(), simulated), s, w.describe())
		}
	}
}

func (w *world) describe() string {
	text := fmt.Sprintf("object %s;", w.store.value)
	for _, i := range w.instances {
		text += fmt.Sprintf(" %s alive=%v busy=%v recovery=%v mark=%+v end=%v follows=%s;", i.id, i.alive, i.busy, i.recovery, i.mark, i.end(), i.follows)
	}
	return text
}
