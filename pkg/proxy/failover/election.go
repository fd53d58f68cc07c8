package failover

import (
	"slices"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

const (
	// GoneTimeout is how long after it has left the store an instance may still return
	// with commits that no other instance has.
	GoneTimeout = time.Minute
	// HistoryTime is how long a host must have followed the instances until those have
	// returned that had left the store before. An instance that crashed leaves it after three
	// heartbeats and is away for 7 s on the users' sheets.
	HistoryTime = 5 * time.Second
	// stayingTimeout is how long, after the old primary has stepped down, a successor that
	// is leaving is passed over for one that stays and has not caught up yet.
	stayingTimeout = 300 * time.Millisecond
)

// Election is what a coordinator knows of a group when no host uses the old primary any
// more, so that no further commit is acknowledged.
//
// A commit is acknowledged when the old primary and Synchronous replicas have it. All
// acknowledged commits are therefore in each log that reaches the end of the old primary's
// log, and in the longest log among so many replicas that fewer than Synchronous are left
// out.
type Election struct {
	// Primary is the old primary.
	Primary proxy.InstanceID
	// Instances are the registered instances and, if Synchronous is not zero, those that
	// left the store less than GoneTimeout ago. Partial reports that there may be more of
	// the latter.
	Instances []directory.Instance
	Partial   bool
	// Statuses are the replication statuses of the instances that have answered.
	Statuses map[proxy.InstanceID]proxy.ReplicationStatus
	// Synchronous is the number of replicas that receive a commit before it is
	// acknowledged.
	Synchronous int
	// Final is the end of the old primary's log, nil if it is not known. SteppedDown is the
	// time since the old primary has stepped down.
	Final       *proxy.Bookmark
	SteppedDown time.Duration
	// Waited is the time since the store acknowledged the record that began the failover.
	Waited time.Duration
	// Evacuated are the instances in evacuated zones. They get no statements, so they are
	// promoted only if no other one has all commits of a group with synchronous replicas:
	// the others then receive those from it, and it is replaced in turn.
	Evacuated map[proxy.InstanceID]bool
	// Rejected is the instance whose promotion the platform has just rejected, if any.
	Rejected proxy.InstanceID
}

// Successor returns the instance to promote, or false if there is none yet. It is the one
// with the longest log among those that have all acknowledged commits. Among equal logs,
// one that stays is preferred to one that is leaving. The old primary is only promoted
// again if no other instance has caught up within CatchUpTimeout.
func (e Election) Successor() (proxy.InstanceID, bool) {
	required, ok := e.requiredPosition()
	if !ok {
		return "", false
	}
	var candidates []directory.Instance
	stayingBehind := false
	for _, i := range e.Instances {
		status, answered := e.Statuses[i.ID]
		switch {
		case !answered || i.ID == e.Rejected:
		case i.ID == e.Primary && (status.Primary || !e.caughtUp()):
		case e.Evacuated[i.ID] && e.Synchronous == 0:
		case status.Received.Before(required):
			stayingBehind = stayingBehind || !i.Leaving && !e.Evacuated[i.ID] && i.ID != e.Primary
		default:
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, e.compare)
	if (best.Leaving || e.Evacuated[best.ID]) && stayingBehind && e.Final != nil && e.SteppedDown < stayingTimeout {
		return "", false
	}
	return best.ID, true
}

// caughtUp reports whether the time has passed in which replicas catch up with the old
// primary.
func (e Election) caughtUp() bool { return e.Waited > Lease+CatchUpTimeout }

// requiredPosition returns the position that the log of a successor must have reached. It
// returns false if no position is known that contains all acknowledged commits.
func (e Election) requiredPosition() (proxy.Bookmark, bool) {
	if e.Final != nil && !e.caughtUp() {
		// What is not acknowledged may still be in doubt for a client.
		return *e.Final, true
	}
	if e.Synchronous == 0 {
		return proxy.Bookmark{}, true
	}
	longest, complete := e.longestReplica()
	switch {
	case complete && (e.Final == nil || longest.Before(*e.Final)):
		return longest, true
	case e.Final != nil:
		return *e.Final, true
	default:
		return proxy.Bookmark{}, false
	}
}

// longestReplica returns the end of the longest log among the replicas that have answered,
// and whether it contains all acknowledged commits.
func (e Election) longestReplica() (longest proxy.Bookmark, complete bool) {
	replicas, answered := 0, 0
	for _, i := range e.Instances {
		if i.ID == e.Primary {
			continue
		}
		replicas++
		if status, ok := e.Statuses[i.ID]; ok {
			answered++
			if longest.Before(status.Received) {
				longest = status.Received
			}
		}
	}
	return longest, !e.Partial && answered >= max(replicas-e.Synchronous+1, 1)
}

// compare orders the better candidate first. The log comes before the state: commits that
// the successor lacks are lost, while a successor that is leaving can be replaced by another
// planned failover.
func (e Election) compare(a, b directory.Instance) int {
	switch receivedA, receivedB := e.received(a), e.received(b); {
	case (a.ID == e.Primary) != (b.ID == e.Primary):
		return order(b.ID == e.Primary)
	case e.Evacuated[a.ID] != e.Evacuated[b.ID]:
		return order(e.Evacuated[b.ID])
	case receivedB.Before(receivedA):
		return -1
	case receivedA.Before(receivedB):
		return 1
	case a.Leaving != b.Leaving:
		return order(b.Leaving)
	default:
		return strings.Compare(string(a.ID), string(b.ID))
	}
}

// order returns the result of a comparison of which the first value is the better one, or
// else the second.
func order(firstIsBetter bool) int {
	if firstIsBetter {
		return -1
	}
	return 1
}

// received returns the end of an instance's log. Entries after the known end of the old
// primary's log do not count.
func (e Election) received(i directory.Instance) proxy.Bookmark {
	position := e.Statuses[i.ID].Received
	if e.Final != nil && e.Final.Before(position) {
		return *e.Final
	}
	return position
}
