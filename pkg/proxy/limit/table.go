// Package limit admits requests within the rate and burst of each client
// account over all hosts together. Each account's limit is divided among
// numbered slots. A host holds slots by leases on platform objects and cedes
// what it does not use of its slots to other hosts, by grants that expire back
// to it. No part is ever in two places, so no failure admits more than the
// limit; see docs/limits.md.
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

// Defaults of a Table and intervals of its work.
const (
	// DefaultSlots suits 8 hosts; a fleet uses about two for each host.
	DefaultSlots = 16
	// DefaultLease exceeds the longest outage of the platform during which
	// hosts keep their slots.
	DefaultLease = 15 * time.Minute
	// DefaultRenew is the time between two renewals of a lease.
	DefaultRenew = time.Minute
	// DefaultValid is the duration of a grant between hosts. Parts that a
	// failed host had received stay unused for this time.
	DefaultValid = 1600 * time.Millisecond

	// maxSpread is the largest number of slots over which one account's limit
	// is divided. It bounds the peers that a host asks.
	maxSpread = 16
	// acceptTime is how long after its request a grant may arrive. Tokens in
	// flight reserve burst of the giver for this time.
	acceptTime = 150 * time.Millisecond
	// requestTimeout is how long a request to a peer may remain unanswered.
	requestTimeout = 600 * time.Millisecond
	// renewBefore is the time before the end of a grant at which it is renewed.
	renewBefore = 400 * time.Millisecond
	// roundInterval is the least time between two rounds of one account.
	roundInterval = 200 * time.Millisecond
	// scarceTime is the time after which it is worth asking a host again that
	// needs its own part.
	scarceTime = 4 * time.Second
	// tokensAgain is the least time between two requests for tokens alone while
	// none is urgent.
	tokensAgain = 500 * time.Millisecond
	// exchangeTime is the usual time until tokens of a peer arrive: a tick and
	// a round trip between availability zones.
	exchangeTime = 110 * time.Millisecond
	// callTimeout is the time after which an unanswered call to the platform
	// is followed by a read.
	callTimeout = 5 * time.Second
	// listOften and listSeldom are the times between two reads of all slots,
	// while slots are missing and otherwise.
	listOften  = 5 * time.Second
	listSeldom = time.Minute

	maxRetryAfter = time.Minute
)

// Configure is the event that puts a document into force.
type Configure struct {
	Revision proxy.Revision
	Document *proxy.Document
}

// Peers is the event that names the other live hosts.
type Peers struct{ Live []proxy.HostState }

// Leave is the event that starts a planned stop: the host frees its slots.
type Leave struct{}

// Violation is the effect that reports a broken invariant. Account is empty
// where the violation concerns no account.
type Violation struct {
	Account proxy.AccountID
	Text    string
}

// Table limits the accounts of one environment and stage on one host. Exported
// fields are set before the first event. It implements proxy.Module and
// proxy.Limiter.
type Table struct {
	Self proxy.HostState
	// Prefix is the prefix of the slots' objects,
	// environments/<environment>/<stage>/shares/.
	Prefix proxy.Key
	// Slots, Lease and Valid are the same on all hosts.
	Slots int
	Lease time.Duration
	Renew time.Duration
	Valid time.Duration

	buckets  atomic.Pointer[map[proxy.AccountID]*bucket]
	mu       sync.Mutex
	revision proxy.Revision
	// all holds the buckets of removed accounts too, since parts of them may
	// be ceded and the account may return.
	all      map[proxy.AccountID]*bucket
	order    []*bucket
	slots    []slot
	complete bool
	listed   proxy.Instant
	live     map[proxy.HostID]proxy.Incarnation
	some     []proxy.HostID
	leaving  bool
	// begged is the instant of the latest request for tokens alone.
	begged   proxy.Instant
	number   uint64
	pending  map[proxy.HostID]pending
	answered map[peer]uint64
}

var (
	_ proxy.Module  = (*Table)(nil)
	_ proxy.Limiter = (*Table)(nil)
)

// Admit implements proxy.Limiter.
func (t *Table) Admit(now proxy.Instant, account proxy.AccountID) error {
	var b *bucket
	if buckets := t.buckets.Load(); buckets != nil {
		b = (*buckets)[account]
	}
	if b == nil {
		return proxy.Refuse(proxy.ConfigurationLimit, "account %q is not in the document in force", string(account))
	}
	b.mu.Lock()
	wait, ok := b.take(now)
	violated := b.violated
	b.mu.Unlock()
	if ok {
		return nil
	}
	if violated {
		return proxy.Refuse(proxy.InternalInconsistency, "the share of account %s on this host is inconsistent", account)
	}
	refusal := proxy.Refuse(proxy.ConfigurationLimit, "account %s exceeds its rate and burst", account)
	refusal.RetryAfter = wait
	return refusal
}

// Handle implements proxy.Module.
func (t *Table) Handle(now proxy.Instant, event proxy.Event) []proxy.Effect {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start()
	switch e := event.(type) {
	case proxy.Tick:
		effects := t.tickSlots(now, e.Random)
		effects = append(effects, t.tickExchange(now, e.Random)...)
		return append(effects, t.violations()...)
	case Configure:
		t.configure(now, e)
	case Peers:
		t.setPeers(e)
	case Leave:
		t.leaving = true
	case proxy.Received:
		return t.receive(now, e)
	case proxy.Fetched:
		return t.fetched(now, e)
	case proxy.Listed:
		return t.list(now, e)
	case proxy.Written:
		return t.written(now, e)
	}
	return nil
}

func (t *Table) start() {
	if t.all != nil {
		return
	}
	if t.Slots == 0 {
		t.Slots = DefaultSlots
	}
	setDefault(&t.Lease, DefaultLease)
	setDefault(&t.Renew, DefaultRenew)
	setDefault(&t.Valid, DefaultValid)
	t.all = make(map[proxy.AccountID]*bucket)
	t.slots = make([]slot, t.Slots)
	t.live = make(map[proxy.HostID]proxy.Incarnation)
	t.pending = make(map[proxy.HostID]pending)
	t.answered = make(map[peer]uint64)
	t.buckets.Store(&map[proxy.AccountID]*bucket{})
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// configure applies a document. Revisions only ascend.
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
		b.limit(now, limitOf(a), spread)
		b.mu.Unlock()
	}
	for id, b := range t.all {
		if _, ok := buckets[id]; !ok {
			_, spread := t.spread(id)
			b.mu.Lock()
			b.limit(now, part{}, spread)
			b.mu.Unlock()
		}
	}
	t.buckets.Store(&buckets)
}

// limitOf converts an account's limit. The rate is reduced by the largest
// deviation of a clock, so that a fast clock admits no more than the rate.
func limitOf(a *proxy.Account) part {
	return part{
		rate:  int64(a.Rate * (1 - proxy.ClockRateBound) * float64(unit)),
		burst: int64(a.Burst) * unit,
	}
}

// bucket returns the account's bucket; a new one starts without tokens.
func (t *Table) bucket(now proxy.Instant, account proxy.AccountID) *bucket {
	if b, ok := t.all[account]; ok {
		return b
	}
	b := &bucket{account: account, filled: now, change: never}
	t.all[account] = b
	first, spread := t.spread(account)
	for i := range spread {
		n := (first + i) % t.Slots
		if s := &t.slots[n]; s.mine && s.until > now {
			b.hold(now, n, s.until, s.left != 0)
		}
	}
	return b
}

// spread returns the first of the consecutive slots over which the account's
// limit is divided, and their number.
func (t *Table) spread(account proxy.AccountID) (first, count int) {
	return int(xxhash.Sum64String(string(account)) % uint64(t.Slots)), min(t.Slots, maxSpread)
}

func (t *Table) inSpread(account proxy.AccountID, slot int) bool {
	first, count := t.spread(account)
	return (slot-first+t.Slots)%t.Slots < count
}

// hold applies the state of a slot to the accounts that are divided over it.
func (t *Table) hold(now proxy.Instant, n int) {
	s := &t.slots[n]
	for _, b := range t.all {
		if t.inSpread(b.account, n) {
			b.mu.Lock()
			b.hold(now, n, s.until, s.left != 0)
			b.mu.Unlock()
		}
	}
}

func (t *Table) setPeers(e Peers) {
	clear(t.live)
	t.some = t.some[:0]
	for i := range e.Live {
		h := &e.Live[i]
		if h.ID == t.Self.ID || h.Leaving {
			continue
		}
		t.live[h.ID] = h.Incarnation
		t.some = append(t.some, h.ID)
	}
	slices.Sort(t.some)
	t.some = t.some[:min(len(t.some), maxSpread)]
	for id := range t.pending {
		if _, ok := t.live[id]; !ok {
			delete(t.pending, id)
		}
	}
	for p := range t.answered {
		if t.live[p.host] != p.incarnation {
			delete(t.answered, p)
		}
	}
}

// refresh is the time between two reads of all slots: short while some are free
// or the host has fewer than its share.
func (t *Table) refresh() time.Duration {
	held, free := 0, false
	for n := range t.slots {
		free = free || t.slots[n].claim.Host == ""
		if t.slots[n].mine {
			held++
		}
	}
	if !t.complete || free || held < t.Slots/(len(t.live)+1) {
		return listOften
	}
	return listSeldom
}

// violations reports each broken invariant once.
func (t *Table) violations() []proxy.Effect {
	var effects []proxy.Effect
	for _, b := range t.order {
		b.mu.Lock()
		if b.violated && !b.reported {
			effects = append(effects, Violation{
				Account: b.account,
				Text:    fmt.Sprintf("uses %+v and backs %+v with %+v received", b.used, b.backed, b.got),
			})
		}
		b.reported = b.violated
		b.mu.Unlock()
	}
	return effects
}
