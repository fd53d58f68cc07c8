package frontend

import (
	"github.com/rcrowley/go-metrics"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// counters are the metrics of the client side.
type counters struct {
	accepted, rejected, cancels                       metrics.Counter
	statements, refusals, unknownOutcomes             metrics.Counter
	acquisitions, readAcquisitions, withdrawn, broken metrics.Counter
	violations                                        metrics.Counter
	unreserved                                        metrics.Counter
	ended                                             map[endReason]metrics.Counter
	sessions                                          metrics.Gauge
}

func (c *counters) register(r metrics.Registry) {
	for name, counter := range map[string]*metrics.Counter{
		"front.clients.accepted":    &c.accepted,
		"front.clients.rejected":    &c.rejected,
		"front.cancels":             &c.cancels,
		"front.statements":          &c.statements,
		"front.refusals":            &c.refusals,
		"front.outcomes.unknown":    &c.unknownOutcomes,
		"front.loans":               &c.acquisitions,
		"front.loans.read":          &c.readAcquisitions,
		"front.loans.broken":        &c.broken,
		"front.sessions.withdrawn":  &c.withdrawn,
		"front.invariants.violated": &c.violations,
		"front.memory.refused":      &c.unreserved,
	} {
		*counter = metrics.GetOrRegisterCounter(name, r)
	}
	c.ended = make(map[endReason]metrics.Counter)
	for _, reason := range []endReason{reasonMemory, reasonStalled, reasonNotReading, reasonHalfMessage, reasonShare, reasonTransaction} {
		c.ended[reason] = metrics.GetOrRegisterCounter("front.ended."+string(reason), r)
	}
	c.sessions = metrics.GetOrRegisterGauge("front.sessions", r)
}

// countRefusal counts a refusal, and separately those with an unknown outcome.
func (c *counters) countRefusal(r *proxy.Refusal) {
	c.refusals.Inc(1)
	if r.Outcome == proxy.Unknown {
		c.unknownOutcomes.Inc(1)
	}
}

// SessionStatus describes a session on the status page. It contains no key and no SQL
// text.
type SessionStatus struct {
	Process     uint32          `json:"process"`
	Address     string          `json:"address"`
	Account     proxy.AccountID `json:"account"`
	Route       proxy.RouteID   `json:"route"`
	Busy        bool            `json:"busy"`
	Transaction bool            `json:"transaction"`
}

// Sessions returns the authenticated sessions in no particular order.
func (s *Server) Sessions() []SessionStatus {
	s.initialize()
	list := s.allSessions()
	states := make([]SessionStatus, 0, len(list))
	for _, session := range list {
		states = append(states, session.statusLine())
	}
	return states
}
