package limit

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// transferShare transfers the requested share to a peer, as far as the host does not
// need it, and returns the granted share. The grant is valid for grantDuration. The peer
// accepts it only if it arrives within accept after its request.
func (b *bucket) transferShare(now proxy.Instant, to peer, requested AccountShare, grantDuration, accept time.Duration) AccountShare {
	b.advance(now)
	until := now.Add(proxy.GranterTime(grantDuration))
	earlier := b.transferredTo(now, to)
	free := b.ownShare(until).minus(b.transferred(now, &to))
	reserve := b.reserve()
	spare := free.minus(reserve).atLeast(share{})
	if b.demand.active() {
		// The burst is transferred in proportion to the rate.
		spare.burst = int64(float64(spare.burst) * float64(min(requested.Rate, spare.rate)) / float64(max(1, spare.rate)))
	} else {
		// Most of the burst is kept, so that tokens are left for other hosts if the
		// receiver fails.
		spare.burst /= 4
	}
	offered := share{requested.Rate, requested.Burst}.atMost(spare)
	largest := offered.atLeast(earlier)
	tokens := min(requested.Tokens, b.level)
	if b.demand.active() {
		tokens = max(0, min(tokens, (b.level-requested.Level)/2))
	}
	// Tokens that no longer fit into this host's smaller bucket are transferred too.
	growth := largest.burst - earlier.burst
	tokens = max(tokens, min(growth, b.level-max(0, free.burst-largest.burst)))
	// Until the tokens arrive, the peer's bucket still has the size of the earlier share.
	// The growth of its burst covers that number of tokens in flight. For the others,
	// burst is reserved.
	inFlight := max(0, tokens-growth)
	if room := max(0, free.burst-largest.burst); inFlight > room {
		tokens -= inFlight - room
		inFlight = room
	}
	if !largest.within(free) {
		// The limit or the leased slots have shrunk since the earlier grant.
		return AccountShare{Account: b.account}
	}
	b.level -= tokens
	index, _ := slices.BinarySearchFunc(b.outgoing, to, func(o outgoing, to peer) int { return o.to.compare(to) })
	b.outgoing = slices.Insert(b.outgoing, index, outgoing{
		to: to, share: offered, until: until,
		inFlight: inFlight, inFlightUntil: now.Add(proxy.GranterTime(accept)),
	})
	b.recompute(now)
	granted := AccountShare{Account: b.account, Rate: offered.rate, Burst: offered.burst, Tokens: tokens}
	if requested.Rate > 0 && offered.rate == 0 {
		granted.RetryAfter = b.retryAfter(now, to)
	}
	return granted
}

// retryAfter returns the time after which a peer that got no rate should request it
// again: when a share that was transferred to another peer expires, but at most
// donorBackoff, which also applies if the host needs its share itself.
func (b *bucket) retryAfter(now proxy.Instant, to peer) time.Duration {
	wait := donorBackoff
	for i := range b.outgoing {
		if o := &b.outgoing[i]; o.to != to && o.share.rate > 0 && o.until > now {
			wait = min(wait, o.until.Sub(now))
		}
	}
	return wait
}

// reserve returns the share that the host needs for its own requests.
func (b *bucket) reserve() share {
	neededShare := b.demand.neededShare(b.accountLimit)
	if b.accountLimit.rate == 0 {
		return neededShare
	}
	neededShare.burst = min(neededShare.burst, b.ownShare(0).burst)
	return neededShare
}

// accept adds the share that a peer granted in answer to a request sent at sentAt. The
// grant is dropped if it arrives later than accept after the request.
func (b *bucket) accept(now, sentAt proxy.Instant, from proxy.HostID, granted AccountShare, grantDuration, accept time.Duration) {
	b.advance(now)
	if now >= sentAt.Add(proxy.HolderTime(accept)) {
		return
	}
	b.incoming = slices.DeleteFunc(b.incoming, func(in incoming) bool { return in.from == from })
	if granted.Rate > 0 || granted.Burst > 0 {
		b.incoming = append(b.incoming, incoming{
			from: from, share: share{granted.Rate, granted.Burst}, until: sentAt.Add(proxy.HolderTime(grantDuration)),
		})
	}
	b.level += granted.Tokens
	b.recompute(now)
	b.backoffs = slices.DeleteFunc(b.backoffs, func(bo backoff) bool { return bo.host == from || bo.until <= now })
	if granted.RetryAfter > 0 {
		until := now.Add(granted.RetryAfter)
		if granted.RetryAfter >= donorBackoff {
			until -= until % proxy.Instant(donorBackoff)
		}
		b.backoffs = append(b.backoffs, backoff{host: from, until: until})
	}
}

// roundDue reports whether the host should request a share of the account from all
// donors now: once in each round, and earlier if the needed rate has grown by half.
// Rounds start at multiples of their duration, so that accounts share messages.
func (b *bucket) roundDue(now proxy.Instant, round time.Duration) bool {
	short := int64(1.05*b.demand.rate*float64(oneRequest)) > b.usable.rate && b.demand.active()
	if b.round != 0 && now/proxy.Instant(round) == b.round/proxy.Instant(round) {
		grown := b.roundNeed.rate + b.roundNeed.rate/2 + b.accountLimit.rate/8
		return short && now.Sub(b.round) >= roundInterval && b.demand.neededShare(b.accountLimit).rate > grown
	}
	return short || b.receivedTotal != share{}
}

// nextRequest returns the share to request from a donor in a round, and subtracts the
// requested additional rate from missing, the rate that is not covered yet. It asks to
// renew the share that the donor has already transferred. If missing is negative, the
// host has too much and requests less from each donor. No request exceeds maxRate,
// apart from renewals.
func (b *bucket) nextRequest(now proxy.Instant, from proxy.HostID, missing *int64, maxRate int64) AccountShare {
	request := AccountShare{Account: b.account}
	if slices.ContainsFunc(b.backoffs, func(bo backoff) bool { return bo.host == from && bo.until > now }) {
		return request
	}
	for i := range b.incoming {
		if b.incoming[i].from == from {
			request.Rate = b.incoming[i].share.rate
		}
	}
	if *missing > 0 {
		more := min(*missing, max(0, maxRate-request.Rate))
		*missing -= more
		request.Rate += more
	} else if b.receivedTotal.rate > 0 {
		request.Rate = int64(float64(request.Rate) * max(0, float64(b.receivedTotal.rate+*missing)) / float64(b.receivedTotal.rate))
	}
	request.Burst = int64(float64(request.Rate) * float64(b.accountLimit.burst) / float64(max(1, b.accountLimit.rate)))
	return request
}

// tokenShortfall returns the number of tokens to request in addition to shares, and
// whether the next client request may be refused without them.
func (b *bucket) tokenShortfall() (missing int64, urgent bool) {
	urgentLevel := b.demand.urgent()
	if b.level >= max(urgentLevel, min(b.demand.lowTokens(), b.usable.burst/4)) {
		return 0, false
	}
	return max(0, b.usable.burst-b.level), b.level < urgentLevel
}
