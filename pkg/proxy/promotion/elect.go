package promotion

import (
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// attempt is one try of this host to change the primary.
type attempt struct {
	since proxy.Instant
	// fetched reports that the object was read during the attempt and still
	// has the term, so that replicas are not detached while the platform is down.
	fetched bool
	// target is the wanted primary of a planned change.
	target proxy.InstanceID
	// departedAt is when enough replicas were seen to have left, or zero.
	departedAt proxy.Instant
}

// elect replaces a failed primary, or continues a planned change.
func (g *group) elect(s *step) {
	if g.attempt != nil && s.now.Sub(g.attempt.since) >= s.timing.AttemptFor {
		g.attempt = nil
	}
	if g.attempt == nil && g.due(s) {
		g.attempt = &attempt{since: s.now}
	}
	a := g.attempt
	if a == nil || g.put != nil {
		return
	}
	if a.target == "" && !g.alarm.raised {
		g.attempt = nil
		return
	}
	if !a.fetched {
		g.fetch(s)
		g.giveUp(s, a)
		return
	}
	g.vacate(s, a)
}

// giveUp ends a planned change while nothing has happened yet if the platform
// does not answer within the time that requests are meant to wait.
func (g *group) giveUp(s *step, a *attempt) {
	if a.target != "" && s.now.Sub(a.since) >= s.timing.DrainFor {
		g.attempt = nil
		g.plan.postpone(s)
	}
}

// due reports whether an unplanned promotion should start.
func (g *group) due(s *step) bool {
	if !g.alarm.agreed(s, g) || !g.staggered(s, g.alarm.raisedAt.Add(s.timing.AskFor)) {
		return false
	}
	if s.now.Sub(g.since) < s.timing.hold(g.object.Streak) {
		return false
	}
	return g.eligible(g.replicas(s)) >= g.object.Departures()
}

// vacate makes the replicas leave the term and records the next term once enough
// of them have.
func (g *group) vacate(s *step, a *attempt) {
	observed := g.replicas(s)
	if g.eligible(observed) < g.object.Departures() {
		return
	}
	for _, o := range observed {
		if g.counts(o) && o.Mark.Left < g.object.Term {
			g.order(s, o.Instance, Detach{Group: g.id, Instance: o.Instance, Term: g.object.Term})
		}
	}
	left := g.departed(observed)
	if len(left) < g.object.Departures() {
		return
	}
	if a.departedAt == 0 {
		a.departedAt = s.now
	}
	chosen := choose(left, a.target)
	next := g.successor(s, chosen.Instance, chosen.Received)
	if a.target == "" {
		next.Streak = 1
		if s.now.Sub(g.since) < s.timing.CalmAfter {
			next.Streak = g.object.Streak + 1
		}
	}
	g.write(s, next, a.departedAt)
}

// choose returns the departed replica with the highest position, and the target
// among several such. left is not empty and sorted by position, highest first.
func choose(left []*Observed, target proxy.InstanceID) *Observed {
	for _, o := range left {
		if o.Instance == target && o.Received == left[0].Received {
			return o
		}
	}
	return left[0]
}

// promote tells the recorded primary to lead once all leases of the old term
// have expired. Every pool host does so, since the host that recorded the term
// may have failed.
func (g *group) promote(s *step) {
	era := g.object.Era()
	if era.Term == 1 || era.Term != g.object.Term || s.now < g.promoteAt {
		return
	}
	o := g.answered(s, era.Primary)
	if o == nil || !o.Recovery || o.Received != era.Start {
		return
	}
	if o.Mark.Left < o.Mark.Term || o.Mark.Term >= era.Term || o.Mark.Left >= era.Term {
		return
	}
	g.order(s, era.Primary, Promote{Group: g.id, Instance: era.Primary, Term: era.Term, Was: o.Mark})
}

// align makes every other instance follow the primary in the term. A replica of
// an older term first leaves it, so that its position is final when it is
// compared with the starts of the later eras.
func (g *group) align(s *step) {
	era := g.object.Era()
	leading := g.primary(s) != nil
	for i := range g.declared.Instances {
		id := g.declared.Instances[i].ID
		o := g.answered(s, id)
		if id == era.Primary || o == nil || o.Mark.Term >= g.object.Term || o.Mark.Left >= g.object.Term {
			continue
		}
		if o.Recovery && o.Mark.Left < o.Mark.Term || o.Recovery && o.Mark == (Mark{}) && g.object.Term > 1 {
			g.order(s, id, Detach{Group: g.id, Instance: id, Term: g.object.Term - 1})
			continue
		}
		rewind := !o.Recovery || g.object.Diverged(o.Mark.Term, o.Received)
		if rewind && !leading {
			continue
		}
		g.order(s, id, Follow{
			Group:    g.id,
			Instance: id,
			Primary:  era.Primary,
			Term:     g.object.Term,
			Was:      o.Mark,
			Rewind:   rewind,
		})
	}
}

// vacated reports whether a replica will never follow the term again.
func (g *group) vacated(observed []*Observed) bool {
	return slices.ContainsFunc(observed, func(o *Observed) bool { return o.Mark.Left >= g.object.Term })
}

// renew starts a new term with the same primary if a replica has left the term
// and no promotion followed, since that replica can confirm nothing until then.
func (g *group) renew(s *step) {
	if g.attempt != nil || g.put != nil || g.primary(s) == nil || !g.vacated(g.replicas(s)) {
		g.abandoned = 0
		return
	}
	if g.abandoned == 0 {
		g.abandoned = s.now
	}
	if s.now.Sub(g.abandoned) < s.timing.AbandonAfter || !g.staggered(s, g.abandoned.Add(s.timing.AbandonAfter)) {
		return
	}
	next := g.object.clone()
	next.Term++
	g.write(s, next, 0)
}
