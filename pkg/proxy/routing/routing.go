// Package routing chooses the instance for a request from what a host has
// measured of the instances.
package routing

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Kind tells what to do with a request.
type Kind uint8

// The kinds of a choice.
const (
	// Replica sends a read to a replica.
	Replica Kind = iota + 1
	// Primary sends the request to the primary of the current term.
	Primary
	// Wait keeps the request until a state or the leadership changes.
	Wait
	// Refuse ends the request: waiting does not help.
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

// Table is what the choice depends on besides the request.
type GroupState struct {
	// Leadership is the group's current term; Known is false where the host has
	// not read it yet.
	Leadership proxy.Leadership
	Known      bool
	// States are those of the instances that take new work. An instance that
	// was not measured yet has the state with Seen zero.
	States []proxy.InstanceState
	// Zone is the zone of the choosing host.
	Zone proxy.Zone
	// Slots is the number of statements that an instance runs well at once;
	// zero sets no limit.
	Slots int
	// Horizon is the age of a measurement above which a replica is not chosen.
	// A replica that does not answer its monitor would not answer the request.
	MaxMeasurementAge time.Duration
}

// Choose returns the choice for ask at now.
//
// A read goes to a replica that follows the current term, has replayed
// ask.After and, where ask.Age is set, was current at most ask.Age ago. The
// primary serves what no replica may serve.
func Choose(now proxy.Instant, ask proxy.ConnectionRequest, t GroupState) Choice {
	if len(t.States) == 0 {
		return Choice{Kind: Refuse, Reason: "no instance of the group takes new work"}
	}
	if !t.Known {
		return Choice{Kind: Wait, Reason: "the group's primary is not known yet"}
	}
	if t.Leadership.Term < ask.After.Term {
		return Choice{Kind: Wait, Reason: "the request has seen a newer term"}
	}
	if ask.Access == proxy.Read {
		if best := t.best(now, ask); best != nil {
			return Choice{Kind: Replica, Instance: best.Instance, Term: t.Leadership.Term}
		}
	}
	return t.primary()
}

// best returns the preferred replica among those that may serve the read.
func (t *GroupState) best(now proxy.Instant, ask proxy.ConnectionRequest) *proxy.InstanceState {
	var best *proxy.InstanceState
	for n := range t.States {
		s := &t.States[n]
		if !t.serves(now, ask, s) {
			continue
		}
		if best == nil || t.prefer(s, best) {
			best = s
		}
	}
	return best
}

// serves reports whether a replica may serve a read.
func (t *GroupState) serves(now proxy.Instant, ask proxy.ConnectionRequest, s *proxy.InstanceState) bool {
	switch {
	case s.MeasuredAt == 0 || s.Primary || s.Instance == t.Leadership.Primary:
		return false
	case s.Term != t.Leadership.Term:
		return false
	case now.Sub(s.MeasuredAt) > t.MaxMeasurementAge:
		return false
	case s.Replayed < t.required(ask.After):
		return false
	case ask.Age == 0:
		return true
	}
	return s.CurrentAt != 0 && now.Sub(s.CurrentAt) <= ask.Age
}

// required returns the position in the current term that covers a bookmark. Of
// an earlier term only the history up to the start of the current one remains.
func (t *GroupState) required(after proxy.Bookmark) proxy.Position {
	if after.Term < t.Leadership.Term {
		return min(after.Position, t.Leadership.Start)
	}
	return after.Position
}

// prefer reports whether a is preferred to b: free slots, then the own zone,
// then less load, then the shorter round trip.
func (t *GroupState) prefer(a, b *proxy.InstanceState) bool {
	if x, y := t.full(a), t.full(b); x != y {
		return !x
	}
	if x, y := a.Zone == t.Zone, b.Zone == t.Zone; x != y {
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

func (t *GroupState) full(s *proxy.InstanceState) bool {
	return t.Slots > 0 && s.Busy >= t.Slots
}

// primary chooses the primary of the current term. One that was not measured
// yet is chosen too, since the confirmation protects its writes.
func (t *GroupState) primary() Choice {
	for n := range t.States {
		s := &t.States[n]
		if s.Instance != t.Leadership.Primary {
			continue
		}
		if s.MeasuredAt != 0 && !s.Primary {
			return Choice{Kind: Wait, Reason: "the primary is still in recovery"}
		}
		if s.MeasuredAt != 0 && s.Term > t.Leadership.Term {
			return Choice{Kind: Wait, Reason: "the primary is in a newer term"}
		}
		return Choice{Kind: Primary, Instance: s.Instance, Term: t.Leadership.Term}
	}
	return Choice{Kind: Wait, Reason: "the primary takes no new work"}
}

// Soon reports whether a replica can be expected to serve the read within a
// wait: one that follows the term and was current at most that long ago.
// Waiting for a replica that lags more would only delay the read.
func ReplicaExpected(now proxy.Instant, ask proxy.ConnectionRequest, t GroupState, wait time.Duration) bool {
	if ask.Access != proxy.Read || !t.Known {
		return false
	}
	for n := range t.States {
		s := &t.States[n]
		if s.MeasuredAt == 0 || s.Primary || s.Instance == t.Leadership.Primary || s.Term != t.Leadership.Term {
			continue
		}
		if s.CurrentAt != 0 && now.Sub(s.CurrentAt) <= wait {
			return true
		}
	}
	return false
}
