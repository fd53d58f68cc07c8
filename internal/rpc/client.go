package rpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"storj.io/drpc/drpcconn"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// defaultDialTimeout limits the opening of a peer connection.
const defaultDialTimeout = 2 * time.Second

// maxUnusedChecks is the number of successive checks after which an unused free
// connection is closed.
const maxUnusedChecks = 60

// Client acquires connections from the pools of other hosts and sends control messages to
// them. The exported fields are set before Run.
type Client struct {
	Codec *Codec
	// Registry contains the types of the control messages. It may be nil if Deliver is not
	// used.
	Registry *Registry
	Clock    proxy.Clock
	// Nonce is a random number other than zero that is drawn when the process starts.
	Nonce uint64
	// TLS authenticates this host to the peers; nil connects without TLS.
	TLS *tls.Config
	// DialTimeout limits the opening of a peer connection.
	DialTimeout time.Duration
	// KeepAlive is the interval of the keep-alive frames. It is the same on all hosts.
	KeepAlive time.Duration
	Logger    zerolog.Logger
	// Metrics may be nil.
	Metrics metrics.Registry

	mu            sync.Mutex
	freePeerConns map[string][]*peerConn
	closed        bool
}

// peerConn is a connection to another host. It is used for one stream at a time.
type peerConn struct {
	*drpcconn.Conn
	address string
	// unusedChecks counts the checks since the last use.
	unusedChecks int
	// remoteConnection is the acquired connection that uses the peer connection.
	remoteConnection *remoteConnection
	// frontend is reused by successive acquired connections, which saves the allocation
	// of its buffers. It is nil if the last one left unread bytes in it.
	frontend *pgproto3.Frontend
	// payload is the reusable buffer of the last received frame.
	payload []byte
}

// Read implements io.Reader for the Frontend.
func (p *peerConn) Read(b []byte) (int, error) { return p.remoteConnection.Read(b) }

// Write implements io.Writer for the Frontend.
func (p *peerConn) Write(b []byte) (int, error) { return p.remoteConnection.Write(b) }

func (p *peerConn) isClosed() bool {
	select {
	case <-p.Closed():
		return true
	default:
		return false
	}
}

// Run checks the free peer connections at the interval KeepAlive until ctx ends, and then
// closes them.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(c.keepAliveInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.checkFreePeerConns(ctx)
		case <-ctx.Done():
			c.closeFreePeerConns()
			return
		}
	}
}

// reportViolation logs and counts a broken invariant.
func (c *Client) reportViolation(invariant string) {
	if c.Metrics != nil {
		metrics.GetOrRegisterCounter("inner.violations", c.Metrics).Inc(1)
	}
	c.Logger.Error().Msg("invariant violated: " + invariant)
}

func (c *Client) keepAliveInterval() time.Duration {
	if c.KeepAlive <= 0 {
		return defaultKeepAlive
	}
	return c.KeepAlive
}

// checkFreePeerConns pings the free connections that have not been used since the last check.
// It closes those that do not answer, and those that have been unused for more than
// maxUnusedChecks.
func (c *Client) checkFreePeerConns(ctx context.Context) {
	c.mu.Lock()
	var idle []*peerConn
	for address, conns := range c.freePeerConns {
		kept := conns[:0]
		for _, p := range conns {
			p.unusedChecks++
			if p.unusedChecks == 1 {
				kept = append(kept, p)
			} else {
				idle = append(idle, p)
			}
		}
		c.freePeerConns[address] = kept
	}
	c.mu.Unlock()
	var wait sync.WaitGroup
	for _, p := range idle {
		wait.Go(func() { c.ping(ctx, p) })
	}
	wait.Wait()
}

func (c *Client) ping(ctx context.Context, p *peerConn) {
	if p.unusedChecks > maxUnusedChecks {
		_ = p.Close()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.keepAliveInterval())
	defer cancel()
	if err := p.Invoke(ctx, pingRPC, c.Codec, &empty{}, &empty{}); err != nil {
		c.Logger.Warn().Err(err).Str("peer", p.address).Msg("peer connection does not answer")
		_ = p.Close()
		return
	}
	c.putPeerConn(p)
}

// takePeerConn removes and returns a free connection to the host at address, or returns nil.
func (c *Client) takePeerConn(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		conns := c.freePeerConns[address]
		if len(conns) == 0 {
			return nil
		}
		p := conns[len(conns)-1]
		c.freePeerConns[address] = conns[:len(conns)-1]
		if !p.isClosed() {
			p.unusedChecks = 0
			return p
		}
		_ = p.Close()
	}
}

// putPeerConn adds a connection to the free ones.
func (c *Client) putPeerConn(p *peerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || p.isClosed() {
		_ = p.Close()
		return
	}
	if c.freePeerConns == nil {
		c.freePeerConns = make(map[string][]*peerConn)
	}
	c.freePeerConns[p.address] = append(c.freePeerConns[p.address], p)
}

func (c *Client) closeFreePeerConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conns := range c.freePeerConns {
		for _, p := range conns {
			_ = p.Close()
		}
	}
	c.freePeerConns = nil
}

// connect opens a connection to the host at address.
func (c *Client) connect(ctx context.Context, address string) (*peerConn, error) {
	timeout := c.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to host %s: %w", address, err)
	}
	conn = timeoutConn{conn, maxMissedKeepAlives * c.keepAliveInterval()}
	if c.TLS != nil {
		tlsConn := tls.Client(conn, c.TLS)
		if err = tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("authenticate host %s: %w", address, err)
		}
		conn = tlsConn
	}
	return &peerConn{Conn: drpcconn.New(conn), address: address}, nil
}
