package promotion_test

import (
	"fmt"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

const (
	tickInterval    = 50 * time.Millisecond
	probeInterval   = 100 * time.Millisecond
	probeTimeout    = 250 * time.Millisecond
	writeInterval   = 20 * time.Millisecond
	confirmInterval = 10 * time.Millisecond
	ackTimeout      = 3 * time.Second
)

// host simulates a pool host with its state machine, clock, probes and writes.
type host struct {
	w           *simulation
	id          proxy.HostID
	clockRate   float64
	clockOrigin proxy.Instant
	machine     *promotion.Machine
	incarnation int
	alive       bool
	pausedUntil time.Duration
	// hung holds the instances whose established connection has stopped working.
	hung map[proxy.InstanceID]bool
	// suspects holds the instances whose last probe timed out. They are probed on
	// fresh connections.
	suspects       map[proxy.InstanceID]bool
	inFlightWrites int
	// slow is the largest additional delay of the traffic with instances.
	slow time.Duration
	// confirmProbedAt is when the host last probed for confirmations.
	confirmProbedAt time.Duration
	// lastAckAt is when the host last acknowledged a write, and longestGap is the
	// longest time between two acknowledgements.
	lastAckAt  time.Duration
	longestGap time.Duration
}

func newHost(w *simulation, n int) *host {
	return &host{
		w:           w,
		id:          proxy.HostID(fmt.Sprintf("h%d", n)),
		clockRate:   0.995 + 0.01*w.rng.Float64(),
		clockOrigin: proxy.Instant(w.between(time.Hour, 100*time.Hour)),
	}
}

func (h *host) name() string { return string(h.id) }

func (h *host) clock() proxy.Instant {
	return h.clockOrigin + proxy.Instant(float64(h.w.now)*h.clockRate)
}

// start begins a new incarnation.
func (h *host) start() {
	h.incarnation++
	h.alive = true
	h.inFlightWrites = 0
	h.hung = make(map[proxy.InstanceID]bool)
	h.suspects = make(map[proxy.InstanceID]bool)
	m, err := promotion.New(promotion.Settings{
		Host:        h.id,
		Incarnation: proxy.Incarnation(h.incarnation),
		Environment: "loom",
		Stage:       proxy.Production,
		Timing:      promotion.DefaultTiming(),
	})
	if err != nil {
		panic(err)
	}
	h.machine = m
	h.handle(promotion.Configured{Document: h.w.document, Revision: h.w.revision})
	hosts := make([]proxy.HostID, 0, len(h.w.hosts))
	for _, other := range h.w.hosts {
		hosts = append(hosts, other.id)
	}
	h.handle(promotion.Placed{Group: simulatedGroup, Hosts: hosts})
	h.every(tickInterval, func() { h.handle(proxy.Tick{}) })
	h.every(writeInterval, h.write)
	for _, i := range h.w.instances {
		h.every(probeInterval, func() { h.probe(i, h.suspects[i.id]) })
	}
}

// do runs an action on the host unless the incarnation has ended. A paused host runs
// it after the pause.
func (h *host) do(incarnation int, action func()) {
	if h.incarnation != incarnation || !h.alive {
		return
	}
	if h.w.now < h.pausedUntil {
		h.w.after(h.pausedUntil-h.w.now, func() { h.do(incarnation, action) })
		return
	}
	action()
}

func (h *host) every(d time.Duration, action func()) {
	incarnation := h.incarnation
	var next func()
	next = func() {
		h.do(incarnation, func() {
			action()
			h.w.after(d, next)
		})
	}
	h.w.after(h.w.between(0, d), next)
}

// stop ends the incarnation and starts another after d.
func (h *host) stop(d time.Duration) {
	h.alive = false
	h.incarnation++
	h.w.after(d, h.start)
}

// handle passes an event to the machine and executes the effects.
func (h *host) handle(e proxy.Event) {
	for _, effect := range h.machine.Handle(h.clock(), e) {
		h.execute(effect)
	}
}

func (h *host) execute(effect proxy.Effect) {
	switch e := effect.(type) {
	case proxy.Fetch:
		h.w.store.get(h, e.Key)
	case proxy.Put:
		h.w.store.put(h, e)
	case proxy.Send:
		for _, to := range h.w.hosts {
			if to.id == e.To {
				incarnation := to.incarnation
				h.w.send(h.name(), to.name(), func() {
					to.do(incarnation, func() { to.handle(proxy.Received{From: h.id, Message: e.Message}) })
				})
			}
		}
	case promotion.Probe:
		h.probe(h.w.instance(e.Instance), e.Fresh)
	case promotion.Detach:
		h.sendCommand(e.Instance, e)
	case promotion.Follow:
		h.sendCommand(e.Instance, e)
	case promotion.Promote:
		h.sendCommand(e.Instance, e)
	}
}

// sendCommand delivers a command to an instance, sometimes late and without an
// answer.
func (h *host) sendCommand(to proxy.InstanceID, e proxy.Effect) {
	i := h.w.instance(to)
	if h.w.chance(h.w.slowCommand) {
		h.w.sendAfter(h.name(), i.name(), h.w.between(0, 3*time.Second), func() { i.apply(e) })
		return
	}
	h.exchange(i, false, func() { i.apply(e) })
}

func (h *host) toInstance(i *instance, do func()) {
	h.w.sendAfter(h.name(), i.name(), h.delay(), do)
}

func (h *host) fromInstance(i *instance, do func()) {
	h.w.sendAfter(i.name(), h.name(), h.delay(), do)
}

func (h *host) delay() time.Duration {
	return h.w.between(300*time.Microsecond, 6*time.Millisecond) + h.w.between(0, h.slow)
}

// probe observes an instance. A hung connection fails until a fresh one has replaced
// it.
func (h *host) probe(i *instance, fresh bool) { h.exchange(i, fresh, func() {}) }

// exchange executes a command on an instance and then observes it.
func (h *host) exchange(i *instance, fresh bool, command func()) {
	incarnation, sent, finished := h.incarnation, h.clock(), false
	h.w.after(probeTimeout, func() {
		h.do(incarnation, func() {
			if !finished {
				finished = true
				h.suspects[i.id] = true
				h.observed(i, promotion.Observed{}, sent, fresh)
			}
		})
	})
	if h.hung[i.id] && !fresh {
		return
	}
	h.toInstance(i, func() {
		if !i.up() {
			return
		}
		command()
		o := i.observation()
		h.fromInstance(i, func() {
			h.do(incarnation, func() {
				if !finished {
					finished = true
					delete(h.suspects, i.id)
					if fresh {
						delete(h.hung, i.id)
					}
					h.observed(i, o, sent, fresh)
				}
			})
		})
	})
}

func (h *host) observed(i *instance, o promotion.Observed, sent proxy.Instant, fresh bool) {
	o.Group, o.Instance, o.Sent, o.Fresh = simulatedGroup, i.id, sent, fresh
	h.handle(o)
}

// write sends a write to the primary if the machine is ready for writes.
func (h *host) write() {
	now := h.clock()
	if h.machine.Ready(now, simulatedGroup) != nil {
		h.w.stats.refused++
		return
	}
	leader, _ := h.machine.Leader(simulatedGroup)
	i := h.w.instance(leader.Primary)
	h.w.written++
	h.w.stats.writes++
	id, incarnation := h.w.written, h.incarnation
	h.addInFlightWrites(1)
	answered := false
	h.w.after(ackTimeout, func() {
		h.do(incarnation, func() {
			if !answered {
				h.w.stats.timedOut++
				h.addInFlightWrites(-1)
			}
		})
	})
	h.toInstance(i, func() {
		position, ok := i.commit(id)
		if !ok {
			return
		}
		h.fromInstance(i, func() {
			if h.incarnation != incarnation || !h.alive {
				return
			}
			// The answer reaches the host now, but the host may be paused before
			// it replies to the client.
			answeredAt := h.clock()
			h.do(incarnation, func() {
				h.reply(i.id, id, proxy.Bookmark{Term: leader.Term, Position: position}, answeredAt, &answered)
			})
		})
	})
}

// reply acknowledges a committed write as soon as the machine allows it.
func (h *host) reply(
	primary proxy.InstanceID, id uint64, bookmark proxy.Bookmark, answeredAt proxy.Instant, answered *bool,
) {
	now := h.clock()
	if h.w.staleCheck {
		now = answeredAt
	}
	err := h.machine.Acknowledge(now, simulatedGroup, primary, bookmark)
	if err == nil {
		*answered = true
		h.addInFlightWrites(-1)
		h.longestGap = max(h.longestGap, h.w.now-h.lastAckAt)
		h.lastAckAt = h.w.now
		h.w.checkAcknowledged(h, primary, id, bookmark.Term)
		return
	}
	if proxy.AsRefusal(err).RetryAfter == 0 || h.clock().Sub(answeredAt) > ackTimeout {
		h.w.stats.unknown++
		return
	}
	incarnation := h.incarnation
	h.probeReplicas()
	h.w.after(10*time.Millisecond, func() {
		h.do(incarnation, func() {
			if !*answered {
				h.reply(primary, id, bookmark, answeredAt, answered)
			}
		})
	})
}

// probeReplicas probes the replicas for confirmations of pending writes, at most
// once per confirmInterval.
func (h *host) probeReplicas() {
	if h.w.now-h.confirmProbedAt < confirmInterval {
		return
	}
	h.confirmProbedAt = h.w.now
	for _, i := range h.w.instances {
		if i.recovery {
			h.probe(i, false)
		}
	}
}

func (h *host) addInFlightWrites(n int) {
	h.inFlightWrites += n
	h.handle(promotion.InFlightWrites{Group: simulatedGroup, Count: h.inFlightWrites})
}
