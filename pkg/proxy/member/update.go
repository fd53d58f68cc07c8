package member

import (
	"math/bits"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// pendingUpdate is an update that is still passed on.
type pendingUpdate struct {
	update Update
	left   int
}

// apply takes an update into the table if it is newer than what is known, and
// reports whether the set of live hosts may have changed.
//
// Order of updates of one host: by incarnation, then by round, then by status.
// Suspect and Failed are refuted only by a higher round, which the host itself
// chooses, or by a later incarnation.
func (t *Table) apply(now proxy.Instant, u Update) bool {
	if u.State.ID == t.Self.ID {
		t.refute(u)
		return false
	}
	e, ok := t.entries[u.State.ID]
	if !ok {
		t.insert(now, u.State, u.Status).round = u.Round
		t.disseminate(u)
		return true
	}
	if !newer(u, e) {
		return false
	}
	before := *e
	e.state = u.State
	e.status = u.Status
	e.round = u.Round
	e.since = now
	t.disseminate(u)
	return before.status != e.status || before.state != e.state
}

func newer(u Update, e *entry) bool {
	if u.State.Incarnation != e.state.Incarnation {
		return u.State.Incarnation > e.state.Incarnation
	}
	if u.Round != e.round {
		return u.Round > e.round
	}
	return u.Status > e.status
}

// refute answers updates that this host is suspected or failed, or that a later
// incarnation of it is known, which happens when the wall clock that the
// incarnation was drawn from has gone back.
func (t *Table) refute(u Update) {
	if u.State.Incarnation > t.Self.Incarnation {
		t.Self.Incarnation = u.State.Incarnation + 1
		t.round = 0
		t.disseminate(Update{State: t.Self, Status: Alive})
		return
	}
	if u.State.Incarnation < t.Self.Incarnation || u.Status == Alive || u.Round < t.round {
		return
	}
	t.round = u.Round + 1
	t.disseminate(Update{State: t.Self, Status: Alive, Round: t.round})
}

// disseminate queues an update for the next messages, in place of an older update of the
// same host. Each update is passed on a number of times that grows with the
// logarithm of the fleet.
func (t *Table) disseminate(u Update) {
	times := 3 * (bits.Len(uint(len(t.entries))) + 1)
	for i := range t.pending {
		if t.pending[i].update.State.ID == u.State.ID {
			t.pending[i] = pendingUpdate{update: u, left: times}
			return
		}
	}
	t.pending = append(t.pending, pendingUpdate{update: u, left: times})
}

// updates returns the updates for one message, those sent least often first.
func (t *Table) updates() []Update {
	n := min(maxUpdates, len(t.pending))
	updates := make([]Update, 0, n)
	kept := make([]pendingUpdate, 0, len(t.pending))
	for i, item := range t.pending {
		if i < n {
			updates = append(updates, item.update)
			item.left--
		}
		if item.left > 0 {
			kept = append(kept, item)
		}
	}
	// Items that were sent move behind those that wait.
	rotated := len(kept) - max(0, len(t.pending)-n)
	t.pending = append(kept[rotated:], kept[:rotated]...)
	return updates
}
