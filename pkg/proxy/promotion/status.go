package promotion

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Status describes a group for operators.
type Status struct {
	Term    proxy.Term       `json:"term"`
	Primary proxy.InstanceID `json:"primary"`
	Start   proxy.Position   `json:"start"`
	Streak  uint             `json:"streak"`
	// Health is this host's view of the primary.
	Health Health `json:"health"`
	// Text tells what the host waits for; empty when the group works.
	Text string `json:"text,omitempty"`
}

// Status returns what the host knows of a group, and false if it knows nothing.
func (m *Machine) Status(now proxy.Instant, id proxy.GroupID) (Status, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[id]
	if g == nil || g.object == nil {
		return Status{}, false
	}
	s := &step{machine: m, now: now, timing: &m.settings.Timing}
	era := g.object.Era()
	return Status{
		Term:    g.object.Term,
		Primary: era.Primary,
		Start:   era.Start,
		Streak:  g.object.Streak,
		Health:  g.health(s),
		Text:    g.describe(s),
	}, true
}

// describe tells why the group has no working primary.
func (g *group) describe(s *step) string {
	era := g.object.Era()
	if !g.alarm.raised {
		return g.describeWaiting(s)
	}
	observed := g.replicas(s)
	if have, want := g.eligible(observed), g.object.Departures(); have < want {
		return fmt.Sprintf("primary %s failed; no promotion: %d of the %d replicas that must leave term %d are reachable and have reached its start %v%s",
			era.Primary, have, want, g.object.Term, era.Start, g.behind(observed))
	}
	if wait := s.timing.hold(g.object.Streak) - s.now.Sub(g.since); wait > 0 {
		return fmt.Sprintf("primary %s failed; next promotion in %v after %d in succession", era.Primary, wait, g.object.Streak)
	}
	if g.attempt != nil && !g.attempt.fetched {
		return fmt.Sprintf("primary %s failed; no promotion: the platform does not answer", era.Primary)
	}
	if g.attempt != nil {
		return fmt.Sprintf("primary %s failed; replicas are leaving term %d", era.Primary, g.object.Term)
	}
	return fmt.Sprintf("primary %s failed in the view of this host; waiting for the other hosts", era.Primary)
}

func (g *group) describeWaiting(s *step) string {
	era := g.object.Era()
	switch {
	case g.plan.active || g.attempt != nil:
		return fmt.Sprintf("planned change of primary from %s", era.Primary)
	case g.primary(s) == nil:
		return fmt.Sprintf("primary %s of term %d does not lead yet or does not answer", era.Primary, g.object.Term)
	case g.confirmable(g.replicas(s)) < g.object.Confirmations():
		return fmt.Sprintf("%d of the %d replicas that must confirm a write can do so",
			g.confirmable(g.replicas(s)), g.object.Confirmations())
	}
	if target := g.target(s); g.rank >= 0 && target != "" {
		return fmt.Sprintf("planned change of primary from %s to %s is due: %d of the %d replicas that must leave term %d follow it",
			era.Primary, target, g.confirmable(g.replicas(s)), g.object.Departures(), g.object.Term)
	}
	return ""
}

// behind lists the reachable replicas that do not count, with their positions.
func (g *group) behind(observed []*Observed) string {
	text := ""
	for _, o := range observed {
		if !g.counts(o) {
			text += fmt.Sprintf("; %s is at %v of term %d", o.Instance, o.Received, o.Mark.Term)
		}
	}
	return text
}
