package pool

import (
	"context"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// drainInterval is the interval at which Drain checks the acquired connections.
const drainInterval = 10 * time.Millisecond

// errDraining refuses a request with a code that makes the client's host try another
// pool host.
var errDraining = proxy.Refuse(proxy.CannotConnectNow, "the pool is shutting down")

// Drain refuses new requests and returns when all acquired connections are released or
// ctx ends. It returns the number of connections that are still acquired.
func (p *Pool) Drain(ctx context.Context) int {
	p.draining.Store(true)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		remaining := p.acquiredCount()
		if remaining == 0 || ctx.Err() != nil {
			return remaining
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// acquiredCount returns the number of acquired connections.
func (p *Pool) acquiredCount() int {
	n := 0
	for _, i := range p.all() {
		i.mu.Lock()
		n += i.acquired
		i.mu.Unlock()
	}
	return n
}
