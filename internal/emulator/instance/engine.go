package instance

import (
	"sort"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Engine holds the table, the log and the row locks of an instance. It is safe for
// concurrent use.
type Engine struct {
	name string

	mu         sync.Mutex
	rows       map[string]string
	wal        walRecords
	replayed   int             // number of records that are applied to rows
	receivedAt []proxy.Instant // of the records that are not yet replayed
	primary    bool
	// highestTimeline is the highest timeline ever seen. A rewind does not
	// lower it, so that no timeline is written twice.
	highestTimeline uint32
	// roleChanges counts the changes between primary and replica. A
	// transaction that began before the last change cannot commit.
	roleChanges uint64
	rowLocks    map[string]*rowLock
	lag         time.Duration
	cut         bool // replication is stopped in both directions
	source      string
	link        uint64 // id of the current Link
	diverged    bool
	// streaming reports that the source has answered on the current link.
	streaming bool
	changed   chan struct{} // closed and replaced by notify
	// systemSettings holds the settings of ALTER SYSTEM except primary_conninfo,
	// which is the source.
	systemSettings map[string]string
	// advisoryLocks maps the key of each held advisory lock to its session.
	advisoryLocks map[int64]*session
}

// NewEngine returns the engine of an empty instance: a primary, or a replica
// that has no source until Follow sets one.
func NewEngine(name string, primary bool) *Engine {
	return &Engine{
		name:            name,
		rows:            make(map[string]string),
		primary:         primary,
		highestTimeline: 1,
		rowLocks:        make(map[string]*rowLock),
		changed:         make(chan struct{}),

		systemSettings: make(map[string]string),
		advisoryLocks:  make(map[int64]*session),
	}
}

// State is the replication state of an engine.
type State struct {
	Primary  bool           `json:"primary"`
	Timeline uint32         `json:"timeline"`
	Received proxy.Position `json:"received"`
	Replayed proxy.Position `json:"replayed"`
	Source   string         `json:"source"`
	// Diverged reports that the log of the source does not continue this one.
	Diverged bool `json:"diverged"`
	// Streaming reports that the instance is a replica and its source has answered.
	Streaming bool `json:"streaming"`
}

// State returns the current state. On a primary both positions are the end of
// the log.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{
		Primary:   e.primary,
		Timeline:  e.wal.end().Timeline,
		Received:  e.wal.end().Position,
		Replayed:  e.wal[:e.replayed].end().Position,
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

// append adds a record at the end of the log and replays it.
func (e *Engine) append(changes []Change) Record {
	start := e.wal.end().Position
	r := Record{
		Start:    start,
		End:      start + recordLength(changes),
		Timeline: e.highestTimeline,
		Origin:   e.name,
		Changes:  changes,
	}
	e.wal = append(e.wal, r)
	e.replayNext()
	e.notify()
	return r
}

// replayNext applies the next record of the log to the table.
func (e *Engine) replayNext() {
	for _, c := range e.wal[e.replayed].Changes {
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
