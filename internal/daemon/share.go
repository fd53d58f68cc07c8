package daemon

import (
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// shareDelay is how long a larger share of a group's connections waits before it
// is used. A share changes when the pool hosts of the group change; the other
// hosts learn of that within this time and give up what they have too much.
const shareDelay = 3 * time.Second

// Shares decides how many connections to each instance of a group this host may
// use. A smaller share applies at once, a larger one after shareDelay.
type Shares struct {
	mu     sync.Mutex
	groups map[proxy.GroupID]*shareState
}

type shareState struct {
	current int
	// wanted is a larger share, which was wanted without pause since an instant.
	wanted int
	since  proxy.Instant
}

// Use returns the share in force when the placement gives the host target
// connections.
func (s *Shares) Use(now proxy.Instant, group proxy.GroupID, target int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups == nil {
		s.groups = make(map[proxy.GroupID]*shareState)
	}
	g := s.groups[group]
	if g == nil {
		g = &shareState{}
		s.groups[group] = g
	}
	switch {
	case target <= g.current:
		g.current, g.wanted = target, target
	case target != g.wanted:
		g.wanted, g.since = target, now
	case now.Sub(g.since) >= shareDelay:
		g.current = target
	}
	return g.current
}
