package pool

import (
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/queue"
)

// reconcile applies the document in force and the current shares. Groups of which this
// host has no share are neither pooled nor monitored.
func (p *Pool) reconcile() {
	document, _ := p.Catalog.Current()
	if document == nil {
		return
	}
	wanted := make(map[instanceKey]bool)
	for g := range document.Groups {
		group := &document.Groups[g]
		if p.Share(group.ID) <= 0 {
			continue
		}
		for n := range group.Instances {
			wanted[instanceKey{group.ID, group.Instances[n].ID}] = true
			p.applyInstance(group, &group.Instances[n])
		}
	}
	for _, i := range p.all() {
		if !wanted[instanceKey{i.group, i.id}] {
			p.removeInstance(i)
		}
		p.expireWaiters(i)
		p.closeFormerPrimary(i)
	}
	p.changes.notify()
}

// applyInstance adds or updates one instance.
func (p *Pool) applyInstance(group *proxy.Group, config *proxy.Instance) {
	address := config.AddressIn(p.Stage)
	i := p.findInstance(group.ID, config.ID)
	if i != nil && (i.address != address || i.database != group.Database || i.zone != config.Zone) {
		p.removeInstance(i)
		i = nil
	}
	if i == nil {
		i = p.addInstance(&instance{
			group:    group.ID,
			id:       config.ID,
			zone:     config.Zone,
			address:  address,
			database: group.Database,
			removed:  make(chan struct{}),
			waiting:  queue.New[*waiter](p.Queue),
		})
	}
	p.resize(i, p.Share(group.ID), group.Slots, config.Leaving)
	if config.Leaving {
		p.retire(i)
	}
}

// addInstance adds a new instance and starts its monitor.
func (p *Pool) addInstance(i *instance) *instance {
	i.onViolation = func(invariant string) { p.reportViolation(invariant, i) }
	p.mu.Lock()
	if p.instances == nil {
		p.instances = make(map[instanceKey]*instance)
	}
	p.instances[instanceKey{i.group, i.id}] = i
	p.mu.Unlock()
	p.spawn(func() { p.monitor(i) })
	return i
}

// removeInstance removes an instance that is no longer in the document or whose address,
// database or zone has changed.
func (p *Pool) removeInstance(i *instance) {
	p.mu.Lock()
	delete(p.instances, instanceKey{i.group, i.id})
	p.mu.Unlock()
	close(i.removed)
	p.retire(i)
	p.states.remove(i.group, i.id)
}

// resize applies the share and the slots, and closes idle connections above the share.
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
	p.startDials(i, dials)
}

// retire closes the idle connections of an instance and makes its waiters choose another
// instance. No more connections of the instance are granted.
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
		item.Value.granted <- grantResult{err: errChooseAgain}
	}
}

// expireWaiters refuses the requests that have waited longer than the queue allows.
func (p *Pool) expireWaiters(i *instance) {
	now := p.Clock.Now()
	i.mu.Lock()
	expired := i.waiting.Expire(now)
	i.mu.Unlock()
	for _, item := range expired {
		item.Value.granted <- grantResult{err: p.refuseBusy("the wait for instance %s of group %s was too long", i.id, i.group)}
	}
}

func closeAll(connections []*connection) {
	for _, c := range connections {
		c.close()
	}
}

// all returns the instances that the pool holds.
func (p *Pool) all() []*instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*instance, 0, len(p.instances))
	for _, i := range p.instances {
		all = append(all, i)
	}
	return all
}

// findInstance returns an instance that the pool holds, or nil.
func (p *Pool) findInstance(group proxy.GroupID, id proxy.InstanceID) *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances[instanceKey{group, id}]
}
