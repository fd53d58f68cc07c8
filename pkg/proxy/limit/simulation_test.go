package limit_test

import (
	"container/heap"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
)

const (
	tick   = 100 * time.Millisecond
	prefix = proxy.Key("environments/test/trial/shares/")
)

var errLost = errors.New("no answer")

// process is one incarnation of a simulated host.
type process struct {
	table *limit.Table
	host  int
	// rate and origin convert virtual time to the process's clock.
	rate   float64
	origin int64
	paused bool
	ended  bool
	// waiting holds the steps to run when a paused process resumes.
	waiting  []func()
	revision int
	// side is the side of a network partition. Messages arrive only on the same side.
	side int
	// offline processes cannot reach the store.
	offline bool
	// hidden processes are missing from the other hosts' lists.
	hidden bool
}

func (p *process) local(now time.Duration) proxy.Instant {
	return proxy.Instant(p.origin + int64(float64(now)*p.rate))
}

// simulation runs hosts, a network and a store in virtual time.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	events events
	// count is the number of scheduled events; it orders events of the same instant.
	count     int
	processes []*process
	// current is the newest process of each host.
	current []*process
	store   map[proxy.Key]proxy.Object
	version proxy.Version
	outage  bool

	// delay returns the delay of a message or of a call to the store.
	delay func() time.Duration
	// loss is the probability that a message or a call is lost.
	loss float64
	// drift is the largest deviation of a clock rate from 1.
	drift         float64
	lease         time.Duration
	renew         time.Duration
	grantDuration time.Duration
	slots         int
	// sent, bytes and calls count messages, their bytes and calls to the store.
	sent       int
	bytes      int
	calls      int
	violations []limit.Violation
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(hosts int, seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), store: map[proxy.Key]proxy.Object{},
		current: make([]*process, hosts), version: 1,
	}
	s.delay = func() time.Duration { return s.upTo(8*time.Millisecond) + time.Millisecond }
	return s
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func (s *simulation) after(d time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{s.now + d, s.count, run})
}

// run advances virtual time.
func (s *simulation) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func hostID(n int) proxy.HostID {
	return proxy.HostID("host-" + string(rune('a'+n/26)) + string(rune('a'+n%26)))
}

func hostNumber(id proxy.HostID) int { return int(id[5]-'a')*26 + int(id[6]-'a') }

// start runs a new incarnation of a host.
func (s *simulation) start(host int) *process {
	p := &process{host: host, rate: 1 + s.drift*float64(s.random.IntN(3)-1), origin: s.random.Int64N(1e15) + 1}
	p.table = &limit.Table{
		Self:   proxy.HostState{ID: hostID(host), Incarnation: proxy.Incarnation(len(s.processes) + 1)},
		Prefix: prefix, Slots: s.slots, LeaseDuration: s.lease, RenewInterval: s.renew, GrantDuration: s.grantDuration,
	}
	s.processes = append(s.processes, p)
	s.current[host] = p
	s.after(s.upTo(tick), func() { s.tick(p) })
	return p
}

func (s *simulation) tick(p *process) {
	if p.ended {
		return
	}
	s.on(p, func() {
		s.handle(p, proxy.Tick{Random: s.random.Uint64()})
		s.after(tick, func() { s.tick(p) })
	})
}

// on runs a step of a process, or defers it until a paused process resumes.
func (s *simulation) on(p *process, step func()) {
	switch {
	case p.ended:
	case p.paused:
		p.waiting = append(p.waiting, step)
	default:
		step()
	}
}

func (s *simulation) resume(p *process) {
	p.paused = false
	waiting := p.waiting
	p.waiting = nil
	for _, step := range waiting {
		s.on(p, step)
	}
}

func (s *simulation) handle(p *process, e proxy.Event) {
	for _, effect := range p.table.Handle(p.local(s.now), e) {
		switch e := effect.(type) {
		case proxy.Send:
			s.send(p, e)
		case limit.Violation:
			s.violations = append(s.violations, e)
		default:
			s.call(p, effect)
		}
	}
}

func (s *simulation) send(from *process, e proxy.Send) {
	s.sent++
	data, err := cbor.Marshal(e.Message)
	if err != nil || e.Message.Validate() != nil {
		panic("invalid message")
	}
	s.bytes += len(data)
	copies := 1
	if s.loss > 0 && s.random.Float64() < s.loss/2 {
		copies = 2
	}
	for range copies {
		if s.loss > 0 && s.random.Float64() < s.loss {
			continue
		}
		delay := s.delay()
		if s.loss > 0 && s.random.Float64() < s.loss {
			delay += s.upTo(time.Second)
		}
		s.after(delay, func() {
			to := s.current[hostNumber(e.To)]
			if to == nil || to.side != from.side {
				return
			}
			s.on(to, func() { s.handle(to, proxy.Received{From: hostID(from.host), Message: e.Message}) })
		})
	}
}

// call executes an effect on the store. Both the call and its answer are delayed, and
// either may be lost.
func (s *simulation) call(p *process, effect proxy.Effect) {
	s.calls++
	sent := p.local(s.now)
	lost := func() bool { return s.outage || p.offline || s.loss > 0 && s.random.Float64() < s.loss }
	late := s.delay()
	if s.loss > 0 && s.random.Float64() < s.loss {
		late += s.upTo(10 * time.Second)
	}
	s.after(late, func() {
		answer := s.apply(effect, sent, lost())
		if lost() {
			answer = s.apply(effect, sent, true)
		}
		s.after(s.delay(), func() { s.on(p, func() { s.handle(p, answer) }) })
	})
}

func (s *simulation) apply(effect proxy.Effect, sent proxy.Instant, lost bool) proxy.Event {
	switch e := effect.(type) {
	case proxy.List:
		if lost {
			return proxy.Listed{Prefix: e.Prefix, Sent: sent, Err: errLost}
		}
		var objects []proxy.Object
		for key, object := range s.store {
			if strings.HasPrefix(string(key), string(e.Prefix)) {
				objects = append(objects, object)
			}
		}
		slices.SortFunc(objects, func(a, b proxy.Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
		return proxy.Listed{Prefix: e.Prefix, Objects: objects, Sent: sent}
	case proxy.Fetch:
		object, ok := s.store[e.Key]
		object.Key = e.Key
		switch {
		case lost:
			return proxy.Fetched{Object: object, Sent: sent, Err: errLost}
		case !ok:
			return proxy.Fetched{Object: object, Sent: sent, Err: proxy.ErrNotFound}
		}
		return proxy.Fetched{Object: object, Sent: sent}
	case proxy.Put:
		switch {
		case lost:
			return proxy.Written{Key: e.Key, Sent: sent, Err: errLost}
		case s.store[e.Key].Version != e.Expected:
			return proxy.Written{Key: e.Key, Sent: sent, Err: proxy.ErrConflict}
		}
		s.version++
		s.store[e.Key] = proxy.Object{Key: e.Key, Value: e.Value, Version: s.version}
		return proxy.Written{Key: e.Key, Version: s.version, Sent: sent}
	}
	panic("unknown effect")
}

// announce sends a process the list of running hosts.
func (s *simulation) announce(p *process) {
	var live []proxy.HostState
	for n, q := range s.current {
		if q != nil && !q.ended && !q.hidden && n != p.host {
			live = append(live, q.table.Self)
		}
	}
	s.on(p, func() { s.handle(p, limit.Peers{Live: live}) })
}
