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

// process is one incarnation of a host.
type process struct {
	table *limit.Table
	host  int
	// rate and origin turn true time into the process's clock.
	rate     float64
	origin   int64
	paused   bool
	ended    bool
	waiting  []func()
	revision int
	side     int
	offline  bool
	// hidden processes are off the other hosts' lists.
	hidden bool
}

func (p *process) local(now time.Duration) proxy.Instant {
	return proxy.Instant(p.origin + int64(float64(now)*p.rate))
}

// fleet runs hosts, a network and a store under virtual time.
type fleet struct {
	random    *rand.Rand
	now       time.Duration
	events    events
	count     int
	processes []*process
	// current is the newest process of each host.
	current []*process
	store   map[proxy.Key]proxy.Object
	version proxy.Version
	outage  bool

	delay  func() time.Duration
	loss   float64
	drift  float64
	lease  time.Duration
	renew  time.Duration
	valid  time.Duration
	slots  int
	sent   int
	bytes  int
	calls  int
	faults []limit.Violation
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

func newFleet(hosts int, seed uint64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), store: map[proxy.Key]proxy.Object{},
		current: make([]*process, hosts), version: 1,
	}
	f.delay = func() time.Duration { return f.upTo(8*time.Millisecond) + time.Millisecond }
	return f
}

func (f *fleet) upTo(d time.Duration) time.Duration { return time.Duration(f.random.Int64N(int64(d))) }

func (f *fleet) after(d time.Duration, run func()) {
	f.count++
	heap.Push(&f.events, event{f.now + d, f.count, run})
}

// run advances virtual time.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func hostID(n int) proxy.HostID {
	return proxy.HostID("host-" + string(rune('a'+n/26)) + string(rune('a'+n%26)))
}

func hostNumber(id proxy.HostID) int { return int(id[5]-'a')*26 + int(id[6]-'a') }

// start runs a new incarnation of a host.
func (f *fleet) start(host int) *process {
	p := &process{host: host, rate: 1 + f.drift*float64(f.random.IntN(3)-1), origin: f.random.Int64N(1e15) + 1}
	p.table = &limit.Table{
		Self:   proxy.HostState{ID: hostID(host), Incarnation: proxy.Incarnation(len(f.processes) + 1)},
		Prefix: prefix, Slots: f.slots, Lease: f.lease, Renew: f.renew, Valid: f.valid,
	}
	f.processes = append(f.processes, p)
	f.current[host] = p
	f.after(f.upTo(tick), func() { f.tick(p) })
	return p
}

func (f *fleet) tick(p *process) {
	if p.ended {
		return
	}
	f.on(p, func() {
		f.handle(p, proxy.Tick{Random: f.random.Uint64()})
		f.after(tick, func() { f.tick(p) })
	})
}

// on runs a step of a process, after its pause where it is paused.
func (f *fleet) on(p *process, step func()) {
	switch {
	case p.ended:
	case p.paused:
		p.waiting = append(p.waiting, step)
	default:
		step()
	}
}

func (f *fleet) resume(p *process) {
	p.paused = false
	waiting := p.waiting
	p.waiting = nil
	for _, step := range waiting {
		f.on(p, step)
	}
}

func (f *fleet) handle(p *process, e proxy.Event) {
	for _, effect := range p.table.Handle(p.local(f.now), e) {
		switch e := effect.(type) {
		case proxy.Send:
			f.send(p, e)
		case limit.Violation:
			f.faults = append(f.faults, e)
		default:
			f.call(p, effect)
		}
	}
}

func (f *fleet) send(from *process, e proxy.Send) {
	f.sent++
	data, err := cbor.Marshal(e.Message)
	if err != nil || e.Message.Validate() != nil {
		panic("invalid message")
	}
	f.bytes += len(data)
	copies := 1
	if f.loss > 0 && f.random.Float64() < f.loss/2 {
		copies = 2
	}
	for range copies {
		if f.loss > 0 && f.random.Float64() < f.loss {
			continue
		}
		delay := f.delay()
		if f.loss > 0 && f.random.Float64() < f.loss {
			delay += f.upTo(time.Second)
		}
		f.after(delay, func() {
			to := f.current[hostNumber(e.To)]
			if to == nil || to.side != from.side {
				return
			}
			f.on(to, func() { f.handle(to, proxy.Received{From: hostID(from.host), Message: e.Message}) })
		})
	}
}

// call carries out an effect on the store. The effect and the answer are both
// delayed, and either can be lost.
func (f *fleet) call(p *process, effect proxy.Effect) {
	f.calls++
	sent := p.local(f.now)
	lost := func() bool { return f.outage || p.offline || f.loss > 0 && f.random.Float64() < f.loss }
	late := f.delay()
	if f.loss > 0 && f.random.Float64() < f.loss {
		late += f.upTo(10 * time.Second)
	}
	f.after(late, func() {
		answer := f.apply(effect, sent, lost())
		if lost() {
			answer = f.apply(effect, sent, true)
		}
		f.after(f.delay(), func() { f.on(p, func() { f.handle(p, answer) }) })
	})
}

func (f *fleet) apply(effect proxy.Effect, sent proxy.Instant, lost bool) proxy.Event {
	switch e := effect.(type) {
	case proxy.List:
		if lost {
			return proxy.Listed{Prefix: e.Prefix, Sent: sent, Err: errLost}
		}
		var objects []proxy.Object
		for key, object := range f.store {
			if strings.HasPrefix(string(key), string(e.Prefix)) {
				objects = append(objects, object)
			}
		}
		slices.SortFunc(objects, func(a, b proxy.Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
		return proxy.Listed{Prefix: e.Prefix, Objects: objects, Sent: sent}
	case proxy.Fetch:
		object, ok := f.store[e.Key]
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
		case f.store[e.Key].Version != e.Expected:
			return proxy.Written{Key: e.Key, Sent: sent, Err: proxy.ErrConflict}
		}
		f.version++
		f.store[e.Key] = proxy.Object{Key: e.Key, Value: e.Value, Version: f.version}
		return proxy.Written{Key: e.Key, Version: f.version, Sent: sent}
	}
	panic("unknown effect")
}

// announce tells a process which hosts run.
func (f *fleet) announce(p *process) {
	var live []proxy.HostState
	for n, q := range f.current {
		if q != nil && !q.ended && !q.hidden && n != p.host {
			live = append(live, q.table.Self)
		}
	}
	f.on(p, func() { f.handle(p, limit.Peers{Live: live}) })
}
