package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record keeps what was sent, answered and run, and writes it to record.txt.
type Record struct {
	mu        sync.Mutex
	file      *os.File
	out       *bufio.Writer
	start     time.Time
	runs      map[string][]Run
	discarded map[string]map[int]bool
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{
		file: file, out: bufio.NewWriter(file), start: time.Now(), runs: make(map[string][]Run),
		discarded: make(map[string]map[int]bool),
	}, nil
}

func (r *Record) line(at time.Time, format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f ", at.Sub(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

// Event records an event, also on standard output.
func (r *Record) Event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.line(now, format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{now.Sub(r.start).Seconds()}, args...)...)
}

// Ran records a statement that an instance ran.
func (r *Record) Ran(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(run.at, "ran      %s on %s for %s, log up to %d, commit %d: %s", run.id, run.instance, run.who, run.applied, run.committed, run.text)
	r.runs[run.id] = append(r.runs[run.id], run)
}

// Discard records a commit that was rolled back.
func (r *Record) Discard(group string, serial int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.discarded[group] == nil {
		r.discarded[group] = make(map[int]bool)
	}
	r.discarded[group][serial] = true
	r.line(time.Now(), "%s commit %d rolled back", group, serial)
}

// Discarded reports whether a commit was rolled back.
func (r *Record) Discarded(group string, serial int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.discarded[group][serial]
}

// Exchange records a client's statement and its answer.
func (r *Record) Exchange(e Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(e.sent, "sent     %s to %s with %s: %s", e.id, e.host, e.key, e.text)
	r.line(e.answered, "answered %s: %s", e.id, e.answer)
}

// Runs returns how a request ran.
func (r *Record) Runs(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs[id]...)
}

// Close writes the rest of the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
