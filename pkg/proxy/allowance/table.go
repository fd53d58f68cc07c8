// Package allowance admits operations within the rate and burst of client
// accounts over all hosts together. Each host fills buckets with its equal part
// of every account's rate. Where the demand of an account is uneven, a host
// borrows tokens of others: the lender takes them out of its bucket before it
// sends them, so that none is ever in two places.
//
// It answers this load: a load balancer that spreads few large clients unevenly
// over hosts, and accounts that use about two thirds of their rate.
package allowance

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// Figures of the borrowing.
const (
	// demandTime is the time over which an account's demand is averaged.
	demandTime = time.Second
	// lowTime is the demand that a bucket should hold: below it the host borrows,
	// and it lends nothing of it. It covers two rounds of borrowing.
	lowTime = 250 * time.Millisecond
	// aheadTime is the demand for which a host borrows.
	aheadTime = 500 * time.Millisecond
	// minDemand is the demand below which a host does not borrow ahead, in 1/s.
	minDemand = 0.2
	// maxLoan bounds the tokens of one loan.
	maxLoan = 64
)

// Table holds the token buckets of one host. It is safe for concurrent use.
//
// Invariant: over all hosts the parts of an account add up to at most 1, since
// a host counts every host that may serve, and a new host has no part until all
// others have counted it.
type Table struct {
	mu      sync.Mutex
	buckets map[proxy.AccountID]*bucket
}

// bucket is a token bucket. It starts empty: what an earlier process of the host
// admitted is not known.
type bucket struct {
	rate, burst, tokens float64
	filled              proxy.Instant
	// demand is the moving average of operations asked for, in 1/s.
	demand float64
	asked  proxy.Instant
}

// Configure sets the limits of the accounts, of which the host has the given
// part.
func (t *Table) Configure(now proxy.Instant, accounts map[proxy.AccountID]directory.Account, part float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	buckets := make(map[proxy.AccountID]*bucket, len(accounts))
	for id, a := range accounts {
		b := t.buckets[id]
		if b == nil {
			b = &bucket{filled: now, asked: now}
		}
		b.fill(now)
		b.rate, b.burst = a.Rate*part, a.Burst*part
		b.tokens = min(b.tokens, max(b.burst, 1))
		buckets[id] = b
	}
	t.buckets = buckets
}

// fill adds what the bucket's rate has yielded. Tokens above the burst, which a
// loan may bring, are kept but not added to.
func (b *bucket) fill(now proxy.Instant) {
	elapsed := max(now.Sub(b.filled), 0).Seconds()
	b.filled = max(now, b.filled)
	if capacity := max(b.burst, 1); b.tokens < capacity {
		b.tokens = min(capacity, b.tokens+b.rate*elapsed)
	}
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

func (b *bucket) take(now proxy.Instant) *proxy.Failure {
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return nil
	}
	wait := time.Second
	if b.rate > 0 {
		wait = time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	}
	return &proxy.Failure{Code: proxy.Busy, Text: "account is above its rate", RetryAfter: wait}
}

// Need is a number of tokens that a host would borrow.
type Need struct {
	Account proxy.AccountID
	Tokens  int
}

// Needs returns what the host would borrow now, by account.
func (t *Table) Needs(now proxy.Instant) []Need {
	t.mu.Lock()
	defer t.mu.Unlock()
	var needs []Need
	for id, b := range t.buckets {
		b.fill(now)
		demand := b.current(now)
		if b.tokens >= max(demand*lowTime.Seconds(), 1) || demand <= b.rate && b.tokens >= 1 || demand < minDemand {
			continue
		}
		missing := int(math.Ceil(demand*aheadTime.Seconds() - b.tokens))
		needs = append(needs, Need{Account: id, Tokens: min(max(missing, 1), maxLoan)})
	}
	slices.SortFunc(needs, func(a, b Need) int { return strings.Compare(string(a.Account), string(b.Account)) })
	return needs
}

// Lend takes up to wanted tokens that the host does not need soon out of the
// account's bucket. It returns them and what the host could still lend.
func (t *Table) Lend(now proxy.Instant, id proxy.AccountID, wanted int) (lent, left int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil || wanted < 0 {
		return 0, 0
	}
	b.fill(now)
	spare := max(int(b.tokens-b.current(now)*lowTime.Seconds()), 0)
	lent = min(wanted, spare, maxLoan)
	b.tokens -= float64(lent)
	return lent, spare - lent
}

// Credit adds borrowed tokens.
func (t *Table) Credit(now proxy.Instant, id proxy.AccountID, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil || tokens <= 0 {
		return
	}
	b.fill(now)
	b.tokens = min(b.tokens+float64(tokens), max(b.burst, maxLoan))
}
