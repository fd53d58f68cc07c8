package limit

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// cede takes the parts that a peer wants out of the host's own part, as far as
// the host does not need them, and returns what the peer gets.
func (b *bucket) cede(now proxy.Instant, to peer, want Want, valid, accept time.Duration) Want {
	b.advance(now)
	until := now.Add(proxy.GranterTime(valid))
	earlier := b.givenTo(now, to)
	free := b.own(until).minus(b.given(now, &to))
	keep := b.keep()
	spare := free.minus(keep).atLeast(part{})
	// Half of the burst stays, so that tokens are left for other hosts if the
	// receiver fails.
	spare.burst /= 2
	gets := part{want.Rate, want.Burst}.atMost(spare)
	most := gets.atLeast(earlier)
	tokens := max(0, min(want.Tokens, b.level-b.demand.tokens(keep)))
	// Until the tokens arrive the peer's bucket is no larger than the earlier
	// part allows; tokens beyond the difference need burst of their own.
	flight := max(0, tokens-(most.burst-earlier.burst))
	if room := max(0, free.burst-most.burst); flight > room {
		tokens -= flight - room
		flight = room
	}
	if !most.within(free) {
		// A limit or a lease shrank since the earlier grant.
		return Want{Account: b.account}
	}
	b.level -= tokens
	b.ceded = append(b.ceded, ceded{
		to: to, part: gets, until: until,
		flight: flight, landed: now.Add(proxy.GranterTime(accept)),
	})
	b.settle(now)
	return Want{Account: b.account, Rate: gets.rate, Burst: gets.burst, Tokens: tokens}
}

// keep is the part that the host needs for its own requests.
func (b *bucket) keep() part {
	need := b.demand.need(b.whole)
	if b.whole.rate == 0 {
		return need
	}
	need.burst = min(need.burst, b.own(0).burst)
	return need
}

// accept adds what a peer ceded in answer to a request sent at asked.
func (b *bucket) accept(now, asked proxy.Instant, from proxy.HostID, gets Want, valid, accept time.Duration) {
	b.advance(now)
	if now >= asked.Add(proxy.HolderTime(accept)) {
		return
	}
	b.received = slices.DeleteFunc(b.received, func(r received) bool { return r.from == from })
	if gets.Rate > 0 || gets.Burst > 0 {
		b.received = append(b.received, received{
			from: from, part: part{gets.Rate, gets.Burst}, until: asked.Add(proxy.HolderTime(valid)),
		})
	}
	b.level += gets.Tokens
	b.settle(now)
}

// due reports whether the host asks all givers for what the account lacks: at
// each round, and earlier when the need has grown by half.
func (b *bucket) due(now proxy.Instant, round time.Duration) bool {
	need := b.demand.need(b.whole)
	since := now.Sub(b.round)
	if b.round != 0 && since < round {
		return since >= growAgain && need.rate > b.asked.rate+b.asked.rate/2
	}
	lack := need.minus(b.used)
	return lack.rate > 0 || lack.burst > 0 || b.got != part{}
}

// want computes what to ask of one of several peers in a round.
func (b *bucket) want(from proxy.HostID, peers int) Want {
	var have part
	for i := range b.received {
		if b.received[i].from == from {
			have = b.received[i].part
		}
	}
	lack := b.demand.need(b.whole).minus(b.used)
	return Want{
		Account: b.account,
		Rate:    wantOf(lack.rate, have.rate, b.got.rate, peers),
		Burst:   wantOf(lack.burst, have.burst, b.got.burst, peers),
	}
}

// wantOf spreads what is lacking over the peers, or what is not needed any more.
// The factor lets some peers make up for others that can cede nothing.
func wantOf(lack, have, got int64, peers int) int64 {
	if lack > 0 {
		return min(maxAmount, have+2*lack/int64(peers))
	}
	if got == 0 {
		return 0
	}
	return int64(float64(have) * max(0, float64(got+lack)) / float64(got))
}

// lackOfTokens returns the tokens that the host asks for beside its parts.
func (b *bucket) lackOfTokens() int64 {
	low := b.demand.low()
	if b.level >= low {
		return 0
	}
	return max(0, min(2*low, b.used.burst)-b.level)
}
