package pool

import (
	"context"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// drainInterval is the time between two looks at the loans that are left.
const drainInterval = 10 * time.Millisecond

// errDraining refuses a loan so that the front asks another pool host.
var errDraining = proxy.Refuse(proxy.CannotConnectNow, "the pool is shutting down")

// Drain lends no more and returns when all loans have come back or ctx ends. It
// reports the number of loans that are left.
func (p *Pool) Drain(ctx context.Context) int {
	p.draining.Store(true)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		left := p.loans()
		if left == 0 || ctx.Err() != nil {
			return left
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// loans counts the connections that are lent.
func (p *Pool) loans() int {
	n := 0
	for _, i := range p.all() {
		i.mu.Lock()
		n += i.lent
		i.mu.Unlock()
	}
	return n
}
