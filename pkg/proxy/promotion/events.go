package promotion

import (
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// TermState is what an instance durably stores about terms. Only the commands
// Detach, Follow and Promote change it. The instance applies each of them
// atomically and only if the command's condition holds.
type TermState struct {
	// Term is the term that the instance last followed or led, zero for none.
	// Its log is a prefix of that term's log.
	Term proxy.Term `json:"term"`
	// LeftTerm is the highest term that the instance has left for good. It
	// never follows this or an earlier term again.
	LeftTerm proxy.Term `json:"left"`
}

// Follows reports whether a replica in this state follows term.
func (t TermState) Follows(term proxy.Term) bool { return t.Term == term && t.LeftTerm < term }

// HasLeft reports whether a replica in this state followed term and left it.
func (t TermState) HasLeft(term proxy.Term) bool { return t.Term == term && t.LeftTerm >= term }

// The events that a Machine handles in addition to those of package proxy.
type (
	// Configured reports the document in force.
	Configured struct {
		Document *proxy.Document
		Revision proxy.Revision
	}
	// Placed reports the pool hosts of a group, highest rank first. They hold the
	// connections to the group's instances. Other hosts take no decisions about
	// the group.
	Placed struct {
		Group proxy.GroupID
		Hosts []proxy.HostID
	}
	// InFlightWrites reports how many acquired connections of this host may have
	// uncommitted or unacknowledged writes on the group's primary.
	InFlightWrites struct {
		Group proxy.GroupID
		Count int
	}
	// Observed is the result of a probe of an instance.
	Observed struct {
		Group    proxy.GroupID
		Instance proxy.InstanceID
		// Sent is the instant before the probe was sent.
		Sent proxy.Instant
		// Reachable reports that the instance answered. Otherwise only Fresh is
		// set of the fields below.
		Reachable bool
		// Fresh reports that the probe opened a new connection. Only failures
		// on fresh connections count against an instance.
		Fresh bool
		// Recovery reports that the instance is a replica.
		Recovery bool
		// TermState was read after the positions.
		TermState TermState
		// Received is the end of the last complete log record that is durable
		// on the instance. It is final once the instance has left its term,
		// since the WAL receiver has stopped and everything is replayed.
		Received proxy.Position
		// Replayed is the position up to which reads see the log.
		Replayed proxy.Position
		// Current is the position up to which a primary has written its log.
		Current proxy.Position
	}
)

// The effects that a Machine returns in addition to those of package proxy.
// Detach, Follow and Promote are commands to an instance. The caller probes the
// instance after the command has returned, and reports an observation whose Sent
// is the instant before the command was sent.
type (
	// Probe requests an immediate observation, on a new connection if Fresh.
	Probe struct {
		Group    proxy.GroupID
		Instance proxy.InstanceID
		Fresh    bool
	}
	// Detach makes a replica leave Term and all earlier terms: LeftTerm becomes
	// at least Term. Unless the replica already follows a later term, it stops
	// following before it answers any later probe.
	Detach struct {
		Group    proxy.GroupID
		Instance proxy.InstanceID
		Term     proxy.Term
	}
	// Follow makes an instance follow Primary in Term. It applies only if the
	// instance's term state equals Expected and Expected.LeftTerm < Term. With
	// Rewind the instance first discards the part of its log that Primary does
	// not have. A former primary is always rewound.
	Follow struct {
		Group    proxy.GroupID
		Instance proxy.InstanceID
		Primary  proxy.InstanceID
		Term     proxy.Term
		Expected TermState
		Rewind   bool
	}
	// Promote makes a replica the primary of Term. It applies only if its term
	// state equals Expected, it has left the term that it followed, and
	// Expected.LeftTerm < Term.
	Promote struct {
		Group    proxy.GroupID
		Instance proxy.InstanceID
		Term     proxy.Term
		Expected TermState
	}
)
