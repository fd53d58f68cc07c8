package limit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// unit is one request in nanorequests, the unit of rates, bursts and tokens.
// Integers keep the sum of parts exact.
const unit int64 = 1e9

// never is later than every instant of a run.
const never = proxy.Instant(math.MaxInt64)

// part is a part of an account's limit: nanorequests a second and nanorequests.
type part struct{ rate, burst int64 }

func (p part) plus(q part) part { return part{p.rate + q.rate, p.burst + q.burst} }

func (p part) minus(q part) part { return part{p.rate - q.rate, p.burst - q.burst} }

func (p part) atLeast(q part) part { return part{max(p.rate, q.rate), max(p.burst, q.burst)} }

func (p part) atMost(q part) part { return part{min(p.rate, q.rate), min(p.burst, q.burst)} }

func (p part) within(q part) bool { return p.rate <= q.rate && p.burst <= q.burst }

// lease is a slot that the host holds until an instant. A leaving slot is no
// longer used, while grants that it backs may still run.
type lease struct {
	slot    int
	until   proxy.Instant
	leaving bool
}

// ceded is a part that a peer may use until an instant.
type ceded struct {
	to    peer
	part  part
	until proxy.Instant
	// flight is the burst that covers tokens on their way, until landed. The
	// receiver accepts none after that.
	flight int64
	landed proxy.Instant
}

// received is a part that a peer ceded to this host.
type received struct {
	from  proxy.HostID
	part  part
	until proxy.Instant
}

// scarcity tells that a peer has nothing to cede until an instant.
type scarcity struct {
	at    proxy.HostID
	until proxy.Instant
}

// peer is one life of another host.
type peer struct {
	host        proxy.HostID
	incarnation proxy.Incarnation
}

func (p peer) compare(q peer) int {
	return cmp.Or(cmp.Compare(p.host, q.host), cmp.Compare(p.incarnation, q.incarnation))
}

// bucket is one account's tokens on one host.
//
// Invariant: used plus ceded is at most the entitlement, which backs them, plus
// what was received; and level is at most used.burst.
type bucket struct {
	mu      sync.Mutex
	account proxy.AccountID
	// share is the part of one slot.
	share part
	// whole is the account's limit over all hosts.
	whole  part
	leases []lease
	// ceded is ordered by peer.
	ceded    []ceded
	received []received

	// backed is the entitlement, or the earlier larger one as long as parts of
	// it are ceded.
	backed part
	used   part
	got    part
	level  int64
	// filled is the instant up to which the level is counted.
	filled proxy.Instant
	// change is the next instant at which a part ends.
	change   proxy.Instant
	violated bool
	reported bool
	demand   demand
	// round is the instant of the latest round of requests to all givers, and
	// asked the need at that time.
	round  proxy.Instant
	asked  part
	scarce []scarcity
}

// advance counts the tokens up to now. Parts that ended meanwhile count up to
// their end only, so a host that was paused uses none of them after it resumes.
func (b *bucket) advance(now proxy.Instant) {
	for b.change <= now {
		at := b.change
		b.fill(at)
		b.settle(at)
	}
	b.fill(now)
}

func (b *bucket) fill(now proxy.Instant) {
	if now <= b.filled {
		return
	}
	gain := float64(b.used.rate) * float64(now.Sub(b.filled)) / float64(time.Second)
	switch {
	case gain >= float64(b.used.burst-b.level):
		b.level = b.used.burst
	case gain < 1 && b.used.rate > 0:
		return // Too short for one nanorequest; the time is counted later.
	default:
		b.level += int64(gain)
	}
	b.filled = now
}

// settle removes the parts that have ended and computes what the host may use.
func (b *bucket) settle(now proxy.Instant) {
	b.leases = slices.DeleteFunc(b.leases, func(l lease) bool { return l.until <= now })
	b.ceded = slices.DeleteFunc(b.ceded, func(c ceded) bool { return c.until <= now && c.landed <= now })
	b.received = slices.DeleteFunc(b.received, func(r received) bool { return r.until <= now })
	b.change = b.nextChange(now)
	own := b.own(0)
	given := b.given(now, nil)
	b.got = part{}
	for i := range b.received {
		b.got = b.got.plus(b.received[i].part)
	}
	b.used = own.minus(given).atLeast(part{}).plus(b.got)
	b.level = min(b.level, b.used.burst)
	b.filled = max(b.filled, now)
	b.backed = own.atLeast(b.backed.atMost(given))
	b.violated = !b.used.plus(given).within(b.backed.plus(b.got)) || b.level < 0
}

func (b *bucket) nextChange(now proxy.Instant) proxy.Instant {
	next := never
	for i := range b.leases {
		next = min(next, b.leases[i].until)
	}
	for i := range b.ceded {
		if b.ceded[i].until > now {
			next = min(next, b.ceded[i].until)
		}
		if b.ceded[i].landed > now {
			next = min(next, b.ceded[i].landed)
		}
	}
	for i := range b.received {
		next = min(next, b.received[i].until)
	}
	return next
}

// own is the part of the slots that the host holds at least until an instant
// and does not give up.
func (b *bucket) own(until proxy.Instant) part {
	var sum part
	for i := range b.leases {
		if !b.leases[i].leaving && b.leases[i].until >= until {
			sum = sum.plus(b.share)
		}
	}
	return sum
}

// given is the sum of the parts that peers other than except may use. Of several
// grants to one peer the largest counts, since the peer uses only the latest
// one that it received.
func (b *bucket) given(now proxy.Instant, except *peer) part {
	var sum, most part
	for i := range b.ceded {
		c := &b.ceded[i]
		if i > 0 && b.ceded[i-1].to != c.to {
			sum, most = sum.plus(most), part{}
		}
		if c.landed > now {
			sum.burst += c.flight
		}
		if c.until > now && (except == nil || c.to != *except) {
			most = most.atLeast(c.part)
		}
	}
	return sum.plus(most)
}

func (b *bucket) givenTo(now proxy.Instant, to peer) part {
	var most part
	for i := range b.ceded {
		if b.ceded[i].to == to && b.ceded[i].until > now {
			most = most.atLeast(b.ceded[i].part)
		}
	}
	return most
}

// take removes one token, or returns the time until one is there.
func (b *bucket) take(now proxy.Instant) (wait time.Duration, ok bool) {
	b.advance(now)
	b.demand.arrived++
	if b.violated || b.level < unit {
		return b.refill(), false
	}
	b.level -= unit
	return 0, true
}

// refill is the time until the bucket holds one token: from its own rate, or
// from peers at the pace of the whole account and after one exchange.
func (b *bucket) refill() time.Duration {
	lack := float64(unit-b.level) * float64(time.Second)
	wait := lack/float64(max(b.whole.rate, 1)) + float64(exchangeTime)
	if b.used.rate > 0 && b.used.burst >= unit {
		wait = min(wait, lack/float64(b.used.rate))
	}
	return time.Duration(min(max(wait, float64(time.Millisecond)), float64(maxRetryAfter)))
}

// limit sets the account's limit. The level never rises, so that a limit that
// is changed to and fro gives no tokens; parts that were ceded under the
// earlier limit count until they end.
func (b *bucket) limit(now proxy.Instant, whole part, spread int) {
	b.advance(now)
	b.whole = whole
	b.share = part{whole.rate / int64(spread), whole.burst / int64(spread)}
	b.settle(now)
}

// hold sets the end of the lease of a slot; an instant that has passed ends it.
func (b *bucket) hold(now proxy.Instant, slot int, until proxy.Instant, leaving bool) {
	b.advance(now)
	at := slices.IndexFunc(b.leases, func(l lease) bool { return l.slot == slot })
	switch {
	case at >= 0:
		b.leases[at].until = until
		b.leases[at].leaving = leaving
	case until > now:
		b.leases = append(b.leases, lease{slot: slot, until: until, leaving: leaving})
	}
	b.settle(now)
}
