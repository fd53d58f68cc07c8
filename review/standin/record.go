package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// sent holds the texts of the clients' requests by id, runs what instances ran.
	sent  map[string]string
	runs  []run
	index map[string]int
}

// run is a request that an instance ran.
type run struct {
	instance, id, text string
	began, ended       time.Time
	refused            bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now(), sent: make(map[string]string), index: make(map[string]int)}, nil
}

func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, arguments...)
}

func (r *record) write(format string, arguments ...any) {
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// send records a client's request.
func (r *record) send(client, id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = text
	r.write("client %s sends %s: %q", client, id, text)
}

// answer records what a client received.
func (r *record) answer(client, id, answer string) {
	r.line("client %s gets for %s: %q", client, id, answer)
}

// ran records that an instance begins to run a request, unran that it was refused after
// all, and ended that its answer is on the way.
func (r *record) ran(instance, id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index[id] = len(r.runs)
	r.runs = append(r.runs, run{instance: instance, id: id, text: text, began: time.Now()})
	r.write("instance %s runs %s: %q", instance, id, text)
}

func (r *record) unran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[r.index[id]].refused = true
	r.write("request %s was refused, its queue is full", id)
}

func (r *record) ended(instance, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[r.index[id]].ended = time.Now()
	r.write("instance %s answers %s", instance, id)
}

// all returns what the instances ran.
func (r *record) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// sentText returns the text of a client's request.
func (r *record) sentText(id string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, ok := r.sent[id]
	return text, ok
}
