package pool

import (
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/queue"
)

// instance holds the connections to one instance and the requests that wait for them.
//
// Invariants: open counts the connections that are idle, acquired or being dialled and
// the monitor's own one. It grows only while it is below share. acquired counts the
// connections that were granted and are not released yet.
type instance struct {
	group    proxy.GroupID
	id       proxy.InstanceID
	zone     proxy.Zone
	address  string
	database string
	// removed is closed when the pool removes the instance, because it is no longer in
	// the document or its address, database or zone has changed.
	removed chan struct{}
	// onViolation logs and counts a broken invariant.
	onViolation func(invariant string)

	mu       sync.Mutex
	idle     []*connection
	waiting  *queue.Queue[*waiter]
	share    int
	slots    int
	open     int
	dialing  int
	acquired int
	// primaryConnections holds the connections that were acquired while the instance
	// was the primary, with the term in which each was acquired.
	primaryConnections map[*connection]proxy.Term
	// hasMonitorConnection reports that the monitor has a connection of its own.
	hasMonitorConnection bool
	// leaving reports that no more connections of the instance are granted.
	leaving bool
	// dialFailures counts the failed dials since the last successful one.
	dialFailures int
}

// waiter is a request that waits for a connection to one instance.
type waiter struct {
	sessionKey sessionKey
	// granted receives exactly one result after the waiter has left the queue, unless
	// the request removed the waiter itself.
	granted chan grantResult
}

// grantResult is a connection or the reason why the waiter gets none.
type grantResult struct {
	conn *connection
	err  error
}

// grant assigns idle connections to waiters and returns the number of connections to
// dial, which it already counts as open. The caller must hold i.mu.
func (i *instance) grant() (dials int) {
	for len(i.idle) > 0 && i.acquired < i.slots {
		next := i.waiting.Pop()
		if next == nil {
			break
		}
		c := i.takeIdle(next.Value.sessionKey)
		if !i.markAcquired(c) {
			next.Value.granted <- grantResult{err: proxy.Refuse(proxy.InternalInconsistency, "connection lent twice")}
			continue
		}
		next.Value.granted <- grantResult{conn: c}
	}
	wanted := min(i.slots-i.acquired, i.waiting.Len()) - i.dialing
	dials = max(0, min(wanted, i.dialCapacity()))
	if dials > 0 && i.open+dials > i.share {
		i.onViolation("more open connections than the host's share")
		return 0
	}
	i.open += dials
	i.dialing += dials
	return dials
}

// markAcquired marks a connection as acquired and returns false if it already is.
func (i *instance) markAcquired(c *connection) bool {
	if c.acquired {
		i.onViolation("connection acquired twice")
		return false
	}
	c.acquired = true
	i.acquired++
	return true
}

// dialCapacity returns the number of connections that may be opened for requests.
// One connection is reserved for the monitor if the share is at least two.
func (i *instance) dialCapacity() int {
	dialCapacity := i.share - i.open
	if i.share > 1 && !i.hasMonitorConnection {
		dialCapacity--
	}
	return dialCapacity
}

// takeIdle removes and returns the best idle connection for a session: one that the
// session used last, else one that no session has used, else the one that has been
// idle for longest.
func (i *instance) takeIdle(key sessionKey) *connection {
	best := 0
	for n, c := range i.idle {
		if key.session != 0 && c.session == key {
			best = n
			break
		}
		if c.session == (sessionKey{}) && i.idle[best].session != (sessionKey{}) {
			best = n
		}
	}
	c := i.idle[best]
	i.idle = append(i.idle[:best], i.idle[best+1:]...)
	return c
}

// keepIdle adds a connection to the idle ones. If it cannot be kept, keepIdle counts it
// as closed and returns false, and the caller must close it. The caller must hold i.mu.
func (i *instance) keepIdle(c *connection, usable bool) bool {
	if usable && !i.leaving && i.open <= i.share {
		i.idle = append(i.idle, c)
		return true
	}
	i.open--
	return false
}

// surplus removes and returns idle connections above the share. The caller must
// hold i.mu.
func (i *instance) surplus() []*connection {
	n := min(max(0, i.open-i.share), len(i.idle))
	surplus := append([]*connection(nil), i.idle[:n]...)
	i.idle = i.idle[n:]
	i.open -= n
	return surplus
}
