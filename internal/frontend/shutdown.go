package frontend

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// forcedShutdownTimeout limits the wait for sessions after their connections were
// closed. A session that does not end by then is a fault of the program, which must
// not prevent the host from stopping.
const forcedShutdownTimeout = 15 * time.Second

// sessionCount returns the number of authenticated sessions.
func (s *Server) sessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// shutdown ends sessions at their transaction boundaries, and the remaining ones after
// the grace period. It returns when every client connection is closed, and at the
// latest forcedShutdownTimeout after the grace period.
func (s *Server) shutdown() {
	s.mu.Lock()
	s.draining = true
	for conn := range s.starting {
		_ = conn.SetDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	refusal := proxy.Refuse(proxy.AdminShutdown, "the proxy is shutting down")
	for _, session := range s.allSessions() {
		session.end(refusal, false)
	}
	ended := make(chan struct{})
	go func() {
		s.activeClients.Wait()
		close(ended)
	}()
	grace := time.NewTimer(s.Limits.Grace)
	defer grace.Stop()
	select {
	case <-ended:
		return
	case <-grace.C:
	}
	for _, session := range s.allSessions() {
		s.Logger.Warn().Uint32("process", session.process).Msg("transaction aborted by shutdown")
		session.end(refusal, true)
	}
	forced := time.NewTimer(forcedShutdownTimeout)
	defer forced.Stop()
	select {
	case <-ended:
	case <-forced.C:
		s.metrics.violations.Inc(1)
		s.Logger.Error().Int("sessions", s.sessionCount()).Msg("invariant violated: sessions have not ended after their connections were closed")
	}
}

// ReauthorizeSessions ends every session whose account key is withdrawn or deleted, or
// whose route no longer admits it. It is called when a revision has come into force.
func (s *Server) ReauthorizeSessions() {
	s.initialize()
	document, revision := s.Catalog.Current()
	for _, session := range s.allSessions() {
		if _, refusal := grantFor(document, revision, session.client); refusal != nil {
			s.metrics.withdrawn.Inc(1)
			refusal.State = proxy.InvalidAuthorization
			session.end(refusal, true)
		}
	}
}
