// Package freshness keeps timestamped log positions. A read that accepts a staleness
// is fresh enough on an instance whose log contains a position with a timestamp no
// earlier than the oldest state that the read accepts.
package freshness

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// retention is how long samples are kept. It exceeds the staleness that routes
	// accept in practice; a read that accepts more uses the oldest sample.
	retention = 10 * time.Second
	// minSampleInterval is the minimum interval between two samples. It limits
	// their number.
	minSampleInterval = 20 * time.Millisecond
)

// Sample is a timestamped log position of a group's primary. Every commit that was
// acknowledged before At has a position at or below Position.
type Sample struct {
	At       proxy.Instant
	Position proxy.Bookmark
}

// History holds the samples of a group in ascending order of time. It is not safe
// for concurrent use.
type History struct {
	samples []Sample
}

// Record adds a position that the primary reported in an answer. At is the instant
// before the statement was sent. A position older than the newest sample is ignored.
func (h *History) Record(at proxy.Instant, position proxy.Bookmark) {
	n := len(h.samples)
	if n > 0 {
		last := h.samples[n-1]
		if at < last.At || position.Before(last.Position) {
			return
		}
		if last.At.Sub(h.previousInstant(n-1)) < minSampleInterval && n > 1 {
			// The newest sample is too close to its predecessor to be kept.
			h.samples[n-1] = Sample{At: at, Position: position}
			return
		}
	}
	h.samples = append(h.samples, Sample{At: at, Position: position})
	if old := h.samples[0].At; at.Sub(old) > retention+retention/2 {
		h.removeBefore(at.Add(-retention))
	}
}

func (h *History) previousInstant(n int) proxy.Instant {
	if n == 0 {
		return h.samples[0].At.Add(-minSampleInterval)
	}
	return h.samples[n-1].At
}

func (h *History) removeBefore(until proxy.Instant) {
	first, _ := slices.BinarySearchFunc(h.samples, until, compareInstant)
	h.samples = slices.Delete(h.samples, 0, first)
}

func compareInstant(s Sample, at proxy.Instant) int { return int(max(-1, min(1, int64(s.At-at)))) }

// MinimumPosition returns the lowest known position that covers every commit
// acknowledged before since. It returns false if no sample is recent enough.
func (h *History) MinimumPosition(since proxy.Instant) (proxy.Bookmark, bool) {
	sample, ok := h.Oldest(since)
	return sample.Position, ok
}

// Oldest returns the oldest sample from since or later, if there is one.
func (h *History) Oldest(since proxy.Instant) (Sample, bool) {
	n, _ := slices.BinarySearchFunc(h.samples, since, compareInstant)
	if n == len(h.samples) {
		return Sample{}, false
	}
	return h.samples[n], true
}

// Latest returns the instant of the newest sample, or zero if there is none.
func (h *History) Latest() proxy.Instant {
	if len(h.samples) == 0 {
		return 0
	}
	return h.samples[len(h.samples)-1].At
}
