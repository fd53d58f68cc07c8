package allowance

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// The tokens of an account with a small burst are of little use at two owner hosts: each
// has fractions of a token, and is full while the other one is empty. So the second owner
// host lends its share of such an account to the first one, for a short time again and
// again while the account is active. If the first one fails, the share returns.
const (
	// shareDuration is how long the first owner host may use a lent share. It counts this
	// from its request, and the second one from its later answer.
	shareDuration = 500 * time.Millisecond
	// shareMargin is added by the second owner host for clock rates that differ by 1%.
	shareMargin = 10 * time.Millisecond
	// shareReturn is how long after the end of a share its loans to other hosts may last.
	shareReturn = LoanDuration + loanMargin
	// shareRenewal is the time before the end of a share at which it is requested again.
	shareRenewal = 250 * time.Millisecond
	// shareRetry is the time between two requests for a share.
	shareRetry = 100 * time.Millisecond
	// activeTime is how long after its last operation or loan request an account is active.
	activeTime = 3 * time.Second
	// tokenParts is the number of parts of a token that are moved with a share.
	tokenParts = 1000
)

// Share is an owner host's share of an account, as it is lent to another one: the tokens
// that move with it, in thousandths of a token, and the number of tokens that the owner
// host has lent to others.
type Share struct {
	Account proxy.AccountID
	Parts   int
	Lent    int
}

// movable reports whether the shares of the account's owner hosts are lent to one of them.
func (b *bucket) movable() bool {
	return len(b.owners) == 2 && b.accountBurst < 2*minOwnerBurst
}

// applyShares sets the rate and burst of the bucket, which include the lent share if the
// host uses one.
func (b *bucket) applyShares() {
	b.rate, b.burst = b.ownRate, b.ownBurst
	if b.shareUntil != 0 {
		b.rate, b.burst = b.accountRate, b.accountBurst
	}
	b.tokens = min(b.tokens, b.capacity())
}

// endShare ends the use of a lent share.
func (b *bucket) endShare() {
	if b.shareUntil != 0 {
		b.shareUntil = 0
		b.applyShares()
	}
}

// SharesDue returns the accounts of which this host needs the share of the second owner
// host now, by that host, and the revision of its limits.
func (t *Table) SharesDue(now proxy.Instant) (map[proxy.HostID][]proxy.AccountID, proxy.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	due := make(map[proxy.HostID][]proxy.AccountID)
	for id, b := range t.buckets {
		if !b.movable() || b.owners[0] != t.Self || b.ownRate == 0 || now < b.refilledAt ||
			b.activeAt == 0 || now.Sub(b.activeAt) > activeTime || b.shareUntil.Sub(now) > shareRenewal ||
			b.shareAskedAt != 0 && now.Sub(b.shareAskedAt) < shareRetry {
			continue
		}
		due[b.owners[1]] = append(due[b.owners[1]], id)
	}
	for _, ids := range due {
		slices.SortFunc(ids, func(a, b proxy.AccountID) int { return strings.Compare(string(a), string(b)) })
	}
	return due, t.revision
}

// LendShare lends this host's share of an account to the first owner host, if that is the
// one which asks and has the same limits. Until the share returns, this host's bucket is
// empty.
func (t *Table) LendShare(now proxy.Instant, revision proxy.Revision, id proxy.AccountID, to proxy.HostID) (Share, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	if b == nil || revision != t.revision || !b.movable() || b.owners[0] != to || b.owners[1] != t.Self ||
		b.ownRate == 0 || now < b.refilledAt {
		return Share{}, false
	}
	b.refill(now)
	s := Share{Account: id, Parts: int(b.tokens * tokenParts), Lent: totalTokens(b.lent)}
	b.tokens = 0
	b.sharedUntil = now.Add(shareDuration + shareMargin + shareReturn)
	return s, true
}

// CreditShare lets this host use a share that it requested at the instant sent.
func (t *Table) CreditShare(now, sent proxy.Instant, revision proxy.Revision, s Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[s.Account]
	until := sent.Add(shareDuration)
	if b == nil || revision != t.revision || !b.movable() || b.owners[0] != t.Self || b.ownRate == 0 ||
		s.Parts < 0 || s.Lent < 0 || until <= now {
		return
	}
	b.refill(now)
	b.shareUntil = max(b.shareUntil, until)
	b.applyShares()
	// The loans of the second owner host count as if they were this host's.
	b.lent = insertLoan(b.lent, loan{until: now.Add(LoanDuration + loanMargin), tokens: s.Lent})
	if room := b.capacity() - float64(totalTokens(b.lent)); b.tokens < room {
		b.tokens = min(room, b.tokens+float64(s.Parts)/tokenParts)
	}
	b.serve(now)
}

// firstFill returns when a bucket that was created at an instant may begin to fill, since
// the host's previous process may have lent tokens or its share.
func (b *bucket) firstFill(self proxy.HostID) proxy.Instant {
	if b.movable() && b.owners[1] == self {
		return b.createdAt.Add(shareDuration + shareMargin + shareReturn)
	}
	return b.createdAt.Add(LoanDuration + loanMargin)
}

// lenders returns the owner hosts of an account, and the one that uses the shares of both
// if they are movable.
func (t *Table) lenders(id proxy.AccountID) (owners []proxy.HostID, first proxy.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[id]
	switch {
	case b == nil:
		return nil, ""
	case b.movable():
		return b.owners, b.owners[0]
	}
	return b.owners, ""
}

// ShareRequest asks the second owner host of accounts for its shares.
type ShareRequest struct {
	Number   uint64
	To       proxy.HostID
	Revision proxy.Revision
	Accounts []proxy.AccountID
}

// ShareRequests returns the requests for shares to send now.
func (b *Borrower) ShareRequests(now proxy.Instant) []ShareRequest {
	due, revision := b.Table.SharesDue(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePending(now)
	var requests []ShareRequest
	for _, p := range b.peers {
		accounts := due[p.Host]
		if len(accounts) == 0 {
			continue
		}
		r := ShareRequest{
			Number: b.Random(), To: p.Host, Revision: revision, Accounts: accounts[:min(len(accounts), MaxAccounts)],
		}
		b.Table.recordShareRequest(now, r.Accounts)
		b.addPending(r.Number, pending{to: p, sentAt: now, revision: revision, shares: r.Accounts})
		requests = append(requests, r)
	}
	return requests
}

// recordShareRequest records that the shares of accounts are requested.
func (t *Table) recordShareRequest(now proxy.Instant, ids []proxy.AccountID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if b := t.buckets[id]; b != nil {
			b.shareAskedAt = now
		}
	}
}

// HandleShares uses the shares in the answer to the request with the given number. It
// ignores repeated answers and shares that were not requested.
func (b *Borrower) HandleShares(now proxy.Instant, number uint64, shares []Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pending[number]
	if !ok {
		return
	}
	delete(b.pending, number)
	p.to.skipped = 0
	for _, s := range shares {
		if slices.Contains(p.shares, s.Account) && s.Parts <= math.MaxInt32 && s.Lent <= math.MaxInt32 {
			b.Table.CreditShare(now, p.sentAt, p.revision, s)
		}
	}
}
