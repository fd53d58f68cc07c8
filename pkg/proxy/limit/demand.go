package limit

import (
	"math"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// demandTime is the time constant with which the measured demand follows a
	// decrease.
	demandTime = 6 * time.Second
	// riseTime is the time constant for an increase.
	riseTime = 500 * time.Millisecond
	// idle is the demand, in requests a second, below which an account is not
	// active on a host.
	idle = 0.02
	// horizon is the time whose requests a host keeps tokens for. It covers a
	// tick and the answer of a peer.
	horizon = 300 * time.Millisecond
	// urgentHorizon is the same without a margin.
	urgentHorizon = 200 * time.Millisecond
)

// demand measures the requests of an account on a host.
type demand struct {
	arrived int64
	// rate is the estimate in requests a second: the larger of a slow average
	// and the lower bound that a fast average gives.
	rate       float64
	slow, fast float64
	at         proxy.Instant
}

// measure counts the requests since the last measurement. An account that
// sends more than its rate does not get a larger part for it.
func (d *demand) measure(now proxy.Instant, whole part) {
	elapsed := now.Sub(d.at)
	if d.at == 0 || elapsed <= 0 {
		d.at = now
		return
	}
	seen := float64(d.arrived) / elapsed.Seconds()
	d.slow += (seen - d.slow) * -math.Expm1(-float64(elapsed)/float64(demandTime))
	d.fast += (seen - d.fast) * -math.Expm1(-float64(elapsed)/float64(riseTime))
	d.rate = max(d.slow, d.fast-math.Sqrt(d.fast/riseTime.Seconds()))
	d.rate = min(d.rate, float64(whole.rate)/float64(unit))
	d.arrived = 0
	d.at = now
}

func (d *demand) active() bool { return d.rate >= idle || d.arrived > 0 }

// need is the part that covers the demand and its usual variation.
func (d *demand) need(whole part) part {
	if !d.active() {
		return part{}
	}
	rate := int64((1.05*d.rate + 0.2*math.Sqrt(d.rate)) * float64(unit))
	burst := float64(whole.burst)
	if whole.rate > 0 {
		burst *= min(1, float64(rate)/float64(whole.rate))
	}
	return part{rate, int64(burst)}.atMost(whole)
}

// low is the number of tokens below which a host asks for more.
func (d *demand) low() int64 {
	if !d.active() {
		return 0
	}
	mean := d.rate * horizon.Seconds()
	return int64((1 + mean + 2*math.Sqrt(mean)) * float64(unit))
}

// urgent is the number of tokens below which a request of the next tick may be
// refused.
func (d *demand) urgent() int64 {
	return int64((1.25 + d.rate*urgentHorizon.Seconds()) * float64(unit))
}
