package front

import (
	"context"
	"crypto/rand"
	"crypto/subtle"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// A process number in key data is positive as a signed 32-bit number, since
// some clients read it as one: 12 bits for the host, 19 bits for the session.
const (
	sessionBits = 19
	hostBits    = 12
	// MaxHosts is the number of hosts that key data can name.
	MaxHosts = 1 << hostBits
)

// Lengths of the secret in key data, in bytes. Protocol 3.0 has room for four.
const (
	secretLength30 = 4
	secretLength   = 32
)

// Canceler forwards a cancel request to the host that serves the session. The
// secret must not be logged.
type Canceler interface {
	Forward(ctx context.Context, host, process uint32, secret []byte) error
}

// newSecret draws the secret for a session of a protocol version.
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

// freeProcess returns an unused process number. The caller holds s.mu.
func (s *Server) freeProcess() uint32 {
	for {
		s.next = (s.next + 1) % (1 << sessionBits)
		process := s.Host<<sessionBits | s.next
		if _, used := s.sessions[process]; !used {
			return process
		}
	}
}

// Cancel carries out a cancel request for a session of this host. It reports
// whether the key data name one; a client is never told.
func (s *Server) Cancel(ctx context.Context, process uint32, secret []byte) bool {
	s.prepare()
	s.mu.Lock()
	session := s.sessions[process]
	s.mu.Unlock()
	if session == nil || subtle.ConstantTimeCompare(session.secret, secret) != 1 {
		return false
	}
	session.cancel(ctx, func() bool { return true })
	return true
}

// cancelRequest carries out or forwards the request of a client.
func (s *Server) cancelRequest(process uint32, secret []byte) {
	ctx, stop := context.WithTimeout(context.Background(), s.Limits.Authentication)
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
		s.Logger.Warn().Err(err).Uint32("host", HostOf(process)).Msg("forward cancel request")
	}
}

// cancel asks the instance to cancel what runs on the session's loan, or ends
// the wait for one. The loan
// is not released while the request is under way, so that it cannot reach the
// connection's next user. The wish is examined again once no release can follow.
func (s *session) cancel(ctx context.Context, wanted func() bool) {
	s.cancelling.Lock()
	defer s.cancelling.Unlock()
	if !wanted() {
		return
	}
	s.mu.Lock()
	var loan proxy.AcquiredConnection
	if s.loan != nil && !s.loan.taken {
		loan = s.loan.AcquiredConnection
	}
	if s.unlend != nil {
		s.unlend()
	}
	s.mu.Unlock()
	if loan == nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, s.server.Limits.Cancel)
	defer stop()
	defer context.AfterFunc(s.ctx, stop)()
	if err := loan.Cancel(ctx); err != nil {
		s.server.Logger.Debug().Err(err).Msg("cancel statement")
	}
}
