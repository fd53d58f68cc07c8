package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/daemon"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Guards against a new pool host that opens its share of an instance's
// connections before the other hosts have closed theirs.
func TestShareDecreasesBeforeItIncreases(t *testing.T) {
	is := is.New(t)
	var shares daemon.ConnectionShares
	instant := func(second int) proxy.Instant { return proxy.Instant(time.Duration(second) * time.Second) }
	is.Equal(shares.Update(instant(0), "orders", 7), 0) // a host waits after its start
	is.Equal(shares.Update(instant(2), "orders", 7), 0)
	is.Equal(shares.Update(instant(3), "orders", 7), 7)
	is.Equal(shares.Update(instant(4), "orders", 3), 3) // decreases immediately
	is.Equal(shares.Update(instant(5), "orders", 7), 3) // increases after the delay
	is.Equal(shares.Update(instant(7), "orders", 4), 3) // another target restarts the delay
	is.Equal(shares.Update(instant(9), "orders", 4), 3)
	is.Equal(shares.Update(instant(10), "orders", 4), 4)
	is.Equal(shares.Update(instant(10), "payouts", 4), 0) // each group has its own delay
}
