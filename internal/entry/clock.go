package entry

import (
	"golang.org/x/sys/unix"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// BootClock reads the clock that also counts the time in which the machine is
// suspended. Leases and ages of proofs need it: Go's monotonic clock stands
// still meanwhile and would make them appear valid for longer than they are.
type BootClock struct{}

var _ proxy.Clock = BootClock{}

// Now implements proxy.Clock.
func (BootClock) Now() proxy.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Only a kernel without this clock returns an error.
		panic("read boot clock: " + err.Error())
	}
	return proxy.Instant(t.Nano())
}
