package daemon_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/daemon"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// lateLimiter admits every request from an instant on and none before.
type lateLimiter struct {
	clock proxy.Clock
	from  proxy.Instant
	calls int
}

func (l *lateLimiter) Admit(now proxy.Instant, _ proxy.AccountID) error {
	l.calls++
	if now >= l.from {
		return nil
	}
	refusal := proxy.Refuse(proxy.ConfigurationLimit, "no token")
	refusal.RetryAfter = l.from.Sub(now)
	return refusal
}

// Guards against refusing requests that would be admitted after a short wait, and
// against waiting for a token that comes later.
func TestLimiterWaitsOnceAndBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := daemon.NewClock()
		for _, c := range []struct {
			wait, waited time.Duration
			admitted     bool
			calls        int
		}{
			{0, 0, true, 1},
			{200 * time.Millisecond, 200 * time.Millisecond, true, 2},
			{time.Second, 0, false, 1},
		} {
			began := clock.Now()
			limiter := &lateLimiter{clock: clock, from: began.Add(c.wait)}
			err := daemon.RetryingLimiter{Limiter: limiter, Clock: clock}.Admit(began, "clerks")
			is.Equal(err == nil, c.admitted)
			is.Equal(clock.Now().Sub(began), c.waited)
			is.Equal(limiter.calls, c.calls)
		}
	})
}
