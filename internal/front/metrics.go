package front

import (
	"github.com/rcrowley/go-metrics"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// counters are the metrics of the client side.
type counters struct {
	accepted, rejected, cancels     metrics.Counter
	statements, refusals, unknown   metrics.Counter
	loans, reads, withdrawn, broken metrics.Counter
	violations                      metrics.Counter
	sessions                        metrics.Gauge
}

func (c *counters) register(r metrics.Registry) {
	for name, counter := range map[string]*metrics.Counter{
		"front.clients.accepted":    &c.accepted,
		"front.clients.rejected":    &c.rejected,
		"front.cancels":             &c.cancels,
		"front.statements":          &c.statements,
		"front.refusals":            &c.refusals,
		"front.outcomes.unknown":    &c.unknown,
		"front.loans":               &c.loans,
		"front.loans.read":          &c.reads,
		"front.loans.broken":        &c.broken,
		"front.sessions.withdrawn":  &c.withdrawn,
		"front.invariants.violated": &c.violations,
	} {
		*counter = metrics.GetOrRegisterCounter(name, r)
	}
	c.sessions = metrics.GetOrRegisterGauge("front.sessions", r)
}

// refused counts a refusal by its outcome.
func (c *counters) refused(r *proxy.Refusal) {
	c.refusals.Inc(1)
	if r.Outcome == proxy.Unknown {
		c.unknown.Inc(1)
	}
}

// SessionState is one line of the status page. It holds no key and no SQL text.
type SessionState struct {
	Process     uint32          `json:"process"`
	Address     string          `json:"address"`
	Account     proxy.AccountID `json:"account"`
	Route       proxy.RouteID   `json:"route"`
	Busy        bool            `json:"busy"`
	Transaction bool            `json:"transaction"`
}

// Sessions returns the authenticated sessions in no order.
func (s *Server) Sessions() []SessionState {
	s.prepare()
	list := s.all()
	states := make([]SessionState, 0, len(list))
	for _, session := range list {
		states = append(states, session.describeState())
	}
	return states
}
