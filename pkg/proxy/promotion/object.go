package promotion

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Limits of a group's object.
const (
	// MaxMembers is the largest number of instances of a group.
	MaxMembers = 16
	// MaxEpochs is the largest number of recorded epochs. An instance whose last
	// term is older than all of them is rewound before it is used.
	MaxEpochs = 64
)

// Epoch is a sequence of consecutive terms with the same primary.
type Epoch struct {
	// Term is the first term of the epoch.
	Term    proxy.Term       `json:"term"`
	Primary proxy.InstanceID `json:"primary"`
	// Start is the log position at which the epoch began. Log of earlier epochs
	// beyond it contains no acknowledged write.
	Start proxy.Position `json:"start"`
}

// WriteID identifies one write of a group's object.
type WriteID struct {
	Host        proxy.HostID      `json:"host"`
	Incarnation proxy.Incarnation `json:"incarnation"`
	// Sequence numbers the writes of one incarnation.
	Sequence uint64 `json:"write"`
}

// Object is the state of a group in the platform's object store. Invariant: Term
// is a term of the last epoch, and two versions of a group's object with the same
// Term agree on the members and the epochs.
type Object struct {
	Group proxy.GroupID `json:"group"`
	Term  proxy.Term    `json:"term"`
	// Members are the instances that form the quorums of this term.
	Members []proxy.InstanceID `json:"members"`
	// Epochs lists the changes of primary, oldest first.
	Epochs []Epoch `json:"eras"`
	// DeclaredPrimary is the primary that the document of Revision declares. A
	// document with a higher revision and another primary requests a switchover.
	DeclaredPrimary proxy.InstanceID `json:"named"`
	Revision        proxy.Revision   `json:"revision"`
	// RequestedPrimary requests a switchover to this instance; empty for none.
	RequestedPrimary proxy.InstanceID `json:"next,omitempty"`
	// RecentFailovers counts the failovers in quick succession.
	RecentFailovers uint `json:"streak"`
	// WriteID identifies the write that stored this version.
	WriteID WriteID `json:"author"`
}

// Key returns the key of a group's object in the platform's object store.
func Key(environment proxy.EnvironmentID, stage proxy.Stage, group proxy.GroupID) proxy.Key {
	return Prefix(environment, stage) + proxy.Key(group)
}

// Prefix returns the prefix of the keys of all groups of an environment's stage.
func Prefix(environment proxy.EnvironmentID, stage proxy.Stage) proxy.Key {
	return proxy.Key("environments/" + string(environment) + "/" + string(stage) + "/groups/")
}

// Decode decodes and validates a group's object.
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

// Validate returns an error if the object breaks an invariant of the type.
func (o *Object) Validate() error {
	if err := proxy.CheckID("group", string(o.Group)); err != nil {
		return fmt.Errorf("group object: %w", err)
	}
	if len(o.Members) == 0 || len(o.Members) > MaxMembers {
		return fmt.Errorf("group object %s: %d members, want 1 to %d", o.Group, len(o.Members), MaxMembers)
	}
	if len(o.Epochs) == 0 || len(o.Epochs) > MaxEpochs {
		return fmt.Errorf("group object %s: eras has %d entries, want 1 to %d", o.Group, len(o.Epochs), MaxEpochs)
	}
	for i, m := range o.Members {
		if err := proxy.CheckID("instance", string(m)); err != nil {
			return fmt.Errorf("group object %s: %w", o.Group, err)
		}
		if slices.Contains(o.Members[:i], m) {
			return fmt.Errorf("group object %s: member %s is listed twice", o.Group, m)
		}
	}
	return o.validateEpochs()
}

func (o *Object) validateEpochs() error {
	for i, e := range o.Epochs {
		if e.Term == 0 || e.Term > o.Term {
			return fmt.Errorf("group object %s: eras has an entry of term %d, want 1 to %d", o.Group, e.Term, o.Term)
		}
		if i > 0 && (e.Term <= o.Epochs[i-1].Term || e.Start < o.Epochs[i-1].Start) {
			return fmt.Errorf("group object %s: entry of term %d in eras is out of order", o.Group, e.Term)
		}
	}
	if p := o.Epoch().Primary; !slices.Contains(o.Members, p) {
		return fmt.Errorf("group object %s: primary %s is not a member", o.Group, p)
	}
	if o.RequestedPrimary == "" {
		return nil
	}
	// A requested primary that is not a member is ignored here, since a mistake
	// of an operator must not make the object unreadable.
	if err := proxy.CheckID("instance", string(o.RequestedPrimary)); err != nil {
		return fmt.Errorf("group object %s: next primary: %w", o.Group, err)
	}
	return nil
}

// Epoch returns the current epoch.
func (o *Object) Epoch() Epoch { return o.Epochs[len(o.Epochs)-1] }

// WriteQuorum returns how many replicas must confirm a write, and grant a lease,
// before it is acknowledged.
func (o *Object) WriteQuorum() int { return len(o.Members) / 2 }

// ElectionQuorum returns how many replicas must have left the term before another
// instance is promoted. Any such set has a replica in common with any set of
// WriteQuorum replicas, since the two sizes add up to len(Members) and there are
// len(Members)-1 replicas.
func (o *Object) ElectionQuorum() int { return len(o.Members) - o.WriteQuorum() }

// IsReplica reports whether an instance is a member and not the primary.
func (o *Object) IsReplica(instance proxy.InstanceID) bool {
	return instance != o.Epoch().Primary && slices.Contains(o.Members, instance)
}

// Diverged reports whether an instance whose log ends at end in term may contain
// log that the current primary does not have.
func (o *Object) Diverged(term proxy.Term, end proxy.Position) bool {
	next := slices.IndexFunc(o.Epochs, func(e Epoch) bool { return e.Term > term })
	if next < 0 {
		return false
	}
	if next == 0 {
		return len(o.Epochs) > 1 || o.Epochs[0].Term > 1
	}
	return end > o.Epochs[next].Start
}

// clone returns a copy that shares no memory with o.
func (o *Object) clone() *Object {
	c := *o
	c.Members = slices.Clone(o.Members)
	c.Epochs = slices.Clone(o.Epochs)
	return &c
}
