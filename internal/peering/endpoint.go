// Package peering implements the protocol by which entry hosts lend each other tokens of
// accounts and query each other's states. It uses datagrams without retransmission: a
// lost loan costs a few tokens, and a lost query can be repeated.
package peering

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/containment"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
)

const (
	// maxDatagram is the largest size of a datagram in bytes, small enough to avoid
	// fragmentation.
	maxDatagram = 1200
)

// Peer is another host and the address of its endpoint.
type Peer struct {
	Host    proxy.HostID
	Zone    proxy.Zone
	Address netip.AddrPort
}

// Endpoint sends and answers requests for loans and state queries. Its exported fields
// must be set before Listen.
type Endpoint struct {
	Log        zerolog.Logger
	Clock      proxy.Clock
	Allowances *allowance.Table
	Borrower   *allowance.Borrower
	// Random returns a random number, which identifies a state query.
	Random func() uint64
	// State returns the state that the host reports to others.
	State func() State
	// Position returns the newest log position of a group's primary that the host knows.
	Position func(proxy.GroupID) (Position, bool)
	// PositionWithin returns the lowest such position that is at most so old, or the newest
	// one. If it is nil, Position is used.
	PositionWithin func(proxy.GroupID, time.Duration) (Position, bool)
	// OnAnnouncement is called for each announcement that the host receives.
	OnAnnouncement func(Announcement)

	conn *net.UDPConn
	mu   sync.Mutex
	// addresses are the addresses of the other hosts.
	addresses map[proxy.HostID]netip.AddrPort
	// stateQueries holds the channels for the answers to state queries by request number.
	stateQueries map[uint64]chan<- State
	// positionQueries holds the channels for the answers to position queries likewise.
	positionQueries map[uint64]chan<- *Position
}

// Listen opens the socket and returns a function that closes it.
func (e *Endpoint) Listen(address netip.AddrPort) (func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams of other hosts: %w", err)
	}
	e.conn = conn
	e.stateQueries = make(map[uint64]chan<- State)
	e.positionQueries = make(map[uint64]chan<- *Position)
	return func() { _ = conn.Close() }, nil
}

// SetPeers replaces the list of other hosts.
func (e *Endpoint) SetPeers(peers []Peer) {
	addresses := make(map[proxy.HostID]netip.AddrPort, len(peers))
	lenders := make([]allowance.Peer, 0, len(peers))
	for _, p := range peers {
		addresses[p.Host] = p.Address
		lenders = append(lenders, allowance.Peer{Host: p.Host, Zone: p.Zone})
	}
	e.mu.Lock()
	e.addresses = addresses
	e.mu.Unlock()
	e.Borrower.SetPeers(lenders)
}

// Run receives requests and answers until the socket is closed.
func (e *Endpoint) Run() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.Log.Warn().Err(err).Msg("loan datagram was not received")
			continue
		}
		var m message
		if err := decode(buffer[:n], &m); err != nil {
			e.Log.Warn().Err(err).Str("from", from.String()).Msg("loan datagram is not readable")
			continue
		}
		switch {
		case m.PositionOf != "" && m.Answer:
			e.handlePosition(m)
		case m.PositionOf != "":
			e.answerPositionQuery(m, from)
		case m.Answer && m.State != nil:
			e.handleState(m)
		case m.Answer && len(m.Shares) > 0:
			e.handleShares(m)
		case m.Answer:
			e.handleLoans(m)
		case len(m.Shares) > 0:
			e.answerShareRequest(m, from)
		case len(m.Loans) == 0:
			if m.Announcement != nil {
				e.OnAnnouncement(*m.Announcement)
			}
			state := e.State()
			e.send(message{Request: m.Request, Answer: true, State: &state}, from)
		default:
			e.answerLoanRequest(m, from)
		}
	}
}

func decode(data []byte, m *message) error {
	if err := containment.Call(func() error { return cbor.Unmarshal(data, m) }); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return m.Validate()
}

// answerLoanRequest lends tokens to another host.
func (e *Endpoint) answerLoanRequest(m message, to netip.AddrPort) {
	now := e.Clock.Now()
	answer := message{Request: m.Request, Answer: true, Revision: m.Revision}
	for _, requested := range m.Loans {
		lent, remaining := e.Allowances.LendBriefly(now, m.Revision, requested.Account, requested.Tokens, requested.Brief)
		answer.Loans = append(answer.Loans, loan{Account: requested.Account, Tokens: lent, Remaining: remaining})
	}
	e.send(answer, to)
}

func (e *Endpoint) send(m message, to netip.AddrPort) {
	data, err := cbor.Marshal(m)
	if err == nil {
		_, err = e.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		e.Log.Warn().Err(err).Str("to", to.String()).Msg("loan datagram was not sent")
	}
}

// handleLoans credits the loans in an answer. If operations are still waiting for more,
// it requests these from other hosts or ends the waits.
func (e *Endpoint) handleLoans(m message) {
	loans := make([]allowance.Loan, 0, len(m.Loans))
	for _, lent := range m.Loans {
		loans = append(loans, allowance.Loan{Account: lent.Account, Tokens: lent.Tokens, Remaining: lent.Remaining})
	}
	e.Borrower.HandleAnswer(e.Clock.Now(), m.Request, loans)
	for _, l := range loans {
		if e.Allowances.Waiting(l.Account) {
			e.requestLoansFor(l.Account)
		}
	}
}

// RequestLoans requests the tokens and shares that the host needs to borrow.
func (e *Endpoint) RequestLoans() {
	e.request(e.Borrower.NextRequests(e.Clock.Now()))
	for _, r := range e.Borrower.ShareRequests(e.Clock.Now()) {
		m := message{Request: r.Number, Revision: r.Revision, From: e.Allowances.Self}
		for _, id := range r.Accounts {
			m.Shares = append(m.Shares, share{Account: id})
		}
		e.sendTo(m, r.To)
	}
}

// answerShareRequest lends this host's shares of accounts to another host.
func (e *Endpoint) answerShareRequest(m message, to netip.AddrPort) {
	now := e.Clock.Now()
	answer := message{Request: m.Request, Answer: true, Revision: m.Revision}
	for _, requested := range m.Shares {
		if s, ok := e.Allowances.LendShare(now, m.Revision, requested.Account, m.From); ok {
			answer.Shares = append(answer.Shares, share{Account: s.Account, Parts: s.Parts, Lent: s.Lent})
		}
	}
	e.send(answer, to)
}

// handleShares uses the shares in an answer.
func (e *Endpoint) handleShares(m message) {
	shares := make([]allowance.Share, 0, len(m.Shares))
	for _, s := range m.Shares {
		shares = append(shares, allowance.Share{Account: s.Account, Parts: s.Parts, Lent: s.Lent})
	}
	e.Borrower.HandleShares(e.Clock.Now(), m.Request, shares)
}

// requestLoansFor requests the tokens of one account that the host needs to borrow, and
// ends the waits that cannot get one.
func (e *Endpoint) requestLoansFor(id proxy.AccountID) {
	e.request(e.Borrower.RequestsFor(e.Clock.Now(), id))
}

func (e *Endpoint) request(requests []allowance.Request) {
	for _, r := range requests {
		m := message{Request: r.Number, Revision: r.Revision}
		for _, shortfall := range r.Shortfalls {
			m.Loans = append(m.Loans, loan{Account: shortfall.Account, Tokens: shortfall.Tokens, Brief: shortfall.Brief})
		}
		e.sendTo(m, r.To)
	}
}

// sendTo sends a message to a host whose address is known.
func (e *Endpoint) sendTo(m message, to proxy.HostID) {
	e.mu.Lock()
	address := e.addresses[to]
	e.mu.Unlock()
	if address.IsValid() {
		e.send(m, address)
	}
}

// Acquire takes a token of an account, for which the operation waits until expires at
// most. It returns nil, or a refusal as soon as no token is expected in time.
func (e *Endpoint) Acquire(now proxy.Instant, id proxy.AccountID, expires proxy.Instant) *allowance.Refusal {
	w, refusal := e.Allowances.Acquire(now, id, expires)
	if w == nil {
		return refusal
	}
	e.requestLoansFor(id)
	timer := time.NewTimer(e.Allowances.ReviewAfter(now, w))
	defer timer.Stop()
	for {
		select {
		case refusal = <-w.Ended():
			return refusal
		case <-timer.C:
			e.requestLoansFor(id)
			timer.Reset(e.Allowances.ReviewAfter(e.Clock.Now(), w))
		}
	}
}
