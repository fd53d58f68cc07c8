package daemon

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// monotonic is the process's monotonic clock.
type monotonic struct{ start time.Time }

// NewClock returns a monotonic clock whose origin lies one hour back, so that
// no reading is zero.
func NewClock() proxy.Clock {
	return monotonic{start: time.Now().Add(-time.Hour)}
}

// Now implements proxy.Clock.
func (m monotonic) Now() proxy.Instant {
	return proxy.Instant(time.Since(m.start))
}
