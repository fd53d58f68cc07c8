package inner

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

// maxChecks is the number of checks without a use after which a free connection
// is closed.
const maxChecks = 60

// Client borrows connections from other hosts' pools. The exported fields are
// set before Run.
type Client struct {
	Codec *Codec
	// Registry knows the control messages; nil where there are none.
	Registry *Registry
	Clock    proxy.Clock
	// Nonce is a random number other than zero, drawn at the start.
	Nonce uint64
	// TLS authenticates this host to the peers; nil connects without TLS.
	TLS *tls.Config
	// DialTimeout limits the opening of a peer connection.
	DialTimeout time.Duration
	// KeepAlive is the interval of the keep-alive frames, the same on all hosts.
	KeepAlive time.Duration
	Logger    zerolog.Logger
	// Metrics may be nil.
	Metrics metrics.Registry

	mu     sync.Mutex
	free   map[string][]*peer
	closed bool
}

// peer is a connection to another host that carries one stream at a time.
type peer struct {
	*drpcconn.Conn
	address string
	// checks counts the checks since the last use.
	checks int
	// loan is the loan that uses the connection.
	loan *loan
	// frontend speaks with the instances of successive loans and is kept for its
	// buffers. It is nil where the last loan left bytes in it.
	frontend *pgproto3.Frontend
	// payload is the memory of the frame received last.
	payload []byte
}

// Read implements io.Reader for the Frontend.
func (p *peer) Read(b []byte) (int, error) { return p.loan.Read(b) }

// Write implements io.Writer for the Frontend.
func (p *peer) Write(b []byte) (int, error) { return p.loan.Write(b) }

func (p *peer) dead() bool {
	select {
	case <-p.Closed():
		return true
	default:
		return false
	}
}

// Run checks the free connections at the interval KeepAlive until ctx ends and then
// closes them.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(c.alive())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.check(ctx)
		case <-ctx.Done():
			c.shut()
			return
		}
	}
}

// violation reports a broken invariant.
func (c *Client) violation(what string) {
	if c.Metrics != nil {
		metrics.GetOrRegisterCounter("inner.violations", c.Metrics).Inc(1)
	}
	c.Logger.Error().Msg("invariant violated: " + what)
}

func (c *Client) alive() time.Duration {
	if c.KeepAlive <= 0 {
		return defaultAlive
	}
	return c.KeepAlive
}

// check pings the free connections that were unused since the last check and
// closes those that do not answer or were unused for long.
func (c *Client) check(ctx context.Context) {
	c.mu.Lock()
	var idle []*peer
	for address, peers := range c.free {
		kept := peers[:0]
		for _, p := range peers {
			p.checks++
			if p.checks == 1 {
				kept = append(kept, p)
			} else {
				idle = append(idle, p)
			}
		}
		c.free[address] = kept
	}
	c.mu.Unlock()
	var wait sync.WaitGroup
	for _, p := range idle {
		wait.Go(func() { c.ping(ctx, p) })
	}
	wait.Wait()
}

func (c *Client) ping(ctx context.Context, p *peer) {
	if p.checks > maxChecks {
		_ = p.Close()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.alive())
	defer cancel()
	if err := p.Invoke(ctx, pingRPC, c.Codec, &nothing{}, &nothing{}); err != nil {
		c.Logger.Warn().Err(err).Str("peer", p.address).Msg("peer connection does not answer")
		_ = p.Close()
		return
	}
	c.put(p)
}

// take returns a free connection to the peer, or nil.
func (c *Client) take(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		peers := c.free[address]
		if len(peers) == 0 {
			return nil
		}
		p := peers[len(peers)-1]
		c.free[address] = peers[:len(peers)-1]
		if !p.dead() {
			p.checks = 0
			return p
		}
		_ = p.Close()
	}
}

// put keeps a connection for the next stream.
func (c *Client) put(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || p.dead() {
		_ = p.Close()
		return
	}
	if c.free == nil {
		c.free = make(map[string][]*peer)
	}
	c.free[p.address] = append(c.free[p.address], p)
}

func (c *Client) shut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, peers := range c.free {
		for _, p := range peers {
			_ = p.Close()
		}
	}
	c.free = nil
}

// connect opens a connection to the peer.
func (c *Client) connect(ctx context.Context, address string) (*peer, error) {
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
	conn = watchedConn{conn, silences * c.alive()}
	if c.TLS != nil {
		secured := tls.Client(conn, c.TLS)
		if err = secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("authenticate host %s: %w", address, err)
		}
		conn = secured
	}
	return &peer{Conn: drpcconn.New(conn), address: address}, nil
}
