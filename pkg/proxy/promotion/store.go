package promotion

import (
	"encoding/json"
	"errors"
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// put is a write of the group's object whose answer is outstanding.
type put struct {
	object *Object
	sent   proxy.Instant
	// unknown reports that the object must be read to learn the result.
	unknown bool
	// departedAt is when the replicas were known to have left the old term,
	// zero if that does not apply.
	departedAt proxy.Instant
}

// fetch asks for the object, at most once per interval.
func (g *group) fetch(s *step) {
	if g.fetching && s.now.Sub(g.fetchSent) < s.timing.FetchAfter {
		return
	}
	if g.fetchSent != 0 && s.now.Sub(g.fetchSent) < s.timing.FetchAfter/10 {
		return
	}
	g.fetching = true
	g.fetchSent = s.now
	s.emit(proxy.Fetch{Key: g.key})
}

// write puts a new object in place of the known one.
func (g *group) write(s *step, o *Object, departedAt proxy.Instant) {
	if g.put != nil {
		return
	}
	o.Author = s.machine.author()
	value, err := json.Marshal(o)
	if err != nil {
		return
	}
	g.put = &put{object: o, sent: s.now, departedAt: departedAt}
	s.emit(proxy.Put{Key: g.key, Value: value, Expected: g.version})
}

// expire treats a write without an answer as lost.
func (g *group) expire(s *step) {
	if g.put == nil {
		return
	}
	if s.now.Sub(g.put.sent) >= s.timing.AttemptFor {
		g.put.unknown = true
	}
	if g.put.unknown {
		g.fetch(s)
	}
}

// written handles the answer to a write. The object is read again in every
// case: the answer may be lost, or belong to an earlier write that was delayed.
func (m *Machine) written(s *step, e proxy.Written) {
	g := m.find(e.Key)
	if g == nil || g.put == nil {
		return
	}
	g.put.unknown = true
	g.fetching = false
	g.fetch(s)
}

// fetched handles an object that was read or reported by a watch.
func (m *Machine) fetched(s *step, e proxy.Fetched) {
	g := m.find(e.Object.Key)
	if g == nil {
		return
	}
	if errors.Is(e.Err, proxy.ErrNotFound) {
		g.fetching = false
		g.resolve(e.Sent)
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
	g.adopt(s, o, e.Object.Version, g.put)
	g.resolve(e.Sent)
	if g.attempt != nil && e.Sent >= g.attempt.since {
		g.attempt.fetched = true
	}
	g.advance(s)
}

// resolve ends a write once the object was read after its answer.
// A write that takes effect later is harmless: it is conditional on the version
// that this host knows.
func (g *group) resolve(sent proxy.Instant) {
	if g.put != nil && g.put.unknown && sent >= g.put.sent {
		g.put = nil
	}
}

// adopt takes an object with a higher version as the current one. own is the
// host's outstanding write, if any; an object with the same author is that
// write, and its replicas are known to have left since departedAt.
func (g *group) adopt(s *step, o *Object, version proxy.Version, own *put) {
	if version <= g.version || (g.object != nil && o.Term < g.object.Term) {
		return
	}
	g.absent = false
	changed := g.object == nil || o.Term != g.object.Term
	renewed := g.object != nil && o.Era() == g.object.Era()
	g.object = o
	g.version = version
	if !changed {
		return
	}
	g.since = s.now
	departedAt := s.now
	if own != nil && own.departedAt != 0 && own.object.Author == o.Author {
		departedAt = own.departedAt
	}
	g.promoteAt = departedAt.Add(proxy.GranterTime(s.timing.Lease))
	g.attempt = nil
	g.abandoned = 0
	g.alarm.reset()
	if renewed {
		// A planned change that ended in a renewal is not tried again at once.
		g.plan.postpone(s)
		return
	}
	g.plan = plan{serial: g.plan.serial}
}

// create writes the first object with the primary that the document names.
func (g *group) create(s *step) {
	if !g.absent {
		g.fetch(s)
		return
	}
	if !g.staggered(s, g.absentAt) {
		return
	}
	members := make([]proxy.InstanceID, 0, len(g.declared.Instances))
	for i := range g.declared.Instances {
		members = append(members, g.declared.Instances[i].ID)
	}
	primary := g.named()
	if primary == "" || len(members) > MaxMembers {
		return
	}
	g.write(s, &Object{
		Group:    g.id,
		Term:     1,
		Members:  members,
		Eras:     []Era{{Term: 1, Primary: primary}},
		Named:    primary,
		Revision: s.machine.revision,
	}, 0)
}

// named returns the primary that the document names, or nothing.
func (g *group) named() proxy.InstanceID {
	i := slices.IndexFunc(g.declared.Instances, func(i proxy.Instance) bool { return i.Primary })
	if i < 0 {
		return ""
	}
	return g.declared.Instances[i].ID
}

// successor returns the object of the next term with another primary. Members
// follow the document from then on.
func (g *group) successor(s *step, primary proxy.InstanceID, start proxy.Position) *Object {
	o := g.object.clone()
	o.Term++
	o.Eras = append(o.Eras, Era{Term: o.Term, Primary: primary, Start: start})
	if len(o.Eras) > MaxEras {
		o.Eras = o.Eras[len(o.Eras)-MaxEras:]
	}
	o.Members = o.Members[:0]
	for i := range g.declared.Instances {
		o.Members = append(o.Members, g.declared.Instances[i].ID)
	}
	if len(o.Members) > MaxMembers || !slices.Contains(o.Members, primary) {
		o.Members = slices.Clone(g.object.Members)
	}
	if o.Next != "" && (o.Next == primary || !slices.Contains(o.Members, o.Next)) {
		o.Next = ""
	}
	if named := g.named(); s.machine.revision > o.Revision && (named == primary || named == o.Named) {
		o.Named, o.Revision = named, s.machine.revision
	}
	return o
}
