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

// begin records the start of a fault and returns a function that records its end.
func (c *faultHistory) begin(graceful bool, parts ...component) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var begun []*faultPeriod
	for _, p := range parts {
		begun = append(begun, &faultPeriod{component: p, from: time.Now(), graceful: graceful})
	}
	c.periods = append(c.periods, begun...)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, d := range begun {
			d.until = time.Now()
		}
	}
}

// faultFree reports whether the components have had no fault since minFaultFreeTime
// before the given time. If graceful is set, graceful stops do not count.
func (c *faultHistory) faultFree(since time.Time, graceful bool, parts ...component) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = since.Add(-minFaultFreeTime)
	for _, d := range c.periods {
		if d.graceful && graceful || !d.until.IsZero() && d.until.Before(since) {
			continue
		}
		for _, p := range parts {
			if d.component == p {
				return false
			}
		}
	}
	return true
}

// stoppingAt reports whether a component was being stopped gracefully at a time.
func (c *faultHistory) stoppingAt(at time.Time, p component) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.periods {
		if d.component == p && d.graceful && !at.Before(d.from) && (d.until.IsZero() || at.Before(d.until)) {
			return true
		}
	}
	return false
}
