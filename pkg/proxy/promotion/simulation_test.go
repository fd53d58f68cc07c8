package promotion_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// simulation simulates hosts, instances and a platform in virtual time. All random
// choices come from one seeded generator.
type simulation struct {
	now       time.Duration
	end       time.Duration
	queue     events
	sequence  uint64
	rng       *rand.Rand
	blocked   map[link]int
	store     *store
	hosts     []*host
	instances []*instance
	document  *proxy.Document
	revision  proxy.Revision

	written          uint64
	acknowledgements []ack
	promotions       []promoted
	violations       []string
	stats            stats
	// slowCommand is the probability that a command to an instance is delivered
	// up to three seconds late.
	slowCommand float64
	// pressure is the probability of a fault at each step of a failover or
	// switchover.
	pressure float64
	// staleCheck makes hosts call Acknowledge with the instant at which the
	// database answered instead of the current instant.
	staleCheck bool
}

// stats counts events, to show that a run exercised what it tests.
type stats struct {
	writes, acks, refused, unknown, promotions, rewinds int
	// timedOut counts the writes that got no answer within ackTimeout.
	timedOut int
}

// link is one direction of the traffic between two hosts, instances or the
// platform.
type link struct{ from, to string }

// ack is an acknowledged write.
type ack struct {
	id   uint64
	term proxy.Term
	at   time.Duration
}

// promoted records that an instance has accepted writes in a term since at.
type promoted struct {
	term     proxy.Term
	instance proxy.InstanceID
	at       time.Duration
}

const simulatedGroup = proxy.GroupID("orders")

// newSimulation returns a simulation with the given numbers of running hosts and
// instances. injectFault limits its faults so that they end by end.
func newSimulation(seed uint64, hosts, instances int, end time.Duration) *simulation {
	w := &simulation{
		end:         end,
		rng:         rand.New(rand.NewPCG(seed, 1)),
		blocked:     make(map[link]int),
		revision:    1,
		slowCommand: 0.02,
	}
	w.store = &store{w: w}
	g := proxy.Group{ID: simulatedGroup}
	for n := range instances {
		id := proxy.InstanceID(fmt.Sprintf("i%d", n))
		g.Instances = append(g.Instances, proxy.Instance{ID: id, Primary: n == 0})
		w.instances = append(w.instances, newInstance(w, id, n > 0))
	}
	w.document = &proxy.Document{Groups: []proxy.Group{g}}
	for n := range hosts {
		w.hosts = append(w.hosts, newHost(w, n))
	}
	for _, h := range w.hosts {
		h.start()
	}
	return w
}

// run advances virtual time to until.
func (w *simulation) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		if len(w.violations) > 0 {
			return
		}
	}
	w.now = until
}

// after schedules do to run in d.
func (w *simulation) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + d, sequence: w.sequence, do: do})
}

// between returns a random duration from low to high.
func (w *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func (w *simulation) chance(p float64) bool { return w.rng.Float64() < p }

// send delivers a message after a random network delay, unless the link is blocked
// when it is sent or when it arrives.
func (w *simulation) send(from, to string, do func()) {
	w.sendAfter(from, to, w.between(300*time.Microsecond, 6*time.Millisecond), do)
}

func (w *simulation) sendAfter(from, to string, d time.Duration, do func()) {
	l := link{from, to}
	if w.blocked[l] > 0 {
		return
	}
	w.after(d, func() {
		if w.blocked[l] == 0 {
			do()
		}
	})
}

// block blocks the traffic from a to b for d, and also from b to a if both is set.
func (w *simulation) block(a, b string, both bool, d time.Duration) {
	links := []link{{a, b}}
	if both {
		links = append(links, link{b, a})
	}
	for _, l := range links {
		w.blocked[l]++
	}
	w.after(d, func() {
		for _, l := range links {
			w.blocked[l]--
		}
	})
}

func (w *simulation) instance(id proxy.InstanceID) *instance {
	for _, i := range w.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

func (w *simulation) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

// checkAcknowledged checks a write of term that primary committed and that h
// acknowledges now: no other instance leads a later term (G2), and the primaries of
// later terms contain the write (G14).
func (w *simulation) checkAcknowledged(h *host, primary proxy.InstanceID, id uint64, term proxy.Term) {
	w.stats.acks++
	w.acknowledgements = append(w.acknowledgements, ack{id: id, term: term, at: w.now})
	for _, p := range w.promotions {
		if p.term > term && p.instance != primary {
			w.recordViolation("G2: %s acknowledged write %d of %s in term %d; %s leads term %d since %v",
				h.id, id, primary, term, p.instance, p.term, p.at)
		}
		if p.term > term && !w.instance(p.instance).contains(id) {
			w.recordViolation("G14: %s of term %d lacks write %d acknowledged in term %d", p.instance, p.term, id, term)
		}
	}
}

// checkPromoted checks an instance that starts to accept writes in a term: no other
// instance leads the term, and the instance contains every write that was acknowledged
// in an earlier term (G14).
func (w *simulation) checkPromoted(i *instance, term proxy.Term) {
	w.stats.promotions++
	for _, p := range w.promotions {
		if p.term == term && p.instance != i.id {
			w.recordViolation("%s and %s both lead term %d", p.instance, i.id, term)
		}
	}
	w.promotions = append(w.promotions, promoted{term: term, instance: i.id, at: w.now})
	for _, a := range w.acknowledgements {
		if a.term < term && !i.contains(a.id) {
			w.recordViolation("G14: %s begins term %d without write %d acknowledged in term %d", i.id, term, a.id, a.term)
		}
	}
}

// event is a scheduled action.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}
