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

// Limits of a host's graceful shutdown. A host that exceeds stopTimeout is reported,
// and the run ends without waiting for it.
const (
	grace       = 5 * time.Second
	stopTimeout = grace + 5*time.Second
)

// host is a running entry host and the client connections to it.
type host struct {
	id      proxy.HostID
	address string
	stop    context.CancelFunc
	abort   func()

	mu     sync.Mutex
	killed bool
	conns  map[net.Conn]struct{}
}

func hostID(i int) proxy.HostID { return proxy.HostID(fmt.Sprintf("host-%d", i+1)) }

// Range of the hosts' ports. The settings require a fixed port, so a free one is found
// before the host listens on it. The range lies below the usual ephemeral ports, since
// an outgoing connection may take an ephemeral port in between.
const (
	firstPort = 21_000
	lastPort  = 31_000
)

// freeAddress returns a loopback address with a free port that it did not return
// before.
func (n *installation) freeAddress() (string, error) {
	for n.lastTriedPort = max(n.lastTriedPort, firstPort-1); n.lastTriedPort < lastPort; {
		n.lastTriedPort++
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", n.lastTriedPort))
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
			Certificate: n.certificateFile("clients.pem"), Key: n.certificateFile("clients.key"),
			Limit: 20_000, Timeout: 10 * time.Second,
		},
		Fleet: daemon.FleetSettings{
			Certificate: n.certificateFile(string(id) + ".pem"), Key: n.certificateFile(string(id) + ".key"),
			Authority: n.certificateFile("authority.pem"),
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
	if err := n.registerHost(ctx, proxy.HostState{ID: id, Zone: zone, Address: settings.Peers}); err != nil {
		return err
	}
	d, cleanUp, err := daemon.New(settings, n.options.Log.With().Str("host", string(id)).Logger())
	if err != nil {
		return fmt.Errorf("build: %w", err)
	}
	hostCtx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	n.startGoroutine(func() {
		defer close(ended)
		if err := d.Run(hostCtx); err != nil && !errors.Is(err, context.Canceled) {
			n.options.Log.Error().Err(err).Str("host", string(id)).Msg("host ended")
		}
	})
	n.onClose(func() {
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

// dial connects a client to the host, whatever address is requested. A killed host
// refuses the connection.
func (h *host) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	if h.isKilled() {
		return nil, syscall.ECONNREFUSED
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, h.address)
	if err != nil {
		return nil, fmt.Errorf("dial host %s: %w", h.id, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.killed {
		_ = conn.Close()
		return nil, syscall.ECONNREFUSED
	}
	tracked := &trackedConn{Conn: conn, host: h}
	h.conns[tracked] = struct{}{}
	return tracked, nil
}

func (h *host) isKilled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed
}

// kill stops the host abruptly: neither its clients nor its peers nor the platform are
// notified.
func (h *host) kill() {
	h.mu.Lock()
	h.killed = true
	conns := h.conns
	h.conns = make(map[net.Conn]struct{})
	h.mu.Unlock()
	h.abort()
	for conn := range conns {
		_ = conn.(*trackedConn).Conn.Close()
	}
}

// trackedConn is a client connection that is closed when its host is killed.
type trackedConn struct {
	net.Conn
	host *host
}

// Close closes the connection and removes it from its host's list.
func (c *trackedConn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}
