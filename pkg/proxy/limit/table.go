// Package limit admits requests within the rate and burst of each client
// account over all hosts together. Each account's limit is divided among
// numbered slots. A host holds slots by leases on platform objects. It transfers shares
// of its slots that it does not use to other hosts by grants; when a grant expires, the
// share returns to it. No share is usable on two hosts at once, so no failure makes the
// hosts admit more than the limit; see docs/limits.md.
package limit

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// DefaultSlots suits 8 hosts; there should be about two slots for each host.
	DefaultSlots = 16
	// DefaultLeaseDuration exceeds the longest outage of the platform during which hosts
	// should keep their slots.
	DefaultLeaseDuration = 15 * time.Minute
	// DefaultRenewInterval is the time between two renewals of a lease.
	DefaultRenewInterval = time.Minute
	// DefaultGrantDuration is how long a grant between hosts is valid. Shares that a
	// failed host has received remain unused for this time.
	DefaultGrantDuration = 1600 * time.Millisecond

	// maxSpread is the largest number of slots among which one account's limit is
	// divided. It limits the number of peers from which a host requests shares.
	maxSpread = 16
	// grantAcceptTime is how long after its request a grant may arrive. The donor reserves
	// burst for tokens in flight for this time.
	grantAcceptTime = 150 * time.Millisecond
	// requestTimeout is how long a request to a peer may remain unanswered.
	requestTimeout = 600 * time.Millisecond
	// grantRenewMargin is the time before the expiry of a grant at which it is renewed.
	grantRenewMargin = 400 * time.Millisecond
	// roundInterval is the least time between two rounds of one account.
	roundInterval = 200 * time.Millisecond
	// donorBackoff is how long a host that needs its share itself is not asked again.
	donorBackoff = 4 * time.Second
	// tokenRequestInterval is the least time between two requests for tokens without a
	// share, unless tokens are needed urgently.
	tokenRequestInterval = 500 * time.Millisecond
	// exchangeTime is the usual time until tokens arrive from a peer: a tick and a round
	// trip between availability zones.
	exchangeTime = 110 * time.Millisecond
	// callTimeout is how long a call to the platform may remain unanswered before the
	// host reads the object.
	callTimeout = 5 * time.Second
	// shortListInterval is the time between two reads of all slots while the host has too
	// few slots, or some slots are free or not known.
	shortListInterval = 5 * time.Second
	// longListInterval is the time between two reads of all slots otherwise.
	longListInterval = time.Minute

	// maxRetryAfter limits the expected time until a token.
	maxRetryAfter = time.Minute
)

// Configure is the event that applies a configuration document.
type Configure struct {
	Revision proxy.Revision
	Document *proxy.Document
}

// Peers is the event that sets the other live hosts.
type Peers struct{ Live []proxy.HostState }

// Leave is the event that starts a planned stop: the host frees its slots.
type Leave struct{}

// Violation is the effect that reports a broken invariant. Account is empty if the
// violation concerns no particular account.
type Violation struct {
	Account proxy.AccountID
	Text    string
}

// Table limits the accounts of one environment and stage on one host. Its exported
// fields must be set before the first event; zero values of Slots and of the durations
// are replaced by the defaults. It implements proxy.Module and proxy.Limiter.
type Table struct {
	Self proxy.HostState
	// Prefix is the prefix of the slots' objects,
	// environments/<environment>/<stage>/shares/.
	Prefix proxy.Key
	// Slots, LeaseDuration and GrantDuration must be the same on all hosts.
	Slots         int
	LeaseDuration time.Duration
	RenewInterval time.Duration
	GrantDuration time.Duration

	buckets  atomic.Pointer[map[proxy.AccountID]*bucket]
	mu       sync.Mutex
	revision proxy.Revision
	// allBuckets includes the buckets of removed accounts, since shares of them may still
	// be transferred and the account may be added again.
	allBuckets map[proxy.AccountID]*bucket
	// order holds the buckets of the configured accounts in the document's order.
	order []*bucket
	slots []slot
	// slotsListed reports whether the slots were read. It is reset by a claim that was
	// made for another total number of slots, so that this host claims no slot then.
	slotsListed bool
	// listedAt is the instant of the latest request to read the slots.
	listedAt proxy.Instant
	// live holds the other live hosts that are not leaving.
	live map[proxy.HostID]proxy.Incarnation
	// fallbackDonors are the peers to ask while the holders of slots are not known.
	fallbackDonors []proxy.HostID
	// leaving reports that this host is in a planned stop.
	leaving bool
	// tokensRequestedAt is the latest instant at which requests were sent while tokens
	// that are not urgent could be requested.
	tokensRequestedAt proxy.Instant
	// number is the number of the latest request.
	number uint64
	// pending holds the latest unanswered request to each peer.
	pending map[proxy.HostID]pending
	// lastAnswered is the number of the latest answered request of each peer.
	lastAnswered map[peer]uint64
}

var (
	_ proxy.Module  = (*Table)(nil)
	_ proxy.Limiter = (*Table)(nil)
)

// Admit implements proxy.Limiter. It does not overtake waiting requests.
func (t *Table) Admit(now proxy.Instant, account proxy.AccountID) error {
	b := t.admitted(account)
	if b == nil {
		return unknownAccount(account)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.arrived++
	b.advance(now)
	b.serve()
	switch {
	case b.violated:
		return b.inconsistent()
	case len(b.waiters) == 0 && b.take():
		return nil
	default:
		return b.refuse(now)
	}
}

// Handle implements proxy.Module.
func (t *Table) Handle(now proxy.Instant, event proxy.Event) []proxy.Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	switch e := event.(type) {
	case proxy.Tick:
		effects := t.updateSlots(now, e.Random)
		effects = append(effects, t.requestShares(now, e.Random)...)
		return append(effects, t.violations()...)
	case Configure:
		t.configure(now, e)
	case Peers:
		t.setPeers(e)
	case Leave:
		t.leaving = true
	case proxy.Received:
		return t.handleMessage(now, e)
	case proxy.Fetched:
		return t.handleFetched(now, e)
	case proxy.Listed:
		return t.handleListed(now, e)
	case proxy.Written:
		return t.handleWritten(now, e)
	}
	return nil
}

func (t *Table) initialize() {
	if t.allBuckets != nil {
		return
	}
	if t.Slots == 0 {
		t.Slots = DefaultSlots
	}
	setDefault(&t.LeaseDuration, DefaultLeaseDuration)
	setDefault(&t.RenewInterval, DefaultRenewInterval)
	setDefault(&t.GrantDuration, DefaultGrantDuration)
	t.allBuckets = make(map[proxy.AccountID]*bucket)
	t.slots = make([]slot, t.Slots)
	t.live = make(map[proxy.HostID]proxy.Incarnation)
	t.pending = make(map[proxy.HostID]pending)
	t.lastAnswered = make(map[peer]uint64)
	t.buckets.Store(&map[proxy.AccountID]*bucket{})
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// configure applies a document unless its revision is not newer than the current one.
func (t *Table) configure(now proxy.Instant, e Configure) {
	if e.Document == nil || e.Revision <= t.revision {
		return
	}
	t.revision = e.Revision
	buckets := make(map[proxy.AccountID]*bucket, len(e.Document.Accounts))
	t.order = t.order[:0]
	for i := range e.Document.Accounts {
		a := &e.Document.Accounts[i]
		b := t.bucket(now, a.ID)
		buckets[a.ID] = b
		t.order = append(t.order, b)
		_, spread := t.spread(a.ID)
		b.mu.Lock()
		b.setLimit(now, limitOf(a), spread)
		b.mu.Unlock()
	}
	for id, b := range t.allBuckets {
		if _, ok := buckets[id]; !ok {
			_, spread := t.spread(id)
			b.mu.Lock()
			b.setLimit(now, share{}, spread)
			b.mu.Unlock()
		}
	}
	t.buckets.Store(&buckets)
}

// limitOf converts an account's limit. The rate is reduced by the largest deviation of a
// clock, so that a host with a fast clock does not admit more than the rate.
func limitOf(a *proxy.Account) share {
	return share{
		rate:  int64(a.Rate * (1 - proxy.ClockRateBound) * float64(oneRequest)),
		burst: int64(a.Burst) * oneRequest,
	}
}

// bucket returns the account's bucket. A new bucket starts without tokens.
func (t *Table) bucket(now proxy.Instant, account proxy.AccountID) *bucket {
	if b, ok := t.allBuckets[account]; ok {
		return b
	}
	b := &bucket{account: account, refilledAt: now, nextExpiry: never}
	t.allBuckets[account] = b
	first, spread := t.spread(account)
	for i := range spread {
		n := (first + i) % t.Slots
		if s := &t.slots[n]; s.held && s.until > now {
			b.setLease(now, n, s.until, s.releasedAt != 0)
		}
	}
	return b
}

// spread returns the first of the consecutive slots among which the account's limit is
// divided, and their number.
func (t *Table) spread(account proxy.AccountID) (first, count int) {
	return int(xxhash.Sum64String(string(account)) % uint64(t.Slots)), min(t.Slots, maxSpread)
}

// inSpread reports whether the account's limit is divided among slots that include slot.
func (t *Table) inSpread(account proxy.AccountID, slot int) bool {
	first, count := t.spread(account)
	return (slot-first+t.Slots)%t.Slots < count
}

// setLease applies the lease of a slot to the buckets of the accounts that use the slot.
func (t *Table) setLease(now proxy.Instant, n int) {
	s := &t.slots[n]
	for _, b := range t.allBuckets {
		if t.inSpread(b.account, n) {
			b.mu.Lock()
			b.setLease(now, n, s.until, s.releasedAt != 0)
			b.mu.Unlock()
		}
	}
}

func (t *Table) setPeers(e Peers) {
	clear(t.live)
	t.fallbackDonors = t.fallbackDonors[:0]
	for i := range e.Live {
		h := &e.Live[i]
		if h.ID == t.Self.ID || h.Leaving {
			continue
		}
		t.live[h.ID] = h.Incarnation
		t.fallbackDonors = append(t.fallbackDonors, h.ID)
	}
	slices.Sort(t.fallbackDonors)
	t.fallbackDonors = t.fallbackDonors[:min(len(t.fallbackDonors), maxSpread)]
	for id := range t.pending {
		if _, ok := t.live[id]; !ok {
			delete(t.pending, id)
		}
	}
	for p := range t.lastAnswered {
		if t.live[p.host] != p.incarnation {
			delete(t.lastAnswered, p)
		}
	}
}

// listInterval returns the time between two reads of all slots. It is short while the
// slots have not been read, some are free or the host holds fewer than its quota.
func (t *Table) listInterval() time.Duration {
	heldCount, free := 0, false
	for n := range t.slots {
		free = free || t.slots[n].claim.Host == ""
		if t.slots[n].held {
			heldCount++
		}
	}
	if !t.slotsListed || free || heldCount < t.Slots/(len(t.live)+1) {
		return shortListInterval
	}
	return longListInterval
}

// violations reports each violation of a bucket's invariants once.
func (t *Table) violations() []proxy.Effect {
	var effects []proxy.Effect
	for _, b := range t.order {
		b.mu.Lock()
		if b.violated && !b.reported {
			effects = append(effects, Violation{
				Account: b.account,
				Text:    fmt.Sprintf("share is inconsistent: usable %+v, entitlement %+v, received %+v", b.usable, b.entitlement, b.receivedTotal),
			})
		}
		b.reported = b.violated
		b.mu.Unlock()
	}
	return effects
}
