package deployment

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Store emulates the platform's metadata store. It holds objects by kind and name, and
// supports conditional changes and watches.
type Store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*object
	changes  []change
	// compactedRevision is the revision of the last compaction. Earlier changes are
	// no longer known.
	compactedRevision uint64
	// changed is closed and replaced at each change, to wake the watchers.
	changed chan struct{}
	// down makes every call fail with status 503. held keeps watches from returning.
	down, held bool
}

type object struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type change struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 1, kinds: make(map[string]map[string]*object), changed: make(chan struct{})}
}

// SetDown makes the store refuse all calls if down is set, and serve them otherwise.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeWatchers()
}

// HoldWatches keeps watches from returning while held is set, even after their wait time.
func (s *Store) HoldWatches(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
	s.wakeWatchers()
}

// Compact drops the history. Watches from an earlier revision then fail with status
// 410, so their clients have to list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.compactedRevision = s.revision
	s.changes = nil
	s.wakeWatchers()
}

// Put writes an object unconditionally, as the operator and instances do.
func (s *Store) Put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
	return nil
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) write(kind, name string, spec json.RawMessage) object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*object)
	}
	s.revision++
	o := &object{Spec: spec}
	o.Meta.Name, o.Meta.Revision = name, s.revision
	s.kinds[kind][name] = o
	s.changes = append(s.changes, change{kind: kind, revision: s.revision, Object: *o})
	s.wakeWatchers()
	return *o
}

func (s *Store) remove(kind, name string) {
	o := s.kinds[kind][name]
	if o == nil {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.changes = append(s.changes, change{kind: kind, revision: s.revision, Object: *o, Deleted: true})
	s.wakeWatchers()
}

func (s *Store) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.listOrWatch)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.get)
	mux.HandleFunc("POST /-/objects/{kind}", s.create)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.delete)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.kinds[r.PathValue("kind")] {
		if o.Meta.Name > r.URL.Query().Get("after") {
			items = append(items, *o)
		}
	}
	slices.SortFunc(items, func(a, b object) int {
		if a.Meta.Name < b.Meta.Name {
			return -1
		}
		return 1
	})
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": s.revision})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, o)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	expired := false
	for {
		s.mu.Lock()
		if after < s.compactedRevision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []change{}
		for _, c := range s.changes {
			if c.kind == r.PathValue("kind") && c.revision > after {
				events = append(events, c)
			}
		}
		changed, revision, down, held := s.changed, s.revision, s.down, s.held
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !held && (len(events) > 0 || expired) {
			respond(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
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

func (s *Store) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.kinds[r.PathValue("kind")][o.Meta.Name]; old != nil {
		respond(w, http.StatusConflict, old)
		return
	}
	respond(w, http.StatusOK, s.write(r.PathValue("kind"), o.Meta.Name, o.Spec))
}

func (s *Store) replace(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	switch {
	case old == nil:
		w.WriteHeader(http.StatusNotFound)
	case o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		respond(w, http.StatusConflict, old)
	default:
		respond(w, http.StatusOK, s.write(r.PathValue("kind"), r.PathValue("name"), o.Spec))
	}
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	expected := r.URL.Query().Get("revision")
	switch {
	case old == nil:
		w.WriteHeader(http.StatusNotFound)
	case expected != "" && expected != strconv.FormatUint(old.Meta.Revision, 10):
		respond(w, http.StatusConflict, old)
	default:
		s.remove(r.PathValue("kind"), r.PathValue("name"))
		respond(w, http.StatusOK, old)
	}
}
