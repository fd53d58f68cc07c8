package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/configuration"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/member"
)

// store is an in-memory platform store.
type store struct {
	objects map[proxy.Key]proxy.Object
	version proxy.Version
}

func (s *store) Get(_ context.Context, key proxy.Key) (proxy.Object, error) {
	object, ok := s.objects[key]
	if !ok {
		return proxy.Object{}, proxy.ErrNotFound
	}
	return object, nil
}

func (s *store) Put(_ context.Context, key proxy.Key, value []byte, expected proxy.Version) (proxy.Version, error) {
	if s.objects[key].Version != expected {
		return 0, proxy.ErrConflict
	}
	s.version++
	s.objects[key] = proxy.Object{Key: key, Value: value, Version: s.version}
	return s.version, nil
}

func (s *store) List(context.Context, proxy.Key) ([]proxy.Object, error) {
	var objects []proxy.Object
	for _, object := range s.objects {
		objects = append(objects, object)
	}
	return objects, nil
}

func (s *store) Watch(context.Context, proxy.Key, proxy.Version) ([]proxy.Object, error) {
	return nil, errors.New("the harness has no watches; hosts read the document at intervals")
}

// hostModules holds the control modules of one host.
type hostModules struct {
	state         proxy.HostState
	members       *member.Table
	configuration *configuration.Table
	limits        *limit.Table
}

// harness runs many hosts in one process with a simulated clock and network.
type harness struct {
	now         proxy.Instant
	store       proxy.Store
	hosts       map[proxy.HostID]*hostModules
	order       []proxy.HostID
	partitioned bool // drops all messages between hosts
}

func decode(data []byte) (configuration.Loaded, error) {
	revision, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return configuration.Loaded{}, fmt.Errorf("decode: %w", err)
	}
	document := &proxy.Document{
		Environment: "example",
		Accounts:    []proxy.Account{{ID: "clerks", Rate: 10, Burst: 20, Weight: 1}},
	}
	return configuration.Loaded{Revision: proxy.Revision(revision), Document: document, Data: data}, nil
}

func (h *harness) add(id proxy.HostID, zone proxy.Zone) {
	state := proxy.HostState{ID: id, Zone: zone, Address: "127.0.0.1:7000", Incarnation: 1}
	h.hosts[id] = &hostModules{
		state:         state,
		members:       &member.Table{Self: state},
		configuration: &configuration.Table{Host: state, Key: "document", Decode: decode},
		limits:        &limit.Table{Self: state, Prefix: "shares/"},
	}
	h.order = append(h.order, id)
}

// run advances the clock in steps and executes the effects that the hosts return.
func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); h.now < end; h.now = h.now.Add(100 * time.Millisecond) {
		for _, id := range h.order {
			host := h.hosts[id]
			for _, module := range []proxy.Module{host.members, host.configuration, host.limits} {
				h.deliver(id, module, proxy.Tick{Random: uint64(h.now)})
			}
		}
	}
}

// deliver passes an event to a module and executes the effects that it returns.
func (h *harness) deliver(id proxy.HostID, module proxy.Module, event proxy.Event) {
	for _, effect := range module.Handle(h.now, event) {
		h.execute(id, module, effect)
	}
}

func (h *harness) execute(id proxy.HostID, module proxy.Module, effect proxy.Effect) {
	ctx := context.Background()
	host := h.hosts[id]
	switch e := effect.(type) {
	case proxy.Send:
		peer := h.hosts[e.To]
		if peer == nil || h.partitioned {
			return
		}
		for _, receiver := range []proxy.Module{peer.members, peer.configuration, peer.limits} {
			h.deliver(e.To, receiver, proxy.Received{From: id, Message: e.Message})
		}
	case proxy.Fetch:
		object, err := h.store.Get(ctx, e.Key)
		object.Key = e.Key
		h.deliver(id, module, proxy.Fetched{Object: object, Sent: h.now, Err: err})
	case proxy.List:
		objects, err := h.store.List(ctx, e.Prefix)
		h.deliver(id, module, proxy.Listed{Prefix: e.Prefix, Objects: objects, Sent: h.now, Err: err})
	case proxy.Put:
		version, err := h.store.Put(ctx, e.Key, e.Value, e.Expected)
		h.deliver(id, module, proxy.Written{Key: e.Key, Version: version, Sent: h.now, Err: err})
	case member.Changed:
		h.deliver(id, host.configuration, configuration.Peers{Live: e.Live, ExpectedHosts: e.ExpectedHosts})
		h.deliver(id, host.limits, limit.Peers{Live: e.Live})
	case configuration.Apply:
		h.deliver(id, host.limits, limit.Configure{Revision: e.Loaded.Revision, Document: e.Loaded.Document})
	}
}

// This example runs two hosts in one process with the harness's clock, network and
// store.
func Example() {
	platform := &store{objects: make(map[proxy.Key]proxy.Object)}
	h := &harness{now: 1, store: platform, hosts: make(map[proxy.HostID]*hostModules)}
	h.add("first", "gondar")
	h.add("second", "woldia")
	for _, id := range h.order {
		h.deliver(id, h.hosts[id].members, member.Seed{Hosts: []proxy.HostState{h.hosts["first"].state, h.hosts["second"].state}})
	}
	_, _ = platform.Put(context.Background(), "document", []byte("1"), 0)
	h.run(5 * time.Second)

	for _, id := range h.order {
		live, _ := h.hosts[id].members.Live()
		_, revision := h.hosts[id].configuration.Current()
		fmt.Printf("%s sees %d other host, revision %d\n", id, len(live), revision)
	}
	admitted := 0
	for range 1000 {
		for _, id := range h.order {
			if h.hosts[id].limits.Admit(h.now, "clerks") == nil {
				admitted++
			}
		}
	}
	fmt.Println("within the burst of 20:", admitted > 0 && admitted <= 20)

	h.partitioned = true
	h.run(10 * time.Second)
	live, known := h.hosts["first"].members.Live()
	fmt.Printf("after a partition first sees %d of %d\n", len(live), known)
	// Output:
	// first sees 1 other host, revision 1
	// second sees 1 other host, revision 1
	// within the burst of 20: true
	// after a partition first sees 0 of 0
}
