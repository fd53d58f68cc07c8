package inner

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// loan implements proxy.Loan on a stream to another host's pool.
type loan struct {
	client   *Client
	peer     *peer
	channel  channel
	end      context.CancelFunc
	signs    *alive
	lent     proxy.ConnectionInfo
	released atomic.Bool
	// timer ends the stream at the deadline.
	timer *time.Timer
	// frame is the frame received last.
	frame frame
	// unread holds received bytes that the Frontend has not read.
	unread []byte
}

// accept reads the pool's answer to the ask.
func (l *loan) accept() error {
	switch l.frame.kind {
	case lentFrame:
	case refusedFrame:
		return l.channel.refusal(&l.frame)
	default:
		return &Unreachable{l.peer.address, proxy.Refuse(proxy.ProtocolViolation, "frame of kind %d in place of a loan", l.frame.kind)}
	}
	var g granted
	if err := l.channel.codec.Unmarshal(l.frame.payload, &g); err != nil {
		return &Unreachable{l.peer.address, err}
	}
	l.lent = g.ConnectionInfo
	l.peer.loan = l
	if l.peer.frontend == nil {
		l.peer.frontend = pgproto3.NewFrontend(l.peer, l.peer)
	}
	return nil
}

// ConnectionInfo implements proxy.Loan.
func (l *loan) ConnectionInfo() proxy.ConnectionInfo { return l.lent }

// Frontend implements proxy.Loan.
func (l *loan) Frontend() *pgproto3.Frontend { return l.peer.frontend }

// SetDeadline ends the loan's stream at t unless it is called again before; zero
// removes the limit.
func (l *loan) SetDeadline(t time.Time) error {
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	if !t.IsZero() {
		l.timer = time.AfterFunc(time.Until(t), l.end)
	}
	return nil
}

// Read implements io.Reader for the Frontend.
func (l *loan) Read(p []byte) (int, error) {
	for len(l.unread) == 0 {
		if err := l.channel.receive(&l.frame); err != nil {
			return 0, err
		}
		if err := l.checkData(); err != nil {
			return 0, err
		}
		l.unread = l.frame.payload
	}
	n := copy(p, l.unread)
	l.unread = l.unread[n:]
	return n, nil
}

// checkData returns an error unless the frame received last carries data.
func (l *loan) checkData() error {
	switch l.frame.kind {
	case dataFrame:
		return nil
	case refusedFrame:
		return l.channel.refusal(&l.frame)
	default:
		return proxy.UnknownOutcome(proxy.ProtocolViolation, "frame of kind %d within a loan", l.frame.kind)
	}
}

// Write implements io.Writer for the Frontend.
func (l *loan) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+chunkSize)]
		f := frame{kind: dataFrame, payload: chunk}
		if err := l.channel.sendFrame(&f); err != nil {
			return written, err
		}
		written += len(chunk)
	}
	return written, nil
}

// Confirm implements proxy.Loan.
func (l *loan) Confirm(ctx context.Context) (proxy.Bookmark, error) {
	sent := l.client.Clock.Now()
	// The frames received below reuse the memory of the one that is being read.
	l.unread = slices.Clone(l.unread)
	// Without an answer the state of the stream is unknown, so that it ends.
	defer context.AfterFunc(ctx, l.end)()
	if err := l.channel.send(confirmFrame, nil); err != nil {
		return proxy.Bookmark{}, fmt.Errorf("confirm: %w", err)
	}
	for {
		if err := l.channel.receive(&l.frame); err != nil {
			return proxy.Bookmark{}, fmt.Errorf("confirm: %w", err)
		}
		if l.frame.kind == confirmedFrame {
			return l.confirmed(sent)
		}
		if err := l.checkData(); err != nil {
			return proxy.Bookmark{}, fmt.Errorf("confirm: %w", err)
		}
		l.unread = append(l.unread, l.frame.payload...)
	}
}

func (l *loan) confirmed(sent proxy.Instant) (proxy.Bookmark, error) {
	var c confirmation
	if err := l.channel.codec.Unmarshal(l.frame.payload, &c); err != nil {
		return proxy.Bookmark{}, fmt.Errorf("confirm: %w", err)
	}
	taken := l.client.Clock.Now().Sub(sent)
	if taken >= proxy.HolderTime(c.Valid) {
		return proxy.Bookmark{}, proxy.UnknownOutcome(proxy.OutcomeUnknown, "the confirmation came %v after the request and was valid for %v", taken, c.Valid)
	}
	return c.Bookmark, nil
}

// Cancel implements proxy.Loan. It may be called while another goroutine uses
// the loan.
func (l *loan) Cancel(context.Context) error {
	if l.released.Load() {
		return nil
	}
	return l.channel.send(cancelFrame, nil)
}

// Release implements proxy.Loan. The peer connection is kept unless its state
// is unknown.
func (l *loan) Release(r proxy.ReleaseState) {
	if !l.released.CompareAndSwap(false, true) {
		l.client.violation("loan released twice")
		return
	}
	_ = l.SetDeadline(time.Time{})
	if r.Broken || len(l.unread) > 0 || l.peer.frontend.ReadBufferLen() > 0 {
		l.peer.frontend = nil
	}
	if l.channel.send(releaseFrame, &returned{r}) != nil {
		l.abandon()
		return
	}
	l.giveBack()
}
