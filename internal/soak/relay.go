package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Harm is what a relay does to connections.
type Harm uint8

// The kinds of harm.
const (
	// Healthy relays pass everything on.
	Healthy Harm = iota
	// Delayed relays pass everything on late.
	Delayed
	// Deaf relays drop what clients send, Mute ones what servers answer, and
	// Silent ones both. New connections are accepted.
	Deaf
	Mute
	Silent
	// Refusing relays reset connections, new ones too.
	Refusing
	harms
)

func (h Harm) String() string {
	return [...]string{"healthy", "delayed", "deaf", "mute", "silent", "refusing"}[h]
}

// relayDelay is how late a delayed relay passes bytes on, more than a round trip
// between regions.
const relayDelay = 150 * time.Millisecond

// relayBuffer is the size of one read, in bytes.
const relayBuffer = 16 << 10

// Relay is a loopback proxy that harms the connections through it. A connection
// whose bytes were dropped stays harmed: the bytes are lost for good.
type Relay struct {
	target   string
	listener net.Listener

	mu      sync.Mutex
	harm    Harm
	entered map[net.Conn]struct{}
}

// StartRelay listens on a loopback address, with a port of the kernel's choice
// where the port is zero, and returns a function that ends the relay.
func StartRelay(listen, target string) (*Relay, func(), error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for relay: %w", err)
	}
	r := &Relay{target: target, listener: listener, entered: make(map[net.Conn]struct{})}
	go r.accept()
	return r, func() {
		_ = listener.Close()
		r.reset()
	}, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set changes what the relay does, also to open connections.
func (r *Relay) Set(harm Harm) {
	r.mu.Lock()
	r.harm = harm
	r.mu.Unlock()
	if harm == Refusing {
		r.reset()
	}
}

func (r *Relay) current() Harm {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.harm
}

// reset breaks all open connections.
func (r *Relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.entered {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Closing then sends a reset in place of the end of the stream.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *Relay) serve(client net.Conn) {
	defer r.forget(client)
	if r.remember(client) == Refusing {
		r.reset()
		return
	}
	server, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil {
		return
	}
	defer r.forget(server)
	r.remember(server)
	var copying sync.WaitGroup
	copying.Go(func() { r.pass(server, client, Deaf) })
	copying.Go(func() { r.pass(client, server, Mute) })
	copying.Wait()
}

func (r *Relay) remember(conn net.Conn) Harm {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entered[conn] = struct{}{}
	return r.harm
}

func (r *Relay) forget(conn net.Conn) {
	r.mu.Lock()
	delete(r.entered, conn)
	r.mu.Unlock()
	_ = conn.Close()
}

// pass copies from one side to the other until either ends. Drops names the harm
// that cuts this direction.
func (r *Relay) pass(to, from net.Conn, drops Harm) {
	// The other direction ends with this one.
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, relayBuffer)
	cut := false
	for {
		n, err := from.Read(buffer)
		harm := r.current()
		cut = cut || harm == drops || harm == Silent
		if harm == Delayed {
			time.Sleep(relayDelay)
		}
		if n > 0 && !cut {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if cut && err == io.EOF {
				// The other side does not learn of the end of a cut connection.
				r.linger()
			}
			return
		}
	}
}

// linger keeps a cut connection open until the relay heals.
func (r *Relay) linger() {
	for r.current() != Healthy {
		time.Sleep(relayDelay)
	}
}
