package entry

import (
	"golang.org/x/sys/unix"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// BootClock reads CLOCK_BOOTTIME, which also counts the time while the machine is
// suspended. Go's monotonic clock stops meanwhile, so that leases and confirmations
// would appear valid for longer than they are.
type BootClock struct{}

var _ proxy.Clock = BootClock{}

// Now implements proxy.Clock.
func (BootClock) Now() proxy.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call only fails on a kernel without this clock.
		panic("read boot clock: " + err.Error())
	}
	return proxy.Instant(t.Nano())
}
