package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxWatchWait is the longest wait that a watch may request.
const maxWatchWait = 60 * time.Second

// Calls counts the calls that the real platform charges for. Waiting is the number of
// watches that are waiting now.
type Calls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Lists   int64 `json:"lists"`
	Watches int64 `json:"watches"`
	Waiting int64 `json:"waiting"`
}

// Server serves a Memory over HTTP and simulates faults.
type Server struct {
	Memory *Memory

	faults                                 faultState
	reads, writes, lists, watches, waiting atomic.Int64
}

// NewServer returns a server with an empty store.
func NewServer() *Server { return &Server{Memory: NewMemory()} }

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// Calls returns the numbers of calls since the start.
func (s *Server) Calls() Calls {
	return Calls{
		Reads: s.reads.Load(), Writes: s.writes.Load(), Lists: s.lists.Load(),
		Watches: s.watches.Load(), Waiting: s.waiting.Load(),
	}
}

// Routes returns the HTTP interface of the platform and, below /emulator, the controls
// of the emulator.
func (s *Server) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/object", Handler: s.withFaults(s.get)},
		{Method: http.MethodPut, Path: "/object", Handler: s.withFaults(s.put)},
		{Method: http.MethodGet, Path: "/objects", Handler: s.withFaults(s.list)},
		{Method: http.MethodGet, Path: "/watch", Handler: s.withFaults(s.watch)},
		{Method: http.MethodPut, Path: "/emulator/faults", Handler: s.putFaults},
		{Method: http.MethodGet, Path: "/emulator/calls", Handler: s.getCalls},
	}
}

// withFaults applies delay and outage before a call takes effect.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.get()
		if f.Delay > 0 && !timing.Sleep(r.Context(), f.Delay) {
			return
		}
		if f.Outage {
			http.Error(w, "platform outage", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	object, err := s.Memory.Get(r.Context(), proxy.Key(r.URL.Query().Get("key")))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, object)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.writes.Add(1)
	query := r.URL.Query()
	expected, err := strconv.ParseUint(query.Get("expected"), 10, 64)
	if err != nil {
		http.Error(w, "expected: want a version", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, proxy.MaxObjectSize+1))
	if err != nil {
		writeError(w, proxy.ErrTooLarge)
		return
	}
	key := proxy.Key(query.Get("key"))
	version, err := s.Memory.Put(r.Context(), key, value, proxy.Version(expected))
	if err != nil {
		writeError(w, err)
		return
	}
	if s.faults.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, proxy.Object{Key: key, Version: version})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.lists.Add(1)
	objects, err := s.Memory.List(r.Context(), proxy.Key(r.URL.Query().Get("prefix")))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, objects)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.watches.Add(1)
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: want a version", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait <= 0 || wait > maxWatchWait {
		http.Error(w, "wait: want a duration of at most "+maxWatchWait.String(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	objects, err := s.Memory.Watch(ctx, proxy.Key(query.Get("prefix")), proxy.Version(after))
	if err != nil {
		writeError(w, err)
		return
	}
	if s.faults.get().Outage {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, objects)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := f.Validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

func (s *Server) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Calls())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, proxy.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, proxy.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, proxy.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, err.Error(), status)
}
