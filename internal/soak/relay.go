package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// RelayMode is how a relay treats connections.
type RelayMode uint8

// Modes of a relay.
const (
	// Healthy forwards all bytes.
	Healthy RelayMode = iota
	// Delayed forwards all bytes, relayDelay late.
	Delayed
	// DropFromClient drops the bytes from clients, DropFromServer those from servers,
	// and DropBoth both. New connections are accepted.
	DropFromClient
	DropFromServer
	DropBoth
	// Resetting resets open and new connections.
	Resetting
	// relayModes is the number of modes.
	relayModes
)

func (m RelayMode) String() string {
	return [...]string{"healthy", "delayed", "deaf", "mute", "silent", "refusing"}[m]
}

// relayDelay is the delay of the mode Delayed. It exceeds a round trip between regions.
const relayDelay = 150 * time.Millisecond

// relayBufferSize is the maximum number of bytes in one read.
const relayBufferSize = 16 << 10

// Relay is a loopback proxy that impairs the connections through it. A direction of a
// connection from which bytes were dropped stays blocked, since a stream with missing
// bytes cannot continue.
type Relay struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  RelayMode
	conns map[net.Conn]struct{}
}

// StartRelay starts a relay from the loopback address listen to target. If the port of
// listen is zero, the kernel chooses one. The returned function stops the relay.
func StartRelay(listen, target string) (*Relay, func(), error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for relay: %w", err)
	}
	r := &Relay{target: target, listener: listener, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r, func() {
		_ = listener.Close()
		r.reset()
	}, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetMode changes the mode, also for open connections.
func (r *Relay) SetMode(mode RelayMode) {
	r.mu.Lock()
	r.mode = mode
	r.mu.Unlock()
	if mode == Resetting {
		r.reset()
	}
}

func (r *Relay) currentMode() RelayMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

// reset resets all open connections.
func (r *Relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Close then sends RST instead of FIN.
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
	defer r.closeConn(client)
	if r.track(client) == Resetting {
		r.reset()
		return
	}
	server, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil {
		return
	}
	defer r.closeConn(server)
	r.track(server)
	var copying sync.WaitGroup
	copying.Go(func() { r.forward(server, client, DropFromClient) })
	copying.Go(func() { r.forward(client, server, DropFromServer) })
	copying.Wait()
}

// track registers an open connection and returns the current mode.
func (r *Relay) track(conn net.Conn) RelayMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = struct{}{}
	return r.mode
}

func (r *Relay) closeConn(conn net.Conn) {
	r.mu.Lock()
	delete(r.conns, conn)
	r.mu.Unlock()
	_ = conn.Close()
}

// forward copies bytes from one side to the other until either side closes. It drops
// them in dropMode and in DropBoth.
func (r *Relay) forward(to, from net.Conn, dropMode RelayMode) {
	// Closing both sides also ends the other direction.
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, relayBufferSize)
	dropped := false
	for {
		n, err := from.Read(buffer)
		mode := r.currentMode()
		dropped = dropped || mode == dropMode || mode == DropBoth
		if mode == Delayed {
			time.Sleep(relayDelay)
		}
		if n > 0 && !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if dropped && err == io.EOF {
				// The end of the stream is dropped as well, so the other side must not
				// see it.
				r.waitUntilHealthy()
			}
			return
		}
	}
}

// waitUntilHealthy blocks until the mode is Healthy.
func (r *Relay) waitUntilHealthy() {
	for r.currentMode() != Healthy {
		time.Sleep(relayDelay)
	}
}
