package instance

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Limits of the replication request: a batch in bytes and the duration of a
// long poll.
const (
	batchSize = 1 << 20
	pollTime  = time.Second
)

// sourceBody names a control address, empty for none.
type sourceBody struct {
	Source string `json:"source"`
}

// silenceBody chooses one connection, or all that are open.
type silenceBody struct {
	PID uint32 `json:"pid"`
	All bool   `json:"all"`
}

// silenced is the answer to a silence request.
type silenced struct {
	Count int `json:"count"`
}

// handler returns the control requests:
//
//	GET  /status    Status
//	GET  /faults    Faults
//	PUT  /faults    change the faults that the body names
//	POST /silence   silence one connection or all
//	POST /follow    follow another source, or none
//	POST /promote   promote a replica
//	POST /rewind    discard a diverged tail and follow the source
//	GET  /segments  timelines of the log
//	GET  /log       records after a mark, by long poll
func (i *Instance) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.Status()) })
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, i.Faults()) })
	mux.HandleFunc("PUT /faults", i.putFaults)
	mux.HandleFunc("POST /silence", i.postSilence)
	mux.HandleFunc("POST /follow", i.postFollow)
	mux.HandleFunc("POST /promote", i.postPromote)
	mux.HandleFunc("POST /rewind", i.postRewind)
	mux.HandleFunc("GET /segments", i.getSegments)
	mux.HandleFunc("GET /log", i.getLog)
	return mux
}

// serveControl serves the control listener until it is closed.
func (i *Instance) serveControl() {
	if err := i.server.Serve(i.control); !errors.Is(err, http.ErrServerClosed) {
		i.options.Log.Error().Err(err).Msg("control listener failed")
	}
}

// writeJSON writes a value as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// decodeBody decodes the body of a request, or answers with status 400.
func decodeBody(w http.ResponseWriter, r *http.Request, body any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (i *Instance) putFaults(w http.ResponseWriter, r *http.Request) {
	faults := i.Faults()
	if !decodeBody(w, r, &faults) {
		return
	}
	if err := i.SetFaults(faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.options.Log.Info().Interface("faults", faults).Msg("faults changed")
	writeJSON(w, faults)
}

func (i *Instance) postSilence(w http.ResponseWriter, r *http.Request) {
	var body silenceBody
	if !decodeBody(w, r, &body) {
		return
	}
	if body.All {
		writeJSON(w, silenced{i.SilenceAll()})
		return
	}
	if !i.Silence(body.PID) {
		http.Error(w, "no open connection has this pid", http.StatusNotFound)
		return
	}
	writeJSON(w, silenced{1})
}

func (i *Instance) postFollow(w http.ResponseWriter, r *http.Request) {
	var body sourceBody
	if !decodeBody(w, r, &body) {
		return
	}
	i.Follow(body.Source)
	writeJSON(w, i.Status())
}

func (i *Instance) postPromote(w http.ResponseWriter, _ *http.Request) {
	if err := i.Promote(); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, i.Status())
}

func (i *Instance) postRewind(w http.ResponseWriter, r *http.Request) {
	var body sourceBody
	if !decodeBody(w, r, &body) {
		return
	}
	if err := i.Rewind(r.Context(), body.Source); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	writeJSON(w, i.Status())
}

func (i *Instance) getSegments(w http.ResponseWriter, _ *http.Request) {
	segments, err := i.engine.Segments()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, segments)
}

// getLog answers with the records after the mark in the query, and with none
// when there are none for the time of a long poll. Status 409 tells that the
// log does not contain the mark.
func (i *Instance) getLog(w http.ResponseWriter, r *http.Request) {
	after, err := parseMark(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := pollTime
	if r.URL.Query().Get("wait") == "no" {
		wait = 0
	}
	timeout := time.After(wait)
	for {
		changed := i.engine.Changed()
		records, err := i.engine.Read(after, batchSize)
		switch {
		case errors.Is(err, errDiverged):
			http.Error(w, err.Error(), http.StatusConflict)
			return
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		case len(records) > 0:
			writeJSON(w, records)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, []Record{})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// parseMark reads the mark of a replication request.
func parseMark(r *http.Request) (Mark, error) {
	query := r.URL.Query()
	position, err := proxy.ParsePosition(query.Get("position"))
	if err != nil {
		return Mark{}, err
	}
	timeline, err := strconv.ParseUint(query.Get("timeline"), 10, 32)
	return Mark{Position: position, Timeline: uint32(timeline), Origin: query.Get("origin")}, err
}
