package pool

import "github.com/auburnyoke/auburnyoke/pkg/proxy"

// InstanceStates returns the measured states of a group's instances. MeasuredAt is
// zero for an instance that has not been measured yet.
func (p *Pool) InstanceStates(group proxy.GroupID) []proxy.InstanceState {
	config := p.group(group)
	if config == nil {
		return nil
	}
	states := make([]proxy.InstanceState, len(config.Instances))
	for n := range config.Instances {
		states[n] = p.state(group, &config.Instances[n])
	}
	return states
}

// candidates returns the states of the instances to which new requests may be routed,
// and the number of slots. It leaves out replicas that accept no connections. A
// primary stays in the list even then, since no other instance can run the requests.
func (p *Pool) candidates(group proxy.GroupID, primary proxy.InstanceID) ([]proxy.InstanceState, int) {
	config := p.group(group)
	if config == nil {
		return nil, 0
	}
	states := make([]proxy.InstanceState, 0, len(config.Instances))
	for n := range config.Instances {
		instanceConfig := &config.Instances[n]
		i := p.findInstance(group, instanceConfig.ID)
		if instanceConfig.Leaving || instanceConfig.ID != primary && i != nil && i.unreachable() {
			continue
		}
		states = append(states, p.state(group, instanceConfig))
	}
	return states, config.Slots
}

// unreachable reports whether the last attempt to connect to the instance failed.
func (i *instance) unreachable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.dialFailures > 0
}

func (p *Pool) state(group proxy.GroupID, config *proxy.Instance) proxy.InstanceState {
	state := p.states.get(group, config.ID)
	state.Instance = config.ID
	state.Zone = config.Zone
	if i := p.findInstance(group, config.ID); i != nil {
		i.mu.Lock()
		state.Busy = i.acquired
		i.mu.Unlock()
	}
	return state
}

// group returns a group of the document in force, or nil.
func (p *Pool) group(id proxy.GroupID) *proxy.Group {
	document, _ := p.Catalog.Current()
	return document.Group(id)
}
