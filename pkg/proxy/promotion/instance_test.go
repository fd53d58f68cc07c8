package promotion_test

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// instance simulates a database server. Its log and mark are durable.
type instance struct {
	w        *simulation
	id       proxy.InstanceID
	alive    bool
	busy     bool
	recovery bool
	mark     promotion.Mark
	// follows is the instance whose log is received, empty when detached.
	follows proxy.InstanceID
	log     []record
	has     map[uint64]bool
	lag     time.Duration
	life    int
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
	i := &instance{w: w, id: id, alive: true, recovery: recovery, has: make(map[uint64]bool), lag: usualLag}
	if recovery {
		i.follows = "i0"
	}
	i.w.after(replicationInterval, i.replicate)
	return i
}

func (i *instance) name() string { return string(i.id) }

func (i *instance) up() bool { return i.alive && !i.busy }

func (i *instance) contains(id uint64) bool { return i.has[id] }

func (i *instance) end() proxy.Position {
	if len(i.log) == 0 {
		return 0
	}
	return i.log[len(i.log)-1].end
}

func (i *instance) add(r record) {
	i.log = append(i.log, r)
	i.has[r.id] = true
}

// commit appends a write. An instance that is a primary accepts it whether or
// not it was replaced.
func (i *instance) commit(id uint64) (proxy.Position, bool) {
	if !i.up() || i.recovery {
		return 0, false
	}
	i.add(record{id: id, end: i.end() + proxy.Position(i.w.between(1, 100))})
	return i.end(), true
}

// replicate copies new records from the followed instance after the lag, if the
// replica still follows it under the same mark then.
func (i *instance) replicate() {
	i.w.after(replicationInterval, i.replicate)
	from := i.w.instance(i.follows)
	if from == nil || !i.up() || !i.recovery || !from.up() {
		return
	}
	if !i.prefixOf(from) || len(from.log) == len(i.log) {
		return
	}
	n := len(i.log)
	batch := append([]record(nil), from.log[n:]...)
	mark, life := i.mark, i.life
	i.w.sendAfter(from.name(), i.name(), i.lag, func() {
		if !i.up() || i.life != life || i.mark != mark || i.follows != from.id || len(i.log) < n {
			return
		}
		for _, r := range batch[min(len(i.log)-n, len(batch)):] {
			i.add(r)
		}
	})
}

// prefixOf compares the logs at the end of the shorter one. Two logs with the
// same last record are equal up to it, since ids are unique.
func (i *instance) prefixOf(other *instance) bool {
	n := len(i.log)
	return n == 0 || n <= len(other.log) && other.log[n-1] == i.log[n-1]
}

func (i *instance) observation() promotion.Observed {
	return promotion.Observed{
		Reachable: true,
		Recovery:  i.recovery,
		Mark:      i.mark,
		Received:  i.end(),
		Replayed:  i.end(),
		Current:   i.end(),
	}
}

// apply carries out an order if its condition holds.
func (i *instance) apply(order proxy.Effect) {
	if !i.up() {
		return
	}
	i.w.provoke()
	switch o := order.(type) {
	case promotion.Detach:
		i.mark.Left = max(i.mark.Left, o.Term)
		if i.mark.Left >= i.mark.Term {
			i.follows = ""
		}
	case promotion.Follow:
		if i.mark != o.Was || i.mark.Left >= o.Term || i.mark.Term >= o.Term {
			return
		}
		i.follow(o)
	case promotion.Promote:
		if i.mark != o.Was || i.mark.Left >= o.Term || i.mark.Left < i.mark.Term || !i.recovery {
			return
		}
		i.mark.Term = o.Term
		i.recovery = false
		i.follows = ""
		i.w.began(i, o.Term)
	}
}

func (i *instance) follow(o promotion.Follow) {
	if !o.Rewind {
		if i.recovery {
			i.follows = o.Primary
			i.mark.Term = o.Term
		}
		return
	}
	i.busy = true
	life := i.life
	i.w.after(i.w.between(100*time.Millisecond, 400*time.Millisecond), func() {
		i.busy = false
		source := i.w.instance(o.Primary)
		if i.life != life || !i.alive || !source.up() || source.recovery || i.w.blocked[link{source.name(), i.name()}] > 0 {
			return
		}
		i.rewind(source)
		i.recovery = true
		i.follows = o.Primary
		i.mark.Term = o.Term
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
		delete(i.has, r.id)
	}
	i.log = i.log[:n]
}

// kill stops the instance and starts it again after d.
func (i *instance) kill(d time.Duration) {
	i.alive = false
	i.life++
	i.w.after(d, func() { i.alive = true })
}
