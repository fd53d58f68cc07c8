package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

const (
	// voteInterval is the interval of polls while this host suspects a primary or
	// waits for the coordinator of a failover.
	voteInterval = 150 * time.Millisecond
	// voteTimeout limits the wait for the answers to a poll.
	voteTimeout = 100 * time.Millisecond
	// voteValidity is how long the result of a poll counts.
	voteValidity = 500 * time.Millisecond
	// maxVoters limits the number of other hosts that are polled. Without it, the
	// number of messages would grow with the square of the number of hosts.
	maxVoters = 9
)

// vote is the result of a poll of other hosts on a primary, including this host's own
// vote.
type vote struct {
	polledAt          proxy.Instant
	hosts, suspecting int
}

// pollHosts polls other hosts about the primaries that this host suspects, and asks
// coordinators whether they are working on their failovers.
func (h *Host) pollHosts(ctx context.Context) {
	for timing.Sleep(ctx, voteInterval) {
		primaries, coordinators := h.pollTargets()
		if len(primaries) > 0 {
			h.recordVotes(primaries, h.peerEndpoint.QueryStates(ctx, h.samplePeers(), nil, voteTimeout))
		}
		if len(coordinators) > 0 {
			h.recordCoordinators(h.peerEndpoint.QueryStates(ctx, coordinators, nil, voteTimeout))
		}
	}
}

// checkExcludedHosts regularly asks the hosts that are left out for commands whether they
// answer again, so that no client's operation has to find out.
func (h *Host) checkExcludedHosts(ctx context.Context) {
	for timing.Sleep(ctx, voteInterval) {
		for _, id := range h.balance.ExcludedHosts(h.Clock.Now()) {
			h.clusterState.mu.Lock()
			m := h.clusterState.members[id]
			h.clusterState.mu.Unlock()
			if m == nil {
				continue
			}
			if peer, ok := m.peer(id); ok {
				go func() {
					answered := len(h.peerEndpoint.QueryStates(ctx, []peering.Peer{peer}, nil, voteTimeout)) > 0
					h.balance.RecordCheck(h.Clock.Now(), id, answered)
				}()
			}
		}
	}
}

// pollTargets returns the primaries that this host suspects and the other hosts that
// coordinate failovers.
func (h *Host) pollTargets() (primaries []proxy.InstanceID, coordinators []peering.Peer) {
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, l := range cs.leaderships {
		if l.record.Phase == failover.Replacing {
			if m := cs.members[l.record.Host]; m != nil && l.record.Host != h.Settings.Host {
				if p, ok := m.peer(l.record.Host); ok {
					coordinators = append(coordinators, p)
				}
			}
			continue
		}
		if cs.unreachableLocked(now, l.record.Primary) {
			primaries = append(primaries, l.record.Primary)
		}
	}
	return primaries, coordinators
}

// samplePeers returns a random selection of up to maxVoters other hosts.
func (h *Host) samplePeers() []peering.Peer {
	cs := h.clusterState
	cs.mu.Lock()
	peers := cs.peers(h.Settings.Host)
	cs.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxVoters)]
}

// recordVotes replaces all recorded poll results with the results for primaries,
// counted from the answers in states.
func (h *Host) recordVotes(primaries []proxy.InstanceID, states []peering.State) {
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	clear(cs.votes)
	for _, id := range primaries {
		v := vote{polledAt: now, hosts: len(states) + 1, suspecting: 1}
		for _, s := range states {
			if slices.Contains(s.Suspects, id) {
				v.suspecting++
			}
		}
		cs.votes[id] = v
	}
}

// recordCoordinators records which coordinators have confirmed that they are working
// on their failovers.
func (h *Host) recordCoordinators(states []peering.State) {
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, s := range states {
		for _, a := range s.Coordinating {
			if l := cs.leaderships[a.Group]; l != nil && l.version == a.Version && l.record.Host == s.Host {
				l.coordinatorConfirmedAt = now
			}
		}
	}
}
