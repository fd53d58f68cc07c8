package promotion_test

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// instance simulates a database server. Its log and term state are durable.
type instance struct {
	w         *simulation
	id        proxy.InstanceID
	alive     bool
	busy      bool
	recovery  bool
	termState promotion.TermState
	// upstream is the instance whose log is received, empty when detached.
	upstream    proxy.InstanceID
	log         []record
	ids         map[uint64]bool
	lag         time.Duration
	incarnation int
}

// record is one committed write. Records with the same id are the same write.
type record struct {
	id  uint64
	end proxy.Position
}

const (
	replicationInterval = 5 * time.Millisecond
	usualLag            = 5 * time.Millisecond
)

func newInstance(w *simulation, id proxy.InstanceID, recovery bool) *instance {
	i := &instance{w: w, id: id, alive: true, recovery: recovery, ids: make(map[uint64]bool), lag: usualLag}
	if recovery {
		i.upstream = "i0"
	}
	i.w.after(replicationInterval, i.replicate)
	return i
}

func (i *instance) name() string { return string(i.id) }

func (i *instance) up() bool { return i.alive && !i.busy }

func (i *instance) contains(id uint64) bool { return i.ids[id] }

func (i *instance) end() proxy.Position {
	if len(i.log) == 0 {
		return 0
	}
	return i.log[len(i.log)-1].end
}

func (i *instance) add(r record) {
	i.log = append(i.log, r)
	i.ids[r.id] = true
}

// commit appends a write if the instance is a primary, even if it was replaced.
func (i *instance) commit(id uint64) (proxy.Position, bool) {
	if !i.up() || i.recovery {
		return 0, false
	}
	i.add(record{id: id, end: i.end() + proxy.Position(i.w.between(1, 100))})
	return i.end(), true
}

// replicate copies new records from upstream after the lag, if upstream and the term
// state are still the same then.
func (i *instance) replicate() {
	i.w.after(replicationInterval, i.replicate)
	from := i.w.instance(i.upstream)
	if from == nil || !i.up() || !i.recovery || !from.up() {
		return
	}
	if !i.prefixOf(from) || len(from.log) == len(i.log) {
		return
	}
	n := len(i.log)
	batch := append([]record(nil), from.log[n:]...)
	termState, incarnation := i.termState, i.incarnation
	i.w.sendAfter(from.name(), i.name(), i.lag, func() {
		if !i.up() || i.incarnation != incarnation || i.termState != termState ||
			i.upstream != from.id || len(i.log) < n {
			return
		}
		for _, r := range batch[min(len(i.log)-n, len(batch)):] {
			i.add(r)
		}
	})
}

// prefixOf reports whether the log of i is a prefix of the log of other. It compares
// only the last record of i, since logs that share a record are equal up to it: ids
// are unique.
func (i *instance) prefixOf(other *instance) bool {
	n := len(i.log)
	return n == 0 || n <= len(other.log) && other.log[n-1] == i.log[n-1]
}

func (i *instance) observation() promotion.Observed {
	return promotion.Observed{
		Reachable: true,
		Recovery:  i.recovery,
		TermState: i.termState,
		Received:  i.end(),
		Replayed:  i.end(),
		Current:   i.end(),
	}
}

// apply executes a command if its condition holds.
func (i *instance) apply(command proxy.Effect) {
	if !i.up() {
		return
	}
	i.w.injectFaultsDuringChange()
	switch c := command.(type) {
	case promotion.Detach:
		i.termState.LeftTerm = max(i.termState.LeftTerm, c.Term)
		if i.termState.LeftTerm >= i.termState.Term {
			i.upstream = ""
		}
	case promotion.Follow:
		if i.termState != c.Expected || i.termState.LeftTerm >= c.Term || i.termState.Term >= c.Term {
			return
		}
		i.follow(c)
	case promotion.Promote:
		if i.termState != c.Expected || i.termState.LeftTerm >= c.Term ||
			i.termState.LeftTerm < i.termState.Term || !i.recovery {
			return
		}
		i.termState.Term = c.Term
		i.recovery = false
		i.upstream = ""
		i.w.checkPromoted(i, c.Term)
	}
}

func (i *instance) follow(command promotion.Follow) {
	if !command.Rewind {
		if i.recovery {
			i.upstream = command.Primary
			i.termState.Term = command.Term
		}
		return
	}
	i.busy = true
	incarnation := i.incarnation
	i.w.after(i.w.between(100*time.Millisecond, 400*time.Millisecond), func() {
		i.busy = false
		source := i.w.instance(command.Primary)
		if i.incarnation != incarnation || !i.alive || !source.up() || source.recovery ||
			i.w.blocked[link{source.name(), i.name()}] > 0 {
			return
		}
		i.rewind(source)
		i.recovery = true
		i.upstream = command.Primary
		i.termState.Term = command.Term
	})
}

// rewind discards the records that source does not have.
func (i *instance) rewind(source *instance) {
	i.w.stats.rewinds++
	n := 0
	for n < len(i.log) && n < len(source.log) && i.log[n] == source.log[n] {
		n++
	}
	for _, r := range i.log[n:] {
		delete(i.ids, r.id)
	}
	i.log = i.log[:n]
}

// stop stops the instance and starts it again after d.
func (i *instance) stop(d time.Duration) {
	i.alive = false
	i.incarnation++
	i.w.after(d, func() { i.alive = true })
}
