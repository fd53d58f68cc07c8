package soak

import (
	"sync"
	"time"
)

// stableTime is how long a part must have been undisturbed until promises with a
// time bound hold for it, as the users' sites state it.
const stableTime = 4 * time.Second

// part is what a disturbance touches: a host by its number, or one of these.
type part int

// The parts that are not hosts.
const (
	storePart     part = -1
	instancesPart part = -2
	// machinePart is the machine itself, which is disturbed while the soak does not
	// run on time.
	machinePart part = -3
)

type disturbance struct {
	part       part
	from, till time.Time
	// planned disturbances are graceful stops.
	planned bool
}

// calm records the disturbances. It is safe for concurrent use.
type calm struct {
	mu    sync.Mutex
	known []*disturbance
}

// begin records the start of a disturbance and returns what ends it.
func (c *calm) begin(planned bool, parts ...part) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var begun []*disturbance
	for _, p := range parts {
		begun = append(begun, &disturbance{part: p, from: time.Now(), planned: planned})
	}
	c.known = append(c.known, begun...)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, d := range begun {
			d.till = time.Now()
		}
	}
}

// holds reports whether parts were undisturbed from stableTime before an instant
// on. With planned, graceful stops do not count.
func (c *calm) holds(since time.Time, planned bool, parts ...part) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since = since.Add(-stableTime)
	for _, d := range c.known {
		if d.planned && planned || !d.till.IsZero() && d.till.Before(since) {
			continue
		}
		for _, p := range parts {
			if d.part == p {
				return false
			}
		}
	}
	return true
}

// stopping reports whether a part was being stopped gracefully at an instant.
func (c *calm) stopping(at time.Time, p part) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.known {
		if d.part == p && d.planned && !at.Before(d.from) && (d.till.IsZero() || at.Before(d.till)) {
			return true
		}
	}
	return false
}
