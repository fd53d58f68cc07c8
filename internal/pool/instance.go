package pool

import (
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/queue"
)

// instance is what the pool holds for one instance.
//
// Invariants: open counts the connections in idle, those lent, those being
// dialled and the monitor's; it rises only while it is below share. lent counts
// the connections granted to waiters and not yet returned.
type instance struct {
	group    proxy.GroupID
	id       proxy.InstanceID
	zone     proxy.Zone
	address  string
	database string
	// gone is closed when the instance leaves the document.
	gone chan struct{}
	// violated reports a broken invariant.
	violated func(what string)

	mu      sync.Mutex
	idle    []*connection
	waiting *queue.Queue[*waiter]
	share   int
	slots   int
	open    int
	dialing int
	lent    int
	// primaryLoans holds the connections that were lent while the instance was
	// the primary, with the loans' terms.
	primaryLoans map[*connection]proxy.Term
	// watched reports that the monitor has a connection of its own.
	watched bool
	// leaving instances get no new loan.
	leaving bool
	// failures counts the dials that failed since the last that succeeded.
	failures int
}

// waiter is a Lend that waits for a connection to one instance.
type waiter struct {
	owner owner
	// granted receives exactly one result once the waiter has left the queue.
	granted chan result
}

// result is what a waiter gets: a connection or a refusal.
type result struct {
	conn *connection
	err  error
}

// grant hands idle connections to waiters and returns the number of connections
// to dial, which are counted as open. The caller holds the lock.
func (i *instance) grant() (dials int) {
	for len(i.idle) > 0 && i.lent < i.slots {
		next := i.waiting.Pop()
		if next == nil {
			break
		}
		c := i.take(next.Value.owner)
		if !i.hold(c) {
			next.Value.granted <- result{err: proxy.Refuse(proxy.InternalInconsistency, "connection lent twice")}
			continue
		}
		next.Value.granted <- result{conn: c}
	}
	wanted := min(i.slots-i.lent, i.waiting.Len()) - i.dialing
	dials = max(0, min(wanted, i.room()))
	if dials > 0 && i.open+dials > i.share {
		i.violated("more connections than the share")
		return 0
	}
	i.open += dials
	i.dialing += dials
	return dials
}

// hold marks a connection as lent and returns false if it is lent already.
func (i *instance) hold(c *connection) bool {
	if c.lent {
		i.violated("connection lent twice")
		return false
	}
	c.lent = true
	i.lent++
	return true
}

// room returns the number of connections that may be opened for loans. From a
// share of two on, one connection is reserved for the monitor.
func (i *instance) room() int {
	room := i.share - i.open
	if i.share > 1 && !i.watched {
		room--
	}
	return room
}

// take removes the idle connection that suits the owner best: the one its
// session used, then one without a session, then the one unused for longest.
func (i *instance) take(o owner) *connection {
	best := 0
	for n, c := range i.idle {
		if o.session != 0 && c.session == o {
			best = n
			break
		}
		if c.session == (owner{}) && i.idle[best].session != (owner{}) {
			best = n
		}
	}
	c := i.idle[best]
	i.idle = append(i.idle[:best], i.idle[best+1:]...)
	return c
}

// keep puts a connection back among the idle ones or counts it as closed. The
// caller holds the lock and closes the connection when keep returns false.
func (i *instance) keep(c *connection, usable bool) bool {
	if usable && !i.leaving && i.open <= i.share {
		i.idle = append(i.idle, c)
		return true
	}
	i.open--
	return false
}

// surplus removes idle connections above the share.
func (i *instance) surplus() []*connection {
	n := min(max(0, i.open-i.share), len(i.idle))
	surplus := append([]*connection(nil), i.idle[:n]...)
	i.idle = i.idle[n:]
	i.open -= n
	return surplus
}
