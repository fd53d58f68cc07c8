// Package session keeps the minimum positions of sessions: a read of a session
// must not see less than what the session has committed.
//
// A position is kept by the host through which the session wrote. A session
// that reads through another host is covered by the bound that the pool takes
// from the primary; the positions kept here serve reads that accept an age, for
// which the pool takes no such bound.
package session

import (
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// DefaultRetention is how long a position is kept after the session's last
// write. A replica that lags more than this behind the primary may miss the
// write for reads that accept a larger age.
const DefaultRetention = 30 * time.Minute

// key identifies a session in a database group.
type key struct {
	group   proxy.GroupID
	account proxy.AccountID
	session string
}

// bound is the newest position that a session committed.
type bound struct {
	at      proxy.Bookmark
	written proxy.Instant
}

// Table holds the positions of one host's sessions. Exported fields are set
// before use. It implements proxy.Positions and is safe for concurrent use.
//
// Invariant: the position of a session never decreases while it is kept.
type Table struct {
	Retention time.Duration

	mu     sync.Mutex
	bounds map[key]bound
	swept  proxy.Instant
}

var _ proxy.Positions = (*Table)(nil)

// Minimum implements proxy.Positions.
func (t *Table) Minimum(
	_ proxy.Instant, group proxy.GroupID, account proxy.AccountID, session string,
) proxy.Bookmark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bounds[key{group, account, session}].at
}

// Committed implements proxy.Positions.
func (t *Table) Committed(
	now proxy.Instant, group proxy.GroupID, account proxy.AccountID, session string, at proxy.Bookmark,
) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bounds == nil {
		t.bounds = make(map[key]bound)
		t.swept = now
	}
	k := key{group, account, session}
	if old, ok := t.bounds[k]; ok && at.Before(old.at) {
		at = old.at
	}
	t.bounds[k] = bound{at: at, written: now}
	t.sweep(now)
}

// Len returns the number of positions kept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.bounds)
}

// sweep removes the positions whose retention has passed, at most once per
// retention, so that its cost is spread over many writes.
func (t *Table) sweep(now proxy.Instant) {
	retention := t.Retention
	if retention == 0 {
		retention = DefaultRetention
	}
	if now.Sub(t.swept) < retention {
		return
	}
	t.swept = now
	for k, b := range t.bounds {
		if now.Sub(b.written) >= retention {
			delete(t.bounds, k)
		}
	}
}
