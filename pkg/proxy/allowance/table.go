// Package allowance admits operations within the rate and burst of client
// accounts over all hosts together. Each account has home hosts, which fill
// buckets with equal parts of its rate. Where an account's demand reaches other
// hosts, or is uneven, a host borrows tokens of the homes: the lender takes them
// out of its bucket before it sends them, so that none is ever in two places.
//
// It answers this load: a load balancer that spreads few large clients unevenly
// over hosts, accounts that use about two thirds of their rate, and more hosts
// than an account sends operations in a second.
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
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// Figures of the borrowing.
const (
	// LoanTime is how long a loan may be used. The lender counts it from the loan,
	// the borrower from its request, which came before.
	LoanTime = 150 * time.Millisecond
	// loanMargin covers clock rates that differ by 1% between lender and borrower.
	loanMargin = 5 * time.Millisecond
	// demandTime is the time over which an account's demand is averaged.
	demandTime = time.Second
	// lowTime is the demand that a lender keeps for its own callers.
	lowTime = 250 * time.Millisecond
	// aheadTime is the demand for which a host borrows before operations ask. It is
	// well below LoanTime, so that few loans end unused.
	aheadTime = 90 * time.Millisecond
	// maxLoan bounds the tokens of one loan.
	maxLoan = 64
	// homeRate is the least part of a rate that a home has, in 1/s. More homes
	// spread the requests for loans; fewer keep the tokens together.
	homeRate = 10.0
	// minHomes keeps an account served, at part of its rate, while a home is away.
	minHomes = 2
)

// Table holds the token buckets of one host. It is safe for concurrent use.
//
// Invariant: over all hosts the parts of an account add up to at most 1. A host
// stops filling a bucket as soon as it learns that it is no home any more; a new
// home begins HandOver later, when all others have learned that or have stopped.
type Table struct {
	// Self is this host.
	Self proxy.HostID
	// HandOver is how long a new home of an account waits.
	HandOver time.Duration

	mu      sync.Mutex
	buckets map[proxy.AccountID]*bucket
	// revision is that of the limits. Tokens pass only between hosts with the
	// same one, so that none of an old limit reaches a host with a lower new one.
	revision proxy.Revision
	// hosts are those that share the accounts, hashes those of their names.
	hosts  []proxy.HostID
	hashes []uint64
}

// loan is a number of tokens that may be used until an instant.
type loan struct {
	until  proxy.Instant
	tokens int
}

// bucket is a token bucket. It starts empty: what an earlier process of the host
// admitted is not known.
//
// Invariant: the tokens of a home and those that it has lent, while they may be
// used, are at most its part of the burst. No window therefore sees more than
// the burst and what the rate yields in it.
type bucket struct {
	rate, burst, tokens float64
	filled              proxy.Instant
	// lent are the loans to others that may still be used, borrowed those from
	// others, the oldest first.
	lent, borrowed []loan
	// waiting is the number of operations that wait for a token.
	waiting int
	// limit is the rate of the account over all hosts.
	limit float64
	// home reports that the host is among homes, the account's homes.
	home  bool
	homes []proxy.HostID
	// demand is the moving average of operations asked for, in 1/s.
	demand float64
	asked  proxy.Instant
}

// Configure sets the limits of the accounts, as of a revision of the
// configuration, and the hosts that share them.
// Counted reports that the other hosts count this one; until then it is no home.
func (t *Table) Configure(
	now proxy.Instant, revision proxy.Revision, accounts map[proxy.AccountID]directory.Account,
	hosts []proxy.HostID, counted bool,
) {
	t.mu.Lock()
	defer t.mu.Unlock()
	moved := !slices.Equal(t.hosts, hosts)
	if moved {
		t.hosts = slices.Clone(hosts)
		t.hashes = make([]uint64, len(hosts))
		for n, h := range hosts {
			t.hashes[n] = xxhash.Sum64String(string(h))
		}
	}
	buckets := make(map[proxy.AccountID]*bucket, len(accounts))
	for id, a := range accounts {
		b := t.buckets[id]
		if b == nil {
			b = &bucket{filled: now, asked: now, home: true}
		}
		b.fill(now)
		b.limit = a.Rate
		if number := homeNumber(a, len(hosts)); moved || number != len(b.homes) {
			b.homes = t.choose(a.ID, number)
		}
		home := slices.Contains(b.homes, t.Self)
		if home && !b.home {
			b.filled = now.Add(t.HandOver)
		}
		b.home, b.rate, b.burst = home, 0, 0
		if home && counted {
			part := 1 / float64(len(b.homes))
			b.rate, b.burst = a.Rate*part, a.Burst*part
		}
		b.tokens = min(b.tokens, b.capacity())
		if revision != t.revision {
			// Nothing is kept that was borrowed under other limits.
			b.borrowed = nil
		}
		buckets[id] = b
	}
	t.buckets, t.revision = buckets, revision
}

// homeNumber is the number of an account's homes.
func homeNumber(a directory.Account, hosts int) int {
	return min(max(int(a.Rate/homeRate), minHomes), hosts)
}

// choose returns the homes of an account by rendezvous hashing, so that a change
// of the hosts moves few accounts. The caller holds the lock.
func (t *Table) choose(id proxy.AccountID, number int) []proxy.HostID {
	if number == len(t.hosts) {
		return t.hosts
	}
	type scored struct {
		host  proxy.HostID
		score uint64
	}
	account := xxhash.Sum64String(string(id))
	// best holds the highest scores in descending order.
	best := make([]scored, 0, number+1)
	for n, h := range t.hosts {
		score := mix(account ^ t.hashes[n])
		if len(best) == number && score <= best[number-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, score, func(s scored, score uint64) int { return cmp.Compare(score, s.score) })
		best = slices.Insert(best, at, scored{h, score})
		best = best[:min(len(best), number)]
	}
	homes := make([]proxy.HostID, 0, number)
	for _, s := range best {
		homes = append(homes, s.host)
	}
	return homes
}

// mix spreads the bits of a combined hash, with the constants of MurmurHash3's
// finalizer.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Homes returns the hosts that may lend tokens of an account.
func (t *Table) Homes(id proxy.AccountID) []proxy.HostID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[id]; b != nil {
		return b.homes
	}
	return nil
}

// fill adds what the bucket's rate has yielded.
func (b *bucket) fill(now proxy.Instant) {
	b.lent, b.borrowed = unexpired(b.lent, now), unexpired(b.borrowed, now)
	if now <= b.filled {
		return
	}
	elapsed := now.Sub(b.filled).Seconds()
	b.filled = now
	if room := b.capacity() - float64(total(b.lent)); b.tokens < room {
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

func total(loans []loan) int {
	sum := 0
	for _, l := range loans {
		sum += l.tokens
	}
	return sum
}

// capacity is the number of tokens up to which the bucket fills.
func (b *bucket) capacity() float64 {
	if b.rate == 0 {
		return 0
	}
	return max(b.burst, 1)
}

// ask notes an operation that asks for a token.
func (b *bucket) ask(now proxy.Instant) {
	b.demand = b.current(now) + 1/demandTime.Seconds()
	b.asked = now
}

// current returns the demand as of now.
func (b *bucket) current(now proxy.Instant) float64 {
	return b.demand * math.Exp(-max(now.Sub(b.asked), 0).Seconds()/demandTime.Seconds())
}

// Admit takes a token of an account. Without one it returns a refusal that says
// when the next token is there.
func (t *Table) Admit(now proxy.Instant, id proxy.AccountID) *proxy.Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil {
		return &proxy.Failure{Code: proxy.Busy, Text: "account has no allowance yet", RetryAfter: time.Second}
	}
	b.ask(now)
	return b.take(now)
}

// Await notes that an operation which Admit has refused waits for a token, until
// the returned function is called.
func (t *Table) Await(id proxy.AccountID) (leave func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil {
		return func() {}
	}
	b.waiting++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		b.waiting--
	}
}

// Retry takes a token for an operation that Admit has refused.
func (t *Table) Retry(now proxy.Instant, id proxy.AccountID) *proxy.Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil {
		return &proxy.Failure{Code: proxy.Busy, Text: "account was removed"}
	}
	return b.take(now)
}

// take takes a borrowed token, which ends sooner, or one of the host's own.
func (b *bucket) take(now proxy.Instant) *proxy.Failure {
	b.fill(now)
	if len(b.borrowed) > 0 {
		b.borrowed[0].tokens--
		if b.borrowed[0].tokens == 0 {
			b.borrowed = b.borrowed[1:]
		}
		return nil
	}
	if b.tokens >= 1 {
		b.tokens--
		return nil
	}
	wait := time.Second
	if b.limit > 1 {
		// The account's next token comes to one of its homes.
		wait = time.Duration(float64(time.Second) / b.limit)
	}
	return &proxy.Failure{Code: proxy.Busy, Text: "account is above its rate", RetryAfter: wait}
}

// Need is a number of tokens that a host would borrow.
type Need struct {
	Account proxy.AccountID
	Tokens  int
}

// Needs returns what the host would borrow now, by account, and the revision of
// its limits: tokens for the operations that wait, and for those that will ask
// soon where the demand is steady.
func (t *Table) Needs(now proxy.Instant) ([]Need, proxy.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var needs []Need
	for id, b := range t.buckets {
		ahead := int(b.current(now) * aheadTime.Seconds())
		if b.waiting == 0 && ahead == 0 {
			continue
		}
		b.fill(now)
		if missing := b.waiting + ahead - int(b.tokens) - total(b.borrowed); missing > 0 {
			needs = append(needs, Need{Account: id, Tokens: min(missing, maxLoan)})
		}
	}
	slices.SortFunc(needs, func(a, b Need) int { return strings.Compare(string(a.Account), string(b.Account)) })
	return needs, t.revision
}

// Lend takes up to wanted tokens that the host does not need soon out of the
// account's bucket. It returns them and what the host could still lend. A host
// with other limits gets nothing.
func (t *Table) Lend(now proxy.Instant, revision proxy.Revision, id proxy.AccountID, wanted int) (lent, left int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil || wanted < 0 || revision != t.revision {
		return 0, 0
	}
	b.fill(now)
	spare := max(int(b.tokens-b.current(now)*lowTime.Seconds()), 0)
	lent = min(wanted, spare, maxLoan)
	if lent > 0 {
		b.tokens -= float64(lent)
		b.lent = append(b.lent, loan{until: now.Add(LoanTime + loanMargin), tokens: lent})
	}
	return lent, spare - lent
}

// Credit adds tokens that were borrowed under the limits of a revision, by a
// request that was sent at an instant.
func (t *Table) Credit(now, sent proxy.Instant, revision proxy.Revision, id proxy.AccountID, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	until := sent.Add(LoanTime)
	if b == nil || tokens <= 0 || revision != t.revision || until <= now {
		return
	}
	b.borrowed = append(b.borrowed, loan{until: until, tokens: tokens})
	slices.SortFunc(b.borrowed, func(a, b loan) int { return cmp.Compare(a.until, b.until) })
}
