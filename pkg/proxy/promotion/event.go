package promotion

import (
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Mark is what an instance durably stores about terms. It changes only by the
// effects Detach, Follow and Promote, each of which the instance applies
// atomically and only if its condition holds.
type Mark struct {
	// Term is the term that the instance last followed or led, zero for none.
	// Its log is a prefix of that term's log.
	Term proxy.Term `json:"term"`
	// Left is the highest term that the instance will never follow again.
	Left proxy.Term `json:"left"`
}

// Follows reports whether a replica with this mark follows term.
func (m Mark) Follows(term proxy.Term) bool { return m.Term == term && m.Left < term }

// HasLeft reports whether a replica with this mark followed term and left it.
func (m Mark) HasLeft(term proxy.Term) bool { return m.Term == term && m.Left >= term }

// The events of this package.
type (
	// Configured is the document in force.
	Configured struct {
		Document *proxy.Document
		Revision proxy.Revision
	}
	// Placed gives the pool hosts of a group, highest rank first. A host that
	// is not among them takes no decisions about the group.
	Placed struct {
		Group proxy.GroupID
		Hosts []proxy.HostID
	}
	// Writing tells how many loans of this host may have uncommitted or
	// unacknowledged writes on the group's primary.
	Writing struct {
		Group proxy.GroupID
		Count int
	}
	// Observed is the answer of an instance to a probe, or its absence.
	Observed struct {
		Group    proxy.GroupID
		Instance proxy.InstanceID
		// Sent is the instant before the probe was sent.
		Sent proxy.Instant
		// Reachable reports that the instance answered. The fields below are
		// set only then, except Fresh.
		Reachable bool
		// Fresh reports that the probe used a connection opened for it. Only
		// a fresh failure counts against an instance.
		Fresh bool
		// Recovery reports that the instance is a replica.
		Recovery bool
		// Mark was read after the positions.
		Mark Mark
		// Received is the end of the last complete record that is durable on
		// the instance. On an instance that has left its term it is final: its
		// receiver has stopped and its replay has reached the end.
		Received proxy.Position
		// Replayed is the position that reads see.
		Replayed proxy.Position
		// Current is the position up to which a primary has written its log.
		Current proxy.Position
	}
)

// The effects of this package. Detach, Follow and Promote are orders to an
// instance: the caller probes the instance when the order has returned, and
// reports the observation with Sent before the order was sent.
type (
	// Probe asks for an observation at once, with a fresh connection if Fresh.
	Probe struct {
		Group    proxy.GroupID
		Instance proxy.InstanceID
		Fresh    bool
	}
	// Detach tells a replica to leave Term and all earlier terms: Left becomes
	// at least Term, and unless the mark's term is later, the replica stops
	// following before it answers any later probe.
	Detach struct {
		Group    proxy.GroupID
		Instance proxy.InstanceID
		Term     proxy.Term
	}
	// Follow tells an instance to follow Primary in Term. It applies only if
	// the instance's mark is Was and Was.Left < Term. With Rewind the instance
	// first discards the part of its log that Primary does not have; a former
	// primary always is rewound.
	Follow struct {
		Group    proxy.GroupID
		Instance proxy.InstanceID
		Primary  proxy.InstanceID
		Term     proxy.Term
		Was      Mark
		Rewind   bool
	}
	// Promote tells a replica to lead Term. It applies only if its mark is Was,
	// a mark that has left its term, and Was.Left < Term.
	Promote struct {
		Group    proxy.GroupID
		Instance proxy.InstanceID
		Term     proxy.Term
		Was      Mark
	}
)
