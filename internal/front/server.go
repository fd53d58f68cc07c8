package front

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Server accepts clients. Its exported fields are set before Run.
type Server struct {
	Catalog   proxy.Catalog
	Limiter   proxy.Limiter
	Acquirer  proxy.Acquirer
	Positions proxy.Positions
	Clock     proxy.Clock
	// TLS returns the configuration for a new connection, so that a renewed
	// certificate is used at once. Without it the server speaks plain text only.
	TLS func() *tls.Config
	// PlainOpen permits connections without TLS on open routes.
	PlainOpen bool
	// Host is this host's number in key data, below MaxHosts.
	Host uint32
	// Canceler forwards cancel requests for other hosts. Without it they are
	// ignored.
	Canceler Canceler
	// Parameters are reported to clients at startup, besides the defaults.
	Parameters map[string]string
	// Secret salts the exchange with unknown keys. Hosts with the same secret
	// answer alike; a random one is used where it is empty.
	Secret   []byte
	Logger   zerolog.Logger
	Registry metrics.Registry
	Limits   Limits

	metrics counters
	once    sync.Once

	mu       sync.Mutex
	starting map[net.Conn]struct{}
	sessions map[uint32]*session // by the process number in the key data
	next     uint32
	draining bool
	served   sync.WaitGroup
}

func (s *Server) prepare() {
	s.once.Do(func() {
		s.Limits.fill()
		if len(s.Secret) == 0 {
			s.Secret = make([]byte, secretLength)
			_, _ = rand.Read(s.Secret)
		}
		if s.Registry == nil {
			s.Registry = metrics.NewRegistry()
		}
		s.metrics.register(s.Registry)
		s.starting = make(map[net.Conn]struct{})
		s.sessions = make(map[uint32]*session)
	})
}

// Run accepts clients from the listener until ctx ends, then shuts down: it
// closes the listener, ends sessions at their next transaction boundary, and
// breaks what still runs after the grace period. It returns nil after a
// shutdown and the listener's error otherwise.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	s.prepare()
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
			s.Logger.Warn().Err(err).Msg("accept client")
			time.Sleep(acceptPause)
			continue
		}
		s.served.Add(1)
		go s.serve(conn)
	}
}

// acceptPause lets connections end after a lack of resources.
const acceptPause = 20 * time.Millisecond

// isTemporary reports errors that concern one connection or pass when others
// have ended.
func isTemporary(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// serve runs one client connection to its end.
func (s *Server) serve(conn net.Conn) {
	defer s.served.Done()
	defer func() { _ = conn.Close() }()
	s.metrics.accepted.Inc(1)
	if !s.enter(conn) {
		s.metrics.rejected.Inc(1)
		return
	}
	session, err := s.start(conn)
	s.leave(conn)
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

// enter notes a client that is not authenticated yet. It reports false where
// there are as many as may be sessions, or the server is shutting down.
func (s *Server) enter(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || len(s.starting) >= s.Limits.Sessions {
		return false
	}
	s.starting[conn] = struct{}{}
	_ = conn.SetDeadline(time.Now().Add(s.Limits.Authentication))
	return true
}

// leave ends the startup of a client. A session has no deadline.
func (s *Server) leave(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.starting, conn)
}

// register enters a session and gives it its key data.
func (s *Server) register(session *session) *proxy.Refusal {
	var id [8]byte
	_, _ = rand.Read(id[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return proxy.Refuse(proxy.AdminShutdown, "the proxy is shutting down")
	}
	if len(s.sessions) >= s.Limits.Sessions {
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

// all returns the sessions at this moment.
func (s *Server) all() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*session, 0, len(s.sessions))
	for _, session := range s.sessions {
		list = append(list, session)
	}
	return list
}
