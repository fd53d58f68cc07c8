package rpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/peerconn"
	"github.com/auburnyoke/auburnyoke/internal/replies"
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

	peerConns peerconn.Pool
}

// peerConn is a connection to another host. It is used for one stream at a time.
type peerConn struct {
	*peerconn.Conn
	// remoteConnection is the acquired connection that uses the peer connection.
	remoteConnection *remoteConnection
	// frontend is reused by successive acquired connections, which saves the allocation
	// of its buffers. It is nil if the last one left unread bytes in it.
	frontend *pgproto3.Frontend
	// replies is below frontend.
	replies *replies.Reader
	// payload is the reusable buffer of the last received frame.
	payload []byte
}

// Read implements io.Reader for the Frontend.
func (p *peerConn) Read(b []byte) (int, error) { return p.remoteConnection.Read(b) }

// Write implements io.Writer for the Frontend.
func (p *peerConn) Write(b []byte) (int, error) { return p.remoteConnection.Write(b) }

// Run checks the free peer connections at the interval KeepAlive until ctx ends, and then
// closes them.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(c.keepAliveInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.peerConns.Check(maxUnusedChecks, func(p *peerconn.Conn) error { return c.ping(ctx, p) })
		case <-ctx.Done():
			c.peerConns.Close()
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

func (c *Client) ping(ctx context.Context, p *peerconn.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, c.keepAliveInterval())
	defer cancel()
	if err := p.Invoke(ctx, pingRPC, c.Codec, &empty{}, &empty{}); err != nil {
		c.Logger.Warn().Err(err).Str("peer", p.Address).Msg("peer connection does not answer")
		return fmt.Errorf("ping: %w", err)
	}
	return nil
}

// takePeerConn removes and returns a free connection to the host at address, or returns nil.
func (c *Client) takePeerConn(address string) *peerConn {
	conn := c.peerConns.Take(address)
	if conn == nil {
		return nil
	}
	return conn.State.(*peerConn)
}

// putPeerConn adds a connection to the free ones.
func (c *Client) putPeerConn(p *peerConn) { c.peerConns.Put(p.Conn) }

// connect opens a connection to the host at address.
func (c *Client) connect(ctx context.Context, address string) (*peerConn, error) {
	timeout := c.DialTimeout
	if timeout <= 0 {
		timeout = defaultDialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to host %s: %w", address, err)
	}
	p := &peerConn{Conn: peerconn.New(conn, address)}
	p.State = p
	return p, nil
}

// dial opens a network connection to the host at address and authenticates both hosts.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	conn = timeoutConn{conn, maxMissedKeepAlives * c.keepAliveInterval()}
	if c.TLS == nil {
		return conn, nil
	}
	tlsConn := tls.Client(conn, c.TLS)
	if err = tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("authenticate: %w", err)
	}
	return tlsConn, nil
}
