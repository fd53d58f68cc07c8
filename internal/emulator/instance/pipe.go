package instance

import (
	"net"
	"sync/atomic"
)

// pipe is a network connection that can be silenced. A silenced connection
// swallows what both sides send and stays open until the client closes it.
type pipe struct {
	net.Conn
	silent atomic.Bool
}

// Read returns the bytes that arrive until the connection is silenced.
func (p *pipe) Read(b []byte) (int, error) {
	for {
		n, err := p.Conn.Read(b)
		if err != nil || !p.silent.Load() {
			return n, err
		}
	}
}

// Write sends b, or drops it once the connection is silenced.
func (p *pipe) Write(b []byte) (int, error) {
	if p.silent.Load() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}
