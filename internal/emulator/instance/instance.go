package instance

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/xdg-go/scram"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Options describe an instance.
type Options struct {
	// Name identifies the instance as the writer of a timeline. It must be
	// unique among the instances of a group.
	Name string
	// Address and Control are the host:port of the database listener and of
	// the control listener, 127.0.0.1:0 by default.
	Address string
	Control string
	// Source is the control address of the primary that a replica follows. An
	// instance without one starts as a primary unless Replica is set.
	Source  string
	Replica bool
	// Rebuild makes the instance rewind itself where it is told to follow a
	// primary whose log does not continue its own, as an operator's tool would.
	Rebuild bool
	// User is the only user; any user is accepted if it is empty. Connections
	// are trusted if Password is empty.
	User     string
	Password string
	// TLS holds the certificate; without it TLS is declined.
	TLS *tls.Config
	// Faults are the initial faults. The zero value has none, and new
	// connections cost nothing; DefaultFaults has the usual cost.
	Faults Faults
	Log    zerolog.Logger
}

// DefaultFaults returns the limits and costs of an instance without faults.
func DefaultFaults() Faults { return Faults{Cost: DefaultCost} }

// Instance is a running emulator.
type Instance struct {
	options  Options
	engine   *Engine
	scram    *scram.Server
	listener net.Listener
	control  net.Listener
	server   *http.Server
	replicas replicaListener
	started  time.Time
	ctx      context.Context // ends with the instance
	stop     context.CancelFunc
	slots    semaphore
	wait     sync.WaitGroup

	mu          sync.Mutex
	faults      Faults
	lastPID     uint32
	connections map[uint32]*connection
	admitted    int
	highest     int
	refused     int
}

// New listens on both addresses. Run serves them. The returned function ends
// the instance and all its connections; it returns when they have ended.
func New(options Options) (*Instance, func(), error) {
	i := &Instance{
		options:     options,
		engine:      NewEngine(options.Name, options.Source == "" && !options.Replica),
		connections: make(map[uint32]*connection),
		started:     time.Now(),
	}
	if options.Password != "" {
		server, err := newServer(options.User, options.Password)
		if err != nil {
			return nil, nil, err
		}
		i.scram = server
	}
	if err := i.SetFaults(options.Faults); err != nil {
		return nil, nil, err
	}
	if err := i.listen(); err != nil {
		return nil, nil, err
	}
	i.ctx, i.stop = context.WithCancel(context.Background())
	i.server = &http.Server{Handler: i.handler(), BaseContext: func(net.Listener) context.Context { return i.ctx }}
	i.engine.Follow(options.Source, false)
	return i, i.close, nil
}

func (i *Instance) listen() error {
	listener, err := net.Listen("tcp", orLoopback(i.options.Address))
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	control, err := net.Listen("tcp", orLoopback(i.options.Control))
	if err != nil {
		_ = listener.Close()
		return fmt.Errorf("listen for control: %w", err)
	}
	i.listener, i.control = listener, control
	i.replicas = newReplicaListener(listener.Addr())
	return nil
}

// orLoopback returns address, or any free port of the loopback interface.
func orLoopback(address string) string {
	if address == "" {
		return "127.0.0.1:0"
	}
	return address
}

// Address returns the host:port of the database listener.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// ControlAddress returns the host:port of the control listener.
func (i *Instance) ControlAddress() string { return i.control.Addr().String() }

// Engine returns the tables and the log.
func (i *Instance) Engine() *Engine { return i.engine }

// Run serves clients, control requests and replication until ctx ends or the
// instance is closed.
func (i *Instance) Run(ctx context.Context) error {
	detach := context.AfterFunc(ctx, i.close)
	defer detach()
	i.start(i.serveControl)
	i.start(i.serveReplicas)
	i.start(i.follow)
	i.start(i.replay)
	for {
		conn, err := i.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		if !i.start(func() { i.serve(conn) }) {
			_ = conn.Close()
		}
	}
}

// start runs f in a goroutine that close waits for. It reports false, without
// running f, once the instance is closed.
func (i *Instance) start(f func()) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ctx.Err() != nil {
		return false
	}
	i.wait.Add(1)
	go func() {
		defer i.wait.Done()
		f()
	}()
	return true
}

func (i *Instance) close() {
	i.mu.Lock()
	i.stop()
	i.mu.Unlock()
	_ = i.listener.Close()
	_ = i.server.Close()
	_ = i.control.Close()
	_ = i.replicas.Close()
	i.terminateAll()
	i.wait.Wait()
}

// now returns the time since the instance started, the engine's clock.
func (i *Instance) now() proxy.Instant { return proxy.Instant(time.Since(i.started)) }

// serve runs one client connection.
func (i *Instance) serve(conn net.Conn) {
	// A client that sends nothing must not keep the instance from closing.
	accepted := conn
	stop := context.AfterFunc(i.ctx, func() { _ = accepted.Close() })
	defer stop()
	conn, isReplica := i.replicas.sort(conn)
	if isReplica {
		return
	}
	defer func() { _ = conn.Close() }()
	if i.Faults().Refuse {
		reset(conn)
		return
	}
	c := i.connect(conn)
	defer i.disconnect(c)
	err := c.establish()
	if err == nil {
		err = c.serve()
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, errCancelRequest) {
		i.options.Log.Debug().Err(err).Uint32("pid", c.pid).Msg("connection ended")
	}
}

// reset makes the close of conn a TCP reset.
func reset(conn net.Conn) {
	if peeked, ok := conn.(*peekedConn); ok {
		conn = peeked.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// connect registers a new connection.
func (i *Instance) connect(conn net.Conn) *connection {
	c := &connection{
		instance: i,
		client:   &clientConn{Conn: conn},
		secret:   make([]byte, secretSize),
		prepared: make(map[string]*prepared),
		portals:  make(map[string]*portal),
		reported: make(map[string]string),
	}
	_, _ = rand.Read(c.secret)
	c.attach(c.client)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastPID++
	c.pid = i.lastPID
	c.session = &session{
		engine:     i.engine,
		slots:      &i.slots,
		pid:        c.pid,
		block:      blockIdle,
		limit:      func() string { return strconv.Itoa(i.Faults().Connections) },
		ended:      func() { clear(c.portals) },
		deallocate: c.deallocate,
	}
	i.connections[c.pid] = c
	if i.ctx.Err() != nil {
		_ = conn.Close()
	}
	return c
}

// admit counts a connection that has authenticated and refuses it above the
// limit. The highest count includes refused connections, so that it shows by
// how much the clients exceeded the limit.
func (i *Instance) admit(c *connection) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.admitted++
	c.counted = true
	i.highest = max(i.highest, i.admitted)
	if limit := i.faults.Connections; limit > 0 && i.admitted > limit {
		i.refused++
		return errorf(proxy.TooManyConnections, "sorry, too many clients already")
	}
	return nil
}

func (i *Instance) disconnect(c *connection) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.connections, c.pid)
	if c.counted {
		i.admitted--
	}
}

// cancel interrupts the statement of a connection if the key is right.
func (i *Instance) cancel(pid uint32, key []byte) {
	i.mu.Lock()
	c := i.connections[pid]
	i.mu.Unlock()
	if c != nil && c.isSecret(key) {
		c.interrupt(errCanceled)
	}
}

// terminateAll closes all client connections.
func (i *Instance) terminateAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.connections {
		c.terminate()
	}
}

// replay applies received records when their lag has passed.
func (i *Instance) replay() {
	for i.ctx.Err() == nil {
		changed := i.engine.Changed()
		due, pending := i.engine.Replay(i.now())
		var timer <-chan time.Time
		if pending {
			timer = time.After(due.Sub(i.now()))
		}
		select {
		case <-changed:
		case <-timer:
		case <-i.ctx.Done():
		}
	}
}
