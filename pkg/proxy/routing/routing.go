// Package routing chooses the instance for a request from the instance states that a
// host has measured.
package routing

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Kind determines what is done with a request.
type Kind uint8

// The kinds of a choice.
const (
	// Replica means that the request, a read, is sent to a replica.
	Replica Kind = iota + 1
	// Primary means that the request is sent to the primary of the current term.
	Primary
	// Wait means that the request waits until an instance state or the leadership
	// changes.
	Wait
	// Refuse means that the request is refused because waiting does not help.
	Refuse
)

// Choice is the result of Choose. Instance and Term are set for Replica and
// Primary, Reason for Wait and Refuse.
type Choice struct {
	Kind     Kind
	Instance proxy.InstanceID
	Term     proxy.Term
	Reason   string
}

// GroupState is the state of a database group on which the choice depends.
type GroupState struct {
	// Leadership is the group's leadership in the current term. Known is false if
	// the host has not read it yet.
	Leadership proxy.Leadership
	Known      bool
	// States are the states of the instances that accept new work. MeasuredAt is
	// zero for an instance that has not been measured yet.
	States []proxy.InstanceState
	// Zone is the zone of the host that makes the choice.
	Zone proxy.Zone
	// Slots is the number of statements that an instance can run at once without
	// slowing down; zero sets no limit.
	Slots int
	// MaxMeasurementAge is the age of a measurement above which a replica is not
	// chosen. A replica that does not answer its monitor is not expected to answer
	// the request.
	MaxMeasurementAge time.Duration
}

// Choose returns the choice for a request at now.
//
// A read is sent to a replica that follows the current term, has replayed the
// position request.After and, if request.MaxStaleness is set, was current at most
// that long ago. Writes, and reads that no replica can serve, are sent to the primary.
func Choose(now proxy.Instant, request proxy.ConnectionRequest, g GroupState) Choice {
	if len(g.States) == 0 {
		return Choice{Kind: Refuse, Reason: "no instance of the group takes new work"}
	}
	if !g.Known {
		return Choice{Kind: Wait, Reason: "the group's primary is not known yet"}
	}
	if g.Leadership.Term < request.After.Term {
		return Choice{Kind: Wait, Reason: "the request has seen a newer term"}
	}
	if request.Access == proxy.Read {
		if bestReplica := g.bestReplica(now, request); bestReplica != nil {
			return Choice{Kind: Replica, Instance: bestReplica.Instance, Term: g.Leadership.Term}
		}
	}
	return g.choosePrimary()
}

// bestReplica returns the preferred replica among those that can serve the read, or
// nil.
func (g *GroupState) bestReplica(now proxy.Instant, request proxy.ConnectionRequest) *proxy.InstanceState {
	var bestReplica *proxy.InstanceState
	for n := range g.States {
		s := &g.States[n]
		if !g.canServe(now, request, s) {
			continue
		}
		if bestReplica == nil || g.prefer(s, bestReplica) {
			bestReplica = s
		}
	}
	return bestReplica
}

// canServe reports whether s is the state of a replica that can serve the read.
func (g *GroupState) canServe(now proxy.Instant, request proxy.ConnectionRequest, s *proxy.InstanceState) bool {
	switch {
	case s.MeasuredAt == 0 || s.Primary || s.Instance == g.Leadership.Primary:
		return false
	case s.Term != g.Leadership.Term:
		return false
	case now.Sub(s.MeasuredAt) > g.MaxMeasurementAge:
		return false
	case s.Replayed < g.requiredPosition(request.After):
		return false
	case request.MaxStaleness == 0:
		return true
	}
	return s.CurrentAt != 0 && now.Sub(s.CurrentAt) <= request.MaxStaleness
}

// requiredPosition returns the position in the current term that covers a bookmark.
// A bookmark of an earlier term is limited to the start of the current term, because
// the log of the earlier term above it is discarded.
func (g *GroupState) requiredPosition(after proxy.Bookmark) proxy.Position {
	if after.Term < g.Leadership.Term {
		return min(after.Position, g.Leadership.Start)
	}
	return after.Position
}

// prefer reports whether a is preferred to b. The criteria are, in this order: a free
// slot, the host's own zone, less load, a shorter round trip, the lower ID.
func (g *GroupState) prefer(a, b *proxy.InstanceState) bool {
	if x, y := g.slotsFull(a), g.slotsFull(b); x != y {
		return !x
	}
	if x, y := a.Zone == g.Zone, b.Zone == g.Zone; x != y {
		return x
	}
	if a.Busy != b.Busy {
		return a.Busy < b.Busy
	}
	if a.RoundTripTime != b.RoundTripTime {
		return a.RoundTripTime < b.RoundTripTime
	}
	return a.Instance < b.Instance
}

func (g *GroupState) slotsFull(s *proxy.InstanceState) bool {
	return g.Slots > 0 && s.Busy >= g.Slots
}

// choosePrimary chooses the primary of the current term. It also chooses a primary
// that has not been measured yet, because writes are confirmed before they are
// acknowledged.
func (g *GroupState) choosePrimary() Choice {
	for n := range g.States {
		s := &g.States[n]
		if s.Instance != g.Leadership.Primary {
			continue
		}
		if s.MeasuredAt != 0 && !s.Primary {
			return Choice{Kind: Wait, Reason: "the primary is still in recovery"}
		}
		if s.MeasuredAt != 0 && s.Term > g.Leadership.Term {
			return Choice{Kind: Wait, Reason: "the primary is in a newer term"}
		}
		return Choice{Kind: Primary, Instance: s.Instance, Term: g.Leadership.Term}
	}
	return Choice{Kind: Wait, Reason: "the primary takes no new work"}
}

// ReplicaExpected reports whether a replica can be expected to serve the read within
// wait: one that follows the current term and was current at most wait ago. Waiting
// for a replica that lags more would only delay the read.
func ReplicaExpected(now proxy.Instant, request proxy.ConnectionRequest, g GroupState, wait time.Duration) bool {
	if request.Access != proxy.Read || !g.Known {
		return false
	}
	for n := range g.States {
		s := &g.States[n]
		if s.MeasuredAt == 0 || s.Primary || s.Instance == g.Leadership.Primary || s.Term != g.Leadership.Term {
			continue
		}
		if s.CurrentAt != 0 && now.Sub(s.CurrentAt) <= wait {
			return true
		}
	}
	return false
}
