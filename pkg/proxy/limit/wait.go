package limit

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// MaxWait is the longest wait for a token. A tick and the answer of a peer take about
	// half of it.
	MaxWait = 250 * time.Millisecond
	// reviewInterval is the longest time between two reviews of a wait, since tokens of
	// peers may arrive at any time.
	reviewInterval = 10 * time.Millisecond
)

// Waiter is a request that waits for a token.
type Waiter struct {
	bucket  *bucket
	expires proxy.Instant
	granted bool
}

// Acquire takes one token from the account's bucket. If there is none, it queues the
// request behind those that wait already and returns its Waiter, which the caller reviews
// until the wait has ended. It returns a refusal if no token is expected for the request
// within MaxWait.
func (t *Table) Acquire(now proxy.Instant, account proxy.AccountID) (*Waiter, error) {
	b := t.admitted(account)
	if b == nil {
		return nil, unknownAccount(account)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.arrived++
	b.advance(now)
	b.serve()
	switch {
	case b.violated:
		return nil, b.inconsistent()
	case len(b.waiters) == 0 && b.take():
		return nil, nil
	case b.timeToToken(len(b.waiters)) > MaxWait:
		return nil, b.refuse(now)
	}
	w := &Waiter{bucket: b, expires: now.Add(MaxWait)}
	b.waiters = append(b.waiters, w)
	return w, nil
}

// Review reports whether the wait of a request has ended: with a token or, if the error is
// not nil, without one.
func (t *Table) Review(now proxy.Instant, w *Waiter) (ended bool, err error) {
	b := w.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.serve()
	switch {
	case w.granted:
		return true, nil
	case b.violated:
		err = b.inconsistent()
	case now >= w.expires:
		err = b.refuse(now)
	default:
		return false, nil
	}
	b.waiters = slices.DeleteFunc(b.waiters, func(other *Waiter) bool { return other == w })
	return true, err
}

// ReviewAfter returns the time after which a wait is to be reviewed.
func (t *Table) ReviewAfter(now proxy.Instant, w *Waiter) time.Duration {
	b := w.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	after := min(reviewInterval, w.expires.Sub(now))
	if own := b.supply(b.usable.rate).Wait(slices.Index(b.waiters, w)); own >= 0 {
		after = min(after, own)
	}
	return max(after, time.Millisecond)
}

// serve gives tokens to the waiting requests in the order of their arrival.
func (b *bucket) serve() {
	served := 0
	for served < len(b.waiters) && !b.violated && b.take() {
		b.waiters[served].granted = true
		served++
	}
	b.waiters = slices.Delete(b.waiters, 0, served)
}

// refuse returns the refusal of a request that gets no token.
func (b *bucket) refuse(now proxy.Instant) error {
	refusal := proxy.Refuse(proxy.ConfigurationLimit, "account %s exceeds its rate and burst", b.account)
	// The callers that return to this host are served at its share of the rate.
	rate := float64(max(b.usable.rate, b.slotShare.rate)) / float64(oneRequest)
	refusal.RetryAfter = b.returns.After(now, b.timeToToken(len(b.waiters)), rate)
	return refusal
}

func (b *bucket) inconsistent() error {
	return proxy.Refuse(proxy.InternalInconsistency, "the share of account %s on this host is inconsistent", b.account)
}

// admitted returns the bucket of a configured account, or nil.
func (t *Table) admitted(account proxy.AccountID) *bucket {
	if buckets := t.buckets.Load(); buckets != nil {
		return (*buckets)[account]
	}
	return nil
}

func unknownAccount(account proxy.AccountID) error {
	return proxy.Refuse(proxy.ConfigurationLimit, "account %q is not in the document in force", string(account))
}
