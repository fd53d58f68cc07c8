package promotion

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// pendingWrite is a write of the group's object whose result is not known yet.
type pendingWrite struct {
	object *Object
	sent   proxy.Instant
	// unknown reports that only a read of the object can show the result.
	unknown bool
	// departedAt is when an election quorum was first seen to have left the
	// old term. It is zero for the first object and for a renewal.
	departedAt proxy.Instant
}

// fetch requests a read of the object. It repeats an unanswered request after
// FetchInterval, and starts a new one at most every tenth of it.
func (g *group) fetch(s *step) {
	if g.fetching && s.now.Sub(g.fetchSent) < s.timing.FetchInterval {
		return
	}
	if g.fetchSent != 0 && s.now.Sub(g.fetchSent) < s.timing.FetchInterval/10 {
		return
	}
	g.fetching = true
	g.fetchSent = s.now
	s.emit(proxy.Fetch{Key: g.key})
}

// write requests to replace the known object, unless a write is pending.
func (g *group) write(s *step, o *Object, departedAt proxy.Instant) {
	if g.pendingWrite != nil {
		return
	}
	o.WriteID = s.machine.nextWriteID()
	value, err := json.Marshal(o)
	if err != nil {
		return
	}
	g.pendingWrite = &pendingWrite{object: o, sent: s.now, departedAt: departedAt}
	s.emit(proxy.Put{Key: g.key, Value: value, Expected: g.version})
}

// expireWrite reads the object again if the result of the pending write is unknown
// or did not arrive within AttemptTimeout.
func (g *group) expireWrite(s *step) {
	if g.pendingWrite == nil {
		return
	}
	if s.now.Sub(g.pendingWrite.sent) >= s.timing.AttemptTimeout {
		g.pendingWrite.unknown = true
	}
	if g.pendingWrite.unknown {
		g.fetch(s)
	}
}

// written handles the answer to a write. It always reads the object again, since
// the answer may be lost or belong to an earlier write that was delayed.
func (m *Machine) written(s *step, e proxy.Written) {
	g := m.groupOfKey(e.Key)
	if g == nil || g.pendingWrite == nil {
		return
	}
	g.pendingWrite.unknown = true
	g.fetching = false
	g.fetch(s)
}

// fetched handles an object that was read or that a watch reported.
func (m *Machine) fetched(s *step, e proxy.Fetched) {
	g := m.groupOfKey(e.Object.Key)
	if g == nil {
		return
	}
	if errors.Is(e.Err, proxy.ErrNotFound) {
		g.fetching = false
		g.resolveWrite(e.Sent)
		if g.object == nil && !g.absent {
			g.absent = true
			g.absentAt = s.now
		}
		g.advance(s)
		return
	}
	if e.Err != nil {
		return
	}
	o, err := Decode(e.Object.Value)
	if err != nil || o.Group != g.id {
		return
	}
	g.fetching = false
	g.adopt(s, o, e.Object.Version, g.pendingWrite)
	g.resolveWrite(e.Sent)
	if g.attempt != nil && e.Sent >= g.attempt.startedAt {
		g.attempt.fetched = true
	}
	g.advance(s)
}

// resolveWrite removes the pending write if its result is unknown and the object
// was read after it was sent. A write that takes effect even later does no harm,
// since it is conditional on the version that this host knew.
func (g *group) resolveWrite(sent proxy.Instant) {
	if g.pendingWrite != nil && g.pendingWrite.unknown && sent >= g.pendingWrite.sent {
		g.pendingWrite = nil
	}
}

// adopt makes o the current object if its version is higher. sent is the pending
// write of this host, if any. If o has the same WriteID, it is the object of that
// write, and its replicas left the old term at departedAt.
func (g *group) adopt(s *step, o *Object, version proxy.Version, sent *pendingWrite) {
	if version <= g.version || (g.object != nil && o.Term < g.object.Term) {
		return
	}
	g.absent = false
	changed := g.object == nil || o.Term != g.object.Term
	renewed := g.object != nil && o.Epoch() == g.object.Epoch()
	g.object = o
	g.version = version
	if !changed {
		return
	}
	g.termSince = s.now
	departedAt := s.now
	if sent != nil && sent.departedAt != 0 && sent.object.WriteID == o.WriteID {
		departedAt = sent.departedAt
	}
	g.promoteAt = departedAt.Add(proxy.GranterTime(s.timing.Lease))
	g.attempt = nil
	g.replicaLeftAt = 0
	g.detector.reset()
	if renewed {
		// A switchover that ended in a renewal is not retried at once.
		g.switchover.postpone(s)
		return
	}
	g.switchover = switchover{serial: g.switchover.serial}
}

// createObject writes the first object, with the primary that the document declares.
func (g *group) createObject(s *step) {
	if !g.absent {
		g.fetch(s)
		return
	}
	if !g.staggerElapsed(s, g.absentAt) {
		return
	}
	members := make([]proxy.InstanceID, 0, len(g.declared.Instances))
	for i := range g.declared.Instances {
		members = append(members, g.declared.Instances[i].ID)
	}
	primary := g.declaredPrimary()
	if primary == "" || len(members) > MaxMembers {
		return
	}
	g.write(s, &Object{
		Group:           g.id,
		Term:            1,
		Members:         members,
		Epochs:          []Epoch{{Term: 1, Primary: primary}},
		DeclaredPrimary: primary,
		Revision:        s.machine.revision,
	}, 0)
}

// declaredPrimary returns the primary that the document declares, or "".
func (g *group) declaredPrimary() proxy.InstanceID {
	i := slices.IndexFunc(g.declared.Instances, func(i proxy.Instance) bool { return i.Primary })
	if i < 0 {
		return ""
	}
	return g.declared.Instances[i].ID
}

// nextObject returns the object of the next term, in which primary leads from
// start. Its members are those that the document declares, unless these are too
// many or lack primary.
func (g *group) nextObject(s *step, primary proxy.InstanceID, start proxy.Position) *Object {
	o := g.object.clone()
	o.Term++
	o.Epochs = append(o.Epochs, Epoch{Term: o.Term, Primary: primary, Start: start})
	if len(o.Epochs) > MaxEpochs {
		o.Epochs = o.Epochs[len(o.Epochs)-MaxEpochs:]
	}
	o.Members = o.Members[:0]
	for i := range g.declared.Instances {
		o.Members = append(o.Members, g.declared.Instances[i].ID)
	}
	if len(o.Members) > MaxMembers || !slices.Contains(o.Members, primary) {
		o.Members = slices.Clone(g.object.Members)
	}
	if o.RequestedPrimary != "" &&
		(o.RequestedPrimary == primary || !slices.Contains(o.Members, o.RequestedPrimary)) {
		o.RequestedPrimary = ""
	}
	if declaredPrimary := g.declaredPrimary(); s.machine.revision > o.Revision &&
		(declaredPrimary == primary || declaredPrimary == o.DeclaredPrimary) {
		o.DeclaredPrimary, o.Revision = declaredPrimary, s.machine.revision
	}
	return o
}
