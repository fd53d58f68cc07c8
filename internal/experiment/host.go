package experiment

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/daemon"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Limits of a host's graceful shutdown. A host that exceeds stopTimeout is
// reported and abandoned, so that the run still ends.
const (
	grace       = 5 * time.Second
	stopTimeout = grace + 5*time.Second
)

// host is a running entry host as its clients reach it.
type host struct {
	id      proxy.HostID
	address string
	stop    context.CancelFunc
	abort   func()

	mu    sync.Mutex
	gone  bool
	conns map[net.Conn]struct{}
}

func hostID(i int) proxy.HostID { return proxy.HostID(fmt.Sprintf("host-%d", i+1)) }

// The range of the hosts' ports lies below the ports that systems give to
// outgoing connections. The settings require a port, and one that was free for
// a listener a moment ago may have been given to a connection since.
const (
	firstPort = 21_000
	lastPort  = 31_000
)

// freeAddress returns an address on loopback that is free.
func (n *installation) freeAddress() (string, error) {
	for n.port = max(n.port, firstPort-1); n.port < lastPort; {
		n.port++
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", n.port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return listener.Addr().String(), nil
	}
	return "", fmt.Errorf("no free port from %d to %d", firstPort, lastPort)
}

func (n *installation) startHost(ctx context.Context, id proxy.HostID, zone proxy.Zone) error {
	settings := daemon.Settings{
		Host: id, Zone: zone, Environment: n.document.Environment, Stage: proxy.Production, Platform: n.address,
		Clients: daemon.ClientSettings{
			Certificate: n.file("clients.pem"), Key: n.file("clients.key"), Limit: 20_000, Timeout: 10 * time.Second,
		},
		Fleet: daemon.FleetSettings{
			Certificate: n.file(string(id) + ".pem"), Key: n.file(string(id) + ".key"), Authority: n.file("authority.pem"),
		},
		Instances: daemon.InstancesSettings{
			User: instanceUser, Probe: 100 * time.Millisecond, Idle: 2 * time.Second, Silence: 500 * time.Millisecond, Linger: 100 * time.Millisecond,
		},
		Grace: grace,
	}
	for _, address := range []*string{&settings.Listen, &settings.Peers, &settings.Status} {
		free, err := n.freeAddress()
		if err != nil {
			return err
		}
		*address = free
	}
	if err := settings.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := n.list(ctx, proxy.HostState{ID: id, Zone: zone, Address: settings.Peers}); err != nil {
		return err
	}
	d, cleanUp, err := daemon.New(settings, n.options.Log.With().Str("host", string(id)).Logger())
	if err != nil {
		return fmt.Errorf("build: %w", err)
	}
	running, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	n.run(func() {
		defer close(ended)
		if err := d.Run(running); err != nil && !errors.Is(err, context.Canceled) {
			n.options.Log.Error().Err(err).Str("host", string(id)).Msg("host ended")
		}
	})
	n.later(func() {
		stop()
		select {
		case <-ended:
		case <-time.After(stopTimeout):
			n.stuck = append(n.stuck, id)
		}
		cleanUp()
	})
	n.hosts = append(n.hosts, &host{
		id: id, address: settings.Listen, stop: stop, abort: d.Abort, conns: make(map[net.Conn]struct{}),
	})
	return nil
}

// dial connects a client. A killed host refuses connections.
func (h *host) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	if h.killed() {
		return nil, syscall.ECONNREFUSED
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, h.address)
	if err != nil {
		return nil, fmt.Errorf("dial host %s: %w", h.id, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		_ = conn.Close()
		return nil, syscall.ECONNREFUSED
	}
	tracked := &trackedConn{Conn: conn, host: h}
	h.conns[tracked] = struct{}{}
	return tracked, nil
}

func (h *host) killed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gone
}

// kill ends the host without a word to its clients, its peers and the
// platform.
func (h *host) kill() {
	h.mu.Lock()
	h.gone = true
	conns := h.conns
	h.conns = make(map[net.Conn]struct{})
	h.mu.Unlock()
	h.abort()
	for conn := range conns {
		_ = conn.(*trackedConn).Conn.Close()
	}
}

// trackedConn is a client connection that ends with its host.
type trackedConn struct {
	net.Conn
	host *host
}

// Close closes the connection and forgets it.
func (c *trackedConn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}
