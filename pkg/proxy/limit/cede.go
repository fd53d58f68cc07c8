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
	if b.demand.active() {
		// The burst goes with the rate.
		spare.burst = int64(float64(spare.burst) * float64(min(want.Rate, spare.rate)) / float64(max(1, spare.rate)))
	} else {
		// Most of the burst stays, so that tokens are left for other hosts if
		// the receiver fails.
		spare.burst /= 4
	}
	gets := part{want.Rate, want.Burst}.atMost(spare)
	most := gets.atLeast(earlier)
	tokens := min(want.Tokens, b.level)
	if b.demand.active() {
		tokens = max(0, min(tokens, (b.level-want.Level)/2))
	}
	// Tokens that the smaller bucket cannot hold go along with the burst.
	growth := most.burst - earlier.burst
	tokens = max(tokens, min(growth, b.level-max(0, free.burst-most.burst)))
	// Until the tokens arrive the peer's bucket is no larger than the earlier
	// part allows; tokens beyond the difference need burst of their own.
	flight := max(0, tokens-growth)
	if room := max(0, free.burst-most.burst); flight > room {
		tokens -= flight - room
		flight = room
	}
	if !most.within(free) {
		// A limit or a lease shrank since the earlier grant.
		return Want{Account: b.account}
	}
	b.level -= tokens
	at, _ := slices.BinarySearchFunc(b.ceded, to, func(c ceded, to peer) int { return c.to.compare(to) })
	b.ceded = slices.Insert(b.ceded, at, ceded{
		to: to, part: gets, until: until,
		flight: flight, landed: now.Add(proxy.GranterTime(accept)),
	})
	b.settle(now)
	granted := Want{Account: b.account, Rate: gets.rate, Burst: gets.burst, Tokens: tokens}
	if want.Rate > 0 && gets.rate == 0 {
		granted.Again = b.again(now, to)
	}
	return granted
}

// again is the time until a part that is ceded to another peer ends, or
// scarceTime where the host needs its own part.
func (b *bucket) again(now proxy.Instant, to peer) time.Duration {
	wait := scarceTime
	for i := range b.ceded {
		if c := &b.ceded[i]; c.to != to && c.part.rate > 0 && c.until > now {
			wait = min(wait, c.until.Sub(now))
		}
	}
	return wait
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
	b.scarce = slices.DeleteFunc(b.scarce, func(s scarcity) bool { return s.at == from || s.until <= now })
	if gets.Again > 0 {
		until := now.Add(gets.Again)
		if gets.Again >= scarceTime {
			until -= until % proxy.Instant(scarceTime)
		}
		b.scarce = append(b.scarce, scarcity{at: from, until: until})
	}
}

// due reports whether the host asks all givers for what the account lacks: at
// each round, and earlier when the need has grown by half. Rounds start at
// multiples of their duration, so that accounts share messages.
func (b *bucket) due(now proxy.Instant, round time.Duration) bool {
	short := int64(1.05*b.demand.rate*float64(unit)) > b.used.rate && b.demand.active()
	if b.round != 0 && now/proxy.Instant(round) == b.round/proxy.Instant(round) {
		grown := b.asked.rate + b.asked.rate/2 + b.whole.rate/8
		return short && now.Sub(b.round) >= roundInterval && b.demand.need(b.whole).rate > grown
	}
	return short || b.got != part{}
}

// want computes what to ask of a peer in a round, given the rate that is still
// lacking and not asked of others. What the peer ceded already is renewed.
func (b *bucket) want(now proxy.Instant, from proxy.HostID, lack *int64, share int64) Want {
	w := Want{Account: b.account}
	if slices.ContainsFunc(b.scarce, func(s scarcity) bool { return s.at == from && s.until > now }) {
		return w
	}
	for i := range b.received {
		if b.received[i].from == from {
			w.Rate = b.received[i].part.rate
		}
	}
	if *lack > 0 {
		more := min(*lack, max(0, share-w.Rate))
		*lack -= more
		w.Rate += more
	} else if b.got.rate > 0 {
		w.Rate = int64(float64(w.Rate) * max(0, float64(b.got.rate+*lack)) / float64(b.got.rate))
	}
	w.Burst = int64(float64(w.Rate) * float64(b.whole.burst) / float64(max(1, b.whole.rate)))
	return w
}

// lackOfTokens returns the tokens that the host asks for beside its parts, and
// whether the next request may be refused without them.
func (b *bucket) lackOfTokens() (lack int64, urgent bool) {
	soon := b.demand.urgent()
	if b.level >= max(soon, min(b.demand.low(), b.used.burst/4)) {
		return 0, false
	}
	return max(0, b.used.burst-b.level), b.level < soon
}
