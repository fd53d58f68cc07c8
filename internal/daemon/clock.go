package daemon

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// monotonicClock reads the process's monotonic clock.
type monotonicClock struct{ start time.Time }

// NewClock returns a monotonic clock. Its origin lies one hour in the past, so
// that no reading is zero, which stands for "never" in many fields.
func NewClock() proxy.Clock {
	return monotonicClock{start: time.Now().Add(-time.Hour)}
}

// Now implements proxy.Clock.
func (c monotonicClock) Now() proxy.Instant {
	return proxy.Instant(time.Since(c.start))
}
