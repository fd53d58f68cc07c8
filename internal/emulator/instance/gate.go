package instance

import (
	"context"
	"sync"
)

// gate limits the statements that run at once. Statements above the limit wait
// in order of arrival.
type gate struct {
	mu      sync.Mutex
	limit   int // 0 for none
	used    int
	highest int
	queue   []chan struct{}
}

// setLimit changes the limit.
func (g *gate) setLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = limit
	g.admit()
}

// admit lets waiters in while there are free slots.
func (g *gate) admit() {
	for len(g.queue) > 0 && g.free() {
		close(g.queue[0])
		g.queue = g.queue[1:]
		g.take()
	}
}

func (g *gate) free() bool { return g.limit <= 0 || g.used < g.limit }

func (g *gate) take() {
	g.used++
	g.highest = max(g.highest, g.used)
}

// enter takes a slot, also when it returns an error; leave follows in any case.
func (g *gate) enter(ctx context.Context) error {
	g.mu.Lock()
	if g.free() && len(g.queue) == 0 {
		g.take()
		g.mu.Unlock()
		return nil
	}
	admitted := make(chan struct{})
	g.queue = append(g.queue, admitted)
	g.mu.Unlock()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
		g.cancel(admitted)
		return context.Cause(ctx)
	}
}

// cancel ends a wait and counts the slot that the following leave gives back.
func (g *gate) cancel(admitted chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, c := range g.queue {
		if c == admitted {
			g.queue = append(g.queue[:i:i], g.queue[i+1:]...)
			g.used++
			return
		}
	}
}

// reenter takes a slot above the limit, for the end of a cancelled statement.
func (g *gate) reenter() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used++
}

// leave gives a slot back.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used--
	g.admit()
}

// counts returns the statements that run and wait, and the highest number that
// ran at once.
func (g *gate) counts() (used, waiting, highest int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used, len(g.queue), g.highest
}
