// Package failover decides when a group's primary is replaced, when the old primary
// is no longer used, and which instance succeeds it.
//
// The store holds one leadership record for each group. A host may use the primary
// that the record names for the time Lease after it has read the record. A failover
// first changes the record, which makes hosts stop using the old primary. It requests
// the promotion of a successor only when every host has confirmed that, or when the
// leases of all hosts have expired. A confirmation binds the host beyond the process that
// sent it: a process uses a primary only after a read of the record that began after the
// process did. Therefore no host acknowledges a write or answers a strict read on the old
// primary after a commit on the new one.
//
// A store that comes back from a copy may return a record that had been replaced. Records
// therefore name the era of the store in which they were written, and count in that era only. A
// host whose lease from the era before has not expired knows that its primary was not replaced,
// and writes the record again in the new era. If no lease is left, a failover finds the primary.
package failover

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

const (
	// Lease is how long after the start of a read of the record a host may use the
	// primary that the record names. It exceeds the time of two watches of the record,
	// so that one slow answer does not interrupt the group.
	Lease = 4500 * time.Millisecond
	// leaseClockMargin covers clock rates that differ by 1% and the transmission of
	// an answer.
	leaseClockMargin = 200 * time.Millisecond
	// AttemptTimeout is how long one host may coordinate a failover. It exceeds Lease
	// and the time that the platform takes for a promotion.
	AttemptTimeout = 9 * time.Second
	// takeoverTimeout is the age of a record from which another host takes over the
	// failover.
	takeoverTimeout = AttemptTimeout + 2*time.Second
	// coordinatorStartTimeout is the age of a record from which another host takes
	// over the failover if the coordinator has not confirmed it. A running
	// coordinator confirms at once.
	coordinatorStartTimeout = 3 * time.Second
	// PromotionSendTimeout is how long after a read of the record a coordinator may
	// send a promotion request.
	PromotionSendTimeout = time.Second
	// TakeoverPromotionDelay is how long a host that takes a failover over waits
	// before its first promotion request, so that no request of its predecessor can
	// arrive later: PromotionSendTimeout and the timeout of a request, which is then reset.
	TakeoverPromotionDelay = PromotionSendTimeout + 1200*time.Millisecond
	// absenceTimeout is how long the primary's entry may be missing: after an outage
	// of the store, entries are back within about two seconds.
	absenceTimeout = 2500 * time.Millisecond
	// PromotionTimeout is how long a promotion may take to become visible after its
	// request. Until then no other instance is promoted, since both could become
	// primary.
	PromotionTimeout = 5 * time.Second
	// demotedTimeout is how long a primary's entry may report another role, since the
	// entry and the record do not change at the same time.
	demotedTimeout = 2 * time.Second
	// CatchUpTimeout limits how long, after the leases of all hosts have expired, a failover
	// waits for the successor to receive all that the old primary had committed.
	CatchUpTimeout = 1500 * time.Millisecond
)

// Phase is the state of a leadership record.
type Phase string

// The phases of a leadership record. The last two are never stored. Unreadable stands for a
// record that another writer has overwritten with something else, Restored for one that was
// written in another era of the store than it is found in.
const (
	Settled    Phase = "settled"
	Replacing  Phase = "replacing"
	Unreadable Phase = "unreadable"
	Restored   Phase = "restored"
)

// Record is the stored leadership record of a group.
type Record struct {
	Primary proxy.InstanceID `json:"primary"`
	Phase   Phase            `json:"phase"`
	// Host coordinates the failover.
	Host proxy.HostID `json:"host,omitempty"`
	// Planned failovers wait for running transactions and until the successor has
	// received every commit.
	Planned bool `json:"planned,omitempty"`
	// Era is the era of the store in which the record was written. In any other era it may be
	// a copy that a later record had replaced, and no host uses a primary by it.
	Era proxy.Era `json:"era,omitempty"`
}

// Validate checks a record that was read from the store.
func (r Record) Validate() error {
	if r.Primary == "" {
		return eris.New("leadership record without a primary")
	}
	if r.Phase != Settled && r.Phase != Replacing {
		return eris.Errorf("leadership record with unknown phase %.20q", string(r.Phase))
	}
	return nil
}

// Reason is the reason for a failover, in words for logs.
type Reason string

// The reasons for a failover.
const (
	Leaving     Reason = "primary is leaving"
	Evacuated   Reason = "zone of the primary is evacuated"
	Absent      Reason = "primary is not registered"
	Demoted     Reason = "primary reports another role"
	Unreachable Reason = "most hosts cannot reach the primary"
	Abandoned   Reason = "replacement was not completed"
	Overwritten Reason = "leadership record is not readable"
	NotAffirmed Reason = "leadership record is of another era of the store"
)

// Planned reports whether the old primary still serves, so that the failover waits for
// running operations and until the successor has received every commit.
func (r Reason) Planned() bool { return r == Leaving || r == Evacuated }

// RecordLost reports that the record does not tell which instance leads, so that the one that
// most instances know as the primary is kept.
func (r Reason) RecordLost() bool { return r == Overwritten || r == NotAffirmed }

// View is a host's view of a group, the input of Decide.
type View struct {
	Record Record
	// RecordAge is how long the host has known this version of the record.
	RecordAge time.Duration
	// Instance is the primary's entry; nil while it is not registered.
	Instance *directory.Instance
	// Evacuated reports that the primary's zone is evacuated and that an instance elsewhere
	// can take over.
	Evacuated bool
	// Missing is how long the entry has been missing although the store answered.
	Missing time.Duration
	// Demoted is how long the entry has reported another role.
	Demoted time.Duration
	// CoordinatorRunning reports that the coordinator has recently confirmed the
	// failover, OwnAttemptMissing that this host is the coordinator but has no attempt
	// running.
	CoordinatorRunning, OwnAttemptMissing bool
	// Hosts is the number of hosts that took part in the last poll, SuspectingHosts
	// the number of those that cannot reach the primary.
	Hosts, SuspectingHosts int
}

// Decide reports whether the host has to start a failover now, or to take over an
// unfinished one, and returns the reason.
func Decide(v View) (Reason, bool) {
	if v.Record.Phase == Unreadable {
		return Overwritten, true
	}
	if v.Record.Phase == Restored {
		return NotAffirmed, v.RecordAge > Lease+leaseClockMargin
	}
	if v.Record.Phase == Replacing {
		return Abandoned, v.OwnAttemptMissing || v.RecordAge > takeoverTimeout || !v.CoordinatorRunning && v.RecordAge > coordinatorStartTimeout
	}
	switch {
	case 2*v.SuspectingHosts > v.Hosts:
		return Unreachable, true
	case v.Instance == nil:
		return Absent, v.Missing > absenceTimeout
	case v.Instance.Leaving:
		return Leaving, true
	case v.Evacuated:
		return Evacuated, true
	case !v.Instance.Primary && v.Demoted > demotedTimeout:
		return Demoted, true
	default:
		return "", false
	}
}

// NeverRestored is the age of the history of a store that reports no eras.
const NeverRestored = time.Duration(math.MaxInt64)

// Retired reports whether no host uses the old primary any more. Since is the time
// since the store acknowledged the record that began the failover. Confirmed reports
// that every registered host has accepted the failover. Restored is the time for which
// the store's era is known to last: a host whose registration was lost when it began
// is not asked, but may have a lease from before.
func Retired(since time.Duration, confirmed bool, restored time.Duration) bool {
	return confirmed && restored > Lease+leaseClockMargin || since > Lease+leaseClockMargin
}

// CurrentPrimary returns the instance that is primary in the newest term that any
// instance knows. A primary of an older term does not count: it has been replaced and
// does not know that yet.
func CurrentPrimary(statuses map[proxy.InstanceID]proxy.ReplicationStatus) (proxy.InstanceID, bool) {
	var newest proxy.Term
	for _, status := range statuses {
		newest = max(newest, status.Term)
	}
	for id, status := range statuses {
		if status.Primary && status.Term == newest {
			return id, true
		}
	}
	return "", false
}
