// Package allowance admits operations within a host's part of each account's
// rate and burst.
package allowance

import (
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// Table holds the token buckets of one host. It is safe for concurrent use.
//
// Invariant: over all hosts the parts of an account add up to at most 1, since
// a host counts every host that may serve, and a new host waits until all
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
	refused             uint64
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
			b = &bucket{filled: now}
		}
		b.fill(now)
		b.rate, b.burst = a.Rate*part, max(a.Burst*part, 1)
		b.tokens = min(b.tokens, b.burst)
		buckets[id] = b
	}
	t.buckets = buckets
}

func (b *bucket) fill(now proxy.Instant) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(now.Sub(b.filled), 0).Seconds())
	b.filled = now
}

// Admit takes a token of an account. Without one it returns a refusal that says
// when the next token is there.
func (t *Table) Admit(now proxy.Instant, id proxy.AccountID) *proxy.Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil {
		return &proxy.Failure{Code: proxy.Busy, Text: "account has no allowance yet"}
	}
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return nil
	}
	b.refused++
	wait := time.Second
	if b.rate > 0 {
		wait = time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	}
	return &proxy.Failure{Code: proxy.Busy, Text: "account is above its rate", RetryAfter: wait}
}

// Refund returns the token of an operation that no instance has run.
func (t *Table) Refund(id proxy.AccountID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[id]; b != nil {
		b.tokens = min(b.burst, b.tokens+1)
	}
}
