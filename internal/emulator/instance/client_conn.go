package instance

import (
	"net"
	"sync/atomic"
)

// clientConn is a network connection that can be made unresponsive. It then drops
// what both sides send and stays open until the client closes it.
type clientConn struct {
	net.Conn
	unresponsive atomic.Bool
}

// Read returns the bytes that arrive, or drops them while the connection is
// unresponsive.
func (c *clientConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.unresponsive.Load() {
			return n, err
		}
	}
}

// Write sends b, or drops it while the connection is unresponsive.
func (c *clientConn) Write(b []byte) (int, error) {
	if c.unresponsive.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
