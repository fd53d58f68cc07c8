// Package freshness dates log positions. A read is fresh enough if it runs on a
// log that holds a position dated no earlier than the oldest state that the read
// accepts.
package freshness

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// span is how long samples are kept; it exceeds the ages that routes accept
	// in practice. Older ages use the oldest sample.
	span = 10 * time.Second
	// spacing is the least time between two samples, which bounds their number.
	spacing = 20 * time.Millisecond
)

// Sample is a log position of a group's primary. Every commit that was
// acknowledged before At is at or below Position.
type Sample struct {
	At       proxy.Instant
	Position proxy.Bookmark
}

// History holds the samples of one group, in ascending order of time. It is not
// synchronised.
type History struct {
	samples []Sample
}

// Record adds a position that an answer of the primary told. At is the instant
// before the statement was sent.
func (h *History) Record(at proxy.Instant, position proxy.Bookmark) {
	n := len(h.samples)
	if n > 0 {
		last := h.samples[n-1]
		if at < last.At || position.Before(last.Position) {
			return
		}
		if last.At.Sub(h.before(n-1)) < spacing && n > 1 {
			// The newer sample replaces one that is close to its predecessor.
			h.samples[n-1] = Sample{At: at, Position: position}
			return
		}
	}
	h.samples = append(h.samples, Sample{At: at, Position: position})
	if old := h.samples[0].At; at.Sub(old) > span+span/2 {
		h.forget(at.Add(-span))
	}
}

func (h *History) before(n int) proxy.Instant {
	if n == 0 {
		return h.samples[0].At.Add(-spacing)
	}
	return h.samples[n-1].At
}

func (h *History) forget(until proxy.Instant) {
	first, _ := slices.BinarySearchFunc(h.samples, until, compare)
	h.samples = slices.Delete(h.samples, 0, first)
}

func compare(s Sample, at proxy.Instant) int { return int(max(-1, min(1, int64(s.At-at)))) }

// Bound returns the lowest known position that holds every commit acknowledged
// before since. It returns false where no sample is recent enough.
func (h *History) MinimumPosition(since proxy.Instant) (proxy.Bookmark, bool) {
	n, _ := slices.BinarySearchFunc(h.samples, since, compare)
	if n == len(h.samples) {
		return proxy.Bookmark{}, false
	}
	return h.samples[n].Position, true
}

// Latest returns the instant of the newest sample, zero where there is none.
func (h *History) Latest() proxy.Instant {
	if len(h.samples) == 0 {
		return 0
	}
	return h.samples[len(h.samples)-1].At
}
