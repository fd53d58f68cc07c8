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
	// An owner host that had no tokens to lend is not asked again until its next one
	// accrues, but after minExhaustedBackoff at the earliest and exhaustedBackoff at the
	// latest. It is not asked for aboveRateBackoff if the account is above its rate, since
	// each question makes operations wait.
	minExhaustedBackoff = 15 * time.Millisecond
	exhaustedBackoff    = 60 * time.Millisecond
	aboveRateBackoff    = 150 * time.Millisecond
	// maxLenders is the largest number of owner hosts that are asked at once for tokens of
	// an account.
	maxLenders = 4
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
	// requested holds the requested tokens by account.
	requested map[proxy.AccountID]Shortfall
	// shares are the accounts whose shares were requested.
	shares []proxy.AccountID
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

// NextRequests returns the requests to send now, for all accounts.
func (b *Borrower) NextRequests(now proxy.Instant) []Request {
	shortfalls, revision := b.Table.Shortfalls(now)
	return b.requests(now, shortfalls, revision)
}

// RequestsFor returns the requests to send now for one account, whose waiting operations
// it reviews.
func (b *Borrower) RequestsFor(now proxy.Instant, id proxy.AccountID) []Request {
	shortfalls, revision := b.Table.shortfallOf(now, id)
	requests := b.requests(now, shortfalls, revision)
	b.Table.Review(now, id, b.outlook(now, id))
	return requests
}

func (b *Borrower) requests(now proxy.Instant, shortfalls []Shortfall, revision proxy.Revision) []Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePending(now)
	var requests []Request
	requestIndex := make(map[*lender]int)
	for _, shortfall := range shortfalls {
		inFlight := b.inFlight(shortfall.Account)
		missing, brief := shortfall.Tokens-inFlight, shortfall.Brief-inFlight
		if missing <= 0 {
			continue
		}
		part := max(1, b.Table.ownerBurst(shortfall.Account))
		for _, to := range b.chooseLenders(now, shortfall.Account, (missing+part-1)/part) {
			index, ok := requestIndex[to]
			if !ok {
				index = len(requests)
				requestIndex[to] = index
				requests = append(requests, Request{Number: b.Random(), To: to.Host, Revision: revision})
			}
			if r := &requests[index]; len(r.Shortfalls) < MaxAccounts {
				tokens := min(part, missing)
				r.Shortfalls = append(r.Shortfalls, Shortfall{
					Account: shortfall.Account, Tokens: tokens, Brief: min(tokens, max(brief, 0)),
				})
				missing, brief = missing-tokens, brief-tokens
			}
		}
	}
	for to, index := range requestIndex {
		b.recordPending(now, to, requests[index])
	}
	return requests
}

// Outlook is what a host may expect from the owner hosts of an account.
type Outlook struct {
	// InFlight is the number of tokens that were requested and may still arrive.
	InFlight int
	// Exhausted reports that all owner hosts have recently had none to lend. AskAt is
	// when the first of these may be asked again; zero if there is no other owner host.
	Exhausted bool
	AskAt     proxy.Instant
}

func (b *Borrower) outlook(now proxy.Instant, id proxy.AccountID) Outlook {
	b.mu.Lock()
	defer b.mu.Unlock()
	owners := b.Table.Owners(id)
	o := Outlook{InFlight: b.inFlight(id), Exhausted: true}
	for _, p := range b.peers {
		if !slices.Contains(owners, p.Host) {
			continue
		}
		until := p.exhausted[id]
		if until <= now {
			o.Exhausted = false
		} else if o.AskAt == 0 || until < o.AskAt {
			o.AskAt = until
		}
	}
	if !o.Exhausted {
		o.AskAt = 0
	}
	return o
}

// inFlight returns the number of an account's tokens in requests that are not overdue.
func (b *Borrower) inFlight(id proxy.AccountID) int {
	sum := 0
	for _, p := range b.pending {
		if !p.overdue {
			sum += p.requested[id].Tokens
		}
	}
	return sum
}

// recordPending records a request that is about to be sent.
func (b *Borrower) recordPending(now proxy.Instant, to *lender, r Request) {
	p := pending{to: to, sentAt: now, revision: r.Revision, requested: make(map[proxy.AccountID]Shortfall, len(r.Shortfalls))}
	for _, shortfall := range r.Shortfalls {
		p.requested[shortfall.Account] = shortfall
	}
	b.addPending(r.Number, p)
}

func (b *Borrower) addPending(number uint64, p pending) {
	if b.pending == nil {
		b.pending = make(map[uint64]pending)
	}
	b.pending[number] = p
}

// expirePending removes requests whose loans would have expired and marks overdue ones.
func (b *Borrower) expirePending(now proxy.Instant) {
	for number, p := range b.pending {
		switch age := now.Sub(p.sentAt); {
		case age > LoanDuration:
			delete(b.pending, number)
		case age > AnswerTimeout && !p.overdue:
			p.overdue = true
			b.pending[number] = p
			if len(p.shares) == 0 {
				p.to.skipped = now.Add(unresponsiveBackoff)
			}
		}
	}
}

// chooseLenders returns up to count owner hosts to ask for tokens of an account, at most
// maxLenders. It prefers the owner to which the tokens are moved, then responsive owners in
// the host's own zone, then responsive owners in other zones, then unresponsive owners. It
// returns none if all have recently had no tokens to lend.
func (b *Borrower) chooseLenders(now proxy.Instant, id proxy.AccountID, count int) []*lender {
	owners, first := b.Table.lenders(id)
	var main, local, remote, skipped []*lender
	for _, p := range b.peers {
		switch {
		case now < p.exhausted[id] || !slices.Contains(owners, p.Host):
		case now < p.skipped:
			skipped = append(skipped, p)
		case p.Host == first:
			main = append(main, p)
		case p.Zone == b.Zone:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	chosen := slices.Concat(main, b.shuffled(local), b.shuffled(remote))
	if len(chosen) == 0 {
		chosen = b.shuffled(skipped)
	}
	return chosen[:min(len(chosen), count, maxLenders)]
}

// shuffled returns the lenders in the order of a ring, from a random one on.
func (b *Borrower) shuffled(lenders []*lender) []*lender {
	if len(lenders) == 0 {
		return nil
	}
	first := int(b.Random() % uint64(len(lenders)))
	return slices.Concat(lenders[first:], lenders[:first])
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
		if tokens := min(l.Tokens, requested.Tokens); tokens > 0 {
			brief := min(tokens, requested.Brief)
			b.Table.CreditBriefly(now, p.sentAt, p.revision, l.Account, brief)
			b.Table.Credit(now, p.sentAt, p.revision, l.Account, tokens-brief)
		}
		if l.Remaining == 0 && l.Tokens < requested.Tokens {
			p.to.exhausted[l.Account] = now.Add(b.Table.exhaustedBackoff(now, l.Account))
		}
	}
}
