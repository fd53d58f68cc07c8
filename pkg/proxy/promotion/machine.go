package promotion

import (
	"fmt"
	"slices"
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Settings are the properties of a Machine that never change.
type Settings struct {
	Host        proxy.HostID
	Incarnation proxy.Incarnation
	Environment proxy.EnvironmentID
	Stage       proxy.Stage
	Timing      Timing
}

// Machine is the promotion state machine of one host for all groups of an
// environment. It implements proxy.Module and proxy.Leaders and is safe for
// concurrent use.
type Machine struct {
	settings Settings

	mu     sync.Mutex
	groups map[proxy.GroupID]*group
	// placements holds the pool hosts of each group, including groups that the
	// document in force does not contain yet.
	placements map[proxy.GroupID][]proxy.HostID
	// pooled holds the groups for which this host is a pool host.
	pooled        map[proxy.GroupID]*group
	revision      proxy.Revision
	watching      bool
	writeSequence uint64
}

var (
	_ proxy.Module  = (*Machine)(nil)
	_ proxy.Leaders = (*Machine)(nil)
)

// New returns a machine without groups.
func New(settings Settings) (*Machine, error) {
	if err := settings.Timing.Validate(); err != nil {
		return nil, err
	}
	if err := settings.Stage.Validate(); err != nil {
		return nil, fmt.Errorf("promotion settings: %w", err)
	}
	return &Machine{
		settings:   settings,
		groups:     make(map[proxy.GroupID]*group),
		placements: make(map[proxy.GroupID][]proxy.HostID),
		pooled:     make(map[proxy.GroupID]*group),
	}, nil
}

// Handle processes one event and returns the effects that the caller must execute.
func (m *Machine) Handle(now proxy.Instant, event proxy.Event) []proxy.Effect {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &step{machine: m, now: now, timing: &m.settings.Timing}
	switch e := event.(type) {
	case proxy.Tick:
		m.tick(s)
	case Configured:
		m.configure(s, e)
	case Placed:
		m.placements[e.Group] = slices.Clone(e.Hosts)
		if g := m.groups[e.Group]; g != nil {
			m.place(g)
			g.advance(s)
		}
	case InFlightWrites:
		if g := m.groups[e.Group]; g != nil {
			g.inFlightWrites = e.Count
			g.advance(s)
		}
	case Observed:
		if g := m.groups[e.Group]; g != nil {
			g.observe(s, e)
			g.advance(s)
		}
	case proxy.Fetched:
		m.fetched(s, e)
	case proxy.Written:
		m.written(s, e)
	case proxy.Received:
		m.received(s, e)
	}
	return s.effects
}

// step holds the instant and the emitted effects of one step of the state machine,
// which is one call of a method of Machine.
type step struct {
	machine *Machine
	now     proxy.Instant
	timing  *Timing
	effects []proxy.Effect
}

func (s *step) emit(e proxy.Effect) { s.effects = append(s.effects, e) }

func (m *Machine) tick(s *step) {
	for _, g := range m.pooled {
		g.advance(s)
	}
}

// place sets the pool hosts of a group from the known placements.
func (m *Machine) place(g *group) {
	g.hosts = m.placements[g.id]
	g.rank = slices.Index(g.hosts, m.settings.Host)
	delete(m.pooled, g.id)
	if g.rank >= 0 {
		m.pooled[g.id] = g
	}
}

// configure adds the groups of a document and removes the groups that it does not
// contain. It ignores a document with a lower revision than the current one.
func (m *Machine) configure(s *step, e Configured) {
	if e.Document == nil || e.Revision < m.revision {
		return
	}
	m.revision = e.Revision
	if !m.watching {
		m.watching = true
		s.emit(proxy.Watch{Prefix: Prefix(m.settings.Environment, m.settings.Stage)})
	}
	present := make(map[proxy.GroupID]bool, len(e.Document.Groups))
	for i := range e.Document.Groups {
		declared := &e.Document.Groups[i]
		present[declared.ID] = true
		g := m.groups[declared.ID]
		if g == nil {
			g = newGroup(declared.ID, Key(m.settings.Environment, m.settings.Stage, declared.ID))
			m.groups[declared.ID] = g
			m.place(g)
		}
		g.declared = declared
		g.advance(s)
	}
	for id := range m.groups {
		if !present[id] {
			delete(m.groups, id)
			delete(m.pooled, id)
		}
	}
}

// groupOfKey returns the group whose object is stored under key, or nil.
func (m *Machine) groupOfKey(key proxy.Key) *group {
	prefix := Prefix(m.settings.Environment, m.settings.Stage)
	if len(key) <= len(prefix) || key[:len(prefix)] != prefix {
		return nil
	}
	return m.groups[proxy.GroupID(key[len(prefix):])]
}

// nextWriteID returns the identity of a new write.
func (m *Machine) nextWriteID() WriteID {
	m.writeSequence++
	return WriteID{Host: m.settings.Host, Incarnation: m.settings.Incarnation, Sequence: m.writeSequence}
}

func (m *Machine) received(s *step, e proxy.Received) {
	switch msg := e.Message.(type) {
	case *HealthReport:
		if g := m.groups[msg.Group]; g != nil {
			g.receiveReport(s, e.From, msg)
		}
	case *Drain:
		if g := m.groups[msg.Group]; g != nil {
			g.receiveDrain(s, e.From, msg)
		}
	case *Drained:
		if g := m.groups[msg.Group]; g != nil {
			g.receiveDrained(s, e.From, msg)
		}
	}
}
