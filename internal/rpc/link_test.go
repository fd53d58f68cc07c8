package rpc_test

import (
	"net"
	"sync"
	"testing"
)

// link forwards connections to a server and can inject faults.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	conns   []net.Conn
	stalled bool
}

func startLink(t testing.TB, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			l.mu.Lock()
			l.conns = append(l.conns, client, server)
			l.mu.Unlock()
			running.Go(func() { l.forward(client, server) })
			running.Go(func() { l.forward(server, client) })
		}
	})
	t.Cleanup(func() { _ = listener.Close(); l.closeAll(); running.Wait() })
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		stalled := l.stalled
		l.mu.Unlock()
		if stalled {
			continue
		}
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err = to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

// closeAll closes the connections that are open.
func (l *link) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = false
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// stall makes the link drop all bytes without closing the connections.
func (l *link) stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = true
}
