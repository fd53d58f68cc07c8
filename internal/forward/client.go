package forward

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/auburnyoke/auburnyoke/internal/peerconn"
	"github.com/auburnyoke/auburnyoke/internal/tcp"
	"github.com/auburnyoke/auburnyoke/internal/wire"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// connectTimeout limits the opening of a connection to another host. It is several
	// round trips between availability zones.
	connectTimeout = 150 * time.Millisecond
	// silenceTimeout is how long the executing host may report nothing until it is taken
	// for unresponsive. A command without effects is given up there then and can run
	// elsewhere.
	silenceTimeout = 3 * workingInterval
	// answerMargin is how much longer than the time left for a command its answer is
	// awaited. It covers the way back.
	answerMargin = 40 * time.Millisecond
	// minCallTime is the least time that a call gets.
	minCallTime = 20 * time.Millisecond
	// disconnectedRetry is the time after which a client may retry an operation whose
	// executing host was not reached.
	disconnectedRetry = 150 * time.Millisecond
	// checkInterval and maxUnusedChecks limit the time for which an unused connection to
	// another host is kept.
	checkInterval   = 5 * time.Second
	maxUnusedChecks = 4
)

// Client runs commands on other hosts.
type Client struct {
	// OnSilence is called with the address of a host that has been silent for some time
	// while it should be working on a command. It is set before use.
	OnSilence func(address string)

	codec *wire.Codec
	conns peerconn.Pool
}

// NewClient returns a client and a function that closes its free connections.
func NewClient() (*Client, func(), error) {
	codec, err := wire.NewCodec()
	if err != nil {
		return nil, nil, fmt.Errorf("create codec: %w", err)
	}
	c := &Client{codec: codec}
	return c, c.conns.Close, nil
}

// Run closes connections that are no longer used, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.conns.Check(maxUnusedChecks, nil)
		case <-ctx.Done():
			return
		}
	}
}

// Executor returns an executor that runs commands on the host at address.
func (c *Client) Executor(address string) proxy.Executor { return remoteExecutor{c, address} }

type remoteExecutor struct {
	client  *Client
	address string
}

// Execute implements proxy.Executor.
func (r remoteExecutor) Execute(ctx context.Context, e proxy.Execution) (proxy.Executed, proxy.HeldConnection) {
	call, err := r.client.open(ctx, r.address)
	if err != nil {
		return disconnected(err), nil
	}
	result, held := call.run(e, !e.Writes)
	if held {
		return result, &heldConnection{call}
	}
	return result, nil
}

// disconnected returns the result of a command that was not sent to the executing host.
func disconnected(err error) proxy.Executed {
	return proxy.Executed{Refusal: &proxy.NotExecuted{Cause: proxy.Disconnected, Failure: proxy.Failure{
		Code: proxy.Busy, Text: "host was not reached: " + err.Error(), RetryAfter: disconnectedRetry,
	}}}
}

// open starts a stream on a free connection, or on a new one.
func (c *Client) open(ctx context.Context, address string) (*call, error) {
	for conn := c.conns.Take(address); conn != nil; conn = c.conns.Take(address) {
		if started, err := c.start(ctx, conn); err == nil {
			return started, nil
		}
	}
	conn, err := tcp.Dial(ctx, connectTimeout, address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return c.start(ctx, peerconn.New(conn, address))
}

func (c *Client) start(ctx context.Context, conn *peerconn.Conn) (*call, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := conn.NewStream(ctx, executePath, c.codec)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, fmt.Errorf("start stream: %w", err)
	}
	return &call{client: c, conn: conn, stream: stream, cancel: cancel}, nil
}

// call is a stream to an executing host.
type call struct {
	client *Client
	conn   *peerconn.Conn
	stream drpc.Stream
	// cancel ends the stream and its connection.
	cancel context.CancelFunc
	// large reports that a message has enlarged the buffers of the connection, so that it is
	// not used again.
	large bool
}

// run runs a command and reports whether the executing host holds the instance
// connection. Otherwise the call is ended. If silenceLimited is set, the command is given
// up when the executing host has been silent for silenceTimeout.
func (c *call) run(e proxy.Execution, silenceLimited bool) (proxy.Executed, bool) {
	answer, err := c.exchange(&e, silenceLimited)
	if err != nil {
		c.abort()
		return proxy.Executed{Unknown: "host did not answer: " + err.Error(), Lost: true}, false
	}
	if !answer.Held {
		c.end()
	}
	return *answer.Executed, answer.Held
}

// exchange sends a command and receives the result.
func (c *call) exchange(e *proxy.Execution, silenceLimited bool) (*reply, error) {
	deadline := time.AfterFunc(max(e.Expires, minCallTime)+answerMargin, c.cancel)
	defer deadline.Stop()
	silence := time.AfterFunc(silenceTimeout, func() {
		c.client.OnSilence(c.conn.Address)
		if silenceLimited {
			c.cancel()
		}
	})
	defer silence.Stop()
	c.large = c.large || sizeOfExecution(e) > maxReused
	if err := c.stream.MsgSend(&command{Execution: e}, c.client.codec); err != nil {
		return nil, fmt.Errorf("send command: %w", err)
	}
	for {
		var answer reply
		if err := c.stream.MsgRecv(&answer, c.client.codec); err != nil {
			return nil, fmt.Errorf("receive reply: %w", err)
		}
		if answer.Executed != nil {
			c.large = c.large || sizeOfExecuted(answer.Executed) > maxReused
			return &answer, nil
		}
		silence.Reset(silenceTimeout)
	}
}

// end ends the stream and keeps its connection for another call, unless its buffers are
// large.
func (c *call) end() {
	_ = c.stream.Close()
	if c.large {
		c.cancel()
		_ = c.conn.Close()
		return
	}
	c.client.conns.Put(c.conn)
}

// abort closes the connection, after which the executing host cancels what waits and
// rolls back what it holds.
func (c *call) abort() {
	c.cancel()
	_ = c.conn.Close()
}

// heldConnection implements proxy.HeldConnection over a call.
type heldConnection struct{ call *call }

var (
	errReleased = eris.New("connection is released")
	errClosed   = eris.New("connection was closed")
)

// Execute implements proxy.HeldConnection.
func (h *heldConnection) Execute(_ context.Context, e proxy.Execution) (proxy.Executed, bool) {
	if h.call == nil {
		return proxy.Executed{Unknown: errReleased.Error()}, true
	}
	select {
	case <-h.call.conn.Closed():
		// Nothing is sent, and the executing host rolls the transaction back.
		h.Release()
		return disconnected(errClosed), true
	default:
	}
	result, held := h.call.run(e, false)
	if !held {
		h.call = nil
	}
	return result, !held
}

// Release implements proxy.HeldConnection.
func (h *heldConnection) Release() {
	if h.call == nil {
		return
	}
	if err := h.call.stream.MsgSend(&command{}, h.call.client.codec); err != nil {
		h.call.abort()
	} else {
		h.call.end()
	}
	h.call = nil
}
