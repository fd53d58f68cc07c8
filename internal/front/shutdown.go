package front

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// forcedEnd limits the wait for sessions after their connections were broken. A
// session that is still there is a fault, which must not keep the host from
// stopping.
const forcedEnd = 15 * time.Second

// count returns the number of sessions.
func (s *Server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// shutdown ends sessions at their transaction boundaries, and all that remain
// after the grace period. It returns when every connection is closed, or a
// while after all were broken.
func (s *Server) shutdown() {
	s.mu.Lock()
	s.draining = true
	for conn := range s.starting {
		_ = conn.SetDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	refusal := proxy.Refuse(proxy.AdminShutdown, "the proxy is shutting down")
	for _, session := range s.all() {
		session.end(refusal, false)
	}
	done := make(chan struct{})
	go func() {
		s.served.Wait()
		close(done)
	}()
	grace := time.NewTimer(s.Limits.Grace)
	defer grace.Stop()
	select {
	case <-done:
		return
	case <-grace.C:
	}
	for _, session := range s.all() {
		s.Logger.Warn().Uint32("process", session.process).Msg("transaction broken by shutdown")
		session.end(refusal, true)
	}
	forced := time.NewTimer(forcedEnd)
	defer forced.Stop()
	select {
	case <-done:
	case <-forced.C:
		s.metrics.violations.Inc(1)
		s.Logger.Error().Int("sessions", s.count()).Msg("invariant violated: sessions that were broken have not ended")
	}
}

// Recheck ends every session whose key is withdrawn or deleted, or whose route
// no longer admits it. It is called when a revision has come into force.
func (s *Server) Recheck() {
	s.prepare()
	document, revision := s.Catalog.Current()
	for _, session := range s.all() {
		if _, refusal := permit(document, revision, session.who); refusal != nil {
			s.metrics.withdrawn.Inc(1)
			refusal.State = proxy.InvalidAuthorization
			session.end(refusal, true)
		}
	}
}
