package promotion

import (
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// minFailures is the number of fresh connections that must fail before a
// primary is considered failed. One may fail by chance on a lossy link.
const minFailures = 3

// alarm is the detection of a failed primary: this host's own view and those of
// the other pool hosts of the group.
type alarm struct {
	// raisedAt is when this host began to consider the primary failed.
	raisedAt proxy.Instant
	raised   bool
	askedAt  proxy.Instant
	views    map[proxy.HostID]hostView
	// mark is a position of the primary that too few replicas have received;
	// reached is the position that enough replicas have received.
	mark, reached proxy.Position
	markAt        proxy.Instant
}

// hostView is another host's view of the primary.
type hostView struct {
	health Health
	at     proxy.Instant
}

func (a *alarm) reset() { *a = alarm{} }

// progress follows whether the replicas receive what the primary writes. The
// stall time restarts whenever they receive anything, so that slow replicas do
// not cause a promotion.
func (a *alarm) progress(s *step, g *group) {
	if g.object == nil {
		return
	}
	p := g.primary(s)
	if p == nil || g.object.Confirmations() == 0 {
		a.mark = 0
		return
	}
	reached := g.reached()
	if p.Current <= reached {
		a.mark = 0
		return
	}
	if a.mark == 0 || reached != a.reached {
		a.mark, a.reached, a.markAt = p.Current, reached, s.now
	}
}

// reached returns the highest position that Confirmations replicas of the term
// had received when they last answered. Those that have left it count as well,
// so that the alarm does not end when they are told to leave.
func (g *group) reached() proxy.Position {
	positions := make([]proxy.Position, 0, MaxMembers)
	for _, m := range g.object.Members {
		v := g.views[m]
		if v != nil && g.object.Replica(m) && v.good.Mark.Term == g.object.Term {
			positions = append(positions, v.good.Received)
		}
	}
	k := g.object.Confirmations()
	if k == 0 || len(positions) < k {
		return 0
	}
	slices.Sort(positions)
	return positions[len(positions)-k]
}

// health is this host's own view of the primary.
func (g *group) health(s *step) Health {
	v := g.views[g.object.Era().Primary]
	if v == nil || !v.seen {
		return Uncertain
	}
	if v.failures >= minFailures && s.now.Sub(v.failedAt) >= s.timing.FailAfter {
		return Failed
	}
	if g.primary(s) == nil {
		if v.last.Reachable && !g.leads(&v.good) && s.now.Sub(g.promoteAt) >= s.timing.LeadWithin {
			return Failed
		}
		return Uncertain
	}
	if g.alarm.mark == 0 || s.now.Sub(g.alarm.markAt) < s.timing.StallAfter {
		return Working
	}
	observed := g.replicas(s)
	if g.eligible(observed) < g.object.Departures() {
		return Uncertain
	}
	if g.attempt == nil && g.vacated(observed) {
		// The replicas receive nothing because they have left the term; a
		// renewal is due.
		return Uncertain
	}
	return Failed
}

// check raises or clears the alarm and asks the other hosts while it is raised.
func (a *alarm) check(s *step, g *group) {
	if g.health(s) != Failed {
		a.raised = false
		return
	}
	if !a.raised {
		a.raised = true
		a.raisedAt = s.now
		a.askedAt = 0
	}
	if a.askedAt != 0 && s.now.Sub(a.askedAt) < s.timing.Repeat {
		return
	}
	a.askedAt = s.now
	for _, h := range g.hosts {
		if h != s.machine.settings.Host {
			s.emit(proxy.Send{To: h, Message: &View{Group: g.id, Term: g.object.Term, Health: Failed, Ask: true}})
		}
	}
}

// viewed records another host's view and answers if asked.
func (g *group) viewed(s *step, from proxy.HostID, v *View) {
	if g.object == nil || g.rank < 0 || !slices.Contains(g.hosts, from) {
		return
	}
	if v.Term > g.object.Term {
		g.fetch(s)
	}
	if v.Term != g.object.Term {
		return
	}
	if g.alarm.views == nil {
		g.alarm.views = make(map[proxy.HostID]hostView)
	}
	g.alarm.views[from] = hostView{health: v.Health, at: s.now}
	if v.Ask {
		s.emit(proxy.Send{To: from, Message: &View{Group: g.id, Term: v.Term, Health: g.health(s)}})
	}
	g.advance(s)
}

// agreed reports whether the hosts consider the primary failed: this host does,
// and it is not outvoted by those that have a recent view. A host that hears
// from no other waits longer, since it may be the one that is cut off.
func (a *alarm) agreed(s *step, g *group) bool {
	if !a.raised || s.now.Sub(a.raisedAt) < s.timing.AskFor {
		return false
	}
	failed, working, heard := 1, 0, false
	for h, o := range a.views {
		if !slices.Contains(g.hosts, h) || s.now.Sub(o.at) > s.timing.ViewFor {
			continue
		}
		heard = true
		switch o.health {
		case Failed:
			failed++
		case Working:
			working++
		}
	}
	if !heard && len(g.hosts) > 1 && s.now.Sub(a.raisedAt) < s.timing.AloneAfter {
		return false
	}
	return failed > working
}
