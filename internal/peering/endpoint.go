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
	Log        zerolog.Logger
	Clock      proxy.Clock
	Allowances *allowance.Table
	Borrower   *allowance.Borrower
	// Random draws the numbers of questions.
	Random func() uint64
	// State returns what the host tells others of itself.
	State func() State
	// Learn takes a notice.
	Learn func(Notice)

	conn *net.UDPConn
	mu   sync.Mutex
	// addresses are those of the other hosts.
	addresses map[proxy.HostID]netip.AddrPort
	// asked receives the answers to questions, by request.
	asked map[uint64]chan<- State
	// answered is closed and replaced when an answer arrives.
	answered chan struct{}
}

// Listen opens the socket and returns a function that closes it.
func (l *Lender) Listen(address netip.AddrPort) (func(), error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen for loans: %w", err)
	}
	l.conn = conn
	l.asked = make(map[uint64]chan<- State)
	l.answered = make(chan struct{})
	return func() { _ = conn.Close() }, nil
}

// SetPeers replaces the other hosts.
func (l *Lender) SetPeers(peers []Peer) {
	addresses := make(map[proxy.HostID]netip.AddrPort, len(peers))
	lenders := make([]allowance.Peer, 0, len(peers))
	for _, p := range peers {
		addresses[p.Host] = p.Address
		lenders = append(lenders, allowance.Peer{Host: p.Host, Zone: p.Zone})
	}
	l.mu.Lock()
	l.addresses = addresses
	l.mu.Unlock()
	l.Borrower.SetPeers(lenders)
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

// receive takes the loans of an answer and wakes the operations that wait.
func (l *Lender) receive(m message) {
	loans := make([]allowance.Loan, 0, len(m.Loans))
	for _, lent := range m.Loans {
		loans = append(loans, allowance.Loan{Account: lent.Account, Tokens: lent.Tokens, Left: lent.Left})
	}
	l.Borrower.Answer(l.Clock.Now(), m.Request, loans)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.answered)
	l.answered = make(chan struct{})
}

// Borrow asks for what the host needs and reports whether anything was asked for
// or is still on its way.
func (l *Lender) Borrow() bool {
	requests, waiting := l.Borrower.Ask(l.Clock.Now())
	for _, r := range requests {
		m := message{Request: r.Number, Revision: r.Revision}
		for _, need := range r.Needs {
			m.Loans = append(m.Loans, loan{Account: need.Account, Tokens: need.Tokens})
		}
		l.mu.Lock()
		address := l.addresses[r.To]
		l.mu.Unlock()
		if address.IsValid() {
			l.send(m, address)
		}
	}
	return waiting
}

// Await retries take until it succeeds, no loan can arrive any more, or ctx
// ends.
func (l *Lender) Await(ctx context.Context, take func() *proxy.Failure) *proxy.Failure {
	again := time.NewTicker(allowance.AnswerTime + time.Millisecond)
	defer again.Stop()
	for {
		l.mu.Lock()
		answered := l.answered
		l.mu.Unlock()
		failure := take()
		if failure == nil || !l.Borrow() {
			return failure
		}
		select {
		case <-answered:
		case <-again.C:
		case <-ctx.Done():
			return failure
		}
	}
}
