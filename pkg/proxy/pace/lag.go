package pace

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// firstPause and maxPause are how long a replica that lagged gets no statement that needs the
// position which it lacked. The pause doubles each time that it still lacks it.
const firstPause, maxPause = 25 * time.Millisecond, 200 * time.Millisecond

// Lag is the lowest position that a replica was found to lack. The zero value is that of a
// replica which lacks none. It is not safe for concurrent use.
type Lag struct {
	lacked     proxy.Bookmark
	pause      time.Duration
	recordedAt proxy.Instant
	// until is the end of the pause.
	until proxy.Instant
}

// Lacks reports whether the replica is assumed to lack a position. After each pause it
// returns false once, so that one statement finds out.
func (l *Lag) Lacks(now proxy.Instant, position proxy.Bookmark) bool {
	if l.pause == 0 || position.Before(l.lacked) {
		return false
	}
	if now < l.until {
		return true
	}
	l.until = now.Add(l.pause)
	return false
}

// Record records whether the replica has answered that it lacks a position which a statement
// sent at sent needed.
func (l *Lag) Record(now, sent proxy.Instant, position proxy.Bookmark, lacked bool) {
	if !lacked {
		if !position.Before(l.lacked) {
			*l = Lag{}
		}
		return
	}
	switch {
	case l.pause == 0:
		l.lacked, l.pause = position, firstPause
	case sent >= l.recordedAt:
		l.pause = min(2*l.pause, maxPause)
	}
	if position.Before(l.lacked) {
		l.lacked = position
	}
	l.recordedAt, l.until = now, now.Add(l.pause)
}
