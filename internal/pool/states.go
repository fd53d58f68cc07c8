package pool

import (
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxMarks bounds the remembered positions of a primary. Beyond it every second
// one is dropped, which makes the staleness of replicas less exact, never too
// small.
const maxMarks = 128

// delayWeight is the part of a new round trip in the usual one, as a divisor.
const delayWeight = 8

// states keeps what the monitors measured.
type states struct {
	mu     sync.Mutex
	groups map[proxy.GroupID]*groupStates
}

type groupStates struct {
	states map[proxy.InstanceID]proxy.InstanceState
	// timeline is the timeline that the primary of term writes. The number of a
	// timeline alone does not tell the term, since a promotion that fails uses
	// up a term or a timeline.
	timeline uint32
	term     proxy.Term
	// marks are positions of the primary, in ascending order.
	marks []mark
}

// mark tells that everything committed before seen lies at or below position.
type mark struct {
	seen     proxy.Instant
	position proxy.Position
}

// record keeps a measurement and returns the state. The leadership is known if
// it did not change during the measurement. The term of a state is zero where
// the instance does not follow the primary last known.
func (s *states) record(i *instance, m measurement, leadership proxy.Leadership, known bool) proxy.InstanceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(i.group)
	state := g.states[i.id]
	if state.MeasuredAt == 0 {
		state.RoundTripTime = m.delay
	}
	state.Instance = i.id
	state.Zone = i.zone
	state.Primary = !m.recovery
	state.Term = 0
	state.Replayed = m.position
	state.MeasuredAt = m.seen
	state.RoundTripTime += (m.delay - state.RoundTripTime) / delayWeight
	primary := known && i.id == leadership.Primary && state.Primary
	if primary {
		g.bind(m.timeline, leadership.Term)
	}
	if m.timeline == g.timeline {
		state.Term = g.term
		g.follow(&state, primary)
	}
	g.states[i.id] = state
	return state
}

// advance records that an instance of a term has reached a position. A position
// of the primary is a mark by which the staleness of replicas is judged.
func (s *states) advance(group proxy.GroupID, id proxy.InstanceID, term proxy.Term, at proxy.Position, seen proxy.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(group)
	state, known := g.states[id]
	if !known || state.Term != term || g.term != term || seen < state.MeasuredAt || at < state.Replayed {
		return false
	}
	state.Replayed = at
	state.MeasuredAt = seen
	g.follow(&state, state.Primary)
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

// bind records which term a timeline belongs to.
func (g *groupStates) bind(timeline uint32, term proxy.Term) {
	if g.timeline == timeline && g.term == term {
		return
	}
	g.timeline = timeline
	g.term = term
	g.marks = nil
}

// follow adds a mark for the primary of the term or derives from the marks when
// a replica was current.
func (g *groupStates) follow(state *proxy.InstanceState, primary bool) {
	if primary {
		state.CurrentAt = state.MeasuredAt
		g.mark(mark{state.MeasuredAt, state.Replayed})
		return
	}
	for n := len(g.marks) - 1; n >= 0; n-- {
		if g.marks[n].position <= state.Replayed {
			state.CurrentAt = max(state.CurrentAt, g.marks[n].seen)
			return
		}
	}
}

func (g *groupStates) mark(m mark) {
	last := len(g.marks) - 1
	if last >= 0 && g.marks[last].position == m.position {
		g.marks[last].seen = m.seen
		return
	}
	g.marks = append(g.marks, m)
	if len(g.marks) <= maxMarks {
		return
	}
	kept := g.marks[:0]
	for n, old := range g.marks {
		if n%2 == len(g.marks)%2 || n == len(g.marks)-1 {
			kept = append(kept, old)
		}
	}
	g.marks = kept
}

func (s *states) get(group proxy.GroupID, id proxy.InstanceID) proxy.InstanceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[group]; g != nil {
		return g.states[id]
	}
	return proxy.InstanceState{}
}

func (s *states) forget(group proxy.GroupID, id proxy.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[group]; g != nil {
		delete(g.states, id)
	}
}
