package promotion

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// ackRetry is the RetryAfter while confirmations or leases are missing.
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
	epoch := g.object.Epoch()
	return proxy.Leadership{Term: g.object.Term, Primary: epoch.Primary, Start: epoch.Start}, true
}

// Ready returns nil if a write that is sent now can be expected to be acknowledged.
// Otherwise it returns a Refusal with outcome NotRun and a RetryAfter. Callers retry
// until the request's wait timeout ends.
func (m *Machine) Ready(now proxy.Instant, id proxy.GroupID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[id]
	if g == nil || g.object == nil {
		return withRetryAfter(proxy.Refuse(proxy.CannotConnectNow,
			"group %s: the primary is not known yet", id), m.settings.Timing.RetryInterval)
	}
	s := &step{machine: m, now: now, timing: &m.settings.Timing}
	if g.holdsWrites(s) {
		return withRetryAfter(proxy.Refuse(proxy.CannotConnectNow,
			"group %s: the primary is being changed", id), heldWriteRetry)
	}
	epoch := g.object.Epoch()
	if g.detector.suspected || g.leadingPrimary(s) == nil {
		return withRetryAfter(proxy.Refuse(proxy.CannotConnectNow,
			"group %s: primary %s of term %d does not work", id, epoch.Primary, g.object.Term),
			s.timing.RetryInterval)
	}
	if have, want := g.countConfirming(g.recentReplicas(s)), g.object.WriteQuorum(); have < want {
		return withRetryAfter(proxy.Refuse(proxy.CannotConnectNow,
			"group %s: %d of the %d replicas that must confirm a write can do so", id, have, want),
			s.timing.RetryInterval)
	}
	return nil
}

// Acknowledge returns nil if a write that the instance committed at the position and
// in the term of the bookmark may be acknowledged at now, which must be read from the
// clock immediately before the reply. A Refusal with a RetryAfter means that the
// term is not known yet or that confirmations or leases are missing, and the caller
// may retry. One without means that the instance was replaced as primary or that the
// group is not known.
func (m *Machine) Acknowledge(
	now proxy.Instant, id proxy.GroupID, instance proxy.InstanceID, bookmark proxy.Bookmark,
) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.groups[id]
	if g == nil || g.object == nil {
		return proxy.UnknownOutcome(proxy.OutcomeUnknown, "group %s: the primary is not known", id)
	}
	epoch := g.object.Epoch()
	if bookmark.Term > g.object.Term {
		return withRetryAfter(proxy.UnknownOutcome(proxy.OutcomeUnknown,
			"group %s: term %d is not known yet", id, bookmark.Term), ackRetry)
	}
	if instance != epoch.Primary || bookmark.Term < epoch.Term {
		return proxy.UnknownOutcome(proxy.OutcomeUnknown, "group %s: %s of term %d was replaced", id, instance, bookmark.Term)
	}
	confirmed, leased := g.countConfirmations(now, bookmark.Position, m.settings.Timing.Lease)
	want := g.object.WriteQuorum()
	if confirmed < want {
		return withRetryAfter(proxy.UnknownOutcome(proxy.OutcomeUnknown,
			"group %s: %d of %d replicas confirmed %v", id, confirmed, want, bookmark.Position), ackRetry)
	}
	if leased < want {
		return withRetryAfter(proxy.UnknownOutcome(proxy.OutcomeUnknown,
			"group %s: %d of %d replicas still grant a lease", id, leased, want), ackRetry)
	}
	return nil
}

// countConfirmations counts the replicas of the term that have received the position,
// and those whose lease is valid at now.
func (g *group) countConfirmations(
	now proxy.Instant, position proxy.Position, lease time.Duration,
) (confirmed, leased int) {
	for _, m := range g.object.Members {
		v := g.instances[m]
		if v == nil || !g.object.IsReplica(m) || !v.lastAnswer.Recovery {
			continue
		}
		if !g.qualified(&v.lastAnswer) || !v.lastAnswer.TermState.Follows(g.object.Term) {
			continue
		}
		if v.lastAnswer.Received >= position {
			confirmed++
		}
		if now <= v.lastAnswer.Sent.Add(proxy.HolderTime(lease)) {
			leased++
		}
	}
	return confirmed, leased
}

func withRetryAfter(r *proxy.Refusal, d time.Duration) *proxy.Refusal {
	r.RetryAfter = d
	return r
}
