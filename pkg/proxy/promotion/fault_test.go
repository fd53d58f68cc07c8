package promotion_test

import (
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// faultKinds returns the faults from which injectFault chooses. Kinds that are listed
// twice are twice as likely.
func (w *simulation) faultKinds() []func(f fault) {
	return []func(f fault){
		w.stopInstance, w.stopHost, w.pauseHost, w.partitionHostInstance,
		w.partitionHostPlatform, w.partitionHosts, w.partitionInstances, w.isolate,
		w.isolateFromHosts, w.outage, w.slowPlatform, w.loseAnswers, w.lagReplica, w.lagAll,
		w.hangConnection, w.partitionOneWay, w.slowLink, w.switchToInstance,
		w.partitionNetwork, w.partitionNetwork,
		w.isolatePrimaryWithHost, w.isolatePrimaryWithHost, w.changeMembers,
	}
}

// fault holds the parameters of a fault that ends after duration.
type fault struct {
	duration time.Duration
	host     *host
	instance *instance
	other    *instance
}

// injectFault injects a random fault that lasts at most longest. Its instance is the
// primary with a probability of one half, and otherwise any instance.
func (w *simulation) injectFault(longest time.Duration) {
	if w.now >= w.end {
		return
	}
	f := fault{
		duration: min(w.between(20*time.Millisecond, longest), w.end-w.now),
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

// injectFaultsDuringChange injects faults, with the probability that pressure sets,
// while a change of primary is in progress.
func (w *simulation) injectFaultsDuringChange() {
	for w.chance(w.pressure) {
		if w.chance(0.4) {
			w.after(w.between(0, 300*time.Millisecond), func() { w.injectFault(2 * time.Second) })
			continue
		}
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		w.pauseHost(fault{duration: w.between(20*time.Millisecond, 400*time.Millisecond), host: h})
	}
}

// primary returns the instance that the stored object names as primary.
func (w *simulation) primary() *instance {
	o, err := promotion.Decode(w.store.value)
	if err != nil {
		return nil
	}
	return w.instance(o.Epoch().Primary)
}

func (w *simulation) stopInstance(f fault) {
	if f.instance.alive {
		f.instance.stop(f.duration)
	}
}

func (w *simulation) stopHost(f fault) {
	if f.host.alive {
		f.host.stop(f.duration)
	}
}

func (w *simulation) pauseHost(f fault) {
	f.host.pausedUntil = max(f.host.pausedUntil, w.now+f.duration)
}

func (w *simulation) partitionHostInstance(f fault) {
	w.block(f.host.name(), f.instance.name(), true, f.duration)
}

func (w *simulation) partitionHostPlatform(f fault) {
	w.block(f.host.name(), platform, true, f.duration)
}

func (w *simulation) partitionHosts(f fault) {
	for _, h := range w.hosts {
		if h != f.host && w.chance(0.5) {
			w.block(h.name(), f.host.name(), true, f.duration)
		}
	}
}

func (w *simulation) partitionInstances(f fault) {
	if f.instance != f.other {
		w.block(f.instance.name(), f.other.name(), true, f.duration)
	}
}

// isolate partitions an instance from the other instances and from all hosts, or all
// but one.
func (w *simulation) isolate(f fault) {
	for _, i := range w.instances {
		if i != f.instance {
			w.block(f.instance.name(), i.name(), true, f.duration)
		}
	}
	w.isolateFromHosts(f)
}

// isolateFromHosts partitions an instance from all hosts, or all but one, which may
// be partitioned from the platform too. Replicas still receive the instance's log.
func (w *simulation) isolateFromHosts(f fault) {
	keep := w.chance(0.7)
	for _, h := range w.hosts {
		if h != f.host || !keep {
			w.block(f.instance.name(), h.name(), true, f.duration)
		}
	}
	if w.chance(0.4) {
		w.block(f.host.name(), platform, true, f.duration)
	}
}

// partitionNetwork divides hosts and instances into two sides that cannot reach each
// other. One of them cannot reach the platform either.
func (w *simulation) partitionNetwork(f fault) {
	var sides [2][]string
	for _, h := range w.hosts {
		side := w.rng.IntN(2)
		sides[side] = append(sides[side], h.name())
	}
	for _, i := range w.instances {
		side := w.rng.IntN(2)
		sides[side] = append(sides[side], i.name())
	}
	for _, a := range sides[0] {
		for _, b := range sides[1] {
			w.block(a, b, true, f.duration)
		}
	}
	for _, a := range sides[w.rng.IntN(2)] {
		w.block(a, platform, true, f.duration)
	}
}

// isolatePrimaryWithHost leaves the primary with one host, which still reaches the
// replicas but neither the platform nor the other hosts. A host in this place is the
// last that could acknowledge writes of a primary that was replaced.
func (w *simulation) isolatePrimaryWithHost(f fault) {
	p := w.primary()
	if p == nil {
		return
	}
	for _, h := range w.hosts {
		if h == f.host {
			w.block(h.name(), platform, true, f.duration)
			continue
		}
		w.block(h.name(), p.name(), true, f.duration)
		w.block(h.name(), f.host.name(), true, f.duration)
	}
}

func (w *simulation) outage(f fault) { w.store.outage(f.duration) }

func (w *simulation) slowPlatform(f fault) {
	slow := w.between(0, callTimeout)
	w.store.slow += slow
	w.after(f.duration, func() { w.store.slow -= slow })
}

func (w *simulation) loseAnswers(f fault) {
	w.store.loseAnswer, w.store.delayWrite = 0.4, 0.4
	w.after(f.duration, func() { w.store.loseAnswer, w.store.delayWrite = 0, 0 })
}

func (w *simulation) lagReplica(f fault) {
	f.other.lag = w.between(0, f.duration)
	w.after(f.duration, func() { f.other.lag = usualLag })
}

func (w *simulation) lagAll(f fault) {
	for _, i := range w.instances {
		f.other = i
		w.lagReplica(f)
	}
}

func (w *simulation) hangConnection(f fault) { f.host.hung[f.instance.id] = true }

func (w *simulation) partitionOneWay(f fault) {
	w.block(f.instance.name(), f.host.name(), false, f.duration)
}

// changeMembers removes instances from the document and adds them back later.
func (w *simulation) changeMembers(f fault) {
	all := w.document.Groups[0].Instances
	if len(all) < len(w.instances) || len(all) < 3 {
		return
	}
	some := slices.Clone(all)
	w.rng.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	w.configure(some[:2+w.rng.IntN(len(some)-1)])
	w.after(f.duration, func() { w.configure(all) })
}

// slowLink delays the traffic between a host and all instances.
func (w *simulation) slowLink(f fault) {
	slow := w.between(0, probeTimeout)
	f.host.slow += slow
	w.after(f.duration, func() { f.host.slow -= slow })
}

func (w *simulation) switchToInstance(f fault) { w.requestSwitchover(f.instance) }
