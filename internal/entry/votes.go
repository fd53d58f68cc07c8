package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/succession"
)

// Figures of the questions about failed primaries and conductors.
const (
	// voteTime is the interval of the questions while this host suspects a
	// primary or waits for a conductor.
	voteTime = 150 * time.Millisecond
	// voteTimeout limits a question.
	voteTimeout = 100 * time.Millisecond
	// voteAge is how long an answer counts.
	voteAge = 500 * time.Millisecond
	// voters is the number of other hosts asked, so that the questions of many
	// hosts do not grow with their square.
	voters = 9
)

// vote is what other hosts said of a primary.
type vote struct {
	at                proxy.Instant
	hosts, suspecting int
}

// runVotes asks other hosts about primaries that this host suspects, and
// conductors whether they are at work.
func (h *Host) runVotes(ctx context.Context) {
	for timing.Sleep(ctx, voteTime) {
		primaries, conductors := h.questions()
		if len(primaries) > 0 {
			h.noteVotes(primaries, h.lender.QueryStates(ctx, h.sample(), nil, voteTimeout))
		}
		if len(conductors) > 0 {
			h.noteConductors(h.lender.QueryStates(ctx, conductors, nil, voteTimeout))
		}
	}
}

// questions returns the primaries that this host suspects and the other hosts
// that conduct replacements.
func (h *Host) questions() (primaries []proxy.InstanceID, conductors []peering.Peer) {
	now := h.Clock.Now()
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.tenures {
		if t.record.Phase == succession.Replacing {
			if m := b.members[t.record.Host]; m != nil && t.record.Host != h.Settings.Host {
				if p, ok := m.peer(t.record.Host); ok {
					conductors = append(conductors, p)
				}
			}
			continue
		}
		if b.unreachableLocked(now, t.record.Primary) {
			primaries = append(primaries, t.record.Primary)
		}
	}
	return primaries, conductors
}

// sample returns some of the other hosts.
func (h *Host) sample() []peering.Peer {
	b := h.beliefs
	b.mu.Lock()
	peers := b.peers(h.Settings.Host)
	b.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), voters)]
}

func (h *Host) noteVotes(primaries []proxy.InstanceID, states []peering.State) {
	now := h.Clock.Now()
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.votes)
	for _, id := range primaries {
		v := vote{at: now, hosts: len(states) + 1, suspecting: 1}
		for _, s := range states {
			if slices.Contains(s.Suspects, id) {
				v.suspecting++
			}
		}
		b.votes[id] = v
	}
}

func (h *Host) noteConductors(states []peering.State) {
	now := h.Clock.Now()
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range states {
		for _, a := range s.Accepted {
			if t := b.tenures[a.Group]; t != nil && t.version == a.Version && t.record.Host == s.Host {
				t.conducted = now
			}
		}
	}
}
