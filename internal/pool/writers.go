package pool

import (
	"context"
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// writeReadiness is implemented by a proxy.Leaders that knows whether a write sent now
// can be expected to be acknowledged. If it cannot, the write waits before it is sent,
// so that a refusal can still state that nothing was run.
type writeReadiness interface {
	Ready(now proxy.Instant, group proxy.GroupID) error
}

// writers counts the connections of each group that are acquired for writes.
type writers struct {
	mu     sync.Mutex
	counts map[proxy.GroupID]int
}

// addWriter changes the count of a group by delta and calls OnWriterCount.
func (p *Pool) addWriter(group proxy.GroupID, delta int) {
	p.writers.mu.Lock()
	if p.writers.counts == nil {
		p.writers.counts = make(map[proxy.GroupID]int)
	}
	p.writers.counts[group] += delta
	count := p.writers.counts[group]
	p.writers.mu.Unlock()
	if p.OnWriterCount != nil {
		p.OnWriterCount(group, count)
	}
}

// checkWritable returns an error if a write to the group cannot be expected to be
// acknowledged now.
func (p *Pool) checkWritable(group proxy.GroupID) error {
	ready, ok := p.Leaders.(writeReadiness)
	if !ok {
		return nil
	}
	return ready.Ready(p.Clock.Now(), group)
}

// awaitWritable waits until a write to the group can be expected to be acknowledged. It
// returns the refusal if ctx ends first.
func (p *Pool) awaitWritable(ctx context.Context, group proxy.GroupID) error {
	for {
		changed := p.changes.wait()
		err := p.checkWritable(group)
		if err == nil || ctx.Err() != nil {
			return err
		}
		p.awaitChange(ctx, changed)
	}
}
