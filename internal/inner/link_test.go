package inner_test

import (
	"net"
	"sync"
	"testing"
)

// link forwards connections to a server and can be harmed.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns []net.Conn
	muted bool
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
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			l.mu.Lock()
			l.conns = append(l.conns, near, far)
			l.mu.Unlock()
			running.Go(func() { l.forward(near, far) })
			running.Go(func() { l.forward(far, near) })
		}
	})
	t.Cleanup(func() { _ = listener.Close(); l.cut(); running.Wait() })
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		muted := l.muted
		l.mu.Unlock()
		if muted {
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

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted = false
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func (l *link) mute() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.muted = true
}
