package entry

import (
	"net"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
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
	stopMargin = 200 * time.Millisecond
	// lastAnswerMargin is how long before its end a stopping host gives up on instances, so
	// that it still answers the statements that wait for them.
	lastAnswerMargin = 300 * time.Millisecond
	// lastStatementTime is the least time that a stopping host leaves an instance for a
	// statement. It refuses statements for which less is left.
	lastStatementTime = 400 * time.Millisecond
	// closeSpan is the time over which the closing of idle sessions is spread, and
	// maxCloseInterval the longest pause between two, so that their clients do not all
	// reconnect at the same time.
	closeSpan        = 700 * time.Millisecond
	maxCloseInterval = 20 * time.Millisecond
	// finalReadTimeout is how long a session of a stopping host waits for a statement
	// that the client may already have sent: several round trips to a client.
	finalReadTimeout = 50 * time.Millisecond
)

// stopSchedule holds the instants of a graceful stop.
type stopSchedule struct {
	// refuseFrom is from when statements are refused that an instance would have to run,
	// answerBy when the host gives up on the statements that instances are running, and end
	// when the host ends.
	refuseFrom, answerBy, end proxy.Instant
}

func newStopSchedule(start proxy.Instant, grace time.Duration) *stopSchedule {
	end := start.Add(grace - stopMargin)
	answerBy := end.Add(-lastAnswerMargin)
	return &stopSchedule{
		refuseFrom: max(answerBy.Add(-lastStatementTime), start.Add(grace/2)), answerBy: answerBy, end: end,
	}
}

// limitDeadline returns the deadline, or the earlier instant by which a stopping host gives
// up on a statement.
func (h *Host) limitDeadline(deadline proxy.Instant) proxy.Instant {
	if s := h.stopSchedule.Load(); s != nil {
		return min(deadline, s.answerBy)
	}
	return deadline
}

// refusesStatements reports whether the host is about to end and sends no statements to
// instances any more.
func (h *Host) refusesStatements() bool {
	s := h.stopSchedule.Load()
	return s != nil && h.Clock.Now() >= s.refuseFrom
}

// stopRefusal is the reason for the refusals of a host that is about to end.
const stopRefusal = "host is about to stop"

// stop ends the host gracefully: it makes the readiness probe fail and serves until the
// load balancer sends no new connections. Then it closes sessions when they are between
// operations, and waits for open transactions, for the commands of other hosts and for the
// failovers that it coordinates, since another host would only take them over after a
// time. Before the end it refuses what an instance would not finish in time, so that each
// statement that was read is answered.
func (h *Host) stop(listener net.Listener) {
	start := h.Clock.Now()
	schedule := newStopSchedule(start, h.Settings.Grace)
	h.stopSchedule.Store(schedule)
	h.stopping.Store(true)
	h.Log.Info().Int("sessions", len(h.open.list())).Msg("host stops")
	time.Sleep(handoverDelay)
	// Other hosts hold the connections from now on and need room for them.
	closeAll(h.table.CloseIdle())
	time.Sleep(min(deregistrationDelay, h.Settings.Grace/2) - handoverDelay)
	h.closing.Store(true)
	_ = listener.Close()
	for h.Clock.Now() < schedule.end {
		open := h.open.list()
		if len(open) == 0 && h.opening.Load() == 0 && h.forwardServer.Active() == 0 && !h.clusterState.coordinating() {
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
	h.Log.Info().Int("sessions", len(h.open.list())).Int64("commands", h.forwardServer.Active()).
		Dur("took", h.Clock.Now().Sub(start)).Msg("host stopped")
}

// interrupt ends the wait of a session that is between operations, or of any session that
// waits while the host refuses statements, and reports whether it did. The session then
// checks once more for an arrived statement before it closes the connection, so that each
// statement that was read is answered.
func (s *session) interrupt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.interruptSent || s.serving || s.transaction != nil && !s.host.refusesStatements() {
		return false
	}
	s.interruptSent = s.clientConn.Interrupt()
	return s.interruptSent
}
