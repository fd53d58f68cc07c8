package entry

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

const (
	// plannedDrainTime limits how long a host waits, in a planned failover, for its
	// running operations on the old primary to finish.
	plannedDrainTime = 400 * time.Millisecond
	// rankStep is the difference between the delays of hosts with successive ranks,
	// so that usually only one host starts a failover.
	rankStep = 100 * time.Millisecond
	// settlingTime is how long the hosts must not have changed until the first record of a
	// group is written. Until then a host that has just started does not know its rank.
	settlingTime = 600 * time.Millisecond
	// coordinatorTimeout is how long a coordinator counts as running after it last
	// confirmed that it is working on the failover.
	coordinatorTimeout = 2 * time.Second
	// storeReachableMargin plus twice confirmationWait is the age up to which the last
	// confirmation of the leadership records shows that the store is reachable.
	storeReachableMargin = time.Second
	// storeFailingTimeout is how long the store may leave a coordinator without an answer
	// until the coordinator no longer counts as working on its failover.
	storeFailingTimeout = time.Second
	// attemptPause is how long a host begins no failover after the store has not answered
	// it. Another host begins or takes over the failover meanwhile.
	attemptPause = 5 * time.Second
	// maxRank limits the start delay of the hosts with the highest ranks.
	maxRank = 12
	// lastDelay is the start delay of a host that begins a failover only if no other does.
	lastDelay = (maxRank + 1) * rankStep
	// pollInterval is the pause between two checks for an awaited condition.
	pollInterval = 40 * time.Millisecond
	// probeTimeout limits the opening of a connection for a probe and the exchange on
	// it.
	probeTimeout = 500 * time.Millisecond
	// stepDownTimeout limits how long a failover waits for an old primary that answers that
	// it is busy.
	stepDownTimeout = 600 * time.Millisecond
	// rejectionPause is the pause before the promotion of an instance is requested again
	// that the platform has rejected.
	rejectionPause = time.Second
)

var errSuperseded = eris.New("failover attempt has expired or another host has changed the leadership record")

// acceptFailovers stops using primaries that are being replaced: a failed primary at
// once, the primary of a planned failover after its running operations have
// ended or plannedDrainTime has passed.
func (h *Host) acceptFailovers(now proxy.Instant) {
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for id, l := range cs.leaderships {
		if l.record.Phase != failover.Replacing || l.accepted {
			continue
		}
		if l.record.Planned && l.running > 0 && now.Sub(l.receivedAt) < plannedDrainTime {
			continue
		}
		l.accepted = true
		h.Log.Info().Str("group", string(id)).Uint64("era", uint64(l.version.Era)).Uint64("version", uint64(l.version.Version)).Int("working", l.running).
			Msg("replacement accepted")
	}
}

// runCoordinator starts and coordinates failovers, one at a time for each group.
func (h *Host) runCoordinator(ctx context.Context) {
	busy := make(map[proxy.GroupID]chan struct{})
	for timing.Sleep(ctx, tickInterval) {
		for _, id := range h.configuredGroups() {
			if done := busy[id]; done != nil {
				select {
				case <-done:
					delete(busy, id)
				default:
					continue
				}
			}
			if task := h.groupTask(id); task != nil {
				done := make(chan struct{})
				busy[id] = done
				go func() {
					defer close(done)
					task(ctx)
				}()
			}
		}
	}
}

func (h *Host) configuredGroups() []proxy.GroupID {
	c, _ := h.clusterState.currentConfiguration()
	if c == nil {
		return nil
	}
	ids := make([]proxy.GroupID, 0, len(c.Groups))
	for id := range c.Groups {
		ids = append(ids, id)
	}
	return ids
}

// groupTask returns the work that this host has to start now for a group, or nil.
func (h *Host) groupTask(id proxy.GroupID) func(context.Context) {
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if !cs.storeReachableLocked(now) || cs.configurationConfirmedAt == 0 || now < cs.attemptAfter {
		return nil
	}
	l := cs.leaderships[id]
	if l == nil {
		candidates := cs.registeredPrimaries(id)
		settledFor := now.Sub(max(cs.registeredAt, cs.membersChangedAt))
		if len(candidates) > 0 && cs.registeredAt != 0 && settledFor > settlingTime+h.rankDelay(id) {
			era := cs.leadershipEra
			return func(ctx context.Context) { h.createLeadership(ctx, id, candidates, era) }
		}
		return nil
	}
	if primary, _, leased := cs.primaryLocked(now, id); leased && !l.affirmed() {
		found := l.restored
		if now.Sub(found.receivedAt) < h.rankDelay(id) {
			return nil
		}
		return func(ctx context.Context) { h.affirmLeadership(ctx, id, primary, found.version) }
	}
	groupView := cs.groupView(now, l)
	groupView.OwnAttemptMissing = l.record.Host == h.Settings.Host
	if groupView.Instance != nil && h.evacuations.Followed() {
		groupView.Evacuated = h.evacuations.MustMove(now, *groupView.Instance, cs.groupInstancesLocked(id))
	}
	reason, due := failover.Decide(groupView)
	if !due {
		l.dueSince = 0
		return nil
	}
	if l.dueSince == 0 {
		l.dueSince = now
	}
	delay := h.rankDelay(id)
	if l.record.Phase == failover.Restored {
		// Other hosts may know the record from before the store was restored.
		delay = lastDelay
	}
	if !groupView.OwnAttemptMissing && now.Sub(l.dueSince) < delay {
		return nil
	}
	primary, base := l.record.Primary, l.version
	if !l.affirmed() {
		base = l.restored.version
	}
	if candidates := cs.registeredPrimaries(id); primary == "" && len(candidates) > 0 {
		primary = candidates[0].ID
	}
	if primary == "" {
		return nil
	}
	a := &failoverAttempt{
		host: h, group: id, reason: reason, baseVersion: base,
		takenOver: l.record.Phase != failover.Settled || !l.affirmed(),
		record: failover.Record{
			Primary: primary,
			Phase:   failover.Replacing,
			Host:    h.Settings.Host,
			Planned: reason.Planned(),
			Era:     base.Era,
		},
	}
	return a.run
}

// rankDelay returns how long this host leaves a failover of a group to others, so that
// not all hosts write to the store at once. It grows with this host's rank for the group
// among the responding hosts, up to maxRank. A stopping host comes last, since it may end
// before the failover does. The caller holds the lock of the cluster state.
func (h *Host) rankDelay(id proxy.GroupID) time.Duration {
	if h.stopping.Load() {
		return lastDelay
	}
	rank := 0
	own := coordinatorRank(id, h.Settings.Host)
	for other, m := range h.clusterState.members {
		if m.unresponsiveSince == 0 && coordinatorRank(id, other) < own {
			rank++
		}
	}
	return time.Duration(min(rank, maxRank)) * rankStep
}

// coordinatorRank returns a number by which hosts are ordered as coordinators of a
// group. The order differs by group, so that a lost availability zone seldom holds all
// hosts that come first.
func coordinatorRank(id proxy.GroupID, host proxy.HostID) uint64 {
	hash := fnv.New64a()
	// Write never returns an error.
	_, _ = hash.Write([]byte(string(id) + "/" + string(host)))
	return hash.Sum64()
}

// registeredPrimaries returns the instances of a group that are registered as its
// primary. Several may be, since one of the entries may not be its instance's.
func (s *clusterState) registeredPrimaries(id proxy.GroupID) []directory.Instance {
	var found []directory.Instance
	for _, i := range s.instances {
		if i.Group == id && i.Primary && i.missingSince == 0 {
			found = append(found, i.Instance)
		}
	}
	return found
}

// groupView returns the input of the failover decision for a group. The caller holds
// s.mu.
func (s *clusterState) groupView(now proxy.Instant, l *leadership) failover.View {
	v := failover.View{Record: l.record, RecordAge: now.Sub(l.receivedAt)}
	if !l.affirmed() && l.record.Phase != failover.Replacing {
		v.Record.Phase, v.RecordAge = failover.Restored, now.Sub(l.restored.receivedAt)
	}
	v.CoordinatorRunning = l.coordinatorConfirmedAt != 0 && now.Sub(l.coordinatorConfirmedAt) < coordinatorTimeout
	i := s.instances[l.record.Primary]
	switch {
	case i == nil:
		v.Missing = now.Sub(l.receivedAt)
	case i.missingSince != 0:
		v.Missing = now.Sub(i.missingSince)
	default:
		v.Instance = &i.Instance
		if i.demotedSince != 0 {
			v.Demoted = min(now.Sub(i.demotedSince), now.Sub(l.receivedAt))
		}
	}
	if vote := s.votes[l.record.Primary]; now.Sub(vote.polledAt) < voteValidity {
		v.Hosts, v.SuspectingHosts = vote.hosts, vote.suspecting
	}
	return v
}

// createLeadership writes a group's first leadership record. The candidates are the
// instances that are registered as the primary; if there are several, they are asked.
func (h *Host) createLeadership(
	ctx context.Context, id proxy.GroupID, candidates []directory.Instance, era proxy.Era,
) {
	primary := candidates[0].ID
	if len(candidates) > 1 {
		var ok bool
		if primary, ok = failover.CurrentPrimary(h.inspectAll(candidates)); !ok {
			return
		}
	}
	record := failover.Record{Primary: primary, Phase: failover.Settled, Era: era}
	h.writeLeadership(ctx, id, record, proxy.StoreVersion{Era: era})
}
