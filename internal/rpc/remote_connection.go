package rpc

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/replies"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// remoteConnection implements proxy.AcquiredConnection for a connection of another host's
// pool. It communicates with that host over one stream.
type remoteConnection struct {
	client      *Client
	peerConn    *peerConn
	frameStream frameStream
	endStream   context.CancelFunc
	keepAlive   *keepAliveSender
	info        proxy.ConnectionInfo
	released    atomic.Bool
	// deadlineTimer ends the stream at the deadline.
	deadlineTimer *time.Timer
	// frame is the last received frame.
	frame frame
	// unread holds received bytes that the Frontend has not read.
	unread []byte
}

// acceptResponse handles the pool's answer to requestFrame, which has been received.
func (c *remoteConnection) acceptResponse() error {
	switch c.frame.kind {
	case acquiredFrame:
	case refusedFrame:
		return c.frameStream.refusal(&c.frame)
	default:
		return &UnreachableError{c.peerConn.Address, proxy.Refuse(proxy.ProtocolViolation, "frame of kind %d in place of a loan", c.frame.kind)}
	}
	var message granted
	if err := c.frameStream.codec.Unmarshal(c.frame.payload, &message); err != nil {
		return &UnreachableError{c.peerConn.Address, err}
	}
	c.info = message.ConnectionInfo
	c.peerConn.remoteConnection = c
	if c.peerConn.frontend == nil {
		c.peerConn.replies = replies.NewReader(c.peerConn)
		c.peerConn.frontend = pgproto3.NewFrontend(c.peerConn.replies, c.peerConn)
	}
	return nil
}

// ConnectionInfo implements proxy.AcquiredConnection.
func (c *remoteConnection) ConnectionInfo() proxy.ConnectionInfo { return c.info }

// Frontend implements proxy.AcquiredConnection.
func (c *remoteConnection) Frontend() *pgproto3.Frontend { return c.peerConn.frontend }

// Replies returns the reader below Frontend.
func (c *remoteConnection) Replies() *replies.Reader { return c.peerConn.replies }

// SetDeadline sets the time at which the stream ends and replaces a previous deadline. A
// zero time removes it.
func (c *remoteConnection) SetDeadline(t time.Time) error {
	if c.deadlineTimer != nil {
		c.deadlineTimer.Stop()
		c.deadlineTimer = nil
	}
	if !t.IsZero() {
		c.deadlineTimer = time.AfterFunc(time.Until(t), c.endStream)
	}
	return nil
}

// Read implements io.Reader for the Frontend.
func (c *remoteConnection) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if err := c.frameStream.receive(&c.frame); err != nil {
			return 0, err
		}
		if err := c.requireData(); err != nil {
			return 0, err
		}
		c.unread = c.frame.payload
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// requireData returns an error unless the last received frame is a data frame.
func (c *remoteConnection) requireData() error {
	switch c.frame.kind {
	case dataFrame:
		return nil
	case refusedFrame:
		return c.frameStream.refusal(&c.frame)
	default:
		return proxy.UnknownOutcome(proxy.ProtocolViolation, "frame of kind %d within a loan", c.frame.kind)
	}
}

// Write implements io.Writer for the Frontend.
func (c *remoteConnection) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+dataChunkSize)]
		f := frame{kind: dataFrame, payload: chunk}
		if err := c.frameStream.sendFrame(&f); err != nil {
			return written, err
		}
		written += len(chunk)
	}
	return written, nil
}

// Confirm implements proxy.AcquiredConnection.
func (c *remoteConnection) Confirm(ctx context.Context) (proxy.Bookmark, error) {
	sent := c.client.Clock.Now()
	// The frames received below reuse the memory of the frame that holds the unread bytes.
	c.unread = slices.Clone(c.unread)
	// If ctx ends without an answer, the state of the stream is unknown and the stream is
	// ended.
	defer context.AfterFunc(ctx, c.endStream)()
	if err := c.frameStream.send(confirmFrame, nil); err != nil {
		return proxy.Bookmark{}, fmt.Errorf("confirm: %w", err)
	}
	for {
		if err := c.frameStream.receive(&c.frame); err != nil {
			return proxy.Bookmark{}, fmt.Errorf("confirm: %w", err)
		}
		if c.frame.kind == confirmedFrame {
			return c.decodeConfirmation(sent)
		}
		if err := c.requireData(); err != nil {
			return proxy.Bookmark{}, fmt.Errorf("confirm: %w", err)
		}
		c.unread = append(c.unread, c.frame.payload...)
	}
}

func (c *remoteConnection) decodeConfirmation(sent proxy.Instant) (proxy.Bookmark, error) {
	var message confirmation
	if err := c.frameStream.codec.Unmarshal(c.frame.payload, &message); err != nil {
		return proxy.Bookmark{}, fmt.Errorf("confirm: %w", err)
	}
	elapsed := c.client.Clock.Now().Sub(sent)
	if elapsed >= proxy.HolderTime(message.Valid) {
		return proxy.Bookmark{}, proxy.UnknownOutcome(proxy.OutcomeUnknown, "the confirmation came %v after the request and was valid for %v", elapsed, message.Valid)
	}
	return message.Bookmark, nil
}

// Cancel implements proxy.AcquiredConnection. It may be called while another goroutine
// uses the connection.
func (c *remoteConnection) Cancel(context.Context) error {
	if c.released.Load() {
		return nil
	}
	return c.frameStream.send(cancelFrame, nil)
}

// Release implements proxy.AcquiredConnection. It keeps the peer connection unless
// releaseFrame could not be sent.
func (c *remoteConnection) Release(state proxy.ReleaseState) {
	if !c.released.CompareAndSwap(false, true) {
		c.client.reportViolation("connection released twice")
		return
	}
	_ = c.SetDeadline(time.Time{})
	if state.Broken || len(c.unread) > 0 || c.peerConn.frontend.ReadBufferLen()+c.peerConn.replies.Buffered() > 0 {
		c.peerConn.frontend = nil
	}
	if c.frameStream.send(releaseFrame, &returned{state}) != nil {
		c.closePeerConn()
		return
	}
	c.returnPeerConn()
}
