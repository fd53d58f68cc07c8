package promotion

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// ackRetry is the wait after which an acknowledgement can have become possible.
const ackRetry = 10 * time.Millisecond

// Leader returns the group's leadership as last read from the platform. Term is
// the current term, which may be a renewal of the one that began at Start.
func (m *Machine) Leader(id proxy.GroupID) (proxy.Leadership, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[id]
	if g == nil || g.object == nil {
		return proxy.Leadership{}, false
	}
	era := g.object.Era()
	return proxy.Leadership{Term: g.object.Term, Primary: era.Primary, Start: era.Start}, true
}

// Ready returns nil if a write that is sent now can be expected to be
// acknowledged. Otherwise it returns a Refusal with outcome NotRun and a
// RetryAfter; callers wait and ask again while the request's patience lasts.
func (m *Machine) Ready(now proxy.Instant, id proxy.GroupID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[id]
	if g == nil || g.object == nil {
		return wait(proxy.Refuse(proxy.CannotConnectNow, "group %s: the primary is not known yet", id), m.settings.Timing.Repeat)
	}
	s := &step{machine: m, now: now, timing: &m.settings.Timing}
	if g.held(s) {
		return wait(proxy.Refuse(proxy.CannotConnectNow, "group %s: the primary is being changed", id), holdRetry)
	}
	era := g.object.Era()
	if g.alarm.raised || g.primary(s) == nil {
		return wait(proxy.Refuse(proxy.CannotConnectNow, "group %s: primary %s of term %d does not work", id, era.Primary, g.object.Term), s.timing.Repeat)
	}
	if have, want := g.confirmable(g.replicas(s)), g.object.Confirmations(); have < want {
		return wait(proxy.Refuse(proxy.CannotConnectNow, "group %s: %d of the %d replicas that must confirm a write can do so", id, have, want), s.timing.Repeat)
	}
	return nil
}

// Acknowledge returns nil if a write that the instance committed at position in
// term may be acknowledged at now. It must be called with a reading of the
// clock taken immediately before the reply. A Refusal with a RetryAfter means
// that confirmations are still missing and the caller may ask again; one
// without means that the instance was replaced.
func (m *Machine) Acknowledge(now proxy.Instant, id proxy.GroupID, instance proxy.InstanceID, at proxy.Bookmark) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[id]
	if g == nil || g.object == nil {
		return proxy.UnknownOutcome(proxy.OutcomeUnknown, "group %s: the primary is not known", id)
	}
	era := g.object.Era()
	if at.Term > g.object.Term {
		return wait(proxy.UnknownOutcome(proxy.OutcomeUnknown, "group %s: term %d is not known yet", id, at.Term), ackRetry)
	}
	if instance != era.Primary || at.Term < era.Term {
		return proxy.UnknownOutcome(proxy.OutcomeUnknown, "group %s: %s of term %d was replaced", id, instance, at.Term)
	}
	confirmed, leased := g.quorum(now, at.Position, m.settings.Timing.Lease)
	want := g.object.Confirmations()
	if confirmed < want {
		return wait(proxy.UnknownOutcome(proxy.OutcomeUnknown, "group %s: %d of %d replicas confirmed %v", id, confirmed, want, at.Position), ackRetry)
	}
	if leased < want {
		return wait(proxy.UnknownOutcome(proxy.OutcomeUnknown, "group %s: %d of %d replicas still grant a lease", id, leased, want), ackRetry)
	}
	return nil
}

// quorum counts the replicas that followed the term with the position and those
// whose lease is valid at now.
func (g *group) quorum(now proxy.Instant, at proxy.Position, lease time.Duration) (confirmed, leased int) {
	for _, m := range g.object.Members {
		v := g.views[m]
		if v == nil || !g.object.Replica(m) || !v.good.Recovery {
			continue
		}
		if !g.counts(&v.good) || !v.good.Mark.Follows(g.object.Term) {
			continue
		}
		if v.good.Received >= at {
			confirmed++
		}
		if now <= v.good.Sent.Add(proxy.HolderTime(lease)) {
			leased++
		}
	}
	return confirmed, leased
}

func wait(r *proxy.Refusal, d time.Duration) *proxy.Refusal {
	r.RetryAfter = d
	return r
}
