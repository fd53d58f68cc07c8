package promotion

import (
	"cmp"
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// group is what a host knows of one database group.
type group struct {
	id       proxy.GroupID
	key      proxy.Key
	declared *proxy.Group
	hosts    []proxy.HostID
	// rank is this host's index in hosts, or -1 if it is no pool host.
	rank int
	// inFlightWrites is the count of the last InFlightWrites event.
	inFlightWrites int

	// object is the newest version that was read, nil before the first.
	object  *Object
	version proxy.Version
	// absent reports that the platform stores no object for the group yet.
	absent   bool
	absentAt proxy.Instant
	// termSince is when this host learned of the object's term.
	termSince proxy.Instant
	// promoteAt is when all leases of earlier terms have expired.
	promoteAt    proxy.Instant
	pendingWrite *pendingWrite
	fetchSent    proxy.Instant
	fetching     bool

	instances  map[proxy.InstanceID]*instanceView
	detector   detector
	attempt    *attempt
	switchover switchover
	// replicaLeftAt is when a replica was first seen to have left the term
	// although the primary still leads it, or zero.
	replicaLeftAt proxy.Instant
}

func newGroup(id proxy.GroupID, key proxy.Key) *group {
	return &group{id: id, key: key, rank: -1, instances: make(map[proxy.InstanceID]*instanceView)}
}

// instanceView holds the observations of one instance and the last command to it.
type instanceView struct {
	// seen reports that last is set.
	seen bool
	// last is the observation with the highest Sent. lastAnswer is the one with
	// the highest Sent among those that the instance answered.
	last, lastAnswer Observed
	// failedAt is when fresh connections began to fail, and failures is how many
	// have failed since. Both are zero after an answer.
	failedAt proxy.Instant
	failures int
	// lastCommand was sent at lastCommandAt.
	lastCommand   proxy.Effect
	lastCommandAt proxy.Instant
}

// observe records an observation unless a newer one is known.
func (g *group) observe(s *step, o Observed) {
	v := g.instances[o.Instance]
	if v == nil {
		v = new(instanceView)
		g.instances[o.Instance] = v
	}
	if v.seen && o.Sent < v.last.Sent {
		return
	}
	v.seen = true
	v.last = o
	if !o.Reachable {
		g.recordFailure(s, v, o)
		return
	}
	v.failedAt = 0
	v.failures = 0
	v.lastAnswer = o
	if g.object != nil && (o.TermState.Term > g.object.Term || o.TermState.LeftTerm > g.object.Term) {
		g.fetch(s)
	}
	g.detector.trackReplication(s, g)
}

// recordFailure counts a failure on a fresh connection. After a failure on an
// older connection it requests a probe on a fresh one, since a connection can fail
// while the instance works.
func (g *group) recordFailure(s *step, v *instanceView, o Observed) {
	if !o.Fresh {
		s.emit(Probe{Group: g.id, Instance: o.Instance, Fresh: true})
		return
	}
	if v.failures == 0 {
		v.failedAt = o.Sent
	}
	v.failures++
}

// recentAnswer returns the last answer of an instance, or nil if it is older than
// MaxObservationAge or a fresh connection has failed since.
func (g *group) recentAnswer(s *step, instance proxy.InstanceID) *Observed {
	v := g.instances[instance]
	if v == nil || !v.lastAnswer.Reachable || v.failures > 0 ||
		s.now.Sub(v.lastAnswer.Sent) > s.timing.MaxObservationAge {
		return nil
	}
	return &v.lastAnswer
}

// recentReplicas returns the recent answers of the members that are replicas.
func (g *group) recentReplicas(s *step) []*Observed {
	found := make([]*Observed, 0, len(g.object.Members))
	for _, m := range g.object.Members {
		if !g.object.IsReplica(m) {
			continue
		}
		if o := g.recentAnswer(s, m); o != nil && o.Recovery {
			found = append(found, o)
		}
	}
	return found
}

// countConfirming returns how many of the observed replicas can confirm writes.
func (g *group) countConfirming(observed []*Observed) int {
	n := 0
	for _, o := range observed {
		if g.qualified(o) && o.TermState.Follows(g.object.Term) {
			n++
		}
	}
	return n
}

// qualified reports whether a replica may count toward a quorum of the term: its
// log contains every acknowledged write of earlier terms, and every write of this
// term that the replica confirmed.
func (g *group) qualified(o *Observed) bool {
	return o.TermState.Term == g.object.Term && o.Received >= g.object.Epoch().Start
}

// departed returns the qualified replicas that have left the term, sorted by
// position, highest first. A replica that never followed the term or has not
// reached the start of its epoch is not among them, since it may lack acknowledged
// writes.
func (g *group) departed(observed []*Observed) []*Observed {
	var left []*Observed
	for _, o := range observed {
		if g.qualified(o) && o.TermState.HasLeft(g.object.Term) {
			left = append(left, o)
		}
	}
	slices.SortFunc(left, func(a, b *Observed) int {
		return cmp.Or(cmp.Compare(b.Received, a.Received), cmp.Compare(a.Instance, b.Instance))
	})
	return left
}

// countQualified returns how many of the observed replicas count toward the
// election quorum once they have left the term.
func (g *group) countQualified(observed []*Observed) int {
	n := 0
	for _, o := range observed {
		if g.qualified(o) {
			n++
		}
	}
	return n
}

// leads reports whether an observation shows that the primary of the current epoch
// accepts writes.
func (g *group) leads(o *Observed) bool {
	epoch := g.object.Epoch()
	return o != nil && o.Instance == epoch.Primary && !o.Recovery &&
		(o.TermState.Term >= epoch.Term || epoch.Term == 1)
}

// leadingPrimary returns the recent answer of the primary if it leads, or nil.
func (g *group) leadingPrimary(s *step) *Observed {
	if o := g.recentAnswer(s, g.object.Epoch().Primary); g.leads(o) {
		return o
	}
	return nil
}

// sendCommand emits a command to an instance. The same command is repeated only
// after RetryInterval.
func (g *group) sendCommand(s *step, instance proxy.InstanceID, e proxy.Effect) {
	v := g.instances[instance]
	if v == nil || (v.lastCommand == e && s.now.Sub(v.lastCommandAt) < s.timing.RetryInterval) {
		return
	}
	v.lastCommand = e
	v.lastCommandAt = s.now
	s.emit(e)
}

// advance makes every decision that is due.
func (g *group) advance(s *step) {
	g.expireWrite(s)
	if g.rank < 0 || g.declared == nil {
		return
	}
	if g.object == nil {
		g.createObject(s)
		return
	}
	g.detector.update(s, g)
	g.elect(s)
	g.promote(s)
	g.attachReplicas(s)
	g.renewTerm(s)
	g.advanceSwitchover(s)
}

// staggerElapsed reports whether the delay of this host's rank has passed since
// the given instant.
func (g *group) staggerElapsed(s *step, since proxy.Instant) bool {
	return s.now.Sub(since) >= time.Duration(g.rank)*s.timing.Stagger
}
