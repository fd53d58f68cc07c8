package promotion

import (
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// minFailures is the number of fresh connections that must fail in succession
// before a primary is considered failed. A single one may fail on a lossy link.
const minFailures = 3

// detector detects a failed primary from the observations of this host and the
// health reports of the group's other pool hosts.
type detector struct {
	// suspectedAt is when this host began to consider the primary failed, and
	// suspected reports whether it still does.
	suspectedAt proxy.Instant
	suspected   bool
	// requestedAt is when the other hosts were last asked for reports, or zero.
	requestedAt proxy.Instant
	reports     map[proxy.HostID]receivedReport
	// pendingPosition is a position of the primary that fewer replicas than a
	// write quorum have received, or zero. quorumPosition is the position that a
	// write quorum has received. Both were recorded at pendingSince.
	pendingPosition, quorumPosition proxy.Position
	pendingSince                    proxy.Instant
}

// receivedReport is another host's assessment of the primary.
type receivedReport struct {
	health     Health
	receivedAt proxy.Instant
}

func (d *detector) reset() { *d = detector{} }

// trackReplication records whether the replicas receive what the primary writes.
// The stall time restarts whenever they receive anything, so that slow replicas do
// not cause a failover.
func (d *detector) trackReplication(s *step, g *group) {
	if g.object == nil {
		return
	}
	p := g.leadingPrimary(s)
	if p == nil || g.object.WriteQuorum() == 0 {
		d.pendingPosition = 0
		return
	}
	quorumPosition := g.quorumPosition()
	if p.Current <= quorumPosition {
		d.pendingPosition = 0
		return
	}
	if d.pendingPosition == 0 || quorumPosition != d.quorumPosition {
		d.pendingPosition, d.quorumPosition, d.pendingSince = p.Current, quorumPosition, s.now
	}
}

// quorumPosition returns the highest position that a write quorum of replicas of
// the term had received when they last answered. Replicas that have left the term
// count as well, so that detaching them does not clear the suspicion.
func (g *group) quorumPosition() proxy.Position {
	positions := make([]proxy.Position, 0, MaxMembers)
	for _, m := range g.object.Members {
		v := g.instances[m]
		if v != nil && g.object.IsReplica(m) && v.lastAnswer.TermState.Term == g.object.Term {
			positions = append(positions, v.lastAnswer.Received)
		}
	}
	k := g.object.WriteQuorum()
	if k == 0 || len(positions) < k {
		return 0
	}
	slices.Sort(positions)
	return positions[len(positions)-k]
}

// health returns this host's assessment of the primary.
func (g *group) health(s *step) Health {
	v := g.instances[g.object.Epoch().Primary]
	if v == nil || !v.seen {
		return Uncertain
	}
	if v.failures >= minFailures && s.now.Sub(v.failedAt) >= s.timing.FailureTimeout {
		return Failed
	}
	if g.leadingPrimary(s) == nil {
		if v.last.Reachable && !g.leads(&v.lastAnswer) && s.now.Sub(g.promoteAt) >= s.timing.PromotionTimeout {
			return Failed
		}
		return Uncertain
	}
	if g.detector.pendingPosition == 0 || s.now.Sub(g.detector.pendingSince) < s.timing.StallTimeout {
		return Working
	}
	observed := g.recentReplicas(s)
	if g.countQualified(observed) < g.object.ElectionQuorum() {
		return Uncertain
	}
	if g.attempt == nil && g.anyReplicaLeft(observed) {
		// The replicas may receive nothing because one has left the term. A
		// renewal of the term mends that, not a failover.
		return Uncertain
	}
	return Failed
}

// update re-evaluates whether this host suspects the primary. While it does, it sends
// its report to the other hosts at intervals and requests theirs.
func (d *detector) update(s *step, g *group) {
	if g.health(s) != Failed {
		d.suspected = false
		return
	}
	if !d.suspected {
		d.suspected = true
		d.suspectedAt = s.now
		d.requestedAt = 0
	}
	if d.requestedAt != 0 && s.now.Sub(d.requestedAt) < s.timing.RetryInterval {
		return
	}
	d.requestedAt = s.now
	for _, h := range g.hosts {
		if h != s.machine.settings.Host {
			s.emit(proxy.Send{To: h, Message: &HealthReport{
				Group: g.id, Term: g.object.Term, Health: Failed, ReplyRequested: true,
			}})
		}
	}
}

// receiveReport records another host's report and replies if that is requested.
func (g *group) receiveReport(s *step, from proxy.HostID, r *HealthReport) {
	if g.object == nil || g.rank < 0 || !slices.Contains(g.hosts, from) {
		return
	}
	if r.Term > g.object.Term {
		g.fetch(s)
	}
	if r.Term != g.object.Term {
		return
	}
	if g.detector.reports == nil {
		g.detector.reports = make(map[proxy.HostID]receivedReport)
	}
	g.detector.reports[from] = receivedReport{health: r.Health, receivedAt: s.now}
	if r.ReplyRequested {
		s.emit(proxy.Send{To: from, Message: &HealthReport{Group: g.id, Term: r.Term, Health: g.health(s)}})
	}
	g.advance(s)
}

// failureAgreed reports whether this host considers the primary failed and, counting
// itself and the recent reports of other hosts, more hosts assess the primary as
// Failed than as Working. A host without reports from others waits longer, since it
// may be the one that is partitioned.
func (d *detector) failureAgreed(s *step, g *group) bool {
	if !d.suspected || s.now.Sub(d.suspectedAt) < s.timing.ReportWait {
		return false
	}
	failed, working, reported := 1, 0, false
	for h, r := range d.reports {
		if !slices.Contains(g.hosts, h) || s.now.Sub(r.receivedAt) > s.timing.MaxReportAge {
			continue
		}
		reported = true
		switch r.health {
		case Failed:
			failed++
		case Working:
			working++
		}
	}
	if !reported && len(g.hosts) > 1 && s.now.Sub(d.suspectedAt) < s.timing.NoReportWait {
		return false
	}
	return failed > working
}
