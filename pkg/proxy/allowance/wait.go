package allowance

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/admission"
)

// Reason says why an operation got no token.
type Reason int

const (
	// Unfilled is an account whose tokens the host does not know yet.
	Unfilled Reason = iota + 1
	// AboveRate is an account of which neither the host nor its owner hosts have a token
	// within the operation's wait.
	AboveRate
	// Unreached is an account whose owner hosts have not answered within the wait.
	Unreached
)

func (r Reason) String() string {
	switch r {
	case Unfilled:
		return "unfilled"
	case AboveRate:
		return "above rate"
	case Unreached:
		return "unreached"
	default:
		return "unknown"
	}
}

// Refusal is the answer to an operation that got no token.
type Refusal struct {
	Reason  Reason
	Failure proxy.Failure
}

// Waiter is an operation that waits for a token.
type Waiter struct {
	account proxy.AccountID
	bucket  *bucket
	expires proxy.Instant
	ended   chan *Refusal
}

// Ended returns the channel on which the operation receives the end of its wait: nil for a
// token, or a refusal. The channel is buffered, so that the table does not wait for the
// operation.
func (w *Waiter) Ended() <-chan *Refusal { return w.ended }

// Acquire takes a token of an account. If there is none, it queues the operation behind
// those that wait already and returns its Waiter; the caller then has the Borrower request
// what is missing and review the queue.
func (t *Table) Acquire(now proxy.Instant, id proxy.AccountID, expires proxy.Instant) (*Waiter, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil {
		return nil, &Refusal{Unfilled, *unfilled()}
	}
	if b.admit(now) {
		return nil, nil
	}
	w := &Waiter{account: id, bucket: b, expires: expires, ended: make(chan *Refusal, 1)}
	b.waiters = append(b.waiters, w)
	return w, nil
}

// ReviewAfter returns the time after which the wait of an operation is to be reviewed
// again: when its token is expected in the host's own bucket, when an owner host that was
// asked has not answered, or when the wait expires.
func (t *Table) ReviewAfter(now proxy.Instant, w *Waiter) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	after := min(AnswerTimeout+reviewMargin, max(w.expires.Sub(now), 0))
	if own := w.bucket.supply(now).Wait(slices.Index(w.bucket.waiters, w)); own >= 0 {
		after = min(after, own)
	}
	if ask := w.bucket.askAt; ask > now {
		after = min(after, ask.Sub(now))
	}
	return max(after, reviewMargin)
}

// reviewMargin is the shortest time between two reviews of a wait. It also makes a review
// come after the AnswerTimeout of a request, not just before.
const reviewMargin = time.Millisecond

// refuseAll ends the waits for a bucket that is removed.
func (b *bucket) refuseAll() {
	for _, w := range b.waiters {
		w.ended <- &Refusal{Unfilled, proxy.Failure{Code: proxy.Busy, Text: "account was removed"}}
	}
	b.waiters = nil
}

// Waiting reports whether operations of an account are waiting.
func (t *Table) Waiting(id proxy.AccountID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	return b != nil && len(b.waiters) > 0
}

// Review grants the tokens that are there and refuses the waiting operations of an account
// that cannot get one in their time.
func (t *Table) Review(now proxy.Instant, id proxy.AccountID, outlook Outlook) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil || len(b.waiters) == 0 {
		return
	}
	b.serve(now)
	b.askAt = outlook.AskAt
	supply := b.supply(now)
	supply.InFlight = outlook.InFlight
	aboveRate := b.aboveRate(now)
	if aboveRate {
		// The owner hosts are not expected to lend what was requested.
		supply.InFlight = min(supply.InFlight, 1+int(b.admitted.current(now)*AnswerTimeout.Seconds()))
	}
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		if supply.Reaches(len(kept), w.expires.Sub(now)) ||
			!aboveRate && b.mayAskAgain(now, len(kept), w.expires) {
			kept = append(kept, w)
			continue
		}
		reason := Unreached
		if outlook.Exhausted || len(kept) > 0 {
			reason = AboveRate
		}
		w.ended <- &Refusal{reason, *b.refuse(now)}
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
}

const (
	// askAgainTime is the time that an answer of an owner host in another availability
	// zone takes.
	askAgainTime = 12 * time.Millisecond
	// An account is above its rate on a host if more of its operations are refused than
	// this part of those that get a token, and this number a second.
	refusedPart, refusedRate = 0.25, 3
)

// aboveRate reports whether so many of the account's operations are refused that few of
// those that wait would get a token.
func (b *bucket) aboveRate(now proxy.Instant) bool {
	return b.refused.current(now) > refusedPart*b.admitted.current(now)+refusedRate
}

// mayAskAgain reports whether an operation with this number of operations before it may
// wait until an owner host that had no tokens is asked again.
func (b *bucket) mayAskAgain(now proxy.Instant, before int, expires proxy.Instant) bool {
	if b.askAt <= now || b.askAt.Add(askAgainTime) > expires {
		return false
	}
	return float64(before) < b.accountRate*expires.Sub(now).Seconds()
}

// supply returns what the bucket expects of its own tokens.
func (b *bucket) supply(now proxy.Instant) admission.Supply {
	if now < b.sharedUntil {
		return admission.Supply{Level: b.tokens}
	}
	return admission.Supply{Level: b.tokens, Rate: b.rate}
}

// serve gives tokens to the waiting operations in the order of their arrival.
func (b *bucket) serve(now proxy.Instant) {
	b.refill(now)
	served := 0
	for served < len(b.waiters) && b.take(now) {
		b.waiters[served].ended <- nil
		served++
	}
	b.waiters = slices.Delete(b.waiters, 0, served)
}

// refuse returns the failure of an operation that gets no token, and notes that tokens are
// scarce.
func (b *bucket) refuse(now proxy.Instant) *proxy.Failure {
	b.scarceAt = now
	b.refused.add(now)
	// The callers that return here are served at the rate at which operations have been
	// admitted here, or at which the bucket fills.
	rate := min(max(b.admitted.current(now), b.rate), b.accountRate)
	next := time.Second
	if b.accountRate > 1 {
		// The account's next token accrues on one of its owners.
		next = time.Duration(float64(time.Second) / b.accountRate)
	}
	if own := b.supply(now).Wait(0); own >= 0 && len(b.waiters) == 0 {
		next = min(next, own)
	}
	return &proxy.Failure{Code: proxy.Busy, Text: "account is above its rate", RetryAfter: b.returns.After(now, next, rate)}
}
