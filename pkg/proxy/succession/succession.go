// Package succession decides when a group's primary is replaced, when the old
// one can no longer serve anybody, and which instance follows.
//
// The store holds one record for each group. A host uses the primary that the
// record names while it has read the record within Lease. A replacement first
// changes the record, which makes hosts stop using the old primary, and orders
// the promotion only when every host has confirmed that or its lease has
// ended. No acknowledgement or strict read of the old primary can therefore
// follow a commit on the new one.
package succession

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// Times of a succession.
const (
	// Lease is how long after sending a read of the record a host may use the
	// primary that it names. It exceeds two watches, so that one slow answer
	// does not stop the group.
	Lease = 4500 * time.Millisecond
	// leaseMargin covers clock rates that differ by 1% and the way of an answer.
	leaseMargin = 200 * time.Millisecond
	// AttemptTime is how long one host may conduct a replacement. It exceeds
	// Lease and the time that the platform takes for a promotion.
	AttemptTime = 9 * time.Second
	// takeOverTime is when another host continues a replacement.
	takeOverTime = AttemptTime + 2*time.Second
	// startTime is when another host continues a replacement whose conductor has
	// not confirmed it. A conductor that runs does so at once.
	startTime = 3 * time.Second
	// OrderTime is how long after reading the record a conductor may send a
	// promote call.
	OrderTime = time.Second
	// OrderPause is how long a host that continues another's replacement waits
	// before its first promote call, so that no earlier call can arrive after it:
	// OrderTime and the time-out of a call.
	OrderPause = OrderTime + 1200*time.Millisecond
	// absenceTime is how long an entry may be missing: entries are back within
	// about two seconds of the store's return.
	absenceTime = 2500 * time.Millisecond
	// PromotionTime is how long a promotion may take to be seen after its order.
	// Until then no other instance is ordered, since both could become primary.
	PromotionTime = 5 * time.Second
	// demotedTime is how long a primary may report another role, since reports
	// and the record change one after the other.
	demotedTime = 2 * time.Second
)

// Phase is the state of a group's record.
type Phase string

// The phases of a record.
const (
	Settled   Phase = "settled"
	Replacing Phase = "replacing"
)

// Record is the stored leadership of a group.
type Record struct {
	Primary proxy.InstanceID `json:"primary"`
	Phase   Phase            `json:"phase"`
	// Host conducts the replacement.
	Host proxy.HostID `json:"host,omitempty"`
	// Planned replacements wait for running transactions and for the successor
	// to receive every commit.
	Planned bool `json:"planned,omitempty"`
}

// Validate checks a record that was read from the store.
func (r Record) Validate() error {
	if r.Primary == "" {
		return eris.New("record without a primary")
	}
	if r.Phase != Settled && r.Phase != Replacing {
		return eris.Errorf("record with the unknown phase %.20q", string(r.Phase))
	}
	return nil
}

// Reason tells why a primary is replaced.
type Reason string

// The reasons of a replacement.
const (
	Leaving     Reason = "primary is leaving"
	Absent      Reason = "primary is not registered"
	Demoted     Reason = "primary reports another role"
	Unreachable Reason = "most hosts cannot reach the primary"
	Abandoned   Reason = "replacement was not completed"
)

// View is what a host knows of a group when it decides.
type View struct {
	Record Record
	// Held is how long the host has known this version of the record.
	Held time.Duration
	// Instance is the primary's entry; nil while it is not registered.
	Instance *directory.Instance
	// Missing is how long the entry has been missing while the store answered.
	Missing time.Duration
	// Demoted is how long the entry has reported another role.
	Demoted time.Duration
	// Conducting reports that the replacement's conductor has confirmed it, Own
	// that this host is the conductor and conducts nothing.
	Conducting, Own bool
	// Hosts is the number of live hosts, Suspecting the number of those that
	// cannot reach the primary.
	Hosts, Suspecting int
}

// Decide returns why the primary has to be replaced now, and false if it stays.
func Decide(v View) (Reason, bool) {
	if v.Record.Phase == Replacing {
		return Abandoned, v.Own || v.Held > takeOverTime || !v.Conducting && v.Held > startTime
	}
	switch {
	case 2*v.Suspecting > v.Hosts:
		return Unreachable, true
	case v.Instance == nil:
		return Absent, v.Missing > absenceTime
	case v.Instance.Leaving:
		return Leaving, true
	case !v.Instance.Primary && v.Demoted > demotedTime:
		return Demoted, true
	default:
		return "", false
	}
}

// Retired reports whether no host uses the old primary any more. Since is the
// time since the store acknowledged the record, confirmed whether every
// registered host has confirmed it.
func Retired(since time.Duration, confirmed bool) bool {
	return confirmed || since > Lease+leaseMargin
}

// Leading returns the instance that leads the newest term that any instance
// knows. A primary of an older term does not count: it has been replaced and
// does not know it yet.
func Leading(conditions map[proxy.InstanceID]proxy.ReplicationStatus) (proxy.InstanceID, bool) {
	var newest proxy.Term
	for _, c := range conditions {
		newest = max(newest, c.Term)
	}
	for id, c := range conditions {
		if c.Primary && c.Term == newest {
			return id, true
		}
	}
	return "", false
}

// Successor returns the instance with the longest log among those that answered
// and are not excluded. Those that are leaving are taken only where there is no
// other. It returns false where there is none.
func Successor(
	instances []directory.Instance, conditions map[proxy.InstanceID]proxy.ReplicationStatus, excluded ...proxy.InstanceID,
) (proxy.InstanceID, bool) {
	candidates := make([]directory.Instance, 0, len(instances))
	for _, i := range instances {
		if _, ok := conditions[i.ID]; ok && !slices.Contains(excluded, i.ID) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return slices.MinFunc(candidates, func(a, b directory.Instance) int {
		return compareCandidates(a, b, conditions)
	}).ID, true
}

// compareCandidates orders the better candidate first.
func compareCandidates(a, b directory.Instance, conditions map[proxy.InstanceID]proxy.ReplicationStatus) int {
	if a.Leaving != b.Leaving {
		if b.Leaving {
			return -1
		}
		return 1
	}
	x, y := conditions[a.ID].Received, conditions[b.ID].Received
	switch {
	case y.Before(x):
		return -1
	case x.Before(y):
		return 1
	default:
		return strings.Compare(string(a.ID), string(b.ID))
	}
}
