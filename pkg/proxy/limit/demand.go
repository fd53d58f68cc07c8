package limit

import (
	"math"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// decreaseTimeConstant is the time constant with which the measured demand follows a
	// decrease.
	decreaseTimeConstant = 6 * time.Second
	// increaseTimeConstant is the time constant for an increase.
	increaseTimeConstant = 500 * time.Millisecond
	// idleRate is the demand, in requests per second, below which an account is not
	// active on a host.
	idleRate = 0.02
	// reserveHorizon is how far ahead a host keeps tokens for the expected requests. It
	// covers a tick and the answer of a peer, with a margin.
	reserveHorizon = 300 * time.Millisecond
	// urgentHorizon is reserveHorizon without the margin.
	urgentHorizon = 200 * time.Millisecond
)

// demand measures the requests of an account on a host.
type demand struct {
	// arrived is the number of requests since the last measurement.
	arrived int64
	// rate is the estimate in requests per second: the larger of the slow average and a
	// lower bound derived from the fast average.
	rate float64
	// slow and fast are moving averages of the requests per second.
	slow, fast float64
	measuredAt proxy.Instant
}

// measure updates the estimate with the requests since the last measurement. The
// estimate is at most the account's rate, so an account above its limit does not get a
// larger share.
func (d *demand) measure(now proxy.Instant, accountLimit share) {
	elapsed := now.Sub(d.measuredAt)
	if d.measuredAt == 0 || elapsed <= 0 {
		d.measuredAt = now
		return
	}
	arrivalRate := float64(d.arrived) / elapsed.Seconds()
	d.slow += (arrivalRate - d.slow) * -math.Expm1(-float64(elapsed)/float64(decreaseTimeConstant))
	d.fast += (arrivalRate - d.fast) * -math.Expm1(-float64(elapsed)/float64(increaseTimeConstant))
	d.rate = max(d.slow, d.fast-math.Sqrt(d.fast/increaseTimeConstant.Seconds()))
	d.rate = min(d.rate, float64(accountLimit.rate)/float64(oneRequest))
	d.arrived = 0
	d.measuredAt = now
}

func (d *demand) active() bool { return d.rate >= idleRate || d.arrived > 0 }

// neededShare returns the share that covers the demand and its usual variation.
func (d *demand) neededShare(accountLimit share) share {
	if !d.active() {
		return share{}
	}
	rate := int64((1.05*d.rate + 0.2*math.Sqrt(d.rate)) * float64(oneRequest))
	burst := float64(accountLimit.burst)
	if accountLimit.rate > 0 {
		burst *= min(1, float64(rate)/float64(accountLimit.rate))
	}
	return share{rate, int64(burst)}.atMost(accountLimit)
}

// lowTokens returns the number of tokens below which a host requests more.
func (d *demand) lowTokens() int64 {
	if !d.active() {
		return 0
	}
	mean := d.rate * reserveHorizon.Seconds()
	return int64((1 + mean + 2*math.Sqrt(mean)) * float64(oneRequest))
}

// urgent returns the number of tokens below which a client request during the next tick
// may be refused.
func (d *demand) urgent() int64 {
	return int64((1.25 + d.rate*urgentHorizon.Seconds()) * float64(oneRequest))
}
