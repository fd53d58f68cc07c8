package pool

import (
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxPositionSamples limits the recorded positions of a primary. Above it every
// second sample is dropped, which can make a replica look staler than it is, but
// never fresher.
const maxPositionSamples = 128

// roundTripDivisor is the reciprocal of the weight of a new round-trip time in the moving
// average.
const roundTripDivisor = 8

// states holds the last known state of each instance.
type states struct {
	mu     sync.Mutex
	groups map[proxy.GroupID]*groupStates
}

type groupStates struct {
	states map[proxy.InstanceID]proxy.InstanceState
	// timeline is the PostgreSQL timeline that the primary of term writes. The term
	// cannot be derived from the timeline's number, since a failed promotion uses up
	// a term or a timeline.
	timeline uint32
	term     proxy.Term
	// primarySamples holds positions of the primary in ascending order.
	primarySamples []sample
}

// sample is a measured log position of the primary. Everything committed
// before measuredAt lies at or below position.
type sample struct {
	measuredAt proxy.Instant
	position   proxy.Position
}

// recordMeasurement records a measurement and returns the new state. The leadership
// is only valid if known is true, that is if it did not change during the
// measurement. The state's term is zero if the instance is not on the timeline of
// the last known primary.
func (s *states) recordMeasurement(i *instance, m measurement, leadership proxy.Leadership, known bool) proxy.InstanceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(i.group)
	state := g.states[i.id]
	if state.MeasuredAt == 0 {
		state.RoundTripTime = m.roundTripTime
	}
	state.Instance = i.id
	state.Zone = i.zone
	state.Primary = !m.inRecovery
	state.Term = 0
	state.Replayed = m.position
	state.MeasuredAt = m.measuredAt
	state.RoundTripTime += (m.roundTripTime - state.RoundTripTime) / roundTripDivisor
	primary := known && i.id == leadership.Primary && state.Primary
	if primary {
		g.setTimeline(m.timeline, leadership.Term)
	}
	if m.timeline == g.timeline {
		state.Term = g.term
		g.updateCurrent(&state, primary)
	}
	g.states[i.id] = state
	return state
}

// recordPosition records that an instance that leads or follows a term has reached
// a position, and reports whether it did. It ignores a position of another term and
// one older than the recorded state.
func (s *states) recordPosition(group proxy.GroupID, id proxy.InstanceID, term proxy.Term, position proxy.Position, measuredAt proxy.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(group)
	state, known := g.states[id]
	if !known || state.Term != term || g.term != term || measuredAt < state.MeasuredAt || position < state.Replayed {
		return false
	}
	state.Replayed = position
	state.MeasuredAt = measuredAt
	g.updateCurrent(&state, state.Primary)
	g.states[id] = state
	return true
}

func (s *states) group(id proxy.GroupID) *groupStates {
	if s.groups == nil {
		s.groups = make(map[proxy.GroupID]*groupStates)
	}
	g := s.groups[id]
	if g == nil {
		g = &groupStates{states: make(map[proxy.InstanceID]proxy.InstanceState)}
		s.groups[id] = g
	}
	return g
}

// setTimeline records which term a timeline belongs to. A change discards the samples
// of the previous primary.
func (g *groupStates) setTimeline(timeline uint32, term proxy.Term) {
	if g.timeline == timeline && g.term == term {
		return
	}
	g.timeline = timeline
	g.term = term
	g.primarySamples = nil
}

// updateCurrent updates the instant at which an instance was known to be up to date.
// The primary always is, and its position becomes a sample. A replica was up to date
// when the newest sample that it has replayed was measured.
func (g *groupStates) updateCurrent(state *proxy.InstanceState, primary bool) {
	if primary {
		state.CurrentAt = state.MeasuredAt
		g.sample(sample{state.MeasuredAt, state.Replayed})
		return
	}
	for n := len(g.primarySamples) - 1; n >= 0; n-- {
		if g.primarySamples[n].position <= state.Replayed {
			state.CurrentAt = max(state.CurrentAt, g.primarySamples[n].measuredAt)
			return
		}
	}
}

func (g *groupStates) sample(latest sample) {
	last := len(g.primarySamples) - 1
	if last >= 0 && g.primarySamples[last].position == latest.position {
		g.primarySamples[last].measuredAt = latest.measuredAt
		return
	}
	g.primarySamples = append(g.primarySamples, latest)
	if len(g.primarySamples) <= maxPositionSamples {
		return
	}
	kept := g.primarySamples[:0]
	for n, s := range g.primarySamples {
		if n%2 == len(g.primarySamples)%2 || n == len(g.primarySamples)-1 {
			kept = append(kept, s)
		}
	}
	g.primarySamples = kept
}

func (s *states) get(group proxy.GroupID, id proxy.InstanceID) proxy.InstanceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[group]; g != nil {
		return g.states[id]
	}
	return proxy.InstanceState{}
}

func (s *states) remove(group proxy.GroupID, id proxy.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[group]; g != nil {
		delete(g.states, id)
	}
}
