package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/timing"
)

// maxUnauthenticated is the number of connections that may authenticate at a time. Another
// one ends the one that has taken longest.
const maxUnauthenticated = 64

// acceptRetryDelay is the time after a failed accept, which may lack descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// authenticatingListener accepts connections that have completed the TLS handshake. Those
// that have not are bounded in number and time.
type authenticatingListener struct {
	net.Listener
	config  *tls.Config
	timeout time.Duration
	// evicted is called for each connection that was ended in favour of another.
	evicted func()

	ctx           context.Context
	stop          context.CancelFunc
	authenticated chan net.Conn
	failed        chan error

	mu      sync.Mutex
	pending []net.Conn // oldest first
}

func newAuthenticatingListener(listener net.Listener, config *tls.Config, timeout time.Duration, evicted func()) *authenticatingListener {
	l := &authenticatingListener{
		Listener: listener, config: config, timeout: timeout, evicted: evicted,
		authenticated: make(chan net.Conn), failed: make(chan error, 1),
	}
	l.ctx, l.stop = context.WithCancel(context.Background())
	go l.run()
	return l
}

// run accepts connections until the listener is closed.
func (l *authenticatingListener) run() {
	for {
		conn, err := l.Listener.Accept()
		if l.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			var temporary interface{ Temporary() bool }
			if !errors.As(err, &temporary) || !temporary.Temporary() {
				l.failed <- err
				return
			}
			timing.Sleep(l.ctx, acceptRetryDelay)
			continue
		}
		l.begin(conn)
		go l.authenticate(conn)
	}
}

// begin adds a connection to those that authenticate.
func (l *authenticatingListener) begin(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) >= maxUnauthenticated {
		_ = l.pending[0].Close()
		l.pending = l.pending[1:]
		l.evicted()
	}
	l.pending = append(l.pending, conn)
}

func (l *authenticatingListener) end(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.pending {
		if other == conn {
			l.pending = append(l.pending[:i:i], l.pending[i+1:]...)
			return
		}
	}
}

func (l *authenticatingListener) authenticate(conn net.Conn) {
	defer l.end(conn)
	ctx, cancel := context.WithTimeout(l.ctx, l.timeout)
	defer cancel()
	tlsConn := tls.Server(conn, l.config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return
	}
	select {
	case l.authenticated <- tlsConn:
	case <-l.ctx.Done():
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *authenticatingListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.authenticated:
		return conn, nil
	case err := <-l.failed:
		return nil, fmt.Errorf("accept peers: %w", err)
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It ends the connections that authenticate.
func (l *authenticatingListener) Close() error {
	l.stop()
	return l.Listener.Close()
}
