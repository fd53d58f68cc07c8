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

// defaultChecks limits a run without flags to a few seconds. The long run sets
// -rapid.checks; see docs/promotion.md.
const defaultChecks = "10"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", defaultChecks); err != nil {
		panic(err)
	}
	rapidtest.Main(m)
}

const (
	settleTime = time.Second
	faultTime  = 8 * time.Second
	// recoverWithin is the time after the last fault within which every host must
	// acknowledge writes again.
	recoverWithin = 5 * time.Second
	recoverStep   = 250 * time.Millisecond
)

// TestSafety checks two guarantees under random faults: no write of a replaced primary
// is acknowledged (G2), and every later primary has all acknowledged writes (G14). It
// also checks that all hosts acknowledge writes again after the faults have ended.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Eight bytes give uniform seeds, while rapid favors small integers.
		seed := binary.LittleEndian.Uint64(rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed"))
		instances := rapid.SampledFrom([]int{3, 3, 5, 5, 2}).Draw(t, "instances")
		faults := rapid.IntRange(1, 15).Draw(t, "faults")
		pressure := rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(t, "pressure")
		w := newSimulation(seed, 4, instances, settleTime+faultTime)
		w.pressure = pressure
		for range faults {
			w.after(w.between(settleTime, settleTime+faultTime), func() { w.injectFault(4 * time.Second) })
		}
		w.run(w.end)
		w.checkViolations(t)
		w.checkRecovered(t)
	})
}

// failer is the part of testing.T and rapid.T that the checks use.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkViolations fails the test if a violation was recorded.
func (w *simulation) checkViolations(t failer) {
	t.Helper()
	if len(w.violations) > 0 {
		t.Fatalf("%s", w.violations[0])
	}
}

// checkRecovered checks that every host acknowledges writes again.
func (w *simulation) checkRecovered(t failer) {
	t.Helper()
	faultsEndedAt := w.now
	for w.now < faultsEndedAt+recoverWithin {
		w.run(w.now + recoverStep)
		w.checkViolations(t)
		if w.allAcknowledged(w.now - recoverStep) {
			return
		}
	}
	for _, h := range w.hosts {
		if h.lastAckAt >= w.now-recoverStep {
			continue
		}
		s, _ := h.machine.Status(h.clock(), simulatedGroup)
		t.Fatalf("%s got no write acknowledged since %v: ready %v; status %+v; %s",
			h.id, h.lastAckAt, h.machine.Ready(h.clock(), simulatedGroup), s, w.describe())
	}
}

// allAcknowledged reports whether every host has acknowledged a write since the given
// time.
func (w *simulation) allAcknowledged(since time.Duration) bool {
	for _, h := range w.hosts {
		if h.lastAckAt < since {
			return false
		}
	}
	return true
}

func (w *simulation) describe() string {
	text := fmt.Sprintf("object %s;", w.store.value)
	for _, i := range w.instances {
		text += fmt.Sprintf(" %s alive=%v busy=%v recovery=%v termState=%+v end=%v upstream=%s;",
			i.id, i.alive, i.busy, i.recovery, i.termState, i.end(), i.upstream)
	}
	return text
}
