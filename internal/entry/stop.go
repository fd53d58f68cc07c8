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
	// lastLook is how long a session of a stopping host waits for a statement that
	// is on its way: several round trips to a client.
	lastLook = 50 * time.Millisecond
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
		for _, s := range open {
			if s.interrupt() {
				time.Sleep(closePause)
			}
		}
		time.Sleep(tickTime)
	}
	_ = listener.Close()
	h.Log.Info().Int("sessions", len(h.open.all())).Dur("took", h.Clock.Now().Sub(start)).Msg("host stopped")
}

// interrupt ends the wait of a session that is between operations and reports
// whether it did. The session itself closes the connection once it has looked for
// a statement that has arrived meanwhile, so that none is read and not answered.
func (s *session) interrupt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.woken || s.serving || s.transaction != nil {
		return false
	}
	s.woken = s.caller.Interrupt()
	return s.woken
}
