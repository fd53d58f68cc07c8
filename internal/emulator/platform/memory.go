// Package platform emulates the platform's object store, including its faults. Objects
// have versions, conditional updates and watches. Tests and the demo use it.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Memory is an in-memory proxy.Store. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	objects map[proxy.Key]proxy.Object
	version proxy.Version
	// changed is closed and replaced at each write.
	changed chan struct{}
}

var _ proxy.Store = (*Memory)(nil)

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: make(map[proxy.Key]proxy.Object), changed: make(chan struct{})}
}

// Get implements proxy.Store.
func (m *Memory) Get(_ context.Context, key proxy.Key) (proxy.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	object, ok := m.objects[key]
	if !ok {
		return proxy.Object{}, proxy.ErrNotFound
	}
	return object, nil
}

// Put implements proxy.Store.
func (m *Memory) Put(_ context.Context, key proxy.Key, value []byte, expected proxy.Version) (proxy.Version, error) {
	if len(value) > proxy.MaxObjectSize {
		return 0, proxy.ErrTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != expected {
		return 0, proxy.ErrConflict
	}
	m.version++
	copied := append([]byte(nil), value...)
	m.objects[key] = proxy.Object{Key: key, Value: copied, Version: m.version}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version, nil
}

// List implements proxy.Store.
func (m *Memory) List(_ context.Context, prefix proxy.Key) ([]proxy.Object, error) {
	objects, _ := m.changedSince(prefix, 0)
	return objects, nil
}

// Watch implements proxy.Store. It returns no objects if ctx is done before a change.
func (m *Memory) Watch(ctx context.Context, prefix proxy.Key, after proxy.Version) ([]proxy.Object, error) {
	for {
		objects, changed := m.changedSince(prefix, after)
		if len(objects) > 0 {
			return objects, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// changedSince returns the objects under prefix with a version above after, ordered by
// key, and a channel that the next write closes.
func (m *Memory) changedSince(prefix proxy.Key, after proxy.Version) ([]proxy.Object, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	objects := []proxy.Object{}
	for key, object := range m.objects {
		if strings.HasPrefix(string(key), string(prefix)) && object.Version > after {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Key < objects[j].Key })
	return objects, m.changed
}
