package pool

import (
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// reconcile adopts the document in force and the current shares.
func (p *Pool) reconcile() {
	document, revision := p.Catalog.Current()
	if document == nil {
		return
	}
	wanted := make(map[key]bool)
	for g := range document.Groups {
		group := &document.Groups[g]
		for n := range group.Instances {
			wanted[key{group.ID, group.Instances[n].ID}] = true
			p.adopt(group, &group.Instances[n])
		}
	}
	p.mu.Lock()
	p.document, p.revision = document, revision
	var gone []*instance
	for k, i := range p.instances {
		if !wanted[k] {
			gone = append(gone, i)
			delete(p.instances, k)
		}
	}
	p.mu.Unlock()
	for _, i := range gone {
		p.retire(i)
	}
}

// adopt creates or changes what the pool holds for one instance.
func (p *Pool) adopt(group *proxy.Group, described *proxy.Instance) {
	k := key{group.ID, described.ID}
	address := described.AddressIn(p.Stage)
	p.mu.Lock()
	i := p.instances[k]
	var replaced *instance
	if i == nil || i.address != address || i.database != group.Database {
		replaced = i
		i = &instance{group: group.ID, id: described.ID, zone: described.Zone, address: address, database: group.Database}
		if p.instances == nil {
			p.instances = make(map[key]*instance)
		}
		p.instances[k] = i
	}
	p.mu.Unlock()
	if replaced != nil {
		p.retire(replaced)
	}
	if described.Leaving {
		p.retire(i)
		return
	}
	p.resize(i, p.Share(group.ID), group.Slots)
}

// resize applies the share and the slots and closes idle connections above the
// share.
func (p *Pool) resize(i *instance, share, slots int) {
	if slots <= 0 {
		slots = share
	}
	i.mu.Lock()
	i.leaving = false
	i.share = share
	i.slots = slots
	var surplus []*connection
	for i.open > share && len(i.idle) > 0 {
		surplus = append(surplus, i.idle[0])
		i.idle = i.idle[1:]
		i.open--
	}
	dials := i.grant()
	i.mu.Unlock()
	closeAll(surplus)
	p.dial(i, dials)
}

// retire stops lending connections of the instance and closes the idle ones.
func (p *Pool) retire(i *instance) {
	i.mu.Lock()
	i.leaving = true
	idle := i.idle
	i.idle = nil
	i.open -= len(idle)
	waiting := i.waiting
	i.waiting = nil
	i.mu.Unlock()
	closeAll(idle)
	for _, w := range waiting {
		w.granted <- nil
	}
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.close()
	}
}

// all returns the instances of the document in force.
func (p *Pool) all() []*instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*instance, 0, len(p.instances))
	for _, i := range p.instances {
		all = append(all, i)
	}
	return all
}

// find returns what the pool holds for an instance, or nil.
func (p *Pool) find(group proxy.GroupID, id proxy.InstanceID) *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances[key{group, id}]
}
