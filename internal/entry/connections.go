package entry

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ownDescriptors is the number of file descriptors kept for files and for connections
	// that the host opens.
	ownDescriptors = 100
	// maxProbeConnections and maxMetricsConnections limit the connections to the addresses
	// for probes and metrics.
	maxProbeConnections   = 64
	maxMetricsConnections = 32
	// relayConnectionsPerHost limits the connections to the relay: a follower needs one for
	// each kind of object, and others while it replaces them. minRelayConnections is for
	// hosts that are not known yet.
	relayConnectionsPerHost = 8
	minRelayConnections     = 64

	// clientBufferSize is the size in bytes of the kernel's buffers for a client connection, in
	// each direction.
	clientBufferSize = 64 << 10

	// headerTimeout limits the time to read the header of a request, requestTimeout that to
	// read a request, responseTimeout that to accept a response, which can be the whole
	// configuration over a slow link, and idleTimeout the time between requests.
	headerTimeout   = 2 * time.Second
	requestTimeout  = 10 * time.Second
	responseTimeout = 30 * time.Second
	idleTimeout     = 30 * time.Second
	// maxHeaderSize limits the header of a request, in bytes. The HTTP server adds 4 KiB.
	maxHeaderSize = 4 << 10
	// relayMemoryWait is how long a response to a follower waits for memory.
	relayMemoryWait = time.Second
)

// clientRoom returns the number of clients that the host may accept; zero for no limit.
func (h *Host) clientRoom() int64 {
	if h.Settings.Descriptors <= reservedDescriptors {
		return 0
	}
	limit := int64(h.Settings.Descriptors - reservedDescriptors)
	return max(min(limit, int64(h.Settings.Descriptors-ownDescriptors)-h.otherConnections.Load()), 1)
}

// otherRoom returns the number of connections of others than clients that the host may
// accept: the descriptors reserved for them, and half of those that clients don't use. Zero
// means no limit.
func (h *Host) otherRoom() int64 {
	if h.Settings.Descriptors <= reservedDescriptors {
		return 0
	}
	unused := int64(h.Settings.Descriptors-reservedDescriptors) - h.openClients.Load()
	return reservedDescriptors - ownDescriptors + max(unused, 0)/2
}

// relayRoom returns the number of connections that the relay may accept.
func (h *Host) relayRoom() int64 {
	h.clusterState.mu.Lock()
	defer h.clusterState.mu.Unlock()
	return max(int64(relayConnectionsPerHost*len(h.clusterState.members)), minRelayConnections)
}

// limitedListener closes accepted connections beyond a limit.
type limitedListener struct {
	net.Listener
	host *Host
	// limit returns the number of connections to this listener; nil for no limit of its own.
	limit func() int64
	open  atomic.Int64
}

// limitConnections returns a listener whose connections keep to a limit and to the host's
// descriptors.
func (h *Host) limitConnections(listener net.Listener, limit func() int64) net.Listener {
	return &limitedListener{Listener: listener, host: h, limit: limit}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		room := l.host.otherRoom()
		full := room > 0 && l.host.otherConnections.Load() >= room || l.limit != nil && l.open.Load() >= l.limit()
		if full {
			l.host.Metrics.connectionsRefused.Inc(1)
			_ = conn.Close()
			continue
		}
		l.open.Add(1)
		l.host.otherConnections.Add(1)
		return &limitedConn{Conn: conn, leave: sync.OnceFunc(func() {
			l.open.Add(-1)
			l.host.otherConnections.Add(-1)
		})}, nil
	}
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	leave func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.leave()
	if err := c.Conn.Close(); err != nil {
		return fmt.Errorf("close: %w", err)
	}
	return nil
}

// reserveResponse accounts for a response to a follower until the returned function is
// called. It returns false if there is no memory for it after a while.
func (h *Host) reserveResponse(r *http.Request, size int64) (func(), bool) {
	holder := h.Memory.Join(h.Clock.Now(), func() {})
	holder.SetServing(h.Clock.Now(), true)
	for end := h.Clock.Now().Add(relayMemoryWait); !holder.Resize(h.Clock.Now(), size); {
		if h.Clock.Now() >= end || r.Context().Err() != nil {
			holder.Leave()
			return nil, false
		}
		time.Sleep(tickInterval)
	}
	return holder.Leave, true
}

// responseSize returns the size of the objects in a response to a follower, in bytes.
func responseSize(r RelayResponse) int64 {
	size := 0
	for _, c := range r.Changes {
		size += len(c.Spec) + len(c.Compressed)
	}
	return int64(size)
}
