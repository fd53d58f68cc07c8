package experiment

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// bucket is a token bucket of a whole account, used to judge a finished run.
type bucket struct {
	rate, burst float64
	level       float64
	last        time.Duration
}

func newBucket(account proxy.Account) *bucket {
	return &bucket{rate: account.Rate, burst: float64(account.Burst), level: float64(account.Burst)}
}

// fill adds the tokens of the time since the last call.
func (b *bucket) fill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.last).Seconds())
	b.last = now
}

// take takes a token if there is one.
func (b *bucket) take(now time.Duration) bool {
	b.fill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// inRate returns those of one account's records that were sent within rate and
// burst, in order of sending.
func inRate(account proxy.Account, records []record) []record {
	b := newBucket(account)
	var within []record
	for _, r := range bySending(records) {
		if b.take(r.sent) {
			within = append(within, r)
		}
	}
	return within
}

// overshoot returns the largest number of answered requests of one account
// above its rate and burst in any interval.
func overshoot(account proxy.Account, records []record) float64 {
	b := newBucket(account)
	worst := 0.0
	for _, r := range bySending(records) {
		if r.state != answered {
			continue
		}
		b.fill(r.sent)
		b.level--
		worst = max(worst, -b.level)
	}
	return worst
}

func bySending(records []record) []record {
	return slices.SortedFunc(slices.Values(records), func(a, b record) int { return int(a.sent - b.sent) })
}
