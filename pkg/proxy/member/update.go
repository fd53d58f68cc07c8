package member

import (
	"math/bits"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// pendingUpdate is an update that is still sent to peers.
type pendingUpdate struct {
	update    Update
	sendsLeft int
}

// apply stores an update if it is newer than the table's entry, and reports
// whether the set of live hosts may have changed.
//
// Updates of one host are ordered by incarnation, then by sequence number, then
// by status. Suspect and Failed are refuted only by a higher sequence number,
// which only the host itself assigns, or by a later incarnation.
func (t *Table) apply(now proxy.Instant, u Update) bool {
	if u.State.ID == t.Self.ID {
		t.refute(u)
		return false
	}
	e, ok := t.entries[u.State.ID]
	if !ok {
		t.insert(now, u.State, u.Status).sequence = u.Sequence
		t.disseminate(u)
		return true
	}
	if !newer(u, e) {
		return false
	}
	before := *e
	e.state = u.State
	e.status = u.Status
	e.sequence = u.Sequence
	e.statusSince = now
	t.disseminate(u)
	return before.status != e.status || before.state != e.state
}

func newer(u Update, e *entry) bool {
	if u.State.Incarnation != e.state.Incarnation {
		return u.State.Incarnation > e.state.Incarnation
	}
	if u.Sequence != e.sequence {
		return u.Sequence > e.sequence
	}
	return u.Status > e.status
}

// refute announces this host as alive if an update reports it as suspected or
// failed, or with a later incarnation. The latter happens when the wall clock,
// from which incarnations are derived, has been set back.
func (t *Table) refute(u Update) {
	if u.State.Incarnation > t.Self.Incarnation {
		t.Self.Incarnation = u.State.Incarnation + 1
		t.sequence = 0
		t.disseminate(Update{State: t.Self, Status: Alive})
		return
	}
	if u.State.Incarnation < t.Self.Incarnation || u.Status == Alive || u.Sequence < t.sequence {
		return
	}
	t.sequence = u.Sequence + 1
	t.disseminate(Update{State: t.Self, Status: Alive, Sequence: t.sequence})
}

// disseminate queues an update for the next messages and replaces a queued update
// of the same host. The number of times that an update is sent grows with the
// logarithm of the fleet's size, as in SWIM.
func (t *Table) disseminate(u Update) {
	sends := 3 * (bits.Len(uint(len(t.entries))) + 1)
	for i := range t.pending {
		if t.pending[i].update.State.ID == u.State.ID {
			t.pending[i] = pendingUpdate{update: u, sendsLeft: sends}
			return
		}
	}
	t.pending = append(t.pending, pendingUpdate{update: u, sendsLeft: sends})
}

// updates returns the queued updates for one message. It moves them to the end of
// the queue, or removes those that have been sent often enough.
func (t *Table) updates() []Update {
	n := min(maxUpdates, len(t.pending))
	updates := make([]Update, 0, n)
	kept := make([]pendingUpdate, 0, len(t.pending))
	for i, item := range t.pending {
		if i < n {
			updates = append(updates, item.update)
			item.sendsLeft--
		}
		if item.sendsLeft > 0 {
			kept = append(kept, item)
		}
	}
	// Updates that were sent move behind those that were not.
	sentCount := len(kept) - max(0, len(t.pending)-n)
	t.pending = append(kept[sentCount:], kept[:sentCount]...)
	return updates
}
