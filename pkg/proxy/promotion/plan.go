package promotion

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxPlanDoublings bounds the wait between two tries of a planned change.
const maxPlanDoublings = 6

// plan is a planned change of primary. The first host starts no writes and asks
// the others to do the same; when none has a write left and the target has
// received the whole log, it starts an attempt. If the writes do not end in
// time, it lets them continue and tries again later.
type plan struct {
	active  bool
	since   proxy.Instant
	serial  uint64
	askedAt proxy.Instant
	// idle holds the hosts that reported no writes.
	idle   map[proxy.HostID]bool
	idleAt proxy.Instant
	// wantedAt is when the change first became possible.
	wantedAt proxy.Instant
	again    proxy.Instant
	tries    uint
	heldTo   proxy.Instant
	// other and otherSerial identify the last try of another host.
	other       proxy.HostID
	otherSerial uint64
	probeAt     proxy.Instant
}

// postpone ends a try and sets the time of the next.
func (p *plan) postpone(s *step) {
	p.active = false
	p.again = s.now.Add(s.timing.PlanAgain << min(p.tries, maxPlanDoublings))
	p.tries++
}

// join counts another host's try as one of this host's own, so that the hosts
// together hold writes no more often than one would. A try of this host yields
// to that of a host of higher rank.
func (p *plan) join(s *step, from proxy.HostID, serial uint64, higher bool) {
	same := p.other == from && p.otherSerial == serial
	if same || (p.active && !higher) {
		return
	}
	p.other, p.otherSerial = from, serial
	p.postpone(s)
}

// target returns the instance that the object or the document wants as primary,
// or nothing if it leads already. A primary that the document marks as leaving
// or lacks is replaced by the replica with the highest position that is not.
func (g *group) target(s *step) proxy.InstanceID {
	wanted := g.object.Next
	if !g.object.Replica(wanted) {
		wanted = ""
	}
	if wanted == "" && s.machine.revision > g.object.Revision {
		if named := g.named(); named != g.object.Named {
			wanted = named
		}
	}
	if wanted == "" && g.leaving(g.object.Era().Primary) {
		wanted = g.candidate(s)
	}
	if !g.object.Replica(wanted) || g.leaving(wanted) {
		return ""
	}
	return wanted
}

// leaving reports whether the document marks the instance as leaving or does not
// contain it.
func (g *group) leaving(instance proxy.InstanceID) bool {
	return !slices.ContainsFunc(g.declared.Instances, func(i proxy.Instance) bool { return i.ID == instance && !i.Leaving })
}

// candidate returns the replica with the highest position that is not leaving.
func (g *group) candidate(s *step) proxy.InstanceID {
	var best *Observed
	for _, o := range g.replicas(s) {
		if g.counts(o) && !g.leaving(o.Instance) && (best == nil || o.Received > best.Received) {
			best = o
		}
	}
	if best == nil {
		return ""
	}
	return best.Instance
}

// change advances a planned change.
func (g *group) change(s *step) {
	if g.attempt != nil && g.attempt.target != "" {
		g.ask(s)
		return
	}
	target := g.target(s)
	if target == "" || g.attempt != nil || g.put != nil || g.alarm.raised {
		g.plan.active = false
		return
	}
	if !g.plan.active {
		if s.now < g.plan.again || s.now < g.plan.heldTo || !g.ready(s, target) {
			return
		}
		if g.plan.wantedAt == 0 {
			g.plan.wantedAt = s.now
		}
		if !g.staggered(s, g.plan.wantedAt) {
			return
		}
		g.plan.active = true
		g.plan.since = s.now
		g.plan.serial++
		g.plan.askedAt = 0
		g.plan.idleAt = 0
		g.plan.idle = make(map[proxy.HostID]bool)
	}
	if s.now.Sub(g.plan.since) >= s.timing.DrainFor {
		g.plan.postpone(s)
		return
	}
	g.ask(s)
	g.switchOver(s, target)
}

// ready reports whether the target can take over at once.
func (g *group) ready(s *step, target proxy.InstanceID) bool {
	p, t := g.primary(s), g.answered(s, target)
	if p == nil || t == nil || !t.Mark.Follows(g.object.Term) || g.object.Diverged(t.Mark.Term, t.Received) {
		return false
	}
	return g.confirmable(g.replicas(s)) >= g.object.Departures()
}

// ask asks the other hosts to drain.
func (g *group) ask(s *step) {
	g.plan.idle[s.machine.settings.Host] = g.writing == 0
	if g.plan.askedAt != 0 && s.now.Sub(g.plan.askedAt) < s.timing.Repeat/2 {
		return
	}
	g.plan.askedAt = s.now
	for _, h := range g.hosts {
		if h != s.machine.settings.Host {
			s.emit(proxy.Send{To: h, Message: &Drain{Group: g.id, Term: g.object.Term, Serial: g.plan.serial}})
		}
	}
}

// switchOver starts the attempt when no host has a write left and the target has
// the whole log.
func (g *group) switchOver(s *step, target proxy.InstanceID) {
	for _, h := range g.hosts {
		if !g.plan.idle[h] {
			g.plan.idleAt = 0
			return
		}
	}
	if g.plan.idleAt == 0 {
		g.plan.idleAt = s.now
	}
	p, t := g.primary(s), g.answered(s, target)
	if p == nil || t == nil {
		return
	}
	if p.Sent >= g.plan.idleAt && t.Received >= p.Current {
		g.plan.active = false
		g.attempt = &attempt{since: s.now, target: target}
		g.elect(s)
		return
	}
	if s.now.Sub(g.plan.probeAt) >= s.timing.Repeat/4 {
		g.plan.probeAt = s.now
		s.emit(Probe{Group: g.id, Instance: p.Instance})
		s.emit(Probe{Group: g.id, Instance: target})
	}
}

// drain holds new writes for another host's planned change, which repeats the
// request until it has ended.
func (g *group) drain(s *step, from proxy.HostID, d *Drain) {
	if g.object == nil || d.Term != g.object.Term || !slices.Contains(g.hosts, from) {
		return
	}
	g.plan.join(s, from, d.Serial, slices.Index(g.hosts, from) < g.rank)
	g.plan.heldTo = s.now.Add(s.timing.DrainFor)
	s.emit(proxy.Send{To: from, Message: &Drained{Group: g.id, Term: d.Term, Serial: d.Serial, Writes: g.writing}})
}

// drained records another host's answer.
func (g *group) drained(s *step, from proxy.HostID, d *Drained) {
	if g.object == nil || d.Term != g.object.Term || !g.plan.active || d.Serial != g.plan.serial {
		return
	}
	g.plan.idle[from] = d.Writes == 0
	g.advance(s)
}

// held reports whether new writes wait for a planned change.
func (g *group) held(s *step) bool {
	if g.plan.active || s.now < g.plan.heldTo {
		return true
	}
	return g.attempt != nil && g.attempt.target != ""
}

// holdRetry is the wait that a held request is told.
const holdRetry = 20 * time.Millisecond
