package promotion

import (
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// attempt is an attempt of this host to change the primary.
type attempt struct {
	startedAt proxy.Instant
	// fetched reports that the object was read during the attempt and its term
	// is unchanged. Replicas are detached only then, so that they keep following
	// while the platform is down.
	fetched bool
	// target is the new primary of a switchover, empty for a failover.
	target proxy.InstanceID
	// departedAt is when an election quorum was first seen to have left the term,
	// or zero.
	departedAt proxy.Instant
}

// elect starts a failover if it is due, and advances the current attempt.
func (g *group) elect(s *step) {
	if g.attempt != nil && s.now.Sub(g.attempt.startedAt) >= s.timing.AttemptTimeout {
		g.attempt = nil
	}
	if g.attempt == nil && g.failoverDue(s) {
		g.attempt = &attempt{startedAt: s.now}
	}
	a := g.attempt
	if a == nil || g.pendingWrite != nil {
		return
	}
	if a.target == "" && !g.detector.suspected {
		g.attempt = nil
		return
	}
	if !a.fetched {
		g.fetch(s)
		g.expireSwitchover(s, a)
		return
	}
	g.closeTerm(s, a)
}

// expireSwitchover ends the attempt of a switchover if the platform does not answer
// within DrainTimeout, since requests wait meanwhile. No replica was detached yet.
func (g *group) expireSwitchover(s *step, a *attempt) {
	if a.target != "" && s.now.Sub(a.startedAt) >= s.timing.DrainTimeout {
		g.attempt = nil
		g.switchover.postpone(s)
	}
}

// failoverDue reports whether a failover should start.
func (g *group) failoverDue(s *step) bool {
	if !g.detector.failureAgreed(s, g) || !g.staggerElapsed(s, g.detector.suspectedAt.Add(s.timing.ReportWait)) {
		return false
	}
	if s.now.Sub(g.termSince) < s.timing.failoverBackoff(g.object.RecentFailovers) {
		return false
	}
	return g.countQualified(g.recentReplicas(s)) >= g.object.ElectionQuorum()
}

// closeTerm makes the replicas leave the term. Once an election quorum has left,
// it writes the object of the next term.
func (g *group) closeTerm(s *step, a *attempt) {
	observed := g.recentReplicas(s)
	if g.countQualified(observed) < g.object.ElectionQuorum() {
		return
	}
	for _, o := range observed {
		if g.qualified(o) && o.TermState.LeftTerm < g.object.Term {
			g.sendCommand(s, o.Instance, Detach{Group: g.id, Instance: o.Instance, Term: g.object.Term})
		}
	}
	left := g.departed(observed)
	if len(left) < g.object.ElectionQuorum() {
		return
	}
	if a.departedAt == 0 {
		a.departedAt = s.now
	}
	chosen := choosePrimary(left, a.target)
	next := g.nextObject(s, chosen.Instance, chosen.Received)
	if a.target == "" {
		next.RecentFailovers = 1
		if s.now.Sub(g.termSince) < s.timing.FailoverBackoffReset {
			next.RecentFailovers = g.object.RecentFailovers + 1
		}
	}
	g.write(s, next, a.departedAt)
}

// choosePrimary returns the replica with the highest position. Among several at that
// position it prefers target. left is not empty and is sorted by position, highest
// first.
func choosePrimary(left []*Observed, target proxy.InstanceID) *Observed {
	for _, o := range left {
		if o.Instance == target && o.Received == left[0].Received {
			return o
		}
	}
	return left[0]
}

// promote sends Promote to the primary that the object names once all leases of
// the old term have expired. Every pool host does so, since the host that wrote the
// object may have failed.
func (g *group) promote(s *step) {
	epoch := g.object.Epoch()
	if epoch.Term == 1 || epoch.Term != g.object.Term || s.now < g.promoteAt {
		return
	}
	o := g.recentAnswer(s, epoch.Primary)
	if o == nil || !o.Recovery || o.Received != epoch.Start {
		return
	}
	if o.TermState.LeftTerm < o.TermState.Term ||
		o.TermState.Term >= epoch.Term || o.TermState.LeftTerm >= epoch.Term {
		return
	}
	g.sendCommand(s, epoch.Primary, Promote{
		Group: g.id, Instance: epoch.Primary, Term: epoch.Term, Expected: o.TermState,
	})
}

// attachReplicas makes every other instance follow the primary in the term. A
// replica of an older term first leaves that term, so that its position is final
// when it is compared with the starts of the later epochs.
func (g *group) attachReplicas(s *step) {
	epoch := g.object.Epoch()
	leading := g.leadingPrimary(s) != nil
	for i := range g.declared.Instances {
		id := g.declared.Instances[i].ID
		o := g.recentAnswer(s, id)
		if id == epoch.Primary || o == nil ||
			o.TermState.Term >= g.object.Term || o.TermState.LeftTerm >= g.object.Term {
			continue
		}
		if o.Recovery && o.TermState.LeftTerm < o.TermState.Term ||
			o.Recovery && o.TermState == (TermState{}) && g.object.Term > 1 {
			g.sendCommand(s, id, Detach{Group: g.id, Instance: id, Term: g.object.Term - 1})
			continue
		}
		rewind := !o.Recovery || g.object.Diverged(o.TermState.Term, o.Received)
		if rewind && !leading {
			continue
		}
		g.sendCommand(s, id, Follow{
			Group:    g.id,
			Instance: id,
			Primary:  epoch.Primary,
			Term:     g.object.Term,
			Expected: o.TermState,
			Rewind:   rewind,
		})
	}
}

// anyReplicaLeft reports whether a replica has left the term.
func (g *group) anyReplicaLeft(observed []*Observed) bool {
	return slices.ContainsFunc(observed, func(o *Observed) bool { return o.TermState.LeftTerm >= g.object.Term })
}

// renewTerm starts a new term with the same primary if a replica has left the term
// and no promotion followed, since that replica cannot confirm writes until it
// follows a later term.
func (g *group) renewTerm(s *step) {
	if g.attempt != nil || g.pendingWrite != nil || g.leadingPrimary(s) == nil ||
		!g.anyReplicaLeft(g.recentReplicas(s)) {
		g.replicaLeftAt = 0
		return
	}
	if g.replicaLeftAt == 0 {
		g.replicaLeftAt = s.now
	}
	if s.now.Sub(g.replicaLeftAt) < s.timing.RenewalDelay ||
		!g.staggerElapsed(s, g.replicaLeftAt.Add(s.timing.RenewalDelay)) {
		return
	}
	next := g.object.clone()
	next.Term++
	g.write(s, next, 0)
}
