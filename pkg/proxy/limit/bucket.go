package limit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/admission"
)

// oneRequest is one request in nanorequests, the unit of rates, bursts and tokens.
// Integers keep sums of shares exact.
const oneRequest int64 = 1e9

// never is later than every instant that a process reaches.
const never = proxy.Instant(math.MaxInt64)

// share is a share of an account's limit, with its rate in nanorequests per second and
// its burst in nanorequests.
type share struct{ rate, burst int64 }

func (s share) plus(o share) share { return share{s.rate + o.rate, s.burst + o.burst} }

func (s share) minus(o share) share { return share{s.rate - o.rate, s.burst - o.burst} }

func (s share) atLeast(o share) share { return share{max(s.rate, o.rate), max(s.burst, o.burst)} }

func (s share) atMost(o share) share { return share{min(s.rate, o.rate), min(s.burst, o.burst)} }

func (s share) within(o share) bool { return s.rate <= o.rate && s.burst <= o.burst }

// lease is a slot that the host holds until an instant. The host no longer uses a slot
// that it is releasing, but earlier grants of its share may still be in use by peers.
type lease struct {
	slot      int
	until     proxy.Instant
	releasing bool
}

// outgoing is a share that was transferred to a peer until an instant.
type outgoing struct {
	to    peer
	share share
	until proxy.Instant
	// inFlight is the burst reserved until inFlightUntil for tokens that are being sent.
	// The peer accepts no tokens that arrive later.
	inFlight      int64
	inFlightUntil proxy.Instant
}

// incoming is a share that a peer transferred to this host until an instant.
type incoming struct {
	from  proxy.HostID
	share share
	until proxy.Instant
}

// backoff records that a peer has no share to transfer and is not asked again until an
// instant.
type backoff struct {
	host  proxy.HostID
	until proxy.Instant
}

// peer is one incarnation of another host.
type peer struct {
	host        proxy.HostID
	incarnation proxy.Incarnation
}

func (p peer) compare(q peer) int {
	return cmp.Or(cmp.Compare(p.host, q.host), cmp.Compare(p.incarnation, q.incarnation))
}

// bucket is the token bucket of one account on one host.
//
// Invariants: usable plus the outgoing shares is at most entitlement plus receivedTotal,
// and level is at most usable.burst.
type bucket struct {
	mu      sync.Mutex
	account proxy.AccountID
	// slotShare is the share of the account's limit that belongs to one slot.
	slotShare share
	// accountLimit is the account's limit over all hosts.
	accountLimit share
	leases       []lease
	// outgoing is ordered by peer.
	outgoing []outgoing
	incoming []incoming

	// entitlement is the share of the host's slots. When that share shrinks, shares of it
	// that were transferred to peers still count until they expire.
	entitlement share
	// usable is the share that the host may use now.
	usable share
	// receivedTotal is the sum of the incoming shares.
	receivedTotal share
	// level is the number of tokens, in nanorequests.
	level int64
	// refilledAt is the instant up to which the level is computed.
	refilledAt proxy.Instant
	// nextExpiry is the next instant at which a lease or a share expires.
	nextExpiry proxy.Instant
	violated   bool
	reported   bool
	demand     demand
	// round is the instant of the latest round of requests to all donors, and
	// roundNeed the needed share at that time.
	round     proxy.Instant
	roundNeed share
	backoffs  []backoff
	// waiters are the requests that wait for a token, in the order of their arrival, and
	// returns spreads the clients of refused ones.
	waiters []*Waiter
	returns admission.Returns
}

// advance computes the tokens up to now. Shares that have expired meanwhile add tokens
// only until their expiry, so a host that was paused uses none of them after it resumes.
func (b *bucket) advance(now proxy.Instant) {
	for b.nextExpiry <= now {
		expiry := b.nextExpiry
		b.refill(expiry)
		b.recompute(expiry)
	}
	b.refill(now)
}

func (b *bucket) refill(now proxy.Instant) {
	if now <= b.refilledAt {
		return
	}
	gain := float64(b.usable.rate) * float64(now.Sub(b.refilledAt)) / float64(time.Second)
	switch {
	case gain >= float64(b.usable.burst-b.level):
		b.level = b.usable.burst
	case gain < 1 && b.usable.rate > 0:
		return // Too short for one nanorequest; the time is counted later.
	default:
		b.level += int64(gain)
	}
	b.refilledAt = now
}

// recompute removes expired leases and shares and computes the share that the host may
// use.
func (b *bucket) recompute(now proxy.Instant) {
	b.leases = slices.DeleteFunc(b.leases, func(l lease) bool { return l.until <= now })
	b.outgoing = slices.DeleteFunc(b.outgoing, func(o outgoing) bool { return o.until <= now && o.inFlightUntil <= now })
	b.incoming = slices.DeleteFunc(b.incoming, func(in incoming) bool { return in.until <= now })
	b.nextExpiry = b.earliestExpiry(now)
	ownShare := b.ownShare(0)
	transferred := b.transferred(now, nil)
	b.receivedTotal = share{}
	for i := range b.incoming {
		b.receivedTotal = b.receivedTotal.plus(b.incoming[i].share)
	}
	b.usable = ownShare.minus(transferred).atLeast(share{}).plus(b.receivedTotal)
	b.level = min(b.level, b.usable.burst)
	b.refilledAt = max(b.refilledAt, now)
	b.entitlement = ownShare.atLeast(b.entitlement.atMost(transferred))
	b.violated = !b.usable.plus(transferred).within(b.entitlement.plus(b.receivedTotal)) || b.level < 0
}

func (b *bucket) earliestExpiry(now proxy.Instant) proxy.Instant {
	next := never
	for i := range b.leases {
		next = min(next, b.leases[i].until)
	}
	for i := range b.outgoing {
		if b.outgoing[i].until > now {
			next = min(next, b.outgoing[i].until)
		}
		if b.outgoing[i].inFlightUntil > now {
			next = min(next, b.outgoing[i].inFlightUntil)
		}
	}
	for i := range b.incoming {
		next = min(next, b.incoming[i].until)
	}
	return next
}

// ownShare returns the share of the slots that the host holds at least until an instant
// and is not releasing.
func (b *bucket) ownShare(until proxy.Instant) share {
	var sum share
	for i := range b.leases {
		if !b.leases[i].releasing && b.leases[i].until >= until {
			sum = sum.plus(b.slotShare)
		}
	}
	return sum
}

// transferred returns the sum of the shares that peers may use, except those of one
// peer if except is not nil, and of the burst reserved for tokens in flight to all
// peers. Of several grants to one peer only the largest counts, because the peer uses
// only the latest one that it has received.
func (b *bucket) transferred(now proxy.Instant, except *peer) share {
	var sum, largest share
	for i := range b.outgoing {
		o := &b.outgoing[i]
		if i > 0 && b.outgoing[i-1].to != o.to {
			sum, largest = sum.plus(largest), share{}
		}
		if o.inFlightUntil > now {
			sum.burst += o.inFlight
		}
		if o.until > now && (except == nil || o.to != *except) {
			largest = largest.atLeast(o.share)
		}
	}
	return sum.plus(largest)
}

// transferredTo returns the largest share that a peer may still use.
func (b *bucket) transferredTo(now proxy.Instant, to peer) share {
	var largest share
	for i := range b.outgoing {
		if b.outgoing[i].to == to && b.outgoing[i].until > now {
			largest = largest.atLeast(b.outgoing[i].share)
		}
	}
	return largest
}

// take removes one token, as of the last advance, and reports whether there was one.
func (b *bucket) take() bool {
	if b.level < oneRequest {
		return false
	}
	b.level -= oneRequest
	return true
}

// supply returns what the bucket expects if it gains tokens at a rate.
func (b *bucket) supply(rate int64) admission.Supply {
	if b.usable.burst < oneRequest && rate == b.usable.rate {
		rate = 0
	}
	return admission.Supply{Level: float64(b.level) / float64(oneRequest), Rate: float64(rate) / float64(oneRequest)}
}

// timeToToken returns the expected time until the bucket holds a token for a request with
// this number of requests before it. Tokens accrue at the usable rate, or they are
// transferred by peers, which takes one exchange and the time in which the account accrues
// them over all hosts.
func (b *bucket) timeToToken(before int) time.Duration {
	wait := maxRetryAfter
	if total := b.supply(b.accountLimit.rate).Wait(before); total >= 0 {
		wait = total + exchangeTime
	}
	if own := b.supply(b.usable.rate).Wait(before); own >= 0 {
		wait = min(wait, own)
	}
	return min(max(wait, time.Millisecond), maxRetryAfter)
}

// setLimit sets the account's limit, which is divided among slots; spread is their
// number. The level never rises, so that switching between two limits creates no tokens.
// Shares that were transferred under the previous limit count until they expire.
func (b *bucket) setLimit(now proxy.Instant, accountLimit share, spread int) {
	b.advance(now)
	b.accountLimit = accountLimit
	b.slotShare = share{accountLimit.rate / int64(spread), accountLimit.burst / int64(spread)}
	b.recompute(now)
}

// setLease sets the expiry of the lease of a slot. An instant in the past ends the lease.
func (b *bucket) setLease(now proxy.Instant, slot int, until proxy.Instant, releasing bool) {
	b.advance(now)
	index := slices.IndexFunc(b.leases, func(l lease) bool { return l.slot == slot })
	switch {
	case index >= 0:
		b.leases[index].until = until
		b.leases[index].releasing = releasing
	case until > now:
		b.leases = append(b.leases, lease{slot: slot, until: until, releasing: releasing})
	}
	b.recompute(now)
}
