package frontend

import (
	"context"
	"crypto/rand"
	"crypto/subtle"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// A process number in BackendKeyData has 12 bits for the host and 19 bits for the
// session. The highest bit is zero, because some clients read the number as a signed
// 32-bit integer.
const (
	sessionBits = 19
	hostBits    = 12
	// MaxHosts is the number of host numbers that fit into a process number.
	MaxHosts = 1 << hostBits
)

// Lengths of the secret key in BackendKeyData, in bytes. Protocol 3.0 allows four.
const (
	secretLength30 = 4
	secretLength   = 32
)

// Canceler forwards a cancel request to the host that serves the session. An
// implementation must not log the secret.
type Canceler interface {
	Forward(ctx context.Context, host, process uint32, secret []byte) error
}

// newSecret returns a random secret key of the length that the protocol version uses.
func newSecret(version uint32) []byte {
	length := secretLength30
	if version != pgproto3.ProtocolVersion30 {
		length = secretLength
	}
	secret := make([]byte, length)
	_, _ = rand.Read(secret)
	return secret
}

// HostOf returns the number of the host that issued a process number.
func HostOf(process uint32) uint32 { return process >> sessionBits }

// freeProcess returns an unused process number. The caller must hold s.mu.
func (s *Server) freeProcess() uint32 {
	for {
		s.lastSessionNumber = (s.lastSessionNumber + 1) % (1 << sessionBits)
		process := s.Host<<sessionBits | s.lastSessionNumber
		if _, used := s.sessions[process]; !used {
			return process
		}
	}
}

// Cancel executes a cancel request for a session of this host. It reports whether
// the process number and the secret match a session. The result must not be
// disclosed to clients.
func (s *Server) Cancel(ctx context.Context, process uint32, secret []byte) bool {
	s.initialize()
	s.mu.Lock()
	session := s.sessions[process]
	s.mu.Unlock()
	if session == nil || subtle.ConstantTimeCompare(session.secret, secret) != 1 {
		return false
	}
	session.cancel(ctx, func() bool { return true })
	return true
}

// handleCancelRequest executes a client's cancel request, or forwards it to the host
// that issued the process number.
func (s *Server) handleCancelRequest(process uint32, secret []byte) {
	ctx, stop := context.WithTimeout(context.Background(), s.Limits.AuthenticationTimeout)
	defer stop()
	s.metrics.cancels.Inc(1)
	if HostOf(process) == s.Host {
		s.Cancel(ctx, process, secret)
		return
	}
	if s.Canceler == nil {
		return
	}
	if err := s.Canceler.Forward(ctx, HostOf(process), process, secret); err != nil {
		s.Logger.Warn().Err(err).Uint32("host", HostOf(process)).Msg("forwarding a cancel request failed")
	}
}

// cancel asks the instance to cancel the statement that runs on the acquired
// connection, or ends the wait for a connection. The connection is not released
// while the cancel request is in progress, so that the request cannot cancel a
// statement of the connection's next user. For the same reason stillWanted is called
// with cancelMu held: the connection cannot be released for reuse after that check.
func (s *session) cancel(ctx context.Context, stillWanted func() bool) {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	if !stillWanted() {
		return
	}
	s.mu.Lock()
	var acquired proxy.AcquiredConnection
	if s.acquired != nil && !s.acquired.closed {
		acquired = s.acquired.AcquiredConnection
	}
	if s.cancelAcquire != nil {
		s.cancelAcquire()
	}
	s.mu.Unlock()
	if acquired == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, s.server.Limits.Cancel)
	defer stop()
	defer context.AfterFunc(s.ctx, stop)()
	if err := acquired.Cancel(ctx); err != nil {
		s.server.Logger.Debug().Err(err).Msg("canceling a statement failed")
	}
}
