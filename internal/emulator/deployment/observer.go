package deployment

import "time"

// Run is a statement that an instance has run.
type Run struct {
	At       time.Time
	Instance string
	Tenant   string
	// Request is the id that came with the statement.
	Request string
	// Verb is READ, WRITE or COMMIT.
	Verb string
	// Shape is that of the prepared statement, empty for others.
	Shape string
	// Row is what a read has returned.
	Row         string
	Signature   string
	Transaction bool
	// Committed are the requests whose writes, or whose commit, took effect.
	Committed []string
	// Superseded reports that another instance led a newer term.
	Superseded bool
}

// Observer is told what instances do. Its methods are called with the lock of a
// group held.
type Observer interface {
	Ran(Run)
	// Discarded tells of a committed write that a promotion rolled back.
	Discarded(item, data string)
}

// Observe sets the observer of all groups.
func (d *Deployment) Observe(o Observer) {
	for _, g := range d.Groups {
		g.mu.Lock()
		g.observer = o
		g.mu.Unlock()
	}
}
