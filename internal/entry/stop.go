package entry

import (
	"net"
	"time"
)

// Times of a graceful stop.
const (
	// outOfRotation is how long the balancer may take to stop sending new
	// connections: two probes, one a second, and some delay.
	outOfRotation = 2500 * time.Millisecond
	// stopMargin is the time before the end of the grace time at which the host
	// ends.
	stopMargin = 400 * time.Millisecond
	// closePause spreads the closing of idle sessions, so that their clients do
	// not all return at the same moment.
	closePause = 20 * time.Millisecond
)

// stop ends the host gracefully: it reports itself not ready, closes sessions
// when they are between operations, and waits for open transactions.
func (h *Host) stop(listener net.Listener) {
	start := h.Clock.Now()
	h.stopping.Store(true)
	h.Log.Info().Int("sessions", len(h.open.all())).Msg("host stops")
	end := start.Add(h.Settings.Grace - stopMargin)
	closed := false
	for h.Clock.Now() < end {
		if !closed && h.Clock.Now().Sub(start) > outOfRotation {
			closed = true
			_ = listener.Close()
		}
		open := h.open.all()
		if closed && len(open) == 0 {
			break
		}
		for s, conn := range open {
			if s.closeIdle(conn) {
				time.Sleep(closePause)
			}
		}
		time.Sleep(tickTime)
	}
	_ = listener.Close()
	h.Log.Info().Int("sessions", len(h.open.all())).Dur("took", h.Clock.Now().Sub(start)).Msg("host stopped")
}

// closeIdle closes a session that waits for its next operation and reports
// whether it did.
func (s *session) closeIdle(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.serving || s.transaction != nil {
		return false
	}
	s.closed = true
	_ = conn.Close()
	return true
}
