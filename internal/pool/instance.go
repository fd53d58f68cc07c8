package pool

import (
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// instance is what the pool holds for one instance.
//
// Invariants: open counts the connections in idle, those lent, those being
// dialled and the monitor's; it rises only while it is below the share.
type instance struct {
	group    proxy.GroupID
	id       proxy.InstanceID
	zone     proxy.Zone
	address  string
	database string

	mu      sync.Mutex
	idle    []*connection
	waiting []*waiter
	share   int
	slots   int
	open    int
	dialing int
	lent    int
	// leaving instances get no new loan.
	leaving bool
	// failures counts the dials that failed since the last that succeeded.
	failures int
}

// waiter is a Lend that waits for a connection to one instance.
type waiter struct {
	owner owner
	// after excludes connections that were dialled before it.
	after proxy.Instant
	// granted receives a connection, or nil when the instance left.
	granted chan *connection
}

// grant hands idle connections to waiters and returns the number of connections
// to dial. The caller holds the lock.
func (i *instance) grant() (dials int) {
	for len(i.waiting) > 0 && i.lent < i.slots {
		c := i.take(i.waiting[0])
		if c == nil {
			break
		}
		w := i.waiting[0]
		i.waiting = i.waiting[1:]
		c.lent = true
		i.lent++
		w.granted <- c
	}
	room := min(i.slots-i.lent, len(i.waiting)) - i.dialing
	dials = max(0, min(room, i.share-i.open))
	i.open += dials
	i.dialing += dials
	return dials
}

// take removes the idle connection that suits the waiter best: that of its own
// session, then one without a session, then the one unused for longest.
func (i *instance) take(w *waiter) *connection {
	best := -1
	for n, c := range i.idle {
		if c.dialled < w.after {
			continue
		}
		if w.owner.session != 0 && c.session == w.owner {
			best = n
			break
		}
		if best < 0 || c.session == (owner{}) && i.idle[best].session != (owner{}) {
			best = n
		}
	}
	if best < 0 {
		return nil
	}
	c := i.idle[best]
	i.idle = append(i.idle[:best], i.idle[best+1:]...)
	return c
}

// forget removes a waiter and reports whether it was still waiting.
func (i *instance) forget(w *waiter) bool {
	for n, other := range i.waiting {
		if other == w {
			i.waiting = append(i.waiting[:n], i.waiting[n+1:]...)
			return true
		}
	}
	return false
}
