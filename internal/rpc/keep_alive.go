package rpc

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// timeoutConn fails a read if no byte arrives within the timeout. The peer sends
// keep-alive frames more often than that, so the timeout detects an unresponsive
// connection.
type timeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements io.Reader.
func (c timeoutConn) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, fmt.Errorf("limit the read: %w", err)
	}
	return c.Conn.Read(p)
}

// timeoutListener accepts connections as timeoutConn.
type timeoutListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l timeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return timeoutConn{conn, l.timeout}, nil
}

// keepAliveSender sends keep-alive frames on a stream.
type keepAliveSender struct {
	frameStream frameStream
	interval    time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// startKeepAlive sends a keep-alive frame at each interval until stop is called. A stream
// that ends within the first interval costs only one timer.
func startKeepAlive(frames frameStream, interval time.Duration) *keepAliveSender {
	k := &keepAliveSender{frameStream: frames, interval: interval}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.timer = time.AfterFunc(interval, k.sendFrame)
	return k
}

func (k *keepAliveSender) sendFrame() {
	if k.frameStream.send(keepAliveFrame, nil) != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.stopped {
		k.timer.Reset(k.interval)
	}
}

func (k *keepAliveSender) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	k.timer.Stop()
}
