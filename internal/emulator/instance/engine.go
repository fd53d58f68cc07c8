package instance

import (
	"sort"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Engine is the table, the log and the row locks of an instance. It is safe for
// concurrent use.
type Engine struct {
	name string

	mu       sync.Mutex
	rows     map[string]string
	log      history
	replayed int // records of log that rows contains
	arrived  []proxy.Instant
	primary  bool
	// highest is the highest timeline ever seen. A rewind does not lower it,
	// so that no timeline is written twice.
	highest uint32
	// epoch counts the changes between primary and replica. A transaction of
	// an earlier epoch cannot commit.
	epoch    uint64
	locks    map[string]*rowLock
	lag      time.Duration
	cut      bool
	source   string
	link     uint64
	diverged bool
	// streaming reports that the source has answered on the present link.
	streaming bool
	changed   chan struct{}
	// system holds the settings of ALTER SYSTEM other than the source.
	system map[string]string
	// advisory holds the sessions that hold advisory locks.
	advisory map[int64]*session
}

// NewEngine returns the engine of an empty instance: a primary, or a replica
// that follows source once it is set.
func NewEngine(name string, primary bool) *Engine {
	return &Engine{
		name:    name,
		rows:    make(map[string]string),
		primary: primary,
		highest: 1,
		locks:   make(map[string]*rowLock),
		changed: make(chan struct{}),

		system:   make(map[string]string),
		advisory: make(map[int64]*session),
	}
}

// State is what an engine reports of itself.
type State struct {
	Primary  bool           `json:"primary"`
	Timeline uint32         `json:"timeline"`
	Received proxy.Position `json:"received"`
	Replayed proxy.Position `json:"replayed"`
	Source   string         `json:"source"`
	// Diverged reports that the source's log does not continue this one.
	Diverged bool `json:"diverged"`
	// Streaming reports that the source has answered.
	Streaming bool `json:"streaming"`
}

// State returns the current state. On a primary both positions are the end of
// the log.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{
		Primary:   e.primary,
		Timeline:  e.log.end().Timeline,
		Received:  e.log.end().Position,
		Replayed:  e.log[:e.replayed].end().Position,
		Source:    e.source,
		Diverged:  e.diverged,
		Streaming: e.streaming && !e.primary,
	}
	return s
}

// Changed returns a channel that is closed at the next change of the log or of
// the replication settings.
func (e *Engine) Changed() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changed
}

// notify wakes the waiters of Changed.
func (e *Engine) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// append writes a record at the end of the log.
func (e *Engine) append(changes []Change) Record {
	start := e.log.end().Position
	r := Record{
		Start:    start,
		End:      start + size(changes),
		Timeline: e.highest,
		Origin:   e.name,
		Changes:  changes,
	}
	e.log = append(e.log, r)
	e.apply()
	e.notify()
	return r
}

// apply replays the next record of the log.
func (e *Engine) apply() {
	for _, c := range e.log[e.replayed].Changes {
		if c.Deleted {
			delete(e.rows, c.Key)
			continue
		}
		e.rows[c.Key] = c.Value
	}
	e.replayed++
}

// Get returns the value of a key as tx sees it.
func (e *Engine) Get(tx *Transaction, key string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if v, ok := tx.writes[key]; ok {
		if v == nil {
			return "", false
		}
		return *v, true
	}
	v, ok := e.rows[key]
	return v, ok
}

// Row is a row of the table.
type Row struct{ Key, Value string }

// Scan returns all rows as tx sees them, ordered by key.
func (e *Engine) Scan(tx *Transaction) []Row {
	e.mu.Lock()
	rows := make([]Row, 0, len(e.rows)+len(tx.writes))
	for k, v := range e.rows {
		if _, ok := tx.writes[k]; !ok {
			rows = append(rows, Row{k, v})
		}
	}
	e.mu.Unlock()
	for k, v := range tx.writes {
		if v != nil {
			rows = append(rows, Row{k, *v})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}
