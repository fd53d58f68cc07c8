package deployment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eraHeader is the header of all answers that numbers the store's histories.
const eraHeader = "Store-Era"

// Store emulates the platform's metadata store. It holds objects by kind and name, and
// supports conditional changes and watches.
type Store struct {
	mu       sync.Mutex
	revision uint64
	// era is sent in all answers; zero for a store that sends none.
	era     uint64
	kinds   map[string]map[string]*object
	changes []change
	// compactedRevision is the revision of the last compaction. Earlier changes are
	// no longer known.
	compactedRevision uint64
	// changed is closed and replaced at each change, to wake the watchers.
	changed chan struct{}
	// writtenOutside are the newest objects that were not written through calls.
	writtenOutside map[string]map[string]json.RawMessage
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

// encoded returns the object as the store sends it. The content is not checked, as it may
// come from a writer that writes anything.
func (o object) encoded() []byte {
	name, err := json.Marshal(o.Meta.Name)
	if err != nil {
		// Encoding a string cannot fail.
		panic(err)
	}
	return fmt.Appendf(nil, `{"meta":{"name":%s,"revision":%d},"spec":%s}`, name, o.Meta.Revision, o.Spec)
}

type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

func (c change) encoded() []byte {
	return fmt.Appendf(nil, `{"object":%s,"deleted":%t}`, c.object.encoded(), c.deleted)
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 1, era: 1, kinds: make(map[string]map[string]*object), changed: make(chan struct{}),
		writtenOutside: make(map[string]map[string]json.RawMessage),
	}
}

// HideEra makes the store answer without its era, as one that is never restored.
func (s *Store) HideEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = 0
}

// Copy is the content of a store at an instant.
type Copy struct {
	revision uint64
	kinds    map[string]map[string]*object
	changes  []change
}

// Copy returns a copy of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{revision: s.revision, kinds: make(map[string]map[string]*object), changes: slices.Clone(s.changes)}
	for kind, objects := range s.kinds {
		c.kinds[kind] = maps.Clone(objects)
	}
	return c
}

// Restore makes the store go on from a copy, in a new era. Revisions that were given out since
// the copy are given out again, and a watch that waits goes on in the new history. The objects
// of the kinds named are then written again as they were last written by Put, PutRaw and Delete.
func (s *Store) Restore(c Copy, writtenAgain ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.changes = c.revision, slices.Clone(c.changes)
	s.kinds = make(map[string]map[string]*object)
	for kind, objects := range c.kinds {
		s.kinds[kind] = maps.Clone(objects)
	}
	for _, kind := range writtenAgain {
		for name, spec := range s.writtenOutside[kind] {
			if old := s.kinds[kind][name]; old == nil || !bytes.Equal(old.Spec, spec) {
				s.write(kind, name, spec)
			}
		}
		for name := range s.kinds[kind] {
			if s.writtenOutside[kind][name] == nil {
				s.remove(kind, name)
			}
		}
	}
	s.wakeWatchers()
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
	s.PutRaw(kind, name, data)
	return nil
}

// PutRaw writes an object with a spec that is not checked, as another writer does.
func (s *Store) PutRaw(kind, name string, spec []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writtenOutside[kind] == nil {
		s.writtenOutside[kind] = make(map[string]json.RawMessage)
	}
	s.writtenOutside[kind][name] = spec
	s.write(kind, name, spec)
}

// Has reports whether an object exists.
func (s *Store) Has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name] != nil
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.writtenOutside[kind], name)
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
	s.changes = append(s.changes, change{kind: kind, revision: s.revision, object: *o})
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
	s.changes = append(s.changes, change{kind: kind, revision: s.revision, object: *o, deleted: true})
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
		down, era := s.down, s.era
		s.mu.Unlock()
		if era != 0 {
			w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
		}
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func respond(w http.ResponseWriter, body []byte) { respondWith(w, http.StatusOK, body) }

func respondWith(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_, _ = w.Write(body)
}

func (s *Store) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []*object
	for _, o := range s.kinds[r.PathValue("kind")] {
		if o.Meta.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b *object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	var encoded [][]byte
	for _, o := range items {
		encoded = append(encoded, o.encoded())
	}
	respond(w, fmt.Appendf(nil, `{"items":[%s],"has_more":false,"current_rev":%d}`,
		bytes.Join(encoded, []byte(",")), s.revision))
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, o.encoded())
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
		if after < s.compactedRevision || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events [][]byte
		for _, c := range s.changes {
			if c.kind == r.PathValue("kind") && c.revision > after {
				events = append(events, c.encoded())
			}
		}
		changed, revision, down, held := s.changed, s.revision, s.down, s.held
		if s.era != 0 {
			w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
		}
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !held && (len(events) > 0 || expired) {
			respond(w, fmt.Appendf(nil, `{"events":[%s],"current_rev":%d}`, bytes.Join(events, []byte(",")), revision))
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
		respondWith(w, http.StatusConflict, old.encoded())
		return
	}
	respond(w, s.write(r.PathValue("kind"), o.Meta.Name, o.Spec).encoded())
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
		respondWith(w, http.StatusConflict, old.encoded())
	default:
		respond(w, s.write(r.PathValue("kind"), r.PathValue("name"), o.Spec).encoded())
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
		respondWith(w, http.StatusConflict, old.encoded())
	default:
		s.remove(r.PathValue("kind"), r.PathValue("name"))
		respond(w, old.encoded())
	}
}
