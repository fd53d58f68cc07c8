package instance

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Limits of a request for log records.
const (
	maxBatchBytes = 1 << 20
	longPollTime  = time.Second
)

// sourceRequest is the body of POST /follow and POST /rewind. Source is a control
// address, empty for none.
type sourceRequest struct {
	Source string `json:"source"`
}

// silenceRequest is the body of POST /silence. It selects one connection, or all
// that are open.
type silenceRequest struct {
	PID uint32 `json:"pid"`
	All bool   `json:"all"`
}

// silenceResponse is the answer to POST /silence: the number of connections.
type silenceResponse struct {
	Count int `json:"count"`
}

// handler returns the control requests:
//
//	GET  /status    Status
//	GET  /faults    Faults
//	PUT  /faults    change the faults that the body names
//	POST /silence   make one connection or all unresponsive
//	POST /follow    follow another source, or none
//	POST /promote   promote a replica
//	POST /rewind    discard the diverged end of the log and follow the source
//	GET  /segments  timelines of the log
//	GET  /log       records after a log point, by long poll
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
	if err := i.server.Serve(i.controlListener); !errors.Is(err, http.ErrServerClosed) {
		i.options.Log.Error().Err(err).Msg("control listener failed")
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// decodeBody decodes the JSON body of a request. On an error it answers with
// status 400 and returns false.
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
	var body silenceRequest
	if !decodeBody(w, r, &body) {
		return
	}
	if body.All {
		writeJSON(w, silenceResponse{i.SilenceAll()})
		return
	}
	if !i.Silence(body.PID) {
		http.Error(w, "no open connection has this pid", http.StatusNotFound)
		return
	}
	writeJSON(w, silenceResponse{1})
}

func (i *Instance) postFollow(w http.ResponseWriter, r *http.Request) {
	var body sourceRequest
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
	var body sourceRequest
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

// getLog answers with the records after the log point in the query. If there are
// none, it waits for one up to longPollTime, and then answers with an empty list.
// Status 409 means that the log does not contain the log point.
func (i *Instance) getLog(w http.ResponseWriter, r *http.Request) {
	after, err := parseLogPoint(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := longPollTime
	if r.URL.Query().Get("wait") == "no" {
		wait = 0
	}
	timeout := time.After(wait)
	for {
		changed := i.engine.Changed()
		records, err := i.engine.Read(after, maxBatchBytes)
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

// parseLogPoint reads the log point of a replication request.
func parseLogPoint(r *http.Request) (LogPoint, error) {
	query := r.URL.Query()
	position, err := proxy.ParsePosition(query.Get("position"))
	if err != nil {
		return LogPoint{}, err
	}
	timeline, err := strconv.ParseUint(query.Get("timeline"), 10, 32)
	return LogPoint{Position: position, Timeline: uint32(timeline), Origin: query.Get("origin")}, err
}
