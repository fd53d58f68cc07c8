package pool

import "github.com/auburnyoke/auburnyoke/pkg/proxy"

// States returns what the pool measured of a group's instances. Instances that
// were not measured yet have Seen zero.
func (p *Pool) States(group proxy.GroupID) []proxy.InstanceState {
	described := p.group(group)
	if described == nil {
		return nil
	}
	states := make([]proxy.InstanceState, len(described.Instances))
	for n := range described.Instances {
		states[n] = p.state(group, &described.Instances[n])
	}
	return states
}

// candidates returns the states of the instances that take new work and the
// number of slots. Replicas that accept no connections take none; requests wait
// for a primary that accepts none, since nothing else can run them.
func (p *Pool) candidates(group proxy.GroupID, primary proxy.InstanceID) ([]proxy.InstanceState, int) {
	described := p.group(group)
	if described == nil {
		return nil, 0
	}
	states := make([]proxy.InstanceState, 0, len(described.Instances))
	for n := range described.Instances {
		d := &described.Instances[n]
		i := p.find(group, d.ID)
		if d.Leaving || d.ID != primary && i != nil && i.unreachable() {
			continue
		}
		states = append(states, p.state(group, d))
	}
	return states, described.Slots
}

// unreachable reports that the last attempt to connect to the instance failed.
func (i *instance) unreachable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failures > 0
}

func (p *Pool) state(group proxy.GroupID, described *proxy.Instance) proxy.InstanceState {
	state := p.states.get(group, described.ID)
	state.Instance = described.ID
	state.Zone = described.Zone
	if i := p.find(group, described.ID); i != nil {
		i.mu.Lock()
		state.Busy = i.lent
		i.mu.Unlock()
	}
	return state
}

// group returns the description of a group in the document in force, or nil.
func (p *Pool) group(id proxy.GroupID) *proxy.Group {
	document, _ := p.Catalog.Current()
	return document.Group(id)
}
