// Package peering is the protocol between entry hosts for loans of allowance and
// for questions about each other's state. It uses datagrams: a lost one costs a
// few tokens, or a question is asked again.
package peering

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
)

const (
	// maxDatagram bounds a datagram, in bytes, so that none is fragmented.
	maxDatagram = 1200
	// maxNeeds bounds the accounts in one datagram.
	maxNeeds = 24
	// requestTime is how long a request may be answered.
	requestTime = 150 * time.Millisecond
)

// Peer is another host.
type Peer struct {
	Host    proxy.HostID
	Zone    proxy.Zone
	Address netip.AddrPort
}

// Lender makes and answers requests for loans and questions. Its exported fields
// are set before Listen.
type Lender struct {
	Zone       proxy.Zone
	Log        zerolog.Logger
	Clock      proxy.Clock
	Allowances *allowance.Table
	// Random draws the numbers of requests.
	Random func() uint64
	// State returns what the host tells others of itself.
	State func() State
	// Learn takes a notice.
	Learn func(Notice)

	conn *net.UDPConn
	mu   sync.Mutex
	// peers are ordered: those of the host's own zone first.
	peers []*peer
	// pending holds the requests without an answer.
	pending map[uint64]request
	// asked receives the answers to questions, by request.
	asked map[uint64]chan<- State
	// credited is closed and replaced when tokens arrive.
	credited chan struct{}
}

type peer struct {
	Peer
	// empty holds the accounts of which the peer had nothing to lend, until the
	// instant at which it is worth asking again.
	empty map[proxy.AccountID]proxy.Instant
}

type request struct {
	to   *peer
	sent proxy.Instant
	// revision is that of the limits when the request was made.
	revision proxy.Revision
	// wanted are the tokens asked for, by account.
	wanted map[proxy.AccountID]int
}

// emptyTime is how long a peer that had nothing to lend is not asked again.
const emptyTime = 300 * time.Millisecond

// Listen opens the socket and returns a function that closes it.
func (l *Lender) Listen(address netip.AddrPort) (func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for loans: %w", err)
	}
	l.conn = conn
	l.pending = make(map[uint64]request)
	l.asked = make(map[uint64]chan<- State)
	l.credited = make(chan struct{})
	return func() { _ = conn.Close() }, nil
}

// SetPeers replaces the other hosts.
func (l *Lender) SetPeers(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := make(map[Peer]*peer, len(l.peers))
	for _, p := range l.peers {
		known[p.Peer] = p
	}
	l.peers = l.peers[:0]
	for _, local := range []bool{true, false} {
		for _, p := range peers {
			if (p.Zone == l.Zone) != local {
				continue
			}
			k := known[p]
			if k == nil {
				k = &peer{Peer: p, empty: make(map[proxy.AccountID]proxy.Instant)}
			}
			l.peers = append(l.peers, k)
		}
	}
}

// Run answers requests until the socket is closed.
func (l *Lender) Run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.Log.Warn().Err(err).Msg("loan datagram was not received")
			continue
		}
		var m message
		if err := decode(buffer[:n], &m); err != nil {
			l.Log.Warn().Err(err).Str("from", from.String()).Msg("loan datagram is not readable")
			continue
		}
		switch {
		case m.Answer && m.State != nil:
			l.hear(m)
		case m.Answer:
			l.receive(m)
		case len(m.Loans) == 0:
			if m.Notice != nil {
				l.Learn(*m.Notice)
			}
			state := l.State()
			l.send(message{Request: m.Request, Answer: true, State: &state}, from)
		default:
			l.lend(m, from)
		}
	}
}

func decode(data []byte, m *message) error {
	if err := cbor.Unmarshal(data, m); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return m.Validate()
}

func (l *Lender) lend(m message, to netip.AddrPort) {
	now := l.Clock.Now()
	answer := message{Request: m.Request, Answer: true, Revision: m.Revision}
	for _, wanted := range m.Loans {
		lent, left := l.Allowances.Lend(now, m.Revision, wanted.Account, wanted.Tokens)
		answer.Loans = append(answer.Loans, loan{Account: wanted.Account, Tokens: lent, Left: left})
	}
	l.send(answer, to)
}

func (l *Lender) send(m message, to netip.AddrPort) {
	data, err := cbor.Marshal(m)
	if err == nil {
		_, err = l.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.Log.Warn().Err(err).Str("to", to.String()).Msg("loan datagram was not sent")
	}
}

// receive takes the loans of an answer, once and only as far as they were asked
// for.
func (l *Lender) receive(m message) {
	now := l.Clock.Now()
	l.mu.Lock()
	r, ok := l.pending[m.Request]
	delete(l.pending, m.Request)
	if !ok || now.Sub(r.sent) > requestTime {
		l.mu.Unlock()
		return
	}
	for _, lent := range m.Loans {
		wanted, asked := r.wanted[lent.Account]
		if !asked {
			continue
		}
		delete(r.wanted, lent.Account)
		l.Allowances.Credit(now, r.revision, lent.Account, min(lent.Tokens, wanted))
		if lent.Left == 0 && lent.Tokens < wanted {
			r.to.empty[lent.Account] = now.Add(emptyTime)
		}
	}
	close(l.credited)
	l.credited = make(chan struct{})
	l.mu.Unlock()
}

// Borrow asks for what the host needs, each account of one peer, and reports
// whether anything was asked for or is still on its way.
func (l *Lender) Borrow() bool {
	now := l.Clock.Now()
	needs, revision := l.Allowances.Needs(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, r := range l.pending {
		if now.Sub(r.sent) > requestTime {
			delete(l.pending, number)
		}
	}
	if len(needs) == 0 {
		return len(l.pending) > 0
	}
	requests := make(map[*peer][]loan)
	for _, need := range needs {
		if l.requested(need.Account) {
			continue
		}
		if p := l.lenderOf(now, need.Account); p != nil && len(requests[p]) < maxNeeds {
			requests[p] = append(requests[p], loan{Account: need.Account, Tokens: need.Tokens})
		}
	}
	for p, loans := range requests {
		l.request(now, p, revision, loans)
	}
	return len(l.pending) > 0
}

func (l *Lender) request(now proxy.Instant, p *peer, revision proxy.Revision, loans []loan) {
	number := l.Random()
	r := request{to: p, sent: now, revision: revision, wanted: make(map[proxy.AccountID]int, len(loans))}
	for _, wanted := range loans {
		r.wanted[wanted.Account] = wanted.Tokens
	}
	l.pending[number] = r
	l.send(message{Request: number, Revision: revision, Loans: loans}, p.Address)
}

// requested reports whether a request for an account is on its way.
func (l *Lender) requested(id proxy.AccountID) bool {
	for _, r := range l.pending {
		if _, ok := r.wanted[id]; ok {
			return true
		}
	}
	return false
}

// lenderOf returns the peer to ask for an account, nil where all of its homes
// have recently had nothing to lend. Homes take turns within a zone, so that
// none is drained.
func (l *Lender) lenderOf(now proxy.Instant, id proxy.AccountID) *peer {
	homes := l.Allowances.Homes(id)
	var found []*peer
	for _, p := range l.peers {
		if now < p.empty[id] || !slices.Contains(homes, p.Host) {
			continue
		}
		if len(found) > 0 && p.Zone != found[0].Zone && found[0].Zone == l.Zone {
			break
		}
		found = append(found, p)
	}
	if len(found) == 0 {
		return nil
	}
	return found[l.Random()%uint64(len(found))]
}

// Await retries take until it succeeds, no loan can arrive any more, or ctx
// ends.
func (l *Lender) Await(ctx context.Context, take func() *proxy.Failure) *proxy.Failure {
	for {
		l.mu.Lock()
		credited := l.credited
		l.mu.Unlock()
		failure := take()
		if failure == nil || !l.Borrow() {
			return failure
		}
		select {
		case <-credited:
		case <-ctx.Done():
			return failure
		}
	}
}
