package rpc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// RemotePool returns a proxy.Acquirer that acquires connections from the pool of the host
// at address.
func (c *Client) RemotePool(address string) proxy.Acquirer { return remotePool{c, address} }

// remotePool implements proxy.Acquirer.
type remotePool struct {
	client  *Client
	address string
}

// UnreachableError is returned when a request for a connection got no answer from the
// pool host. Nothing was executed.
type UnreachableError struct {
	Address string
	Err     error
}

// Error implements error.
func (u *UnreachableError) Error() string {
	return fmt.Sprintf("pool host %s: %v", u.Address, u.Err)
}

// Unwrap returns the cause. If the cause carries no refusal with outcome NotRun, Unwrap
// adds one, since nothing of the client's statement was sent.
func (u *UnreachableError) Unwrap() []error {
	var r *proxy.Refusal
	if errors.As(u.Err, &r) && r.Outcome == proxy.NotRun {
		return []error{u.Err}
	}
	return []error{proxy.Refuse(proxy.CannotConnectNow, "pool host is not reachable"), u.Err}
}

const (
	// responseTimeDivisor divides the wait timeout of a request. The quotient, at most
	// maxResponseTime, is reserved for sending back the pool's answer.
	responseTimeDivisor = 10
	maxResponseTime     = 50 * time.Millisecond
	// retryAfter is the RetryAfter of the refusal when no connection was acquired in time.
	retryAfter = 100 * time.Millisecond
)

// Acquire implements proxy.Acquirer. If it uses a free peer connection that turns out to
// be broken, it tries once more on a new one.
func (r remotePool) Acquire(ctx context.Context, request proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	if request.WaitTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, request.WaitTimeout)
		defer cancel()
		request.WaitTimeout -= min(request.WaitTimeout/responseTimeDivisor, maxResponseTime)
	}
	if p := r.client.takePeerConn(r.address); p != nil {
		acquired, err := r.client.acquire(ctx, p, request)
		if err == nil || ctx.Err() != nil || !isUnreachable(err) {
			return acquired, err
		}
	}
	p, err := r.client.connect(ctx, r.address)
	if err != nil {
		return nil, &UnreachableError{r.address, err}
	}
	return r.client.acquire(ctx, p, request)
}

func isUnreachable(err error) bool {
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// acquire starts a stream on the peer connection and waits until a connection is
// acquired.
func (c *Client) acquire(ctx context.Context, p *peerConn, request proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	streamCtx, endStream := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, endStream)
	conn := &remoteConnection{client: c, peerConn: p, endStream: endStream, frame: frame{payload: p.payload}}
	err := conn.sendRequest(streamCtx, request)
	if !stop() {
		conn.closePeerConn()
		refusal := proxy.Refuse(proxy.TooManyConnections, "no connection to group %s was lent in time", request.Group)
		refusal.RetryAfter = retryAfter
		return nil, &UnreachableError{p.Address, refusal}
	}
	if err == nil {
		return conn, nil
	}
	if isUnreachable(err) {
		conn.closePeerConn()
	} else {
		conn.returnPeerConn()
	}
	return nil, err
}

// sendRequest requests a connection and waits for the answer. It returns an
// UnreachableError or the pool's refusal.
func (c *remoteConnection) sendRequest(streamCtx context.Context, request proxy.ConnectionRequest) error {
	stream, err := c.peerConn.NewStream(streamCtx, acquireRPC, c.client.Codec)
	if err != nil {
		return &UnreachableError{c.peerConn.Address, err}
	}
	c.frameStream = frameStream{stream, c.client.Codec}
	if err = c.frameStream.send(requestFrame, &opening{ConnectionRequest: request, Client: c.client.Nonce}); err != nil {
		return &UnreachableError{c.peerConn.Address, err}
	}
	c.keepAlive = startKeepAlive(c.frameStream, c.client.keepAliveInterval())
	if err = c.frameStream.receive(&c.frame); err != nil {
		return &UnreachableError{c.peerConn.Address, err}
	}
	return c.acceptResponse()
}

// returnPeerConn ends the stream and returns the peer connection to the free ones.
func (c *remoteConnection) returnPeerConn() {
	c.keepAlive.stop()
	_ = c.frameStream.stream.Close()
	c.peerConn.payload = c.frame.payload
	c.client.putPeerConn(c.peerConn)
}

// closePeerConn closes the peer connection, which ends the stream.
func (c *remoteConnection) closePeerConn() {
	if c.keepAlive != nil {
		c.keepAlive.stop()
	}
	c.endStream()
	_ = c.peerConn.Close()
}
