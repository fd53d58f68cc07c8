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
	promotionTick     = 20 * time.Millisecond
	promotionDuration = 20 * time.Second
	// ticksPerObservation is the number of ticks between two observations of an instance.
	// The daemon observes each instance every 100 ms.
	ticksPerObservation = 5
)

// Promotion measures the cost of supervising healthy groups against the number of groups
// for which a host has a pool.
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
	return fitAll(slopes)
}

// superviseGroups runs one promotion.Machine with n groups and returns its cost, whose
// traffic is the number of calls to the platform per second.
func superviseGroups(n int) (controlCost, error) {
	document, err := environment.Decode([]byte(documentText(n)))
	if err != nil {
		return controlCost{}, err
	}
	before := heapBytes()
	machine, err := promotion.New(promotion.Settings{
		Host: "host-0", Incarnation: 1, Environment: "large", Stage: proxy.Production, Timing: promotion.DefaultTiming(),
	})
	if err != nil {
		return controlCost{}, err
	}
	s := &supervisedMachine{
		machine: machine, objects: make(map[proxy.Key]proxy.Object), termStates: make(map[string]promotion.TermState),
	}
	s.handle(1, promotion.Configured{Document: document, Revision: 1})
	for i := range document.Groups {
		s.handle(1, promotion.Placed{Group: document.Groups[i].ID, Hosts: []proxy.HostID{"host-0"}})
	}
	now := proxy.Instant(1)
	settled := now.Add(time.Second) // the groups' objects are created in the first second
	for step := 0; now < settled.Add(promotionDuration); step++ {
		if now >= settled && s.measuredSince == 0 {
			s.measuredSince, s.micros, s.platformCalls = now, 0, 0
		}
		s.handle(now, proxy.Tick{Random: uint64(step)})
		if step%ticksPerObservation == 0 {
			s.observe(now, document)
		}
		now = now.Add(promotionTick)
	}
	seconds := promotionDuration.Seconds()
	cost := controlCost{
		processor: s.micros / seconds, traffic: float64(s.platformCalls) / seconds, memory: heapBytes() - before,
	}
	runtime.KeepAlive(s)
	return cost, nil
}

// supervisedMachine is a promotion.Machine with a platform and instances that answer
// immediately.
type supervisedMachine struct {
	machine       *promotion.Machine
	objects       map[proxy.Key]proxy.Object
	termStates    map[string]promotion.TermState
	version       proxy.Version
	micros        float64
	platformCalls int
	measuredSince proxy.Instant
}

func (s *supervisedMachine) handle(now proxy.Instant, event proxy.Event) {
	effects, micros := handleTimed(s.machine, now, event)
	s.micros += micros
	for _, effect := range effects {
		s.execute(now, effect)
	}
}

func (s *supervisedMachine) execute(now proxy.Instant, effect proxy.Effect) {
	switch e := effect.(type) {
	case proxy.Fetch:
		s.platformCalls++
		object, ok := s.objects[e.Key]
		fetched := proxy.Fetched{Object: object, Sent: now}
		if !ok {
			fetched = proxy.Fetched{Object: proxy.Object{Key: e.Key}, Sent: now, Err: proxy.ErrNotFound}
		}
		s.handle(now, fetched)
	case proxy.Put:
		s.platformCalls++
		s.version++
		s.objects[e.Key] = proxy.Object{Key: e.Key, Value: e.Value, Version: s.version}
		s.handle(now, proxy.Written{Key: e.Key, Version: s.version, Sent: now})
	case promotion.Follow:
		s.termStates[string(e.Group)+"/"+string(e.Instance)] = promotion.TermState{Term: e.Term, LeftTerm: e.Expected.LeftTerm}
	}
}

// observe reports an observation of every instance to the machine.
func (s *supervisedMachine) observe(now proxy.Instant, document *proxy.Document) {
	for i := range document.Groups {
		group := &document.Groups[i]
		for _, instance := range group.Instances {
			s.handle(now, promotion.Observed{
				Group: group.ID, Instance: instance.ID, Sent: now, Reachable: true, Recovery: !instance.Primary,
				TermState: s.termStates[strings.Join([]string{string(group.ID), string(instance.ID)}, "/")],
				Received:  1000, Replayed: 1000, Current: 1000,
			})
		}
	}
}
