package instance

import (
	"net"
	"sync/atomic"
)

// clientConn is a network connection that can be silenced. A silenced connection
// swallows what both sides send and stays open until the client closes it.
type clientConn struct {
	net.Conn
	silent atomic.Bool
}

// Read returns the bytes that arrive until the connection is silenced.
func (c *clientConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends b, or drops it once the connection is silenced.
func (c *clientConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
