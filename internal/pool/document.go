package pool

import (
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/queue"
)

// reconcile adopts the document in force and the current shares. Groups of which
// this host has no share are not monitored.
func (p *Pool) reconcile() {
	document, _ := p.Catalog.Current()
	if document == nil {
		return
	}
	wanted := make(map[key]bool)
	for g := range document.Groups {
		group := &document.Groups[g]
		if p.Share(group.ID) <= 0 {
			continue
		}
		for n := range group.Instances {
			wanted[key{group.ID, group.Instances[n].ID}] = true
			p.adopt(group, &group.Instances[n])
		}
	}
	for _, i := range p.all() {
		if !wanted[key{i.group, i.id}] {
			p.drop(i)
		}
		p.expire(i)
		p.breakReplaced(i)
	}
	p.changes.announce()
}

// adopt creates or changes what the pool holds for one instance.
func (p *Pool) adopt(group *proxy.Group, described *proxy.Instance) {
	address := described.AddressIn(p.Stage)
	i := p.find(group.ID, described.ID)
	if i != nil && (i.address != address || i.database != group.Database || i.zone != described.Zone) {
		p.drop(i)
		i = nil
	}
	if i == nil {
		i = p.add(&instance{
			group:    group.ID,
			id:       described.ID,
			zone:     described.Zone,
			address:  address,
			database: group.Database,
			gone:     make(chan struct{}),
			waiting:  queue.New[*waiter](p.Queue),
		})
	}
	p.resize(i, p.Share(group.ID), group.Slots, described.Leaving)
	if described.Leaving {
		p.retire(i)
	}
}

// add keeps a new instance and starts its monitor.
func (p *Pool) add(i *instance) *instance {
	i.violated = func(what string) { p.violation(what, i) }
	p.mu.Lock()
	if p.instances == nil {
		p.instances = make(map[key]*instance)
	}
	p.instances[key{i.group, i.id}] = i
	p.mu.Unlock()
	p.spawn(func() { p.monitor(i) })
	return i
}

// drop forgets an instance that left the document or changed its address.
func (p *Pool) drop(i *instance) {
	p.mu.Lock()
	delete(p.instances, key{i.group, i.id})
	p.mu.Unlock()
	close(i.gone)
	p.retire(i)
	p.states.forget(i.group, i.id)
}

// resize applies the share and the slots and closes idle connections above the
// share.
func (p *Pool) resize(i *instance, share, slots int, leaving bool) {
	if slots <= 0 {
		slots = share
	}
	i.mu.Lock()
	i.leaving = leaving
	i.share = share
	i.slots = slots
	surplus := i.surplus()
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
	waiting := i.waiting.Clear()
	i.mu.Unlock()
	closeAll(idle)
	for _, item := range waiting {
		item.Value.granted <- result{err: errMoved}
	}
}

// expire refuses the requests that waited longer than the queue allows.
func (p *Pool) expire(i *instance) {
	now := p.Clock.Now()
	i.mu.Lock()
	expired := i.waiting.Expire(now)
	i.mu.Unlock()
	for _, item := range expired {
		item.Value.granted <- result{err: p.busy("the wait for instance %s of group %s was too long", i.id, i.group)}
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
