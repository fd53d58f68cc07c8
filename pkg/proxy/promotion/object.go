package promotion

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Bounds of a group's object.
const (
	// MaxMembers bounds the instances of a group.
	MaxMembers = 16
	// MaxEras bounds the recorded changes of primary. An instance whose last
	// term is older than all of them is rewound before it is used.
	MaxEras = 64
)

// Era is an unbroken sequence of terms with the same primary.
type Era struct {
	// Term is the first term of the era.
	Term    proxy.Term       `json:"term"`
	Primary proxy.InstanceID `json:"primary"`
	// Start is the log position at which the era began. Log above it from
	// earlier eras contains no acknowledged write.
	Start proxy.Position `json:"start"`
}

// Author identifies one write of a group's object.
type Author struct {
	Host        proxy.HostID      `json:"host"`
	Incarnation proxy.Incarnation `json:"incarnation"`
	// Write counts the writes of one incarnation.
	Write uint64 `json:"write"`
}

// Object is the state of a group on the platform. Invariant: term and primary
// are those of the last era or of a renewal of it, and no two objects of a group
// have the same term with different content.
type Object struct {
	Group proxy.GroupID `json:"group"`
	Term  proxy.Term    `json:"term"`
	// Members are the instances that count in this term.
	Members []proxy.InstanceID `json:"members"`
	// Eras lists the changes of primary, oldest first.
	Eras []Era `json:"eras"`
	// Named is the primary that the document of Revision names. A document with
	// a higher revision and another name asks for a planned change.
	Named    proxy.InstanceID `json:"named"`
	Revision proxy.Revision   `json:"revision"`
	// Next asks for a planned change to this instance; empty for none.
	Next proxy.InstanceID `json:"next,omitempty"`
	// Streak counts the unplanned promotions in quick succession.
	Streak uint   `json:"streak"`
	Author Author `json:"author"`
}

// Key returns the key of a group's object.
func Key(environment proxy.EnvironmentID, stage proxy.Stage, group proxy.GroupID) proxy.Key {
	return Prefix(environment, stage) + proxy.Key(group)
}

// Prefix returns the prefix of the keys of all groups of an environment's stage.
func Prefix(environment proxy.EnvironmentID, stage proxy.Stage) proxy.Key {
	return proxy.Key("environments/" + string(environment) + "/" + string(stage) + "/groups/")
}

// Decode reads and checks a group's object.
func Decode(value []byte) (*Object, error) {
	o := new(Object)
	if err := json.Unmarshal(value, o); err != nil {
		return nil, fmt.Errorf("decode group object: %w", err)
	}
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return o, nil
}

// Validate reports an object that breaks the type's invariants.
func (o *Object) Validate() error {
	if err := proxy.CheckID("group", string(o.Group)); err != nil {
		return fmt.Errorf("group object: %w", err)
	}
	if len(o.Members) == 0 || len(o.Members) > MaxMembers {
		return fmt.Errorf("group object %s: %d members, want 1 to %d", o.Group, len(o.Members), MaxMembers)
	}
	if len(o.Eras) == 0 || len(o.Eras) > MaxEras {
		return fmt.Errorf("group object %s: %d eras, want 1 to %d", o.Group, len(o.Eras), MaxEras)
	}
	for i, m := range o.Members {
		if err := proxy.CheckID("instance", string(m)); err != nil {
			return fmt.Errorf("group object %s: %w", o.Group, err)
		}
		if slices.Contains(o.Members[:i], m) {
			return fmt.Errorf("group object %s: member %s is listed twice", o.Group, m)
		}
	}
	return o.validateEras()
}

func (o *Object) validateEras() error {
	for i, e := range o.Eras {
		if e.Term == 0 || e.Term > o.Term {
			return fmt.Errorf("group object %s: era of term %d, want 1 to %d", o.Group, e.Term, o.Term)
		}
		if i > 0 && (e.Term <= o.Eras[i-1].Term || e.Start < o.Eras[i-1].Start) {
			return fmt.Errorf("group object %s: era of term %d is out of order", o.Group, e.Term)
		}
	}
	if p := o.Era().Primary; !slices.Contains(o.Members, p) {
		return fmt.Errorf("group object %s: primary %s is not a member", o.Group, p)
	}
	if o.Next == "" {
		return nil
	}
	// A next primary that is not a member is ignored: an operator's mistake
	// must not make the object unreadable.
	if err := proxy.CheckID("instance", string(o.Next)); err != nil {
		return fmt.Errorf("group object %s: next primary: %w", o.Group, err)
	}
	return nil
}

// Era returns the current era.
func (o *Object) Era() Era { return o.Eras[len(o.Eras)-1] }

// Confirmations returns how many replicas must confirm a write, and give a
// lease, before it is acknowledged.
func (o *Object) Confirmations() int { return len(o.Members) / 2 }

// Departures returns how many replicas must have left the term before another
// instance is promoted. Any such set has a member in common with any set of
// Confirmations replicas, since there are len(Members)-1 replicas.
func (o *Object) Departures() int { return len(o.Members) - o.Confirmations() }

// Replica reports whether an instance counts as a replica in the term.
func (o *Object) Replica(instance proxy.InstanceID) bool {
	return instance != o.Era().Primary && slices.Contains(o.Members, instance)
}

// Diverged reports whether an instance whose log ends at position in term may
// contain log that the current primary does not have.
func (o *Object) Diverged(term proxy.Term, at proxy.Position) bool {
	next := slices.IndexFunc(o.Eras, func(e Era) bool { return e.Term > term })
	if next < 0 {
		return false
	}
	if next == 0 {
		return len(o.Eras) > 1 || o.Eras[0].Term > 1
	}
	return at > o.Eras[next].Start
}

// clone returns a copy that shares nothing with o.
func (o *Object) clone() *Object {
	c := *o
	c.Members = slices.Clone(o.Members)
	c.Eras = slices.Clone(o.Eras)
	return &c
}
