package allowance

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Times of the requests for loans.
const (
	// AnswerTime is when a request without an answer no longer counts, so that
	// another home is asked: two round trips between availability zones.
	AnswerTime = 20 * time.Millisecond
	// silentTime is how long a home that has not answered is passed over while
	// others answer.
	silentTime = 500 * time.Millisecond
	// emptyTime is how long a home that had nothing to lend is not asked again.
	emptyTime = 60 * time.Millisecond
	// MaxNeeds bounds the accounts of one request, so that it fits a datagram.
	MaxNeeds = 24
)

// Peer is another host that may lend.
type Peer struct {
	Host proxy.HostID
	Zone proxy.Zone
}

// Request asks a host for loans. Needs names each account once.
type Request struct {
	Number   uint64
	To       proxy.HostID
	Revision proxy.Revision
	Needs    []Need
}

// Loan is what a host lends of an account, and what it could still lend.
type Loan struct {
	Account      proxy.AccountID
	Tokens, Left int
}

// Borrower decides which hosts are asked for loans. Its exported fields are set
// before use. It is safe for concurrent use.
type Borrower struct {
	Table *Table
	Zone  proxy.Zone
	// Random draws the numbers of requests.
	Random func() uint64

	mu sync.Mutex
	// peers are ordered: those of the host's own zone first.
	peers []*lender
	// pending holds the requests without an answer.
	pending map[uint64]pending
}

// lender is a peer with what is known of it.
type lender struct {
	Peer
	// silent is the instant until which the peer is passed over.
	silent proxy.Instant
	// empty holds the accounts of which the peer had nothing to lend, until the
	// instant at which it is worth asking again.
	empty map[proxy.AccountID]proxy.Instant
}

type pending struct {
	to       *lender
	sent     proxy.Instant
	revision proxy.Revision
	// wanted are the tokens asked for, by account.
	wanted map[proxy.AccountID]int
	// overdue requests no longer count.
	overdue bool
}

// SetPeers replaces the other hosts.
func (b *Borrower) SetPeers(peers []Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := make(map[Peer]*lender, len(b.peers))
	for _, p := range b.peers {
		known[p.Peer] = p
	}
	b.peers = b.peers[:0]
	for _, local := range []bool{true, false} {
		for _, p := range peers {
			if (p.Zone == b.Zone) != local {
				continue
			}
			l := known[p]
			if l == nil {
				l = &lender{Peer: p, empty: make(map[proxy.AccountID]proxy.Instant)}
			}
			b.peers = append(b.peers, l)
		}
	}
}

// Ask returns the requests to send now, and whether any is on its way or has to
// be sent.
func (b *Borrower) Ask(now proxy.Instant) (requests []Request, waiting bool) {
	needs, revision := b.Table.Needs(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	onWay := b.expire(now)
	byPeer := make(map[*lender]int)
	for _, need := range needs {
		need.Tokens -= onWay[need.Account]
		if need.Tokens <= 0 {
			continue
		}
		to := b.choose(now, need.Account)
		if to == nil {
			continue
		}
		at, ok := byPeer[to]
		if !ok {
			at = len(requests)
			byPeer[to] = at
			requests = append(requests, Request{Number: b.Random(), To: to.Host, Revision: revision})
		}
		if r := &requests[at]; len(r.Needs) < MaxNeeds {
			r.Needs = append(r.Needs, need)
		}
	}
	for to, at := range byPeer {
		b.note(now, to, requests[at])
	}
	return requests, len(requests) > 0 || len(onWay) > 0
}

// note remembers a request.
func (b *Borrower) note(now proxy.Instant, to *lender, r Request) {
	p := pending{to: to, sent: now, revision: r.Revision, wanted: make(map[proxy.AccountID]int, len(r.Needs))}
	for _, need := range r.Needs {
		p.wanted[need.Account] = need.Tokens
	}
	if b.pending == nil {
		b.pending = make(map[uint64]pending)
	}
	b.pending[r.Number] = p
}

// expire forgets old requests and returns the tokens that are on their way.
func (b *Borrower) expire(now proxy.Instant) map[proxy.AccountID]int {
	onWay := make(map[proxy.AccountID]int)
	for number, p := range b.pending {
		switch age := now.Sub(p.sent); {
		case age > LoanTime:
			delete(b.pending, number)
		case age > AnswerTime && !p.overdue:
			p.overdue = true
			b.pending[number] = p
			p.to.silent = now.Add(silentTime)
		case !p.overdue:
			for id, tokens := range p.wanted {
				onWay[id] += tokens
			}
		}
	}
	return onWay
}

// choose returns the peer to ask for an account: a home of the host's own zone
// that answers and has tokens, then any other home that does, then one that has
// not answered. It returns nil where all have recently had nothing to lend.
func (b *Borrower) choose(now proxy.Instant, id proxy.AccountID) *lender {
	homes := b.Table.Homes(id)
	var found, silent []*lender
	for _, p := range b.peers {
		if now < p.empty[id] || !slices.Contains(homes, p.Host) {
			continue
		}
		if now < p.silent {
			silent = append(silent, p)
			continue
		}
		if len(found) > 0 && found[0].Zone == b.Zone && p.Zone != b.Zone {
			break
		}
		found = append(found, p)
	}
	if len(found) == 0 {
		found = silent
	}
	if len(found) == 0 {
		return nil
	}
	return found[b.Random()%uint64(len(found))]
}

// Answer takes the loans of an answer, once and only as far as they were asked
// for.
func (b *Borrower) Answer(now proxy.Instant, number uint64, loans []Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.pending[number]
	if !ok {
		return
	}
	delete(b.pending, number)
	p.to.silent = 0
	for _, l := range loans {
		wanted, asked := p.wanted[l.Account]
		if !asked {
			continue
		}
		delete(p.wanted, l.Account)
		if tokens := min(l.Tokens, wanted); tokens > 0 {
			b.Table.Credit(now, p.sent, p.revision, l.Account, tokens)
		}
		if l.Left == 0 && l.Tokens < wanted {
			p.to.empty[l.Account] = now.Add(emptyTime)
		}
	}
}
