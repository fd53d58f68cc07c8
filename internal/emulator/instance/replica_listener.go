package instance

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
)

// replicaListener passes the connections of replicas to the HTTP server for
// replication requests. They arrive at the database listener, as the connections of
// PostgreSQL's replicas do.
type replicaListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	// close closes the channel closed. It does so only once, because the HTTP
	// server closes its listener from two goroutines.
	close func()
}

func newReplicaListener(address net.Addr) replicaListener {
	closed := make(chan struct{})
	closeOnce := sync.OnceFunc(func() { close(closed) })
	return replicaListener{address: address, conns: make(chan net.Conn), closed: closed, close: closeOnce}
}

// Accept implements net.Listener.
func (l replicaListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l replicaListener) Close() error {
	l.close()
	return nil
}

// Addr implements net.Listener.
func (l replicaListener) Addr() net.Addr { return l.address }

// routeConn passes the connection of a replica to Accept and returns true. It
// returns the connection of a client and false. It tells them apart by the first
// byte: an HTTP request starts with a letter, and a startup message with the high
// byte of its length, which is zero.
func (l replicaListener) routeConn(conn net.Conn) (net.Conn, bool) {
	reader := bufio.NewReader(conn)
	first, err := reader.Peek(1)
	peeked := &peekedConn{Conn: conn, reader: reader}
	if err != nil || first[0] != 'G' {
		return peeked, false
	}
	select {
	case l.conns <- peeked:
	case <-l.closed:
		_ = conn.Close()
	}
	return peeked, true
}

// peekedConn is a connection from which bytes have been read ahead into reader.
type peekedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *peekedConn) Read(b []byte) (int, error) { return c.reader.Read(b) }

// serveReplicas serves replication requests that arrive at the database
// listener until the instance is closed.
func (i *Instance) serveReplicas() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /segments", i.getSegments)
	mux.HandleFunc("GET /log", i.getLog)
	server := &http.Server{Handler: mux, BaseContext: i.server.BaseContext}
	go func() {
		<-i.ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(i.replicas); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		i.options.Log.Error().Err(err).Msg("replication listener failed")
	}
}
