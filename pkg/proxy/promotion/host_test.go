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
	ackPatience     = 3 * time.Second
)

// host simulates a pool host: its machine, its clock, probes and writers.
type host struct {
	w       *simulation
	id      proxy.HostID
	rate    float64
	origin  proxy.Instant
	machine *promotion.Machine
	life    int
	alive   bool
	paused  time.Duration
	// hung holds the instances whose established connection stopped.
	hung     map[proxy.InstanceID]bool
	suspects map[proxy.InstanceID]bool
	writing  int
	// slow delays the host's traffic with instances.
	slow time.Duration
	// confirmed is when the host last probed for confirmations.
	confirmed time.Duration
	// lastAck and longest measure the write unavailability at this host.
	lastAck time.Duration
	longest time.Duration
}

func newHost(w *simulation, n int) *host {
	return &host{
		w:      w,
		id:     proxy.HostID(fmt.Sprintf("h%d", n)),
		rate:   0.995 + 0.01*w.rng.Float64(),
		origin: proxy.Instant(w.between(time.Hour, 100*time.Hour)),
	}
}

func (h *host) name() string { return string(h.id) }

func (h *host) clock() proxy.Instant {
	return h.origin + proxy.Instant(float64(h.w.now)*h.rate)
}

// start begins a new incarnation.
func (h *host) start() {
	h.life++
	h.alive = true
	h.writing = 0
	h.hung = make(map[proxy.InstanceID]bool)
	h.suspects = make(map[proxy.InstanceID]bool)
	m, err := promotion.New(promotion.Settings{
		Host:        h.id,
		Incarnation: proxy.Incarnation(h.life),
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
	h.handle(promotion.Placed{Group: simulated, Hosts: hosts})
	h.every(tickInterval, func() { h.handle(proxy.Tick{}) })
	h.every(writeInterval, h.write)
	for _, i := range h.w.instances {
		h.every(probeInterval, func() { h.probe(i, h.suspects[i.id]) })
	}
}

// do runs an action on the host unless the incarnation has ended; a paused host
// runs it after the pause.
func (h *host) do(life int, action func()) {
	if h.life != life || !h.alive {
		return
	}
	if h.w.now < h.paused {
		h.w.after(h.paused-h.w.now, func() { h.do(life, action) })
		return
	}
	action()
}

func (h *host) every(d time.Duration, action func()) {
	life := h.life
	var next func()
	next = func() {
		h.do(life, func() {
			action()
			h.w.after(d, next)
		})
	}
	h.w.after(h.w.between(0, d), next)
}

// kill ends the incarnation and starts another after d.
func (h *host) kill(d time.Duration) {
	h.alive = false
	h.life++
	h.w.after(d, h.start)
}

// handle passes an event to the machine and carries out the effects.
func (h *host) handle(e proxy.Event) {
	for _, effect := range h.machine.Handle(h.clock(), e) {
		h.carry(effect)
	}
}

func (h *host) carry(effect proxy.Effect) {
	switch e := effect.(type) {
	case proxy.Fetch:
		h.w.store.get(h, e.Key)
	case proxy.Put:
		h.w.store.put(h, e)
	case proxy.Send:
		for _, to := range h.w.hosts {
			if to.id == e.To {
				life := to.life
				h.w.send(h.name(), to.name(), func() {
					to.do(life, func() { to.handle(proxy.Received{From: h.id, Message: e.Message}) })
				})
			}
		}
	case promotion.Probe:
		h.probe(h.w.instance(e.Instance), e.Fresh)
	case promotion.Detach:
		h.order(e.Instance, e)
	case promotion.Follow:
		h.order(e.Instance, e)
	case promotion.Promote:
		h.order(e.Instance, e)
	}
}

// order delivers an order; sometimes very late.
func (h *host) order(to proxy.InstanceID, e proxy.Effect) {
	i := h.w.instance(to)
	if h.w.chance(h.w.slowOrder) {
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

// probe observes an instance. An established connection that hangs fails until
// a fresh one has replaced it.
func (h *host) probe(i *instance, fresh bool) { h.exchange(i, fresh, func() {}) }

// exchange runs an order on an instance, if any, and observes it.
func (h *host) exchange(i *instance, fresh bool, order func()) {
	life, sent, done := h.life, h.clock(), false
	h.w.after(probeTimeout, func() {
		h.do(life, func() {
			if !done {
				done = true
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
		order()
		o := i.observation()
		h.fromInstance(i, func() {
			h.do(life, func() {
				if !done {
					done = true
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
	o.Group, o.Instance, o.Sent, o.Fresh = simulated, i.id, sent, fresh
	h.handle(o)
}

// write sends a write to the primary if the machine expects it to succeed.
func (h *host) write() {
	now := h.clock()
	if h.machine.Ready(now, simulated) != nil {
		h.w.stats.refused++
		return
	}
	leader, _ := h.machine.Leader(simulated)
	i := h.w.instance(leader.Primary)
	h.w.written++
	h.w.stats.writes++
	id, life := h.w.written, h.life
	h.count(1)
	answered := false
	h.w.after(ackPatience, func() {
		h.do(life, func() {
			if !answered {
				h.w.stats.given++
				h.count(-1)
			}
		})
	})
	h.toInstance(i, func() {
		at, ok := i.commit(id)
		if !ok {
			return
		}
		h.fromInstance(i, func() {
			if h.life != life || !h.alive {
				return
			}
			// The answer reaches the host now; the host may be paused before it
			// replies to the client.
			answeredAt := h.clock()
			h.do(life, func() {
				h.reply(i.id, id, proxy.Bookmark{Term: leader.Term, Position: at}, answeredAt, &answered)
			})
		})
	})
}

// reply acknowledges a committed write as soon as the machine allows it.
func (h *host) reply(on proxy.InstanceID, id uint64, at proxy.Bookmark, answeredAt proxy.Instant, answered *bool) {
	now := h.clock()
	if h.w.staleCheck {
		now = answeredAt
	}
	err := h.machine.Acknowledge(now, simulated, on, at)
	if err == nil {
		*answered = true
		h.count(-1)
		h.longest = max(h.longest, h.w.now-h.lastAck)
		h.lastAck = h.w.now
		h.w.acknowledged(h, on, id, at.Term)
		return
	}
	if proxy.AsRefusal(err).RetryAfter == 0 || h.clock().Sub(answeredAt) > ackPatience {
		h.w.stats.doubts++
		return
	}
	life := h.life
	h.confirm()
	h.w.after(10*time.Millisecond, func() {
		h.do(life, func() {
			if !*answered {
				h.reply(on, id, at, answeredAt, answered)
			}
		})
	})
}

// confirm probes the instances for confirmations of waiting writes, at most once
// per confirmInterval for all of them.
func (h *host) confirm() {
	if h.w.now-h.confirmed < confirmInterval {
		return
	}
	h.confirmed = h.w.now
	for _, i := range h.w.instances {
		if i.recovery {
			h.probe(i, false)
		}
	}
}

func (h *host) count(n int) {
	h.writing += n
	h.handle(promotion.Writing{Group: simulated, Count: h.writing})
}
