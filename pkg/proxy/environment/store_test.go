package environment_test

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

var errLost = errors.New("answer lost")

// memory is a proxy.Store in memory. It is not safe for concurrent use.
type memory struct {
	objects map[proxy.Key]proxy.Object
	version proxy.Version
}

func newMemory() *memory { return &memory{objects: map[proxy.Key]proxy.Object{}} }

func (m *memory) Get(_ context.Context, key proxy.Key) (proxy.Object, error) {
	object, ok := m.objects[key]
	if !ok {
		return proxy.Object{}, proxy.ErrNotFound
	}
	return object, nil
}

func (m *memory) Put(_ context.Context, key proxy.Key, value []byte, expected proxy.Version) (proxy.Version, error) {
	if m.objects[key].Version != expected {
		return 0, proxy.ErrConflict
	}
	m.version++
	m.objects[key] = proxy.Object{Key: key, Value: value, Version: m.version}
	return m.version, nil
}

func (m *memory) List(_ context.Context, prefix proxy.Key) ([]proxy.Object, error) {
	var found []proxy.Object
	for key, object := range m.objects {
		if strings.HasPrefix(string(key), string(prefix)) {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b proxy.Object) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return found, nil
}

func (m *memory) Watch(context.Context, proxy.Key, proxy.Version) ([]proxy.Object, error) {
	return nil, errors.New("not used")
}

// fault selects how a call ends.
type fault int

const (
	answered    fault = iota
	refused           // the call fails and has no effect
	lost              // the call takes effect and its answer is lost
	delayed           // the answer is lost; the call runs later, if at all
	clientEnded       // the call takes effect and the client ends without the answer
	faultKinds        // number of the values above
)

// scheduler serves the calls of several clients in the order and with the faults that
// choose selects. To make a schedule reproducible, it serves a call only when every
// active client is waiting for one.
type scheduler struct {
	store    *memory
	choose   func(label string, n int) int
	requests chan *request
	finished chan struct{}
	// delayedCalls are calls without an answer that have not taken effect yet.
	delayedCalls []func()
}

type request struct {
	client *client
	run    func() error
	err    chan error
}

type client struct {
	*scheduler
	cancel context.CancelFunc
	// terminated clients receive no more answers.
	terminated bool
}

func (s *scheduler) run(active int) {
	var waiting []*request
	for active > 0 {
		for len(waiting) < active {
			select {
			case r := <-s.requests:
				waiting = append(waiting, r)
			case <-s.finished:
				active--
			}
		}
		if active == 0 {
			break
		}
		i := s.choose("client", len(waiting))
		r := waiting[i]
		waiting = slices.Delete(waiting, i, i+1)
		r.err <- s.serve(r)
	}
	s.flush()
}

// flush runs the delayed calls.
func (s *scheduler) flush() {
	for _, run := range s.delayedCalls {
		run()
	}
	s.delayedCalls = nil
}

func (s *scheduler) serve(r *request) error {
	if r.client.terminated {
		return errLost
	}
	// At least half of the calls are answered without a fault.
	kind := fault(max(0, s.choose("fault", 2*int(faultKinds))-int(faultKinds)))
	switch kind {
	case refused:
		return errLost
	case lost:
		_ = r.run()
		return errLost
	case delayed:
		s.delayedCalls = append(s.delayedCalls, func() { _ = r.run() })
		return errLost
	case clientEnded:
		_ = r.run()
		r.client.terminated = true
		r.client.cancel()
		return errLost
	}
	if s.choose("late", 4) == 0 {
		s.flush()
	}
	return r.run()
}

func (c *client) call(run func() error) error {
	r := &request{client: c, run: run, err: make(chan error)}
	c.requests <- r
	return <-r.err
}

func (c *client) Get(ctx context.Context, key proxy.Key) (object proxy.Object, err error) {
	err = c.call(func() error {
		var err error
		object, err = c.store.Get(ctx, key)
		return err
	})
	return object, err
}

func (c *client) Put(ctx context.Context, key proxy.Key, value []byte, expected proxy.Version) (version proxy.Version, err error) {
	// A delayed write may run after Put returned, so it must not set the results.
	written := make(chan proxy.Version, 1)
	err = c.call(func() error {
		version, err := c.store.Put(ctx, key, value, expected)
		written <- version
		return err
	})
	if err == nil {
		version = <-written
	}
	return version, err
}

func (c *client) List(ctx context.Context, prefix proxy.Key) ([]proxy.Object, error) {
	return c.store.List(ctx, prefix)
}

func (c *client) Watch(ctx context.Context, prefix proxy.Key, after proxy.Version) ([]proxy.Object, error) {
	return c.store.Watch(ctx, prefix, after)
}
