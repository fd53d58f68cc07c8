package dispatch

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// reserve reserves a statement to a cold instance for a connection. A statement for each open
// transaction that rests is left, so that these can go on.
func (i *instance) reserve(now proxy.Instant, c *Connection) bool {
	if i.warmup == nil {
		return true
	}
	resting := -i.running
	for _, n := range i.acquired {
		resting += n
	}
	c.reserved = i.warmup.Reserve(now, i.ID, max(resting, 0))
	return c.reserved
}

func (c *Connection) cancelReservation() {
	if c.reserved {
		c.reserved = false
		c.inst.warmup.Cancel(c.Instance)
	}
}

// Send records that statements are about to be sent on an acquired connection and returns
// zero. If they are too many for a cold instance, it returns how long to wait before it is
// called again.
func (t *Table) Send(now proxy.Instant, c *Connection, statements int) time.Duration {
	if t.Warmup == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.Warmup.Send(now, c.Instance, statements, c.reserved)
	if wait == 0 {
		c.reserved = false
	}
	return wait
}

// Arrived records that an instance has answered statements sent at an instant, which tells
// that it has not restarted since the connection was opened.
func (t *Table) Arrived(c *Connection, sent proxy.Instant) {
	if t.Warmup != nil {
		t.Warmup.Answered(c.Instance, c.OpenedAt, sent)
	}
}
