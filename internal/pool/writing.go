package pool

import (
	"context"
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// readiness is implemented by leaders that know whether a write that is sent
// now can be expected to be acknowledged. Where it cannot, the write waits
// before it is sent, so that a refusal can still say "not run".
type readiness interface {
	Ready(now proxy.Instant, group proxy.GroupID) error
}

// writers counts the write loans of each group.
type writers struct {
	mu     sync.Mutex
	counts map[proxy.GroupID]int
}

// add changes the count of a group and tells Writing.
func (p *Pool) addWriter(group proxy.GroupID, delta int) {
	p.writers.mu.Lock()
	if p.writers.counts == nil {
		p.writers.counts = make(map[proxy.GroupID]int)
	}
	p.writers.counts[group] += delta
	count := p.writers.counts[group]
	p.writers.mu.Unlock()
	if p.Writing != nil {
		p.Writing(group, count)
	}
}

// readyToWrite reports that the group's primary can acknowledge writes.
func (p *Pool) readyToWrite(group proxy.GroupID) error {
	ready, ok := p.Leaders.(readiness)
	if !ok {
		return nil
	}
	return ready.Ready(p.Clock.Now(), group)
}

// awaitReady waits until a write of the group can be expected to be
// acknowledged and returns the refusal when ctx ends first.
func (p *Pool) awaitReady(ctx context.Context, group proxy.GroupID) error {
	for {
		changed := p.changes.wait()
		err := p.readyToWrite(group)
		if err == nil || ctx.Err() != nil {
			return err
		}
		p.await(ctx, changed)
	}
}
