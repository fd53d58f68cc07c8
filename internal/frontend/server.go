package frontend

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/budget"
)

// Server accepts clients and runs their sessions. Its exported fields must be set
// before Run is called.
type Server struct {
	Catalog   proxy.Catalog
	Limiter   proxy.Limiter
	Acquirer  proxy.Acquirer
	Positions proxy.Positions
	Clock     proxy.Clock
	// TLS returns the configuration for each new connection, so that a renewed
	// certificate is used at once. If it is nil, the server does not support TLS.
	TLS func() *tls.Config
	// AllowPlaintextOnOpenRoutes permits connections without TLS on open routes, even
	// if the server supports TLS.
	AllowPlaintextOnOpenRoutes bool
	// Host is the host's number in the process numbers that it issues. It is less than
	// MaxHosts.
	Host uint32
	// Canceler forwards cancel requests for sessions of other hosts. If it is nil,
	// they are ignored.
	Canceler Canceler
	// Parameters are reported to clients at startup, in addition to the default
	// parameters or in place of them.
	Parameters map[string]string
	// MockAuthSecret is the secret from which the salt of the SCRAM exchange with an
	// unknown account key is derived. Hosts with the same secret use the same salt. If
	// it is empty, a random secret is used.
	MockAuthSecret []byte
	// Budget is the memory that the connections share; nil does not limit it.
	Budget   *budget.Budget
	Logger   zerolog.Logger
	Registry metrics.Registry
	Limits   Limits

	metrics  counters
	endedLog zerolog.Logger // bounded
	once     sync.Once

	mu                sync.Mutex
	starting          map[*client]struct{} // not authenticated yet
	sessions          map[uint32]*session  // by process number
	lastSessionNumber uint32
	draining          bool
	lastStallScan     atomic.Int64 // proxy.Instant
	activeClients     sync.WaitGroup
}

// initialize sets the defaults of the exported fields. Only its first call has an
// effect.
func (s *Server) initialize() {
	s.once.Do(func() {
		s.Limits.fill()
		if len(s.MockAuthSecret) == 0 {
			s.MockAuthSecret = make([]byte, secretLength)
			_, _ = rand.Read(s.MockAuthSecret)
		}
		if s.Registry == nil {
			s.Registry = metrics.NewRegistry()
		}
		if s.Budget == nil {
			s.Budget = &budget.Budget{}
		}
		s.Limits.fit(s.Budget)
		s.metrics.register(s.Registry)
		s.endedLog = s.Logger.Sample(&zerolog.BurstSampler{Burst: endedLogBurst, Period: time.Second})
		s.starting = make(map[*client]struct{})
		s.sessions = make(map[uint32]*session)
	})
}

// Run accepts clients from the listener until ctx ends, then shuts down: it
// closes the listener, ends sessions at their next transaction boundary, and
// aborts the sessions that remain after the grace period. It returns nil after
// a shutdown, and the listener's error otherwise.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	s.initialize()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := s.accept(ctx, listener)
	s.shutdown()
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("accept clients: %w", err)
}

func (s *Server) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if !isTemporary(err) || ctx.Err() != nil {
				return fmt.Errorf("listener: %w", err)
			}
			s.Logger.Warn().Err(err).Msg("accepting a client failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.metrics.accepted.Inc(1)
		c, leave, ok := s.newClient(conn)
		if !ok || !s.awaitStartup(ctx, c) {
			s.metrics.rejected.Inc(1)
			leave()
			_ = conn.Close()
			continue
		}
		s.activeClients.Add(1)
		go s.serve(c, leave)
	}
}

// acceptRetryDelay gives connections time to end if accept fails for lack of
// resources.
const acceptRetryDelay = 20 * time.Millisecond

// isTemporary reports whether an error of accept concerns only one connection, or may
// disappear when other connections have ended.
func isTemporary(err error) bool {
	for _, temporary := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
	} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// serve serves one client connection until it ends.
func (s *Server) serve(c *client, leave func()) {
	defer s.activeClients.Done()
	defer leave()
	defer func() { _ = c.Close() }()
	session, err := s.startSession(c)
	s.endStartup(c)
	if err != nil {
		s.metrics.rejected.Inc(1)
		s.Logger.Debug().Err(err).Msg("client not admitted")
		return
	}
	if session == nil {
		return // a cancel request
	}
	session.run()
}

// startupRetry is the time between two attempts to begin the startup of a client.
const startupRetry = 20 * time.Millisecond

// awaitStartup waits until fewer than Limits.Starting clients are not authenticated yet, or
// one of them can be ended. Meanwhile further clients wait in the listener's queue. It
// returns false if ctx ends or the server is shutting down.
func (s *Server) awaitStartup(ctx context.Context, c *client) bool {
	for !s.beginStartup(c) {
		timing.Sleep(ctx, startupRetry)
		if ctx.Err() != nil || s.isDraining() {
			return false
		}
	}
	return true
}

// beginStartup registers a client that is not authenticated yet and sets the deadline
// of its authentication. It returns false if the server is shutting down or there are too
// many such clients.
func (s *Server) beginStartup(c *client) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.starting) >= s.Limits.Starting && !s.evictStarting() {
		return false
	}
	s.starting[c] = struct{}{}
	_ = c.SetDeadline(time.Now().Add(s.Limits.AuthenticationTimeout))
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// endStartup unregisters a client that has been authenticated or rejected.
func (s *Server) endStartup(conn *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.starting, conn)
}

// register registers a session and assigns its process number, identifier and name.
func (s *Server) register(registered *session) *proxy.Refusal {
	refusal := s.tryRegister(registered)
	if refusal != nil && refusal.State == proxy.TooManyConnections {
		s.endStalled(func(other *session, now proxy.Instant) endReason { return other.stallReason(now) })
	}
	return refusal
}

func (s *Server) tryRegister(session *session) *proxy.Refusal {
	var id [8]byte
	_, _ = rand.Read(id[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return proxy.Refuse(proxy.AdminShutdown, "the proxy is shutting down")
	}
	if len(s.sessions) >= s.Limits.Sessions && !s.evictIdle(session) {
		return proxy.Refuse(proxy.TooManyConnections, "too many client connections: at most %d", s.Limits.Sessions)
	}
	session.id = binary.BigEndian.Uint64(id[:])
	session.name = fmt.Sprintf("%x", session.id)
	session.process = s.freeProcess()
	s.sessions[session.process] = session
	return nil
}

func (s *Server) unregister(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.process)
}

// allSessions returns the current sessions.
func (s *Server) allSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.sessions))
	for _, session := range s.sessions {
		list = append(list, session)
	}
	return list
}
