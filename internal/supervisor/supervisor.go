// Package supervisor observes the instances of the database groups that this
// host pools, and carries out the orders of package promotion on them. All that
// it sends to an instance are statements of PostgreSQL.
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

// Defaults of the settable times.
const (
	defaultInterval = 100 * time.Millisecond
	defaultTimeout  = 500 * time.Millisecond
	// reconcileInterval is the time between two comparisons with the document.
	reconcileInterval = 200 * time.Millisecond
	// maxOrders bounds the orders that wait for an instance. The promotion
	// module repeats what is still wanted.
	maxOrders = 8
)

// Supervisor keeps one connection to each instance of the groups that this host
// pools. The exported fields are set before Run.
type Supervisor struct {
	Catalog proxy.Catalog
	Stage   proxy.Stage
	Clock   proxy.Clock
	// User and Password are the system's own credentials on the instances.
	User     string
	Password string
	// Pooled reports whether this host pools a group.
	Pooled func(proxy.GroupID) bool
	// Observed is called after each observation.
	Observed func(promotion.Observed)
	// Interval is the time between two observations of an instance.
	Interval time.Duration
	// Timeout limits the round trips of an observation, including the opening
	// of a connection.
	Timeout time.Duration
	Logger  zerolog.Logger

	ctx   context.Context
	tasks sync.WaitGroup

	mu      sync.Mutex
	watches map[key]*watch
	// rounds are closed and replaced when a replica of the group was observed.
	rounds map[proxy.GroupID]chan struct{}
	last   map[key]promotion.Observed
}

// key identifies an instance over all groups.
type key struct {
	group    proxy.GroupID
	instance proxy.InstanceID
}

// Run observes until ctx ends.
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

// reconcile starts and stops watches so that they fit the document.
func (s *Supervisor) reconcile() {
	document, _ := s.Catalog.Current()
	if document == nil {
		return
	}
	wanted := make(map[key]*watch)
	for g := range document.Groups {
		group := &document.Groups[g]
		if !s.Pooled(group.ID) {
			continue
		}
		for _, i := range group.Instances {
			wanted[key{group.ID, i.ID}] = &watch{
				supervisor: s, key: key{group.ID, i.ID}, address: i.AddressIn(s.Stage), group: group,
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches == nil {
		s.watches = make(map[key]*watch)
		s.rounds = make(map[proxy.GroupID]chan struct{})
		s.last = make(map[key]promotion.Observed)
	}
	for k, w := range s.watches {
		if next := wanted[k]; next == nil || next.address != w.address {
			w.stop()
			delete(s.watches, k)
		}
	}
	for k, w := range wanted {
		if s.watches[k] == nil {
			s.watches[k] = w
			s.start(w)
		}
	}
}

func (s *Supervisor) start(w *watch) {
	ctx, cancel := context.WithCancel(s.ctx)
	w.stop = cancel
	w.wake = make(chan struct{}, 1)
	w.orders = make(chan proxy.Effect, maxOrders)
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		w.run(ctx)
	}()
}

// Carry takes an effect of package promotion and reports whether it knows it.
func (s *Supervisor) Carry(effect proxy.Effect) bool {
	switch e := effect.(type) {
	case promotion.Probe:
		if w := s.watch(e.Group, e.Instance); w != nil {
			w.probe(e.Fresh)
		}
	case promotion.Detach:
		s.order(e.Group, e.Instance, e)
	case promotion.Follow:
		s.order(e.Group, e.Instance, e)
	case promotion.Promote:
		s.order(e.Group, e.Instance, e)
	default:
		return false
	}
	return true
}

func (s *Supervisor) watch(group proxy.GroupID, instance proxy.InstanceID) *watch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[key{group, instance}]
}

func (s *Supervisor) order(group proxy.GroupID, instance proxy.InstanceID, order proxy.Effect) {
	w := s.watch(group, instance)
	if w == nil {
		return
	}
	select {
	case w.orders <- order:
		w.probe(false)
	default:
	}
}

// AwaitObservation observes the group's instances at once and returns when one of them was
// observed, or when ctx ends.
func (s *Supervisor) AwaitObservation(ctx context.Context, group proxy.GroupID) {
	s.mu.Lock()
	if s.rounds == nil {
		s.mu.Unlock()
		return
	}
	round := s.rounds[group]
	if round == nil {
		round = make(chan struct{})
		s.rounds[group] = round
	}
	for k, w := range s.watches {
		if k.group == group {
			w.probe(false)
		}
	}
	s.mu.Unlock()
	select {
	case <-round:
	case <-ctx.Done():
	}
}

// report hands an observation on and ends the round of its group.
func (s *Supervisor) report(o promotion.Observed) {
	s.Observed(o)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last[key{o.Group, o.Instance}] = o
	if round := s.rounds[o.Group]; round != nil {
		close(round)
		delete(s.rounds, o.Group)
	}
}

// PrimaryPosition returns a log position of the instance that was read after the call. It
// covers everything that the instance had committed before the call. It fails
// when an observation after the call finds no primary, since the group may get
// another one long before ctx ends.
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
			return 0, eris.Errorf("position of %s: it is no reachable primary", instance)
		}
		if err := ctx.Err(); err != nil {
			return 0, fmt.Errorf("position of %s: %w", instance, err)
		}
		s.AwaitObservation(ctx, group)
	}
}
