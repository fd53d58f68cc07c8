package daemon

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
)

// WaitingLimiter lets a request without a token wait for one, in the order of arrival of
// its account's requests on this host. An account with a low rate has few tokens on each
// host, so that clients within the account's rate may find a host's bucket empty for a
// moment. It implements proxy.Limiter.
type WaitingLimiter struct {
	Table *limit.Table
	Clock proxy.Clock
	// Waits counts the requests that got a token after a wait, RefusedAtOnce and
	// RefusedAfterWait those that got none.
	Waits, RefusedAtOnce, RefusedAfterWait metrics.Counter
}

// NewWaitingLimiter returns a limiter whose counters are in a registry.
func NewWaitingLimiter(table *limit.Table, clock proxy.Clock, registry metrics.Registry) *WaitingLimiter {
	return &WaitingLimiter{
		Table: table, Clock: clock,
		Waits:            metrics.GetOrRegisterCounter("limit.waits", registry),
		RefusedAtOnce:    metrics.GetOrRegisterCounter("limit.refused.once", registry),
		RefusedAfterWait: metrics.GetOrRegisterCounter("limit.refused.waited", registry),
	}
}

// Admit implements proxy.Limiter.
func (l *WaitingLimiter) Admit(now proxy.Instant, account proxy.AccountID) error {
	w, err := l.Table.Acquire(now, account)
	if err != nil {
		l.RefusedAtOnce.Inc(1)
		return err
	}
	for ended := w == nil; !ended; {
		time.Sleep(l.Table.ReviewAfter(l.Clock.Now(), w))
		if ended, err = l.Table.Review(l.Clock.Now(), w); err != nil {
			l.RefusedAfterWait.Inc(1)
			return err
		}
	}
	if w != nil {
		l.Waits.Inc(1)
	}
	return nil
}
