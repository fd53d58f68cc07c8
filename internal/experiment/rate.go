package experiment

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// bucket is the token bucket of one account over all hosts. It evaluates the records
// of a finished run.
type bucket struct {
	rate, burst float64
	level       float64
	lastRefill  time.Duration
}

func newBucket(account proxy.Account) *bucket {
	return &bucket{rate: account.Rate, burst: float64(account.Burst), level: float64(account.Burst)}
}

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.lastRefill).Seconds())
	b.lastRefill = now
}

// take removes a token and reports whether there was one.
func (b *bucket) take(now time.Duration) bool {
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// withinRate returns the records of one account that its rate and burst allow, in order
// of sending.
func withinRate(account proxy.Account, records []record) []record {
	b := newBucket(account)
	var within []record
	for _, r := range sortedBySendTime(records) {
		if b.take(r.sentAt) {
			within = append(within, r)
		}
	}
	return within
}

// overshoot returns the largest number of answered requests by which one account
// exceeded its rate and burst in any interval.
func overshoot(account proxy.Account, records []record) float64 {
	b := newBucket(account)
	worst := 0.0
	for _, r := range sortedBySendTime(records) {
		if r.outcome != answered {
			continue
		}
		b.refill(r.sentAt)
		b.level--
		worst = max(worst, -b.level)
	}
	return worst
}

func sortedBySendTime(records []record) []record {
	return slices.SortedFunc(slices.Values(records), func(a, b record) int { return int(a.sentAt - b.sentAt) })
}
