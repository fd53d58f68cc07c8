package pool

import "sync"

// changes wakes the requests that wait for a state or the document to change.
type changes struct {
	mu   sync.Mutex
	next chan struct{}
}

// wait returns a channel that is closed at the next change.
func (c *changes) wait() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = make(chan struct{})
	}
	return c.next
}

func (c *changes) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		close(c.next)
		c.next = nil
	}
}
