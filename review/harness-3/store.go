package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store stands in for the platform's metadata store, as PROTOCOL.md and the users' letter 9
// describe it: objects by kind and name, one revision counter, conditional writes, watches,
// limits of calls a second, and a drill, in which it is away for a moment and comes back
// from a copy some seconds old.
type Store struct {
	writesPerSecond, readsPerSecond int

	mu       sync.Mutex
	revision uint64
	era      int
	objects  map[string]map[string]*object
	changes  []change
	changed  chan struct{}
	// away is closed when the store is back; nil while it is there.
	away chan struct{}
	// lastWrites are the newest objects of the operator and the instances, which are written
	// again after a drill.
	lastWrites    map[string]map[string]json.RawMessage
	second        int64
	writes, reads int
}

type object struct {
	Meta struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	at       time.Time
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// NewStore returns an empty store.
func NewStore(writesPerSecond, readsPerSecond int) *Store {
	return &Store{
		writesPerSecond: writesPerSecond, readsPerSecond: readsPerSecond, revision: 1, era: 1,
		objects: make(map[string]map[string]*object), changed: make(chan struct{}),
		lastWrites: make(map[string]map[string]json.RawMessage),
	}
}

// Put writes an object as the operator and the instances do, and returns the revision. While
// the store is away it returns zero.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastWrites[kind] == nil {
		s.lastWrites[kind] = make(map[string]json.RawMessage)
	}
	if s.away != nil {
		if kind == "servers" {
			s.lastWrites[kind][name] = data
		}
		return 0
	}
	s.lastWrites[kind][name] = data
	s.write(kind, name, data)
	return s.revision
}

// Delete removes an object, as the platform does with the entry of an instance that has gone.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lastWrites[kind], name)
	if s.away == nil {
		s.remove(kind, name)
	}
}

// Revision returns the store's revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Object returns the revision and content of an object.
func (s *Store) Object(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return "none"
	}
	return fmt.Sprintf("revision %d %s", o.Meta.Revision, o.Spec)
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Drill takes the store away for a time and brings it back from a copy of the given age. All
// changes since are gone, revisions go back, and the era rises. What the operator and the
// instances wrote is written again before the first call is answered; entries of instances
// that do not run are removed. It returns the revisions before and of the copy.
func (s *Store) Drill(age, awayFor time.Duration) (before, copied uint64) {
	s.mu.Lock()
	away := make(chan struct{})
	s.away = away
	start := time.Now()
	before = s.revision
	s.wake()
	s.mu.Unlock()
	time.Sleep(awayFor)
	s.mu.Lock()
	defer s.mu.Unlock()
	until := start.Add(-age)
	old := s.changes
	s.objects, s.changes, s.revision = make(map[string]map[string]*object), nil, 1
	for _, c := range old {
		if c.at.After(until) {
			break
		}
		s.revision = c.revision
		s.changes = append(s.changes, c)
		if c.deleted {
			delete(s.objects[c.kind], c.object.Meta.Name)
			continue
		}
		if s.objects[c.kind] == nil {
			s.objects[c.kind] = make(map[string]*object)
		}
		o := c.object
		s.objects[c.kind][o.Meta.Name] = &o
	}
	copied = s.revision
	s.era++
	for kind, byName := range s.lastWrites {
		for name, data := range byName {
			s.write(kind, name, data)
		}
		for name := range s.objects[kind] {
			if byName[name] == nil {
				s.remove(kind, name)
			}
		}
	}
	s.away = nil
	close(away)
	s.wake()
	return before, copied
}

// write and remove change an object. The caller holds the lock.
func (s *Store) write(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	o := &object{Spec: spec}
	if old := s.objects[kind][name]; old != nil {
		if string(old.Spec) == string(spec) {
			return old
		}
		*o = *old
		o.Spec = spec
	}
	s.revision++
	o.Meta.Name, o.Meta.Revision = name, s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	s.objects[kind][name] = o
	s.changes = append(s.changes, change{at: time.Now(), kind: kind, revision: s.revision, object: *o})
	s.wake()
	return o
}

func (s *Store) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	s.changes = append(s.changes, change{at: time.Now(), kind: kind, revision: s.revision, object: *o, deleted: true})
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Serve serves the store on listener.
func (s *Store) Serve(listener net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(s.handle)}
	go func() { _ = server.Serve(listener) }()
}

// awaitReturn ends a call that meets the store away: it gets no answer, and its connection
// is closed when the store is back. The caller holds the lock.
func (s *Store) awaitReturn() {
	if away := s.away; away != nil {
		s.mu.Unlock()
		<-away
		panic(http.ErrAbortHandler)
	}
}

// allow counts a call against the limits of calls a second. The caller holds the lock.
func (s *Store) allow(write bool) bool {
	if second := time.Now().Unix(); second != s.second {
		s.second, s.writes, s.reads = second, 0, 0
	}
	if write {
		s.writes++
		return s.writes <= s.writesPerSecond
	}
	s.reads++
	return s.reads <= s.readsPerSecond
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	// The emulated answer time of the store.
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	s.awaitReturn()
	status, answer := s.call(r, kind, name, body)
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if answer != nil {
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// call carries out a call. The caller holds the lock, which is free while a watch waits.
func (s *Store) call(r *http.Request, kind, name string, body object) (int, any) {
	if !s.allow(r.Method != http.MethodGet) {
		return http.StatusTooManyRequests, nil
	}
	old := s.objects[kind][name]
	query := r.URL.Query()
	expected := query.Get("revision")
	if body.Meta.Revision != 0 {
		expected = strconv.FormatUint(body.Meta.Revision, 10)
	}
	if r.Method == http.MethodPut || r.Method == http.MethodDelete {
		if old == nil {
			return http.StatusNotFound, nil
		}
		if expected != "" && expected != strconv.FormatUint(old.Meta.Revision, 10) {
			return http.StatusConflict, old
		}
	}
	switch r.Method {
	case http.MethodPost:
		if old = s.objects[kind][body.Meta.Name]; old != nil {
			return http.StatusConflict, old
		}
		return http.StatusOK, s.write(kind, body.Meta.Name, body.Spec)
	case http.MethodPut:
		return http.StatusOK, s.write(kind, name, body.Spec)
	case http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	switch {
	case name != "" && old == nil:
		return http.StatusNotFound, nil
	case name != "":
		return http.StatusOK, old
	case query.Has("watch"):
		return s.watch(r, kind)
	}
	items := []*object{}
	for _, o := range s.objects[kind] {
		if o.Meta.Name > query.Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b *object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	return http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.revision}
}

func (s *Store) watch(r *http.Request, kind string) (int, any) {
	after, errAfter := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if errAfter != nil || errWait != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	expired := false
	for {
		if after > s.revision {
			return http.StatusGone, nil
		}
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		if len(events) > 0 || expired {
			return http.StatusOK, map[string]any{"events": events, "current_rev": s.revision}
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			s.mu.Lock()
			return http.StatusOK, nil
		}
		s.mu.Lock()
		s.awaitReturn()
	}
}
