package soak

import (
	"sync"
	"time"
)

// minFaultFreeTime is how long a component must have been without faults before
// guarantees with a time bound apply to it. The users' sites specify the value.
const minFaultFreeTime = 4 * time.Second

// component is what a fault affects: the host with this number, or one of the
// negative values below.
type component int

// Components other than hosts.
const (
	storeComponent     component = -1
	instancesComponent component = -2
	// machineComponent is the machine that runs the soak. It counts as faulty while
	// the soak itself is not scheduled on time.
	machineComponent component = -3
)

// faultPeriod is the time for which a fault affects a component.
type faultPeriod struct {
	component component
	// until is zero while the fault lasts.
	from, until time.Time
	// graceful marks graceful stops.
	graceful bool
}

// faultHistory records the periods of faults. It is safe for concurrent use.
type faultHistory struct {
	mu      sync.Mutex
	periods []*faultPeriod
}

// begin records the start of a fault of the components and returns a function that
// records its end.
func (h *faultHistory) begin(graceful bool, components ...component) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var begun []*faultPeriod
	for _, c := range components {
		begun = append(begun, &faultPeriod{component: c, from: time.Now(), graceful: graceful})
	}
	h.periods = append(h.periods, begun...)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, p := range begun {
			p.until = time.Now()
		}
	}
}

// faultFree reports whether the components have had no fault since minFaultFreeTime
// before the given time. If graceful is set, graceful stops do not count.
func (h *faultHistory) faultFree(since time.Time, graceful bool, components ...component) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	since = since.Add(-minFaultFreeTime)
	for _, p := range h.periods {
		if p.graceful && graceful || !p.until.IsZero() && p.until.Before(since) {
			continue
		}
		for _, c := range components {
			if p.component == c {
				return false
			}
		}
	}
	return true
}

// stoppingAt reports whether a component was being stopped gracefully at a time.
func (h *faultHistory) stoppingAt(at time.Time, c component) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.periods {
		if p.component == c && p.graceful && !at.Before(p.from) && (p.until.IsZero() || at.Before(p.until)) {
			return true
		}
	}
	return false
}
