package inner

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// watchedConn fails reads that bring no byte for a time. The peer sends signs of
// life more often, so that a connection that stopped responding is found.
type watchedConn struct {
	net.Conn
	silence time.Duration
}

// Read implements io.Reader.
func (c watchedConn) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.silence)); err != nil {
		return 0, fmt.Errorf("limit the read: %w", err)
	}
	return c.Conn.Read(p)
}

// watchedListener accepts watched connections.
type watchedListener struct {
	net.Listener
	silence time.Duration
}

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return watchedConn{conn, l.silence}, nil
}

// alive sends keep-alive frames on a stream.
type alive struct {
	channel  channel
	interval time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startAlive sends a keep-alive frame at each interval until stop. A loan shorter
// than the interval costs one timer.
func startAlive(c channel, interval time.Duration) *alive {
	a := &alive{channel: c, interval: interval}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = time.AfterFunc(interval, a.beat)
	return a
}

func (a *alive) beat() {
	if a.channel.send(aliveFrame, nil) != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopped {
		a.timer.Reset(a.interval)
	}
}

func (a *alive) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.timer.Stop()
}
