// Package allowance admits operations within the rate and burst of client
// accounts over all hosts together. Each account has owner hosts, which fill their
// token buckets with equal shares of its rate. If an account's operations arrive at
// other hosts or are spread unevenly over its owners, a host borrows tokens from the
// owners. A lender removes the tokens from its bucket before it sends them, so a
// token is never usable on two hosts.
//
// The design assumes a load balancer that spreads a few large clients unevenly over
// the hosts, accounts that use about two thirds of their rate, and more hosts than
// an account sends operations in a second.
package allowance

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/admission"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

const (
	// LoanDuration is how long borrowed tokens may be used. The borrower counts it
	// from its request and the lender from the later loan, so the borrower stops first.
	LoanDuration = 150 * time.Millisecond
	// BriefLoanDuration is the same for tokens that were requested for waiting operations,
	// which use them as soon as they arrive. The lender fills its bucket up only when its
	// loans have ended, so that long loans would cost accounts with small bursts a part of
	// their rate. It exceeds AnswerTimeout.
	BriefLoanDuration = 22 * time.Millisecond
	// loanMargin is added to the duration of a loan by the lender. It covers clock rates of lender
	// and borrower that differ by 1%.
	loanMargin = 5 * time.Millisecond
	// demandTimeConstant is the time constant of the moving average of an account's
	// demand.
	demandTimeConstant = time.Second
	// reserveTime is how far ahead a lender keeps tokens for the demand of its own
	// clients.
	reserveTime = 100 * time.Millisecond
	// prefetchTime is how far ahead a host borrows tokens for its expected demand. It
	// is well below LoanDuration, so that few loans expire unused.
	prefetchTime = 90 * time.Millisecond
	// maxLoanTokens is the largest number of tokens in one loan.
	maxLoanTokens = 64
	// expectTime is how long an expected operation counts as demand. It is several round
	// trips to a client.
	expectTime = 60 * time.Millisecond
	// maxExpected limits the expected operations of an account on a host.
	maxExpected = 8
	// scarcityTime is how long after an account had no token left none is borrowed for
	// expected operations, since those that do not come would waste it.
	scarcityTime = 2 * time.Second
	// minOwnerRate is the smallest share of a rate, in 1/s, that an owner host gets,
	// unless minOwners requires smaller shares. More owners spread the loan requests over
	// more hosts; fewer owners keep the tokens together.
	minOwnerRate = 10.0
	// minOwnerBurst is the smallest share of a burst, in tokens, that an owner host gets
	// likewise. Fewer tokens would leave fractions of one at each of many owners.
	minOwnerBurst = 10.0
	// minOwners is the least number of owner hosts, so that an account is still served,
	// at a share of its rate, while an owner is unavailable.
	minOwners = 2
)

// Table holds the token buckets of one host. It is safe for concurrent use.
//
// Invariant: over all hosts the shares of an account add up to at most 1. A host stops
// filling a bucket as soon as it receives a host list by which it is no longer an
// owner. A new owner starts to fill its bucket after HandoverDelay, when all other
// hosts have received the new list or have stopped.
type Table struct {
	// Self is this host.
	Self proxy.HostID
	// HandoverDelay is how long a new owner of an account waits before it fills its
	// bucket.
	HandoverDelay time.Duration

	mu      sync.Mutex
	buckets map[proxy.AccountID]*bucket
	// revision is the configuration revision of the limits. Only hosts with the same
	// revision lend each other tokens, so that no token of an old limit reaches a host
	// with a lower new limit.
	revision proxy.Revision
	// hosts are the hosts that share the accounts, hostHashes the hashes of their IDs.
	hosts      []proxy.HostID
	hostHashes []uint64
}

// loan is a number of lent or borrowed tokens that may be used until an instant.
type loan struct {
	until  proxy.Instant
	tokens int
}

// bucket is the token bucket of an account on one host. It starts empty, because the
// host does not know how many operations its previous process admitted.
//
// Invariant: an owner's own tokens and its unexpired loans to others add up to at most
// its share of the burst. Within any time window the hosts therefore admit at most the
// burst plus the tokens that the rate adds in that window.
type bucket struct {
	rate, burst, tokens float64
	refilledAt          proxy.Instant
	// createdAt is when this process created the bucket.
	createdAt proxy.Instant
	// ownRate and ownBurst are the host's own share. shareUntil is until when it uses the
	// share of another owner host too, sharedUntil until when another one uses its own.
	ownRate, ownBurst       float64
	shareUntil, sharedUntil proxy.Instant
	// shareAskedAt is when the host last requested that share.
	shareAskedAt proxy.Instant
	// activeAt is when an operation or a loan request last arrived.
	activeAt proxy.Instant
	// lent are the unexpired loans to other hosts and borrowed those from other hosts,
	// ordered by expiry.
	lent, borrowed []loan
	// waiters are the operations that wait for a token, in the order of their arrival.
	waiters []*Waiter
	// askAt is when an owner host that had no tokens may be asked again; zero for never.
	askAt proxy.Instant
	// returns spreads the callers that were refused.
	returns admission.Returns
	// expected are the instants until which operations are expected, in ascending order.
	// scarceAt is when the account last had no token for an operation.
	expected []proxy.Instant
	scarceAt proxy.Instant
	// accountRate is the rate of the account over all hosts, in 1/s, accountBurst its
	// burst.
	accountRate  float64
	accountBurst float64
	// owner reports whether this host is among owners, the account's owner hosts.
	owner  bool
	owners []proxy.HostID
	// demand is the moving average of the operations that arrive, admitted that of those
	// that got a token, refused that of those that did not.
	demand, admitted, refused average
}

// average is a moving average of events per second as of an instant.
type average struct {
	value float64
	at    proxy.Instant
}

// add counts an event.
func (a *average) add(now proxy.Instant) {
	a.value = a.current(now) + 1/demandTimeConstant.Seconds()
	a.at = now
}

// current returns the average as of now.
func (a *average) current(now proxy.Instant) float64 {
	return a.value * math.Exp(-max(now.Sub(a.at), 0).Seconds()/demandTimeConstant.Seconds())
}

// Configure sets the limits of the accounts as of a revision of the configuration, and
// the hosts that share them. The parameter joined reports that the host lists of all
// other hosts contain this host; until then its buckets are not filled.
func (t *Table) Configure(
	now proxy.Instant, revision proxy.Revision, accounts map[proxy.AccountID]directory.Account,
	hosts []proxy.HostID, joined bool,
) {
	t.mu.Lock()
	defer t.mu.Unlock()
	hostsChanged := !slices.Equal(t.hosts, hosts)
	if hostsChanged {
		t.hosts = slices.Clone(hosts)
		t.hostHashes = make([]uint64, len(hosts))
		for n, h := range hosts {
			t.hostHashes[n] = xxhash.Sum64String(string(h))
		}
	}
	buckets := make(map[proxy.AccountID]*bucket, len(accounts))
	for id, a := range accounts {
		b := t.buckets[id]
		if b == nil {
			b = &bucket{refilledAt: now, createdAt: now, owner: true}
		}
		b.refill(now)
		before := b.owners
		b.accountRate, b.accountBurst = a.Rate, a.Burst
		if count := ownerCount(a, len(hosts)); hostsChanged || count != len(b.owners) {
			b.owners = t.chooseOwners(a.ID, count)
		}
		owner := slices.Contains(b.owners, t.Self)
		if owner && !b.owner {
			b.refilledAt = now.Add(t.HandoverDelay)
		}
		if t.buckets[id] == nil {
			b.refilledAt = b.firstFill(t.Self)
		}
		b.owner, b.ownRate, b.ownBurst = owner, 0, 0
		if owner && joined {
			share := 1 / float64(len(b.owners))
			b.ownRate, b.ownBurst = a.Rate*share, a.Burst*share
		}
		if revision != t.revision || !joined || !slices.Equal(before, b.owners) {
			b.shareUntil = 0
		}
		b.applyShares()
		if revision != t.revision {
			// Tokens borrowed under the limits of another revision are discarded.
			b.borrowed = nil
		}
		buckets[id] = b
	}
	for id, b := range t.buckets {
		if buckets[id] == nil {
			b.refuseAll()
		}
	}
	t.buckets, t.revision = buckets, revision
}

// ownerCount returns the number of an account's owner hosts.
func ownerCount(a directory.Account, hosts int) int {
	return min(max(int(min(a.Rate/minOwnerRate, a.Burst/minOwnerBurst)), minOwners), hosts)
}

// chooseOwners selects the owner hosts of an account by rendezvous hashing, so that a
// change of the hosts moves few accounts, in the order of their scores. The caller must hold t.mu.
func (t *Table) chooseOwners(id proxy.AccountID, count int) []proxy.HostID {
	if count == len(t.hosts) && count > minOwners {
		return t.hosts
	}
	type scored struct {
		host  proxy.HostID
		score uint64
	}
	account := xxhash.Sum64String(string(id))
	// best holds the highest scores in descending order.
	best := make([]scored, 0, count+1)
	for n, h := range t.hosts {
		score := mixBits(account ^ t.hostHashes[n])
		if len(best) == count && score <= best[count-1].score {
			continue
		}
		index, _ := slices.BinarySearchFunc(best, score, func(s scored, score uint64) int { return cmp.Compare(score, s.score) })
		best = slices.Insert(best, index, scored{h, score})
		best = best[:min(len(best), count)]
	}
	owners := make([]proxy.HostID, 0, count)
	for _, s := range best {
		owners = append(owners, s.host)
	}
	return owners
}

// mixBits distributes the bits of a combined hash with MurmurHash3's finalizer.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Owners returns the owner hosts of an account, which may lend its tokens.
func (t *Table) Owners(id proxy.AccountID) []proxy.HostID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[id]; b != nil {
		return b.owners
	}
	return nil
}

// ownerBurst returns the largest number of an account's tokens that one owner host holds.
func (t *Table) ownerBurst(id proxy.AccountID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[id]; b != nil && len(b.owners) > 0 {
		return int(b.accountBurst / float64(len(b.owners)))
	}
	return 0
}

// exhaustedBackoff returns how long an owner host of an account that had no tokens to lend
// is not asked again.
func (t *Table) exhaustedBackoff(now proxy.Instant, id proxy.AccountID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	switch {
	case b == nil || b.accountRate == 0:
		return exhaustedBackoff
	case b.aboveRate(now):
		return aboveRateBackoff
	}
	interval := float64(len(b.owners)) / b.accountRate * float64(time.Second)
	return time.Duration(min(max(interval, float64(minExhaustedBackoff)), float64(exhaustedBackoff)))
}

// refill removes expired loans and adds the tokens that have accrued since the last
// refill.
func (b *bucket) refill(now proxy.Instant) {
	b.borrowed = unexpired(b.borrowed, now)
	// The bucket fills step by step, since loans leave less room until they expire.
	for {
		loanEnds := len(b.lent) > 0 && b.lent[0].until <= now
		shareEnds := b.shareUntil != 0 && b.shareUntil <= now
		switch {
		case loanEnds && (!shareEnds || b.lent[0].until <= b.shareUntil):
			b.fill(b.lent[0].until)
			b.lent = b.lent[1:]
		case shareEnds:
			b.fill(b.shareUntil)
			b.endShare()
		default:
			b.fill(now)
			return
		}
	}
}

// fill adds the tokens that have accrued up to an instant.
func (b *bucket) fill(now proxy.Instant) {
	from := max(b.refilledAt, b.sharedUntil)
	if now <= from {
		return
	}
	elapsed := now.Sub(from).Seconds()
	b.refilledAt = now
	if room := b.capacity() - float64(totalTokens(b.lent)); b.tokens < room {
		b.tokens = min(room, b.tokens+b.rate*elapsed)
	}
}

func unexpired(loans []loan, now proxy.Instant) []loan {
	first := 0
	for first < len(loans) && loans[first].until <= now {
		first++
	}
	return loans[first:]
}

func totalTokens(loans []loan) int {
	sum := 0
	for _, l := range loans {
		sum += l.tokens
	}
	return sum
}

// capacity returns the number of tokens up to which the bucket fills. If it fills at
// all, this is at least 1, because an operation takes a whole token.
func (b *bucket) capacity() float64 {
	if b.rate == 0 {
		return 0
	}
	return max(b.burst, 1)
}

// Admit takes a token of an account. If there is none, or if other operations wait for
// one, it returns a refusal with the time after which the caller should return.
func (t *Table) Admit(now proxy.Instant, id proxy.AccountID) *proxy.Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil {
		return unfilled()
	}
	if b.admit(now) {
		return nil
	}
	return b.refuse(now)
}

// unfilled returns the failure of an operation whose account the host does not know yet.
func unfilled() *proxy.Failure {
	return &proxy.Failure{Code: proxy.Busy, Text: "account has no allowance yet", RetryAfter: time.Second}
}

// admit counts an operation and takes a token for it unless others wait for one.
func (b *bucket) admit(now proxy.Instant) bool {
	b.demand.add(now)
	b.activeAt = now
	if len(b.expected) > 0 {
		b.expected = b.expected[1:]
	}
	b.serve(now)
	return len(b.waiters) == 0 && b.take(now)
}

// Expect records that a client is about to send an operation, so that a token can be
// borrowed for it meanwhile. It reports whether one has to be.
func (t *Table) Expect(now proxy.Instant, id proxy.AccountID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil || b.scarceAt != 0 && now.Sub(b.scarceAt) < scarcityTime {
		return false
	}
	if b.expireExpected(now); len(b.expected) >= maxExpected {
		return false
	}
	b.expected = append(b.expected, now.Add(expectTime))
	b.refill(now)
	return b.missing(now) > 0
}

// expireExpected removes the expected operations that have not come in time.
func (b *bucket) expireExpected(now proxy.Instant) {
	for len(b.expected) > 0 && b.expected[0] <= now {
		b.expected = b.expected[1:]
	}
}

// missing returns the number of tokens to borrow: those for the waiting operations, and
// those for the operations that are expected or arrive within prefetchTime.
func (b *bucket) missing(now proxy.Instant) int {
	ahead := max(int(b.demand.current(now)*prefetchTime.Seconds()), len(b.expected))
	return len(b.waiters) + ahead - int(b.tokens) - totalTokens(b.borrowed)
}

// take removes a borrowed token or, if there is none, one of the host's own tokens, as of
// the last refill. Borrowed tokens go first because they expire.
func (b *bucket) take(now proxy.Instant) bool {
	switch {
	case len(b.borrowed) > 0:
		b.borrowed[0].tokens--
		if b.borrowed[0].tokens == 0 {
			b.borrowed = b.borrowed[1:]
		}
	case b.tokens >= 1:
		b.tokens--
	default:
		return false
	}
	b.admitted.add(now)
	return true
}

// Shortfall is the number of an account's tokens that a host needs to borrow, of which
// Brief are for operations that wait.
type Shortfall struct {
	Account       proxy.AccountID
	Tokens, Brief int
}

// Shortfalls returns the tokens that the host needs to borrow now, ordered by account,
// and the revision of its limits.
func (t *Table) Shortfalls(now proxy.Instant) ([]Shortfall, proxy.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var shortfalls []Shortfall
	for id, b := range t.buckets {
		if missing, brief := b.shortfall(now); missing > 0 {
			shortfalls = append(shortfalls, Shortfall{Account: id, Tokens: missing, Brief: brief})
		}
	}
	slices.SortFunc(shortfalls, func(a, b Shortfall) int { return strings.Compare(string(a.Account), string(b.Account)) })
	return shortfalls, t.revision
}

// shortfallOf returns what Shortfalls does for one account.
func (t *Table) shortfallOf(now proxy.Instant, id proxy.AccountID) ([]Shortfall, proxy.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[id]; b != nil {
		if missing, brief := b.shortfall(now); missing > 0 {
			return []Shortfall{{Account: id, Tokens: missing, Brief: brief}}, t.revision
		}
	}
	return nil, t.revision
}

// shortfall returns the tokens that the bucket needs to borrow now, and how many of these
// are for operations that wait.
func (b *bucket) shortfall(now proxy.Instant) (tokens, brief int) {
	b.expireExpected(now)
	if len(b.waiters) == 0 && len(b.expected) == 0 && b.demand.current(now)*prefetchTime.Seconds() < 1 {
		return 0, 0
	}
	b.refill(now)
	tokens = min(b.missing(now), maxLoanTokens)
	return tokens, min(tokens, len(b.waiters))
}

// Lend removes up to requested tokens from the account's bucket, as far as the host
// does not need them soon. It returns the number of lent tokens and the number that
// the host could lend in addition. A borrower whose limits have another revision gets
// no tokens.
func (t *Table) Lend(now proxy.Instant, revision proxy.Revision, id proxy.AccountID, requested int) (lent, remaining int) {
	return t.LendBriefly(now, revision, id, requested, 0)
}

// LendBriefly lends like Lend. Of the tokens, the first brief ones may be used for
// BriefLoanDuration only.
func (t *Table) LendBriefly(
	now proxy.Instant, revision proxy.Revision, id proxy.AccountID, requested, brief int,
) (lent, remaining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil || requested < 0 || brief < 0 || revision != t.revision {
		return 0, 0
	}
	b.refill(now)
	b.activeAt = now
	spare := max(int(b.tokens-b.demand.current(now)*reserveTime.Seconds()), 0)
	lent = min(requested, spare, maxLoanTokens)
	if lent > 0 {
		b.tokens -= float64(lent)
		brief = min(brief, lent)
		b.lent = insertLoan(b.lent, loan{until: now.Add(BriefLoanDuration + loanMargin), tokens: brief})
		b.lent = insertLoan(b.lent, loan{until: now.Add(LoanDuration + loanMargin), tokens: lent - brief})
	}
	return lent, spare - lent
}

// Credit adds tokens that were borrowed under the limits of a revision. The instant
// sent is when they were requested.
func (t *Table) Credit(now, sent proxy.Instant, revision proxy.Revision, id proxy.AccountID, tokens int) {
	t.creditFor(now, sent, LoanDuration, revision, id, tokens)
}

// CreditBriefly adds tokens like Credit. They may be used for BriefLoanDuration.
func (t *Table) CreditBriefly(now, sent proxy.Instant, revision proxy.Revision, id proxy.AccountID, tokens int) {
	t.creditFor(now, sent, BriefLoanDuration, revision, id, tokens)
}

func (t *Table) creditFor(
	now, sent proxy.Instant, duration time.Duration, revision proxy.Revision, id proxy.AccountID, tokens int,
) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	until := sent.Add(duration)
	if b == nil || tokens <= 0 || revision != t.revision || until <= now {
		return
	}
	b.borrowed = insertLoan(b.borrowed, loan{until: until, tokens: tokens})
	b.serve(now)
}

// insertLoan adds a loan to loans that are ordered by expiry.
func insertLoan(loans []loan, l loan) []loan {
	if l.tokens == 0 {
		return loans
	}
	index, _ := slices.BinarySearchFunc(loans, l.until, func(other loan, until proxy.Instant) int { return cmp.Compare(other.until, until) })
	return slices.Insert(loans, index, l)
}
