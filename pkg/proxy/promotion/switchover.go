package promotion

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxSwitchoverDoublings limits how often the wait between two attempts of a
// switchover doubles.
const maxSwitchoverDoublings = 6

// switchover is the state of a planned change of primary. One host, normally
// the one of the highest rank, holds new writes and asks the others to do the same.
// When no host has a write in flight and the target has received the whole log, the
// host starts an attempt. If the writes do not end within DrainTimeout, all hosts
// resume writes and the host retries later.
type switchover struct {
	// active reports that this host is draining writes.
	active      bool
	startedAt   proxy.Instant
	serial      uint64
	requestedAt proxy.Instant
	// drained reports for each host whether it has no writes in flight.
	drained   map[proxy.HostID]bool
	drainedAt proxy.Instant
	// possibleSince is when the change first became possible, or zero.
	possibleSince proxy.Instant
	retryAt       proxy.Instant
	tries         uint
	// heldUntil is how long this host holds new writes for another host.
	heldUntil proxy.Instant
	// joinedHost and joinedSerial identify the last attempt of another host.
	joinedHost   proxy.HostID
	joinedSerial uint64
	probedAt     proxy.Instant
}

// postpone ends an attempt and schedules the next.
func (sw *switchover) postpone(s *step) {
	sw.active = false
	sw.retryAt = s.now.Add(s.timing.SwitchoverRetryDelay << min(sw.tries, maxSwitchoverDoublings))
	sw.tries++
}

// join counts another host's attempt as one of this host's own, so that the hosts
// together hold writes no more often than a single host would. An active attempt of
// this host yields only to a host of higher rank.
func (sw *switchover) join(s *step, from proxy.HostID, serial uint64, higher bool) {
	same := sw.joinedHost == from && sw.joinedSerial == serial
	if same || (sw.active && !higher) {
		return
	}
	sw.joinedHost, sw.joinedSerial = from, serial
	sw.postpone(s)
}

// target returns the replica that a switchover should promote, or "" if there is
// none. It is the one that the object requests, or else the one that a newer document
// declares. If neither names one and the document marks the current primary as leaving
// or does not contain it, target returns the replica with the highest position that is
// not leaving.
func (g *group) target(s *step) proxy.InstanceID {
	wanted := g.object.RequestedPrimary
	if !g.object.IsReplica(wanted) {
		wanted = ""
	}
	if wanted == "" && s.machine.revision > g.object.Revision {
		if declaredPrimary := g.declaredPrimary(); declaredPrimary != g.object.DeclaredPrimary {
			wanted = declaredPrimary
		}
	}
	if wanted == "" && g.isLeaving(g.object.Epoch().Primary) {
		wanted = g.candidate(s)
	}
	if !g.object.IsReplica(wanted) || g.isLeaving(wanted) {
		return ""
	}
	return wanted
}

// isLeaving reports whether the document marks the instance as leaving or does not
// contain it.
func (g *group) isLeaving(instance proxy.InstanceID) bool {
	return !slices.ContainsFunc(g.declared.Instances, func(i proxy.Instance) bool {
		return i.ID == instance && !i.Leaving
	})
}

// candidate returns the replica with the highest position that is not leaving.
func (g *group) candidate(s *step) proxy.InstanceID {
	var best *Observed
	for _, o := range g.recentReplicas(s) {
		if g.qualified(o) && !g.isLeaving(o.Instance) && (best == nil || o.Received > best.Received) {
			best = o
		}
	}
	if best == nil {
		return ""
	}
	return best.Instance
}

// advanceSwitchover starts, continues or ends a switchover.
func (g *group) advanceSwitchover(s *step) {
	if g.attempt != nil && g.attempt.target != "" {
		g.requestDrain(s)
		return
	}
	target := g.target(s)
	if target == "" || g.attempt != nil || g.pendingWrite != nil || g.detector.suspected {
		g.switchover.active = false
		return
	}
	if !g.switchover.active {
		if s.now < g.switchover.retryAt || s.now < g.switchover.heldUntil || !g.targetReady(s, target) {
			return
		}
		if g.switchover.possibleSince == 0 {
			g.switchover.possibleSince = s.now
		}
		if !g.staggerElapsed(s, g.switchover.possibleSince) {
			return
		}
		g.switchover.active = true
		g.switchover.startedAt = s.now
		g.switchover.serial++
		g.switchover.requestedAt = 0
		g.switchover.drainedAt = 0
		g.switchover.drained = make(map[proxy.HostID]bool)
	}
	if s.now.Sub(g.switchover.startedAt) >= s.timing.DrainTimeout {
		g.switchover.postpone(s)
		return
	}
	g.requestDrain(s)
	g.startWhenDrained(s, target)
}

// targetReady reports whether the target can be promoted at once.
func (g *group) targetReady(s *step, target proxy.InstanceID) bool {
	p, t := g.leadingPrimary(s), g.recentAnswer(s, target)
	if p == nil || t == nil || !t.TermState.Follows(g.object.Term) ||
		g.object.Diverged(t.TermState.Term, t.Received) {
		return false
	}
	return g.countConfirming(g.recentReplicas(s)) >= g.object.ElectionQuorum()
}

// requestDrain asks the other hosts to drain, at intervals.
func (g *group) requestDrain(s *step) {
	g.switchover.drained[s.machine.settings.Host] = g.inFlightWrites == 0
	if g.switchover.requestedAt != 0 && s.now.Sub(g.switchover.requestedAt) < s.timing.RetryInterval/2 {
		return
	}
	g.switchover.requestedAt = s.now
	for _, h := range g.hosts {
		if h != s.machine.settings.Host {
			s.emit(proxy.Send{To: h, Message: &Drain{Group: g.id, Term: g.object.Term, Serial: g.switchover.serial}})
		}
	}
}

// startWhenDrained starts the attempt when no host has a write in flight and the
// target has received the whole log.
func (g *group) startWhenDrained(s *step, target proxy.InstanceID) {
	for _, h := range g.hosts {
		if !g.switchover.drained[h] {
			g.switchover.drainedAt = 0
			return
		}
	}
	if g.switchover.drainedAt == 0 {
		g.switchover.drainedAt = s.now
	}
	p, t := g.leadingPrimary(s), g.recentAnswer(s, target)
	if p == nil || t == nil {
		return
	}
	if p.Sent >= g.switchover.drainedAt && t.Received >= p.Current {
		g.switchover.active = false
		g.attempt = &attempt{startedAt: s.now, target: target}
		g.elect(s)
		return
	}
	if s.now.Sub(g.switchover.probedAt) >= s.timing.RetryInterval/4 {
		g.switchover.probedAt = s.now
		s.emit(Probe{Group: g.id, Instance: p.Instance})
		s.emit(Probe{Group: g.id, Instance: target})
	}
}

// receiveDrain holds new writes for the switchover of another host, which repeats
// the request until the switchover has ended.
func (g *group) receiveDrain(s *step, from proxy.HostID, d *Drain) {
	if g.object == nil || d.Term != g.object.Term || !slices.Contains(g.hosts, from) {
		return
	}
	g.switchover.join(s, from, d.Serial, slices.Index(g.hosts, from) < g.rank)
	g.switchover.heldUntil = s.now.Add(s.timing.DrainTimeout)
	s.emit(proxy.Send{To: from, Message: &Drained{
		Group: g.id, Term: d.Term, Serial: d.Serial, Writes: g.inFlightWrites,
	}})
}

// receiveDrained records another host's answer to Drain.
func (g *group) receiveDrained(s *step, from proxy.HostID, d *Drained) {
	if g.object == nil || d.Term != g.object.Term ||
		!g.switchover.active || d.Serial != g.switchover.serial {
		return
	}
	g.switchover.drained[from] = d.Writes == 0
	g.advance(s)
}

// holdsWrites reports whether new writes wait for a switchover.
func (g *group) holdsWrites(s *step) bool {
	if g.switchover.active || s.now < g.switchover.heldUntil {
		return true
	}
	return g.attempt != nil && g.attempt.target != ""
}

// heldWriteRetry is the RetryAfter of the refusal of a write during a switchover.
const heldWriteRetry = 20 * time.Millisecond
