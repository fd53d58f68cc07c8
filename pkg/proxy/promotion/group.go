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
	// rank is this host's place among hosts, or -1.
	rank    int
	writing int

	// object is the last one read or written, nil before the first.
	object  *Object
	version proxy.Version
	// absent reports that the platform has no object yet.
	absent   bool
	absentAt proxy.Instant
	// since is when the object's term became known.
	since proxy.Instant
	// promoteAt is when all leases of earlier terms have expired.
	promoteAt proxy.Instant
	put       *put
	fetchSent proxy.Instant
	fetching  bool

	views   map[proxy.InstanceID]*view
	alarm   alarm
	attempt *attempt
	plan    plan
	// abandoned is when a replica was first seen to have left the term.
	abandoned proxy.Instant
}

func newGroup(id proxy.GroupID, key proxy.Key) *group {
	return &group{id: id, key: key, rank: -1, views: make(map[proxy.InstanceID]*view)}
}

// view is what a host knows of one instance.
type view struct {
	seen bool
	// last is the newest observation by Sent; good is the newest that the
	// instance answered.
	last, good Observed
	// failedAt is when fresh connections began to fail, and failures counts
	// them; zero after a success.
	failedAt proxy.Instant
	failures int
	// ordered is the last order and orderedAt when it was given.
	ordered   proxy.Effect
	orderedAt proxy.Instant
}

// observe records an observation.
func (g *group) observe(s *step, o Observed) {
	v := g.views[o.Instance]
	if v == nil {
		v = new(view)
		g.views[o.Instance] = v
	}
	if v.seen && o.Sent < v.last.Sent {
		return
	}
	v.seen = true
	v.last = o
	if !o.Reachable {
		g.unreachable(s, v, o)
		return
	}
	v.failedAt = 0
	v.failures = 0
	v.good = o
	if g.object != nil && (o.Mark.Term > g.object.Term || o.Mark.Left > g.object.Term) {
		g.fetch(s)
	}
	g.alarm.progress(s, g)
}

// unreachable counts a failure on a fresh connection. A failure on an older
// connection only asks for a fresh one, since a connection can stop while the
// instance works.
func (g *group) unreachable(s *step, v *view, o Observed) {
	if !o.Fresh {
		s.emit(Probe{Group: g.id, Instance: o.Instance, Fresh: true})
		return
	}
	if v.failures == 0 {
		v.failedAt = o.Sent
	}
	v.failures++
}

// answered returns the last answer of an instance if it is recent and no fresh
// connection has failed since.
func (g *group) answered(s *step, instance proxy.InstanceID) *Observed {
	v := g.views[instance]
	if v == nil || !v.good.Reachable || v.failures > 0 || s.now.Sub(v.good.Sent) > s.timing.Recent {
		return nil
	}
	return &v.good
}

// replicas returns the recent observations of the members that are replicas.
func (g *group) replicas(s *step) []*Observed {
	found := make([]*Observed, 0, len(g.object.Members))
	for _, m := range g.object.Members {
		if !g.object.Replica(m) {
			continue
		}
		if o := g.answered(s, m); o != nil && o.Recovery {
			found = append(found, o)
		}
	}
	return found
}

// confirmable returns how many of the observed replicas can confirm writes.
func (g *group) confirmable(observed []*Observed) int {
	n := 0
	for _, o := range observed {
		if g.counts(o) && o.Mark.Follows(g.object.Term) {
			n++
		}
	}
	return n
}

// counts reports whether a replica's log contains every acknowledged write of
// the term that the replica confirmed, and all of the earlier terms.
func (g *group) counts(o *Observed) bool {
	return o.Mark.Term == g.object.Term && o.Received >= g.object.Era().Start
}

// departed returns the replicas that have left the term, the one with the
// highest position first. A replica that never followed the term or has not
// reached its start does not count: it may lack acknowledged writes.
func (g *group) departed(observed []*Observed) []*Observed {
	var left []*Observed
	for _, o := range observed {
		if g.counts(o) && o.Mark.HasLeft(g.object.Term) {
			left = append(left, o)
		}
	}
	slices.SortFunc(left, func(a, b *Observed) int {
		return cmp.Or(cmp.Compare(b.Received, a.Received), cmp.Compare(a.Instance, b.Instance))
	})
	return left
}

// eligible returns how many of the observed replicas count as departed if told
// to leave the term.
func (g *group) eligible(observed []*Observed) int {
	n := 0
	for _, o := range observed {
		if g.counts(o) {
			n++
		}
	}
	return n
}

// leads reports whether an observation shows the primary of the current era
// accepting writes.
func (g *group) leads(o *Observed) bool {
	era := g.object.Era()
	return o != nil && o.Instance == era.Primary && !o.Recovery && (o.Mark.Term >= era.Term || era.Term == 1)
}

// primary returns the recent observation of the primary if it leads.
func (g *group) primary(s *step) *Observed {
	if o := g.answered(s, g.object.Era().Primary); g.leads(o) {
		return o
	}
	return nil
}

// order emits an order to an instance, repeating the same one at intervals.
func (g *group) order(s *step, instance proxy.InstanceID, e proxy.Effect) {
	v := g.views[instance]
	if v == nil || (v.ordered == e && s.now.Sub(v.orderedAt) < s.timing.Repeat) {
		return
	}
	v.ordered = e
	v.orderedAt = s.now
	s.emit(e)
}

// advance takes every decision that is due.
func (g *group) advance(s *step) {
	g.expire(s)
	if g.rank < 0 || g.declared == nil {
		return
	}
	if g.object == nil {
		g.create(s)
		return
	}
	g.alarm.check(s, g)
	g.elect(s)
	g.promote(s)
	g.align(s)
	g.renew(s)
	g.change(s)
}

// staggered reports whether this host's turn has come, counted from since.
func (g *group) staggered(s *step, since proxy.Instant) bool {
	return s.now.Sub(since) >= time.Duration(g.rank)*s.timing.Stagger
}
