package entry

import (
	"net"
	"time"
)

const (
	// deregistrationDelay is how long the load balancer may take to stop sending new
	// connections: two probes at intervals of one second, and some delay. A session that
	// is closed before is likely to come back to this host, since the load balancer
	// chooses a host by the client.
	deregistrationDelay = 2500 * time.Millisecond
	// handoverDelay is how long after the signal other hosts still send commands to this
	// one: those that have not heard yet that it is about to stop.
	handoverDelay = 200 * time.Millisecond
	// stopMargin is how long before the end of the grace time the host ends.
	stopMargin = 400 * time.Millisecond
	// closeSpan is the time over which the closing of idle sessions is spread, and
	// maxCloseInterval the longest pause between two, so that their clients do not all
	// reconnect at the same time.
	closeSpan        = 700 * time.Millisecond
	maxCloseInterval = 20 * time.Millisecond
	// finalReadTimeout is how long a session of a stopping host waits for a statement
	// that the client may already have sent: several round trips to a client.
	finalReadTimeout = 50 * time.Millisecond
)

// stop ends the host gracefully: it makes the readiness probe fail and serves until the
// load balancer sends no new connections. Then it closes sessions when they are between
// operations, and waits for open transactions, for the commands of other hosts and for the
// failovers that it coordinates, since another host would only take them over after a
// time.
func (h *Host) stop(listener net.Listener) {
	start := h.Clock.Now()
	h.stopping.Store(true)
	h.Log.Info().Int("sessions", len(h.open.list())).Msg("host stops")
	end := start.Add(h.Settings.Grace - stopMargin)
	time.Sleep(handoverDelay)
	// Other hosts hold the connections from now on and need room for them.
	closeAll(h.table.CloseIdle())
	time.Sleep(min(deregistrationDelay, h.Settings.Grace/2) - handoverDelay)
	h.closing.Store(true)
	_ = listener.Close()
	for h.Clock.Now() < end {
		open := h.open.list()
		if len(open) == 0 && h.served.Load() == 0 && !h.clusterState.coordinating() {
			break
		}
		pause := min(closeSpan/time.Duration(len(open)+1), maxCloseInterval)
		for _, s := range open {
			if s.interrupt() {
				time.Sleep(pause)
			}
		}
		time.Sleep(tickInterval)
	}
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
