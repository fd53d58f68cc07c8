package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/tcp"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/balance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/evacuation"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/warmup"
)

const (
	// slotsPerHolder is the number of an instance's slots that one host serves. A host
	// with a fifth of a core forwards several times the statements that they run.
	slotsPerHolder = 8
	// holderPercent is the part of an instance's connections that its holders share, and
	// standbyPercent that which the host keeps that takes over from a holder. Then it may
	// open takeoverPercent, since the instance closes those of a holder that is gone.
	holderPercent   = 80
	standbyPercent  = 15
	takeoverPercent = 60
	// directLimit is the number of connections that the other hosts may open when they
	// reach no holder: one for a transaction and one for other statements.
	directLimit = 2
	// holdTimeout limits the time for which a connection is held for another host that
	// sends nothing. It exceeds the idle time that operators set for transactions.
	holdTimeout = 8 * time.Second
)

// serveForward runs commands for other hosts until the returned function is called. It
// does nothing if no address for that is set.
func (h *Host) serveForward(ctx context.Context) (func(), error) {
	if !h.Settings.Forward.IsValid() {
		return func() {}, nil
	}
	listener, err := tcp.Listen(ctx, h.Settings.Forward.String())
	if err != nil {
		return nil, fmt.Errorf("commands of other hosts: %w", err)
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		if err := h.forwardServer.Run(serving, h.limitConnections(listener, nil)); err != nil {
			h.Log.Warn().Err(err).Msg("commands of other hosts are not served")
		}
	}()
	return stop, nil
}

// updateDispatch passes the current configuration, instances, hosts and leaderships to
// the tables that choose instances and connections.
func (h *Host) updateDispatch() {
	h.applying.Lock()
	defer h.applying.Unlock()
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	own, routed, cold := h.instanceMembersLocked(now)
	since := cs.membersChangedAt
	primaries := make(map[proxy.GroupID]proxy.InstanceID, len(cs.leaderships))
	for id, l := range cs.leaderships {
		primaries[id] = ""
		if l.record.Phase == failover.Settled {
			primaries[id] = l.record.Primary
		}
	}
	cs.mu.Unlock()
	if h.warmup != nil {
		h.warmup.Update(now, since, cold)
	}
	closeAll(h.table.Update(now, own))
	h.balance.Update(routed)
	for id, primary := range primaries {
		h.balance.SetPrimary(id, primary)
	}
	cs.notifyRoutes()
}

// instanceMembersLocked returns the instances in use, with this host's part in them and
// with their holders, and those that are limited while they are cold. The caller holds the
// lock of the cluster state.
func (h *Host) instanceMembersLocked(now proxy.Instant) ([]dispatch.Member, []balance.Member, []warmup.Member) {
	cs := h.clusterState
	if cs.configuration == nil {
		return nil, nil, nil
	}
	var own []dispatch.Member
	var routed []balance.Member
	var cold []warmup.Member
	for _, i := range cs.instances {
		group, ok := cs.configuration.Groups[i.Group]
		state := h.evacuations.State(now, i.Zone)
		if !ok {
			continue
		}
		member := dispatch.Member{Instance: i.Instance, OwnSlots: i.Slots}
		member.Share = group.Connections / max(len(cs.members), 1)
		member.Limit = max(member.Share, directLimit)
		// A host that can keep a connection for each account needs no other one's.
		var holders []proxy.HostID
		if member.Share <= len(cs.configuration.Accounts) {
			holders = cs.holdersLocked(i.Instance)
			setHolderPart(&member, group.Connections, slices.Index(holders, h.Settings.Host))
		}
		if h.warmup != nil && h.warmup.Bounds.Limited(group) {
			cold = append(cold, h.warmupMember(i, group, holders))
		}
		if i.retired || state == evacuation.Closed {
			continue
		}
		own = append(own, member)
		routed = append(routed, balance.Member{
			Instance: i.Instance, Holders: holders, Evacuated: state == evacuation.Evacuating,
		})
	}
	return own, routed, cold
}

// setHolderPart sets the connections that a host may have to an instance with holders, and
// the statements that it may run there at once. Rank is its index among the holders, the
// last of which stands by, or negative.
func setHolderPart(m *dispatch.Member, connections, rank int) {
	regular := holderCount(m.Instance)
	switch {
	case rank < 0:
		m.Share, m.Limit = 0, directLimit
	case rank < regular:
		m.Share = max(connections*holderPercent/100/regular, 1)
		m.Limit = m.Share
		m.OwnSlots = (m.Slots + regular - 1) / regular
	default:
		m.Share = connections * standbyPercent / 100
		m.Limit = max(connections*takeoverPercent/100, directLimit)
	}
}

// holderCount returns the number of regular holders of an instance.
func holderCount(i directory.Instance) int { return (i.Slots + slotsPerHolder - 1) / slotsPerHolder }

// holdersLocked returns the holders of an instance, the last of which is the standby. The
// caller holds s.mu.
func (s *clusterState) holdersLocked(i directory.Instance) []proxy.HostID {
	if holders, ok := s.holders[i.ID]; ok {
		return holders
	}
	holders := placement.Holders(i.ID, i.Zone, s.candidatesLocked(), holderCount(i)+1)
	s.holders[i.ID] = holders
	return holders
}

// candidatesLocked returns the hosts that can hold connections for others. The caller
// holds s.mu.
func (s *clusterState) candidatesLocked() []placement.Candidate {
	if s.candidates != nil {
		return s.candidates
	}
	for id, m := range s.members {
		if m.entry.Forward != "" {
			s.candidates = append(s.candidates, placement.Candidate{Host: id, Zone: m.entry.Zone, Link: m.entry.Link})
		}
	}
	return s.candidates
}

// forgetHoldersLocked makes the holders be computed anew, after the hosts have changed.
// The caller holds s.mu.
func (s *clusterState) forgetHoldersLocked() {
	s.candidates = nil
	clear(s.holders)
}

// nextPrimary returns a channel that is closed at the next change of the instances or
// primaries, and when a new primary of the group is expected; zero if it has one.
func (s *clusterState) nextPrimary(id proxy.GroupID) (changed <-chan struct{}, expected proxy.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leaderships[id]; l != nil && l.record.Phase != failover.Settled {
		expected = l.failoverStart.Add(s.failoverTime)
	}
	return s.routesChanged, expected
}

// notifyRoutes wakes the operations that wait for a change of instances or primaries.
func (s *clusterState) notifyRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.routesChanged)
	s.routesChanged = make(chan struct{})
}
