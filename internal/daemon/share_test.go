package daemon_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/daemon"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Guards against a new pool host that uses its share of an instance's
// connections before the others have given it up.
func TestShareDecreasesBeforeItIncreases(t *testing.T) {
	is := is.New(t)
	var shares daemon.Shares
	at := func(second int) proxy.Instant { return proxy.Instant(time.Duration(second) * time.Second) }
	is.Equal(shares.Use(at(0), "orders", 7), 0) // a host that starts waits
	is.Equal(shares.Use(at(2), "orders", 7), 0)
	is.Equal(shares.Use(at(3), "orders", 7), 7)
	is.Equal(shares.Use(at(4), "orders", 3), 3) // less at once
	is.Equal(shares.Use(at(5), "orders", 7), 3) // more after a delay
	is.Equal(shares.Use(at(7), "orders", 4), 3) // another target starts anew
	is.Equal(shares.Use(at(9), "orders", 4), 3)
	is.Equal(shares.Use(at(10), "orders", 4), 4)
	is.Equal(shares.Use(at(10), "payouts", 4), 0) // groups are apart
}
