package allowance

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// AnswerTimeout is how long a request waits for its answer before another owner
	// host is asked. It allows two round trips between availability zones.
	AnswerTimeout = 20 * time.Millisecond
	// unresponsiveBackoff is how long an owner host that has not answered is skipped
	// while other owners answer.
	unresponsiveBackoff = 500 * time.Millisecond
	// exhaustedBackoff is how long an owner host that had no tokens to lend is not
	// asked again.
	exhaustedBackoff = 60 * time.Millisecond
	// MaxAccounts is the largest number of accounts in one request, which has to fit
	// into a datagram.
	MaxAccounts = 24
)

// Peer is another host that may lend tokens.
type Peer struct {
	Host proxy.HostID
	Zone proxy.Zone
}

// Request asks a host for loans. Shortfalls holds at most one entry for each account.
type Request struct {
	Number     uint64
	To         proxy.HostID
	Revision   proxy.Revision
	Shortfalls []Shortfall
}

// Loan is the number of an account's tokens that a host lends, and the number that
// it could lend in addition.
type Loan struct {
	Account           proxy.AccountID
	Tokens, Remaining int
}

// Borrower decides which hosts are asked for loans. Its exported fields must be set
// before use. It is safe for concurrent use.
type Borrower struct {
	Table *Table
	Zone  proxy.Zone
	// Random returns a random number, which identifies a request.
	Random func() uint64

	mu sync.Mutex
	// peers are the other hosts, those in the host's own zone first.
	peers []*lender
	// pending holds the unanswered requests by number.
	pending map[uint64]pending
}

// lender is a peer and its recent failures to lend.
type lender struct {
	Peer
	// skipped is the instant until which the peer is not asked, because it has not
	// answered, unless no other owner is left.
	skipped proxy.Instant
	// exhausted holds the accounts for which the peer had no tokens to lend, with the
	// instant from which it may be asked again.
	exhausted map[proxy.AccountID]proxy.Instant
}

// pending is a request that has not been answered.
type pending struct {
	to       *lender
	sentAt   proxy.Instant
	revision proxy.Revision
	// requested is the number of requested tokens by account.
	requested map[proxy.AccountID]int
	// overdue reports that AnswerTimeout has passed. The tokens of an overdue request
	// no longer count as in flight, but an answer is still accepted.
	overdue bool
}

// SetPeers replaces the list of other hosts.
func (b *Borrower) SetPeers(peers []Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byPeer := make(map[Peer]*lender, len(b.peers))
	for _, p := range b.peers {
		byPeer[p.Peer] = p
	}
	b.peers = b.peers[:0]
	for _, local := range []bool{true, false} {
		for _, p := range peers {
			if (p.Zone == b.Zone) != local {
				continue
			}
			l := byPeer[p]
			if l == nil {
				l = &lender{Peer: p, exhausted: make(map[proxy.AccountID]proxy.Instant)}
			}
			b.peers = append(b.peers, l)
		}
	}
}

// NextRequests returns the requests to send now. It reports as waiting whether any
// request is to be sent or still awaits its answer.
func (b *Borrower) NextRequests(now proxy.Instant) (requests []Request, waiting bool) {
	shortfalls, revision := b.Table.Shortfalls(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	inFlight := b.expirePending(now)
	requestIndex := make(map[*lender]int)
	for _, shortfall := range shortfalls {
		shortfall.Tokens -= inFlight[shortfall.Account]
		if shortfall.Tokens <= 0 {
			continue
		}
		to := b.chooseLender(now, shortfall.Account)
		if to == nil {
			continue
		}
		index, ok := requestIndex[to]
		if !ok {
			index = len(requests)
			requestIndex[to] = index
			requests = append(requests, Request{Number: b.Random(), To: to.Host, Revision: revision})
		}
		if r := &requests[index]; len(r.Shortfalls) < MaxAccounts {
			r.Shortfalls = append(r.Shortfalls, shortfall)
		}
	}
	for to, index := range requestIndex {
		b.recordPending(now, to, requests[index])
	}
	return requests, len(requests) > 0 || len(inFlight) > 0
}

// recordPending records a request that is about to be sent.
func (b *Borrower) recordPending(now proxy.Instant, to *lender, r Request) {
	p := pending{to: to, sentAt: now, revision: r.Revision, requested: make(map[proxy.AccountID]int, len(r.Shortfalls))}
	for _, shortfall := range r.Shortfalls {
		p.requested[shortfall.Account] = shortfall.Tokens
	}
	if b.pending == nil {
		b.pending = make(map[uint64]pending)
	}
	b.pending[r.Number] = p
}

// expirePending removes requests whose loans would have expired, marks overdue ones
// and returns the tokens of the others, by account.
func (b *Borrower) expirePending(now proxy.Instant) map[proxy.AccountID]int {
	inFlight := make(map[proxy.AccountID]int)
	for number, p := range b.pending {
		switch age := now.Sub(p.sentAt); {
		case age > LoanDuration:
			delete(b.pending, number)
		case age > AnswerTimeout && !p.overdue:
			p.overdue = true
			b.pending[number] = p
			p.to.skipped = now.Add(unresponsiveBackoff)
		case !p.overdue:
			for id, tokens := range p.requested {
				inFlight[id] += tokens
			}
		}
	}
	return inFlight
}

// chooseLender returns the owner host to ask for tokens of an account. It prefers
// responsive owners in the host's own zone, then responsive owners in other zones,
// then unresponsive owners. It returns nil if all have recently had no tokens to lend.
func (b *Borrower) chooseLender(now proxy.Instant, id proxy.AccountID) *lender {
	owners := b.Table.Owners(id)
	var candidates, skipped []*lender
	for _, p := range b.peers {
		if now < p.exhausted[id] || !slices.Contains(owners, p.Host) {
			continue
		}
		if now < p.skipped {
			skipped = append(skipped, p)
			continue
		}
		if len(candidates) > 0 && candidates[0].Zone == b.Zone && p.Zone != b.Zone {
			break
		}
		candidates = append(candidates, p)
	}
	if len(candidates) == 0 {
		candidates = skipped
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[b.Random()%uint64(len(candidates))]
}

// HandleAnswer credits the loans of an answer to the request with the given number.
// It ignores repeated answers and tokens that were not requested.
func (b *Borrower) HandleAnswer(now proxy.Instant, number uint64, loans []Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pending[number]
	if !ok {
		return
	}
	delete(b.pending, number)
	p.to.skipped = 0
	for _, l := range loans {
		requested, asked := p.requested[l.Account]
		if !asked {
			continue
		}
		delete(p.requested, l.Account)
		if tokens := min(l.Tokens, requested); tokens > 0 {
			b.Table.Credit(now, p.sentAt, p.revision, l.Account, tokens)
		}
		if l.Remaining == 0 && l.Tokens < requested {
			p.to.exhausted[l.Account] = now.Add(exhaustedBackoff)
		}
	}
}
