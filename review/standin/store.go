package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store as PROTOCOL.md describes it: objects by kind and
// name, one revision counter, conditional changes and watches.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	changes  []change
	changed  chan struct{}
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
}

type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

func newStore() *store {
	return &store{revision: 100, kinds: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object unconditionally, as the operator and the instances do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	o, ok := s.kinds[kind][name]
	if ok && bytes.Equal(o.Spec, spec) {
		return o
	}
	s.revision++
	if !ok {
		o.Meta.Name, o.Meta.Created = name, s.revision
	}
	o.Meta.Revision, o.Spec = s.revision, spec
	s.kinds[kind][name] = o
	s.record(change{kind: kind, revision: s.revision, object: o})
	return o
}

func (s *store) drop(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.record(change{kind: kind, revision: s.revision, object: o, deleted: true})
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	} else if text := r.URL.Query().Get("revision"); text != "" {
		o.Meta.Revision, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = o.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method != http.MethodPost && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.drop(kind, name)
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.write(kind, name, o.Spec))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, "%s", data)
}
