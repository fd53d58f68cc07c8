// Package peerconn keeps connections to other hosts that are free for another call.
package peerconn

import (
	"net"
	"sync"

	"storj.io/drpc/drpcconn"
)

// Conn is a connection to another host. It is used for one stream at a time.
type Conn struct {
	*drpcconn.Conn
	Address string
	// State is what the user of the connection keeps with it between streams.
	State any

	// unusedChecks counts the checks since the last use.
	unusedChecks int
}

func (c *Conn) isClosed() bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}

// New returns a Conn that uses a network connection to the host at address.
func New(conn net.Conn, address string) *Conn {
	return &Conn{Conn: drpcconn.New(conn), Address: address}
}

// Pool holds the free connections. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	free   map[string][]*Conn
	closed bool
}

// Take removes and returns a free connection to the host at address, or returns nil.
func (p *Pool) Take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		conns := p.free[address]
		if len(conns) == 0 {
			return nil
		}
		c := conns[len(conns)-1]
		p.free[address] = conns[:len(conns)-1]
		if !c.isClosed() {
			c.unusedChecks = 0
			return c
		}
		_ = c.Close()
	}
}

// Put adds a connection to the free ones.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.isClosed() {
		_ = c.Close()
		return
	}
	if p.free == nil {
		p.free = make(map[string][]*Conn)
	}
	p.free[c.Address] = append(p.free[c.Address], c)
}

// Check closes the connections that have been unused for more than maxUnused successive
// checks. It passes the others that have not been used since the last check to ping, and
// closes those for which ping returns an error. Ping may be nil.
func (p *Pool) Check(maxUnused int, ping func(*Conn) error) {
	var wait sync.WaitGroup
	for _, c := range p.takeUnused() {
		if c.unusedChecks > maxUnused {
			_ = c.Close()
			continue
		}
		if ping == nil {
			p.Put(c)
			continue
		}
		wait.Go(func() {
			if ping(c) != nil {
				_ = c.Close()
				return
			}
			p.Put(c)
		})
	}
	wait.Wait()
}

// takeUnused removes and returns the connections that have not been used since the last
// check.
func (p *Pool) takeUnused() []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unused []*Conn
	for address, conns := range p.free {
		kept := conns[:0]
		for _, c := range conns {
			c.unusedChecks++
			if c.unusedChecks == 1 {
				kept = append(kept, c)
			} else {
				unused = append(unused, c)
			}
		}
		p.free[address] = kept
		if len(kept) == 0 {
			delete(p.free, address)
		}
	}
	return unused
}

// Close closes the free connections, and those that are put back later.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.free {
		for _, c := range conns {
			_ = c.Close()
		}
	}
	p.free = nil
}
