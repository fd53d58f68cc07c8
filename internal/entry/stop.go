package entry

import (
	"net"
	"time"
)

const (
	// deregistrationDelay is how long the load balancer may take to stop sending new
	// connections: two probes at intervals of one second, and some delay.
	deregistrationDelay = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace time the host ends.
	stopMargin = 400 * time.Millisecond
	// closeInterval is the pause between the closing of two idle sessions, so that
	// their clients do not all reconnect at the same time.
	closeInterval = 20 * time.Millisecond
	// finalReadTimeout is how long a session of a stopping host waits for a statement
	// that the client may already have sent: several round trips to a client.
	finalReadTimeout = 50 * time.Millisecond
)

// stop ends the host gracefully: it makes the readiness probe fail, closes sessions
// when they are between operations, and waits for open transactions.
func (h *Host) stop(listener net.Listener) {
	start := h.Clock.Now()
	h.stopping.Store(true)
	h.Log.Info().Int("sessions", len(h.open.list())).Msg("host stops")
	end := start.Add(h.Settings.Grace - stopMargin)
	closed := false
	for h.Clock.Now() < end {
		if !closed && h.Clock.Now().Sub(start) > deregistrationDelay {
			closed = true
			_ = listener.Close()
		}
		open := h.open.list()
		if closed && len(open) == 0 {
			break
		}
		for _, s := range open {
			if s.interrupt() {
				time.Sleep(closeInterval)
			}
		}
		time.Sleep(tickInterval)
	}
	_ = listener.Close()
	h.Log.Info().Int("sessions", len(h.open.list())).Dur("took", h.Clock.Now().Sub(start)).Msg("host stopped")
}

// interrupt ends the wait of a session that is between operations and reports whether
// it did. The session then checks once more for an arrived statement before it closes
// the connection, so that each statement that was read is answered.
func (s *session) interrupt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interruptSent || s.serving || s.transaction != nil {
		return false
	}
	s.interruptSent = s.clientConn.Interrupt()
	return s.interruptSent
}
