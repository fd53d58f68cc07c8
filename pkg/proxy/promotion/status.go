package promotion

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Status describes a group for operators.
type Status struct {
	Term            proxy.Term       `json:"term"`
	Primary         proxy.InstanceID `json:"primary"`
	Start           proxy.Position   `json:"start"`
	RecentFailovers uint             `json:"streak"`
	// Health is this host's assessment of the primary.
	Health Health `json:"health"`
	// Text says what the host is waiting for. It is empty when the group works.
	Text string `json:"text,omitempty"`
}

// Status returns the state of a group as this host knows it, and false if the host
// has not read the group's object.
func (m *Machine) Status(now proxy.Instant, id proxy.GroupID) (Status, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[id]
	if g == nil || g.object == nil {
		return Status{}, false
	}
	s := &step{machine: m, now: now, timing: &m.settings.Timing}
	epoch := g.object.Epoch()
	return Status{
		Term:            g.object.Term,
		Primary:         epoch.Primary,
		Start:           epoch.Start,
		RecentFailovers: g.object.RecentFailovers,
		Health:          g.health(s),
		Text:            g.describe(s),
	}, true
}

// describe says why the group has no working primary or what it is waiting for.
func (g *group) describe(s *step) string {
	epoch := g.object.Epoch()
	if !g.detector.suspected {
		return g.describeWaiting(s)
	}
	observed := g.recentReplicas(s)
	if have, want := g.countQualified(observed), g.object.ElectionQuorum(); have < want {
		return fmt.Sprintf("primary %s failed; no promotion: %d of the %d replicas that must leave term %d are reachable and have reached its start %v%s",
			epoch.Primary, have, want, g.object.Term, epoch.Start, g.describeUnqualified(observed))
	}
	if wait := s.timing.failoverBackoff(g.object.RecentFailovers) - s.now.Sub(g.termSince); wait > 0 {
		return fmt.Sprintf("primary %s failed; next promotion in %v after %d in succession", epoch.Primary, wait, g.object.RecentFailovers)
	}
	if g.attempt != nil && !g.attempt.fetched {
		return fmt.Sprintf("primary %s failed; no promotion: the platform does not answer", epoch.Primary)
	}
	if g.attempt != nil {
		return fmt.Sprintf("primary %s failed; replicas are leaving term %d", epoch.Primary, g.object.Term)
	}
	return fmt.Sprintf("primary %s failed in the view of this host; waiting for the other hosts", epoch.Primary)
}

func (g *group) describeWaiting(s *step) string {
	epoch := g.object.Epoch()
	switch {
	case g.switchover.active || g.attempt != nil:
		return fmt.Sprintf("planned change of primary from %s", epoch.Primary)
	case g.leadingPrimary(s) == nil:
		return fmt.Sprintf("primary %s of term %d does not lead yet or does not answer", epoch.Primary, g.object.Term)
	case g.countConfirming(g.recentReplicas(s)) < g.object.WriteQuorum():
		return fmt.Sprintf("%d of the %d replicas that must confirm a write can do so",
			g.countConfirming(g.recentReplicas(s)), g.object.WriteQuorum())
	}
	if target := g.target(s); g.rank >= 0 && target != "" {
		return fmt.Sprintf("planned change of primary from %s to %s is due: %d of the %d replicas that must leave term %d follow it",
			epoch.Primary, target, g.countConfirming(g.recentReplicas(s)), g.object.ElectionQuorum(), g.object.Term)
	}
	return ""
}

// describeUnqualified lists the reachable replicas that do not count toward a quorum,
// with their positions.
func (g *group) describeUnqualified(observed []*Observed) string {
	text := ""
	for _, o := range observed {
		if !g.qualified(o) {
			text += fmt.Sprintf("; %s is at %v of term %d", o.Instance, o.Received, o.TermState.Term)
		}
	}
	return text
}
