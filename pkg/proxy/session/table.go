// Package session keeps the minimum positions of sessions, so that the reads of a
// session see all that the session has committed.
//
// A position is kept only on the host through which the session wrote. For a session
// that reads through another host, the pool gets the minimum position from the
// primary. The pool does not do so for reads that accept a staleness; these use the
// positions kept here.
package session

import (
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// DefaultRetention is how long a position is kept after the session's last
// write. A replica that lags more than this behind the primary may miss the
// write for reads that accept a larger staleness.
const DefaultRetention = 30 * time.Minute

// key identifies a session in a database group.
type key struct {
	group   proxy.GroupID
	account proxy.AccountID
	session string
}

// committed is the newest position that a session has committed.
type committed struct {
	position  proxy.Bookmark
	writtenAt proxy.Instant
}

// Table holds the positions of the sessions of a host. It implements
// proxy.Positions. Its exported fields must be set before use; it is then safe for
// concurrent use.
//
// Invariant: the position of a session never decreases while it is kept.
type Table struct {
	// Retention is how long a position is kept; zero selects DefaultRetention.
	Retention time.Duration

	mu        sync.Mutex
	positions map[key]committed
	lastSweep proxy.Instant
}

var _ proxy.Positions = (*Table)(nil)

// Minimum implements proxy.Positions.
func (t *Table) Minimum(
	_ proxy.Instant, group proxy.GroupID, account proxy.AccountID, session string,
) proxy.Bookmark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.positions[key{group, account, session}].position
}

// Committed implements proxy.Positions.
func (t *Table) Committed(
	now proxy.Instant, group proxy.GroupID, account proxy.AccountID, session string, position proxy.Bookmark,
) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.positions == nil {
		t.positions = make(map[key]committed)
		t.lastSweep = now
	}
	k := key{group, account, session}
	if old, ok := t.positions[k]; ok && position.Before(old.position) {
		position = old.position
	}
	t.positions[k] = committed{position: position, writtenAt: now}
	t.sweep(now)
}

// Len returns the number of positions.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.positions)
}

// sweep removes the positions whose retention has passed. It does so at most once
// per retention, which spreads its cost over many writes.
func (t *Table) sweep(now proxy.Instant) {
	retention := t.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	if now.Sub(t.lastSweep) < retention {
		return
	}
	t.lastSweep = now
	for k, c := range t.positions {
		if now.Sub(c.writtenAt) >= retention {
			delete(t.positions, k)
		}
	}
}
