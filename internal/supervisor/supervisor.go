// Package supervisor probes the instances of the database groups that this host
// pools, and executes the commands of package promotion on them. It controls an
// instance only with SQL statements.
package supervisor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

const (
	// defaultInterval and defaultTimeout are the defaults of Interval and Timeout.
	defaultInterval = 100 * time.Millisecond
	defaultTimeout  = 500 * time.Millisecond
	// reconcileInterval is the interval at which the monitors are adapted to the
	// document.
	reconcileInterval = 200 * time.Millisecond
	// maxQueuedCommands limits the commands that wait for an instance. Further ones
	// are dropped, since the promotion module repeats those that it still needs.
	maxQueuedCommands = 8
)

// Supervisor keeps one connection to each instance of the groups that this host
// pools. The exported fields are set before Run.
type Supervisor struct {
	Catalog proxy.Catalog
	Stage   proxy.Stage
	Clock   proxy.Clock
	// User and Password are the proxy's credentials on the instances.
	User     string
	Password string
	// Pooled reports whether this host pools a group.
	Pooled func(proxy.GroupID) bool
	// Observed is called after each observation.
	Observed func(promotion.Observed)
	// Interval is the time between two probes of an instance.
	Interval time.Duration
	// Timeout limits a probe, including the time to open a connection.
	Timeout time.Duration
	Logger  zerolog.Logger

	ctx   context.Context
	tasks sync.WaitGroup

	mu       sync.Mutex
	monitors map[key]*monitor
	// nextObservation holds a channel for each group that AwaitObservation waits for.
	// It is closed and removed at the next observation of any instance of the group.
	nextObservation map[proxy.GroupID]chan struct{}
	// last holds the last observation of each instance.
	last map[key]promotion.Observed
}

// key identifies an instance among those of all groups.
type key struct {
	group    proxy.GroupID
	instance proxy.InstanceID
}

// Run probes the instances until ctx ends.
func (s *Supervisor) Run(ctx context.Context) {
	if s.Interval == 0 {
		s.Interval = defaultInterval
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	s.ctx = ctx
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		s.reconcile()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.tasks.Wait()
			return
		}
	}
}

// reconcile starts and stops monitors so that there is one for each instance of the
// pooled groups in the document.
func (s *Supervisor) reconcile() {
	document, _ := s.Catalog.Current()
	if document == nil {
		return
	}
	wanted := make(map[key]*monitor)
	for g := range document.Groups {
		group := &document.Groups[g]
		if !s.Pooled(group.ID) {
			continue
		}
		for _, i := range group.Instances {
			wanted[key{group.ID, i.ID}] = &monitor{
				supervisor: s, key: key{group.ID, i.ID}, address: i.AddressIn(s.Stage), group: group,
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.monitors == nil {
		s.monitors = make(map[key]*monitor)
		s.nextObservation = make(map[proxy.GroupID]chan struct{})
		s.last = make(map[key]promotion.Observed)
	}
	for k, m := range s.monitors {
		if next := wanted[k]; next == nil || next.address != m.address {
			m.stop()
			delete(s.monitors, k)
		}
	}
	for k, m := range wanted {
		if s.monitors[k] == nil {
			s.monitors[k] = m
			s.start(m)
		}
	}
}

func (s *Supervisor) start(m *monitor) {
	ctx, cancel := context.WithCancel(s.ctx)
	m.stop = cancel
	m.wake = make(chan struct{}, 1)
	m.commands = make(chan proxy.Effect, maxQueuedCommands)
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		m.run(ctx)
	}()
}

// Execute starts to execute an effect of package promotion. It returns false if the
// effect is of another kind.
func (s *Supervisor) Execute(effect proxy.Effect) bool {
	switch e := effect.(type) {
	case promotion.Probe:
		if m := s.monitor(e.Group, e.Instance); m != nil {
			m.probe(e.Fresh)
		}
	case promotion.Detach:
		s.command(e.Group, e.Instance, e)
	case promotion.Follow:
		s.command(e.Group, e.Instance, e)
	case promotion.Promote:
		s.command(e.Group, e.Instance, e)
	default:
		return false
	}
	return true
}

func (s *Supervisor) monitor(group proxy.GroupID, instance proxy.InstanceID) *monitor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.monitors[key{group, instance}]
}

// command queues a command for the monitor of an instance.
func (s *Supervisor) command(group proxy.GroupID, instance proxy.InstanceID, command proxy.Effect) {
	m := s.monitor(group, instance)
	if m == nil {
		return
	}
	select {
	case m.commands <- command:
		m.probe(false)
	default:
	}
}

// AwaitObservation requests probes of the group's instances and returns at the next
// observation of any of them, or when ctx ends.
func (s *Supervisor) AwaitObservation(ctx context.Context, group proxy.GroupID) {
	s.mu.Lock()
	if s.nextObservation == nil {
		s.mu.Unlock()
		return
	}
	observed := s.nextObservation[group]
	if observed == nil {
		observed = make(chan struct{})
		s.nextObservation[group] = observed
	}
	for k, m := range s.monitors {
		if k.group == group {
			m.probe(false)
		}
	}
	s.mu.Unlock()
	select {
	case <-observed:
	case <-ctx.Done():
	}
}

// report passes an observation to Observed and wakes the callers of AwaitObservation
// for its group.
func (s *Supervisor) report(o promotion.Observed) {
	s.Observed(o)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[key{o.Group, o.Instance}] = o
	if observed := s.nextObservation[o.Group]; observed != nil {
		close(observed)
		delete(s.nextObservation, o.Group)
	}
}

// PrimaryPosition returns a log position of the primary that is read after the start of
// the call and therefore covers everything that the primary committed before it. It fails
// if an observation since then shows that the instance is unreachable or not a
// primary, since the group may get another primary long before ctx ends.
func (s *Supervisor) PrimaryPosition(ctx context.Context, group proxy.GroupID, instance proxy.InstanceID) (proxy.Position, error) {
	called := s.Clock.Now()
	for {
		s.mu.Lock()
		o := s.last[key{group, instance}]
		s.mu.Unlock()
		if o.Reachable && !o.Recovery && o.Sent >= called {
			return o.Current, nil
		}
		if o.Sent >= called && (!o.Reachable || o.Recovery) {
			return 0, eris.Errorf("position of %s: the instance is unreachable or not a primary", instance)
		}
		if err := ctx.Err(); err != nil {
			return 0, fmt.Errorf("position of %s: %w", instance, err)
		}
		s.AwaitObservation(ctx, group)
	}
}
