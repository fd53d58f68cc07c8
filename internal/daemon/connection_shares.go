package daemon

import (
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// shareIncreaseDelay is the delay before a larger share of a group's connections
// takes effect. A share changes when the group's pool hosts change. Within this
// time the other pool hosts see the change and close their excess connections.
const shareIncreaseDelay = 3 * time.Second

// ConnectionShares decides how many connections to each instance of a group this
// host may use. A smaller share takes effect at once, a larger one after
// shareIncreaseDelay.
type ConnectionShares struct {
	mu     sync.Mutex
	groups map[proxy.GroupID]*groupShare
}

type groupShare struct {
	current int
	// lastTarget is the target of the last call. While it is larger than current,
	// targetSince is the instant of the first call with this target.
	lastTarget  int
	targetSince proxy.Instant
}

// Update records the target, the connections that the placement assigns to this
// host, and returns the share in force.
func (s *ConnectionShares) Update(now proxy.Instant, group proxy.GroupID, target int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.groups == nil {
		s.groups = make(map[proxy.GroupID]*groupShare)
	}
	g := s.groups[group]
	if g == nil {
		g = &groupShare{}
		s.groups[group] = g
	}
	switch {
	case target <= g.current:
		g.current, g.lastTarget = target, target
	case target != g.lastTarget:
		g.lastTarget, g.targetSince = target, now
	case now.Sub(g.targetSince) >= shareIncreaseDelay:
		g.current = target
	}
	return g.current
}
