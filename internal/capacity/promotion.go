package capacity

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

const (
	promotionTick = 20 * time.Millisecond
	promotionSpan = 20 * time.Second
	// observations is the number of ticks between two observations of an
	// instance, which the daemon makes each 100 ms.
	observations = 5
)

// Promotion measures the supervision of groups that work against the number of
// groups that a host pools.
func Promotion() ([]Slope, error) {
	slopes := []Slope{
		{Name: "promotion-processor", Title: "promotion: processor time of a host", SizeUnit: "groups", CostUnit: "µs/s"},
		{Name: "promotion-calls", Title: "promotion: calls of a host to the platform", SizeUnit: "groups", CostUnit: "calls/s"},
		{Name: "promotion-memory", Title: "promotion: memory of a host", SizeUnit: "groups", CostUnit: "B"},
	}
	for _, n := range []int{25, 50, 100, 200} {
		cost, err := superviseGroups(n)
		if err != nil {
			return nil, fmt.Errorf("promotion with %d groups: %w", n, err)
		}
		for i, value := range []float64{cost.processor, cost.traffic, cost.memory} {
			slopes[i].Points = append(slopes[i].Points, Point{Size: float64(n), Cost: value})
		}
	}
	return fitted(slopes)
}

// superviseGroups runs one machine; traffic counts the calls to the platform.
func superviseGroups(n int) (controlCost, error) {
	document, err := environment.Decode([]byte(documentText(n)))
	if err != nil {
		return controlCost{}, err
	}
	before := heap()
	machine, err := promotion.New(promotion.Settings{
		Host: "host-0", Incarnation: 1, Environment: "large", Stage: proxy.Production, Timing: promotion.DefaultTiming(),
	})
	if err != nil {
		return controlCost{}, err
	}
	w := &supervised{machine: machine, objects: make(map[proxy.Key]proxy.Object), marks: make(map[string]promotion.TermState)}
	w.handle(1, promotion.Configured{Document: document, Revision: 1})
	for i := range document.Groups {
		w.handle(1, promotion.Placed{Group: document.Groups[i].ID, Hosts: []proxy.HostID{"host-0"}})
	}
	now := proxy.Instant(1)
	settled := now.Add(time.Second) // the first second creates the groups' objects
	for step := 0; now < settled.Add(promotionSpan); step++ {
		if now >= settled && w.measuring == 0 {
			w.measuring, w.busy, w.calls = now, 0, 0
		}
		w.handle(now, proxy.Tick{Random: uint64(step)})
		if step%observations == 0 {
			w.observe(now, document)
		}
		now = now.Add(promotionTick)
	}
	seconds := promotionSpan.Seconds()
	cost := controlCost{
		processor: w.busy / seconds, traffic: float64(w.calls) / seconds, memory: heap() - before,
	}
	runtime.KeepAlive(w)
	return cost, nil
}

// supervised is a machine with a platform and instances that answer at once.
type supervised struct {
	machine   *promotion.Machine
	objects   map[proxy.Key]proxy.Object
	marks     map[string]promotion.TermState
	version   proxy.Version
	busy      float64 // microseconds
	calls     int
	measuring proxy.Instant
}

func (w *supervised) handle(now proxy.Instant, event proxy.Event) {
	effects, busy := timed(w.machine, now, event)
	w.busy += busy
	for _, effect := range effects {
		w.carry(now, effect)
	}
}

func (w *supervised) carry(now proxy.Instant, effect proxy.Effect) {
	switch e := effect.(type) {
	case proxy.Fetch:
		w.calls++
		object, ok := w.objects[e.Key]
		fetched := proxy.Fetched{Object: object, Sent: now}
		if !ok {
			fetched = proxy.Fetched{Object: proxy.Object{Key: e.Key}, Sent: now, Err: proxy.ErrNotFound}
		}
		w.handle(now, fetched)
	case proxy.Put:
		w.calls++
		w.version++
		w.objects[e.Key] = proxy.Object{Key: e.Key, Value: e.Value, Version: w.version}
		w.handle(now, proxy.Written{Key: e.Key, Version: w.version, Sent: now})
	case promotion.Follow:
		w.marks[string(e.Group)+"/"+string(e.Instance)] = promotion.TermState{Term: e.Term, LeftTerm: e.Expected.LeftTerm}
	}
}

// observe answers the probes of all instances.
func (w *supervised) observe(now proxy.Instant, document *proxy.Document) {
	for i := range document.Groups {
		group := &document.Groups[i]
		for _, instance := range group.Instances {
			w.handle(now, promotion.Observed{
				Group: group.ID, Instance: instance.ID, Sent: now, Reachable: true, Recovery: !instance.Primary,
				TermState: w.marks[strings.Join([]string{string(group.ID), string(instance.ID)}, "/")],
				Received:  1000, Replayed: 1000, Current: 1000,
			})
		}
	}
}
