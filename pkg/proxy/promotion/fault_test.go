package promotion_test

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// faultKinds returns the faults that a random run draws from.
func (w *simulation) faultKinds() []func(f fault) {
	return []func(f fault){
		w.killInstance, w.killHost, w.pauseHost, w.cutHost, w.cutPlatform, w.cutHosts,
		w.cutInstances, w.isolate, w.isolateFromHosts, w.outage, w.slowPlatform,
		w.loseAnswers, w.lagReplica, w.lagAll, w.hangConnection, w.cutOneWay, w.slowLink,
		w.askChange, w.split, w.split, w.strand, w.strand, w.changeMembers,
	}
}

// fault is one disturbance that ends by itself.
type fault struct {
	lasts    time.Duration
	host     *host
	instance *instance
	other    *instance
}

// disturb inflicts a random fault. Half of those of an instance hit the primary.
func (w *simulation) disturb(longest time.Duration) {
	if w.now >= w.end {
		return
	}
	f := fault{
		lasts:    min(w.between(20*time.Millisecond, longest), w.end-w.now),
		host:     w.hosts[w.rng.IntN(len(w.hosts))],
		instance: w.instances[w.rng.IntN(len(w.instances))],
		other:    w.instances[w.rng.IntN(len(w.instances))],
	}
	if p := w.primary(); p != nil && w.chance(0.5) {
		f.instance = p
	}
	kinds := w.faultKinds()
	kinds[w.rng.IntN(len(kinds))](f)
}

// provoke inflicts faults at a moment that a change of primary depends on.
func (w *simulation) provoke() {
	for w.chance(w.pressure) {
		if w.chance(0.4) {
			w.after(w.between(0, 300*time.Millisecond), func() { w.disturb(2 * time.Second) })
			continue
		}
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		w.pauseHost(fault{lasts: w.between(20*time.Millisecond, 400*time.Millisecond), host: h})
	}
}

// primary returns the instance that the object names.
func (w *simulation) primary() *instance {
	o, err := promotion.Decode(w.store.value)
	if err != nil {
		return nil
	}
	return w.instance(o.Era().Primary)
}

func (w *simulation) killInstance(f fault) {
	if f.instance.alive {
		f.instance.kill(f.lasts)
	}
}

func (w *simulation) killHost(f fault) {
	if f.host.alive {
		f.host.kill(f.lasts)
	}
}

func (w *simulation) pauseHost(f fault) {
	f.host.paused = max(f.host.paused, w.now+f.lasts)
}

func (w *simulation) cutHost(f fault) { w.block(f.host.name(), f.instance.name(), true, f.lasts) }

func (w *simulation) cutPlatform(f fault) { w.block(f.host.name(), platform, true, f.lasts) }

func (w *simulation) cutHosts(f fault) {
	for _, h := range w.hosts {
		if h != f.host && w.chance(0.5) {
			w.block(h.name(), f.host.name(), true, f.lasts)
		}
	}
}

func (w *simulation) cutInstances(f fault) {
	if f.instance != f.other {
		w.block(f.instance.name(), f.other.name(), true, f.lasts)
	}
}

// isolate cuts an instance from the others and from all hosts but perhaps one.
func (w *simulation) isolate(f fault) {
	for _, i := range w.instances {
		if i != f.instance {
			w.block(f.instance.name(), i.name(), true, f.lasts)
		}
	}
	w.isolateFromHosts(f)
}

// isolateFromHosts cuts an instance from all hosts but perhaps one, which may
// lose the platform as well. Replicas still receive the instance's log.
func (w *simulation) isolateFromHosts(f fault) {
	keep := w.chance(0.7)
	for _, h := range w.hosts {
		if h != f.host || !keep {
			w.block(f.instance.name(), h.name(), true, f.lasts)
		}
	}
	if w.chance(0.4) {
		w.block(f.host.name(), platform, true, f.lasts)
	}
}

// split divides hosts and instances into two parts. Each part may lose the
// platform.
func (w *simulation) split(f fault) {
	var parts [2][]string
	for _, h := range w.hosts {
		side := w.rng.IntN(2)
		parts[side] = append(parts[side], h.name())
	}
	for _, i := range w.instances {
		side := w.rng.IntN(2)
		parts[side] = append(parts[side], i.name())
	}
	for _, a := range parts[0] {
		for _, b := range parts[1] {
			w.block(a, b, true, f.lasts)
		}
	}
	for _, a := range parts[w.rng.IntN(2)] {
		w.block(a, platform, true, f.lasts)
	}
}

// strand leaves the primary with one host, which still reaches the replicas but
// neither the platform nor the other hosts. Its answers are the last that a
// replaced primary gives.
func (w *simulation) strand(f fault) {
	p := w.primary()
	if p == nil {
		return
	}
	for _, h := range w.hosts {
		if h == f.host {
			w.block(h.name(), platform, true, f.lasts)
			continue
		}
		w.block(h.name(), p.name(), true, f.lasts)
		w.block(h.name(), f.host.name(), true, f.lasts)
	}
}

func (w *simulation) outage(f fault) { w.store.outage(f.lasts) }

func (w *simulation) slowPlatform(f fault) {
	slow := w.between(0, callTimeout)
	w.store.slow += slow
	w.after(f.lasts, func() { w.store.slow -= slow })
}

func (w *simulation) loseAnswers(f fault) {
	w.store.lose, w.store.late = 0.4, 0.4
	w.after(f.lasts, func() { w.store.lose, w.store.late = 0, 0 })
}

func (w *simulation) lagReplica(f fault) {
	f.other.lag = w.between(0, f.lasts)
	w.after(f.lasts, func() { f.other.lag = usualLag })
}

func (w *simulation) lagAll(f fault) {
	for _, i := range w.instances {
		f.other = i
		w.lagReplica(f)
	}
}

func (w *simulation) hangConnection(f fault) { f.host.hung[f.instance.id] = true }

func (w *simulation) cutOneWay(f fault) {
	w.block(f.instance.name(), f.host.name(), false, f.lasts)
}

// changeMembers removes instances from the document and adds them again.
func (w *simulation) changeMembers(f fault) {
	all := w.document.Groups[0].Instances
	if len(all) < len(w.instances) || len(all) < 3 {
		return
	}
	some := slices.Clone(all)
	w.rng.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	w.configure(some[:2+w.rng.IntN(len(some)-1)])
	w.after(f.lasts, func() { w.configure(all) })
}

// slowLink delays the traffic between a host and all instances.
func (w *simulation) slowLink(f fault) {
	slow := w.between(0, probeTimeout)
	f.host.slow += slow
	w.after(f.lasts, func() { f.host.slow -= slow })
}

func (w *simulation) askChange(f fault) { w.nameNext(f.instance) }
