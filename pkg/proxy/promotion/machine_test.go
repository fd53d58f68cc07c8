package promotion_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/internal/rapidtest"
)

// defaultChecks keeps a run without flags to a few seconds. The long run sets
// -rapid.checks; see docs/promotion.md.
const defaultChecks = "10"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", defaultChecks); err != nil {
		panic(err)
	}
	rapidtest.Main(m)
}

const (
	settling  = time.Second
	faultTime = 8 * time.Second
	// recoverWithin is how long after the last fault every host must get
	// writes acknowledged again.
	recoverWithin = 5 * time.Second
	recoverStep   = 250 * time.Millisecond
)

// TestSafety guards against acknowledgements by a replaced primary (G2) and
// acknowledged writes that a later primary lacks (G14) under random faults, and
// against a group that stays without writes after the faults have ended.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Eight bytes are uniform; rapid prefers small integers.
		seed := binary.LittleEndian.Uint64(rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed"))
		instances := rapid.SampledFrom([]int{3, 3, 5, 5, 2}).Draw(t, "instances")
		faults := rapid.IntRange(1, 15).Draw(t, "faults")
		pressure := rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(t, "pressure")
		w := newSimulation(seed, 4, instances, settling+faultTime)
		w.pressure = pressure
		for range faults {
			w.after(w.between(settling, settling+faultTime), func() { w.disturb(4 * time.Second) })
		}
		w.run(w.end)
		w.report(t)
		w.recovered(t)
	})
}

// failer is the part of testing.T and rapid.T that the checks use.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// report fails the test on a violation.
func (w *simulation) report(t failer) {
	t.Helper()
	if len(w.violations) > 0 {
		t.Fatalf("%s", w.violations[0])
	}
}

// recovered checks that every host gets writes acknowledged again.
func (w *simulation) recovered(t failer) {
	t.Helper()
	healed := w.now
	for w.now < healed+recoverWithin {
		w.run(w.now + recoverStep)
		w.report(t)
		if w.acknowledging(w.now - recoverStep) {
			return
		}
	}
	for _, h := range w.hosts {
		if h.lastAck >= w.now-recoverStep {
			continue
		}
		s, _ := h.machine.Status(h.clock(), simulated)
		t.Fatalf("%s got no write acknowledged since %v: ready %v; status %+v; %s",
			h.id, h.lastAck, h.machine.Ready(h.clock(), simulated), s, w.describe())
	}
}

// acknowledging reports whether every host acknowledged a write after since.
func (w *simulation) acknowledging(since time.Duration) bool {
	for _, h := range w.hosts {
		if h.lastAck < since {
			return false
		}
	}
	return true
}

func (w *simulation) describe() string {
	text := fmt.Sprintf("object %s;", w.store.value)
	for _, i := range w.instances {
		text += fmt.Sprintf(" %s alive=%v busy=%v recovery=%v mark=%+v end=%v follows=%s;",
			i.id, i.alive, i.busy, i.recovery, i.mark, i.end(), i.follows)
	}
	return text
}
