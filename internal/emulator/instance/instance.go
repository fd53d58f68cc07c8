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
	// Rebuild makes the instance rewind itself when its source is set to a
	// primary whose log does not continue its own, as an operator's tool would.
	Rebuild bool
	// User is the only user; any user is accepted if it is empty. Connections
	// are trusted if Password is empty.
	User     string
	Password string
	// TLS holds the certificate; without it TLS is declined.
	TLS *tls.Config
	// Faults are the initial faults. The zero value has none, and a new
	// connection takes no time; DefaultFaults has the usual cost.
	Faults Faults
	Log    zerolog.Logger
}

// DefaultFaults returns the limits and costs of an instance without faults.
func DefaultFaults() Faults { return Faults{Cost: DefaultCost} }

// Instance is an emulated database instance with its listeners and connections.
type Instance struct {
	options         Options
	engine          *Engine
	scram           *scram.Server
	listener        net.Listener
	controlListener net.Listener
	server          *http.Server // of control requests
	replicas        replicaListener
	startedAt       time.Time
	ctx             context.Context // ends with the instance
	stop            context.CancelFunc
	slots           semaphore
	goroutines      sync.WaitGroup

	mu                 sync.Mutex
	faults             Faults
	lastPID            uint32
	connections        map[uint32]*connection
	authenticated      int // open connections, with those refused above the limit
	peakConnections    int
	refusedConnections int
}

// New listens on both addresses. Run serves them. The returned function closes the
// instance and all its connections and waits until they have ended.
func New(options Options) (*Instance, func(), error) {
	i := &Instance{
		options:     options,
		engine:      NewEngine(options.Name, options.Source == "" && !options.Replica),
		connections: make(map[uint32]*connection),
		startedAt:   time.Now(),
	}
	if options.Password != "" {
		server, err := newSCRAMServer(options.User, options.Password)
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
	controlListener, err := net.Listen("tcp", orLoopback(i.options.Control))
	if err != nil {
		_ = listener.Close()
		return fmt.Errorf("listen for control: %w", err)
	}
	i.listener, i.controlListener = listener, controlListener
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
func (i *Instance) ControlAddress() string { return i.controlListener.Addr().String() }

// Engine returns the engine, which holds the table and the log.
func (i *Instance) Engine() *Engine { return i.engine }

// Run serves clients, control requests and replication until ctx ends or the
// instance is closed.
func (i *Instance) Run(ctx context.Context) error {
	detach := context.AfterFunc(ctx, i.close)
	defer detach()
	i.startGoroutine(i.serveControl)
	i.startGoroutine(i.serveReplicas)
	i.startGoroutine(i.runReplication)
	i.startGoroutine(i.runReplay)
	for {
		conn, err := i.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
		if !i.startGoroutine(func() { i.serve(conn) }) {
			_ = conn.Close()
		}
	}
}

// startGoroutine runs f in a goroutine that close waits for. Once the instance is
// closed, it returns false and does not run f.
func (i *Instance) startGoroutine(f func()) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ctx.Err() != nil {
		return false
	}
	i.goroutines.Add(1)
	go func() {
		defer i.goroutines.Done()
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
	_ = i.controlListener.Close()
	_ = i.replicas.Close()
	i.terminateAll()
	i.goroutines.Wait()
}

// now returns the time since the instance started, which is the engine's clock.
func (i *Instance) now() proxy.Instant { return proxy.Instant(time.Since(i.startedAt)) }

// serve runs one client connection.
func (i *Instance) serve(conn net.Conn) {
	// A client that sends nothing must not keep the instance from closing.
	accepted := conn
	stop := context.AfterFunc(i.ctx, func() { _ = accepted.Close() })
	defer stop()
	conn, isReplica := i.replicas.routeConn(conn)
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

// reset makes the close of conn send a TCP reset.
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
		instance:     i,
		client:       &clientConn{Conn: conn},
		cancelKey:    make([]byte, cancelKeySize),
		prepared:     make(map[string]*prepared),
		portals:      make(map[string]*portal),
		lastReported: make(map[string]string),
	}
	_, _ = rand.Read(c.cancelKey)
	c.setTransport(c.client)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastPID++
	c.pid = i.lastPID
	c.session = &session{
		engine:           i.engine,
		slots:            &i.slots,
		pid:              c.pid,
		txStatus:         txIdle,
		maxConnections:   func() string { return strconv.Itoa(i.Faults().Connections) },
		onTransactionEnd: func() { clear(c.portals) },
		deallocate:       c.deallocate,
	}
	i.connections[c.pid] = c
	if i.ctx.Err() != nil {
		_ = conn.Close()
	}
	return c
}

// admit counts a connection that has authenticated and refuses it above the
// limit. The peak includes refused connections, so that it shows by how much the
// clients exceeded the limit.
func (i *Instance) admit(c *connection) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.authenticated++
	c.counted = true
	i.peakConnections = max(i.peakConnections, i.authenticated)
	if limit := i.faults.Connections; limit > 0 && i.authenticated > limit {
		i.refusedConnections++
		return errorf(proxy.TooManyConnections, "sorry, too many clients already")
	}
	return nil
}

func (i *Instance) disconnect(c *connection) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.connections, c.pid)
	if c.counted {
		i.authenticated--
	}
}

// cancel interrupts the statement of a connection if key is its cancel key.
func (i *Instance) cancel(pid uint32, key []byte) {
	i.mu.Lock()
	c := i.connections[pid]
	i.mu.Unlock()
	if c != nil && c.hasCancelKey(key) {
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

// runReplay replays received records when their lag has passed.
func (i *Instance) runReplay() {
	for i.ctx.Err() == nil {
		changed := i.engine.Changed()
		replayAt, pending := i.engine.Replay(i.now())
		var timer <-chan time.Time
		if pending {
			timer = time.After(replayAt.Sub(i.now()))
		}
		select {
		case <-changed:
		case <-timer:
		case <-i.ctx.Done():
		}
	}
}
