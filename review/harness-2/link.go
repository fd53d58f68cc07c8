package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// link is a TCP path from one host to one service of the platform. It passes bytes on
// until it is cut. Bytes of connections that exist at the cut are held up and arrive when
// it heals, unless their sender has reset the connection. Connections that begin during the
// cut stay silent for good, as if their opening packet had been lost.
type link struct {
	listener net.Listener
	target   string
	hooks    linkHooks

	mu     sync.Mutex
	healed chan struct{} // nil while the link works, closed when it heals
}

// linkHooks see what passes a link; each may be nil.
type linkHooks struct {
	// sent sees the bytes that a host sends before they are passed on or held up. It may
	// cut links.
	sent func(data []byte)
	// answered sees the bytes of the service and returns what arrives at the host.
	answered func(data []byte) []byte
}

func newLink(target string, hooks linkHooks) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, hooks: hooks}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// cut cuts the link. Heal ends the cut.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed == nil {
		l.healed = make(chan struct{})
	}
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

// outage returns a channel that is closed at the end of the present cut, or nil.
func (l *link) outage() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *link) serve(conn net.Conn) {
	defer conn.Close()
	if l.outage() != nil {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	upstream, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		return
	}
	defer upstream.Close()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		l.pass(conn, upstream, linkHooks{answered: l.hooks.answered})
		_ = conn.Close()
	}()
	l.pass(upstream, conn, linkHooks{sent: l.hooks.sent})
	// The other direction stays open for the answer.
	select {
	case <-answered:
	case <-time.After(time.Second):
	}
}

// pass passes bytes from one end to the other until the sender ends or resets the
// connection.
func (l *link) pass(to, from net.Conn, hooks linkHooks) {
	type chunk struct {
		data []byte
		err  error
	}
	chunks := make(chan chunk, 1024)
	reset := make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 64<<10)
			n, err := from.Read(buffer)
			if errors.Is(err, syscall.ECONNRESET) {
				close(reset)
				return
			}
			if n > 0 && hooks.sent != nil {
				hooks.sent(buffer[:n])
			}
			chunks <- chunk{buffer[:n], err}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		for healed := l.outage(); healed != nil; healed = l.outage() {
			<-healed
		}
		select {
		case <-reset:
			return // what a sender has reset is lost
		default:
		}
		if len(c.data) > 0 {
			if hooks.answered != nil {
				c.data = hooks.answered(c.data)
			}
			if _, err := to.Write(c.data); err != nil {
				return
			}
		}
		if c.err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}
