package instance

import (
	"maps"
	"sort"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Transaction is the uncommitted work of one session, which alone uses it.
// writes maps a key to its new value, nil for a deleted row.
type Transaction struct {
	epoch   uint64
	writes  map[string]*string
	held    map[string]*rowLock
	waiting *rowLock
}

// rowLock is the exclusive lock of one key. Waiters get it in order of arrival.
type rowLock struct {
	key    string
	holder *Transaction
	queue  []*waiter
}

type waiter struct {
	tx      *Transaction
	granted chan struct{}
}

// Begin starts a transaction.
func (e *Engine) Begin() *Transaction {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &Transaction{
		epoch:  e.epoch,
		writes: make(map[string]*string),
		held:   make(map[string]*rowLock),
	}
}

// Lock takes the lock of a key for tx. It returns nil if tx holds the lock now,
// and otherwise a channel that is closed when tx holds it. It returns an error
// on a replica and on a deadlock.
func (e *Engine) Lock(tx *Transaction, key string) (<-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.writable(tx); err != nil {
		return nil, err
	}
	if tx.held[key] != nil {
		return nil, nil
	}
	l := e.locks[key]
	if l == nil {
		l = &rowLock{key: key, holder: tx}
		e.locks[key] = l
		tx.held[key] = l
		return nil, nil
	}
	for holder := l.holder; holder != nil; holder = holder.waiting.owner() {
		if holder == tx {
			return nil, errorf(stateDeadlock, "deadlock detected")
		}
	}
	w := &waiter{tx: tx, granted: make(chan struct{})}
	l.queue = append(l.queue, w)
	tx.waiting = l
	return w.granted, nil
}

// owner returns the holder of a lock, nil for no lock.
func (l *rowLock) owner() *Transaction {
	if l == nil {
		return nil
	}
	return l.holder
}

// Abandon ends the wait of tx for a lock.
func (e *Engine) Abandon(tx *Transaction) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandon(tx)
}

func (e *Engine) abandon(tx *Transaction) {
	l := tx.waiting
	if l == nil {
		return
	}
	tx.waiting = nil
	for i, w := range l.queue {
		if w.tx == tx {
			l.queue = append(l.queue[:i:i], l.queue[i+1:]...)
			return
		}
	}
}

// Put sets the value of a key that tx has locked; nil deletes the row.
func (e *Engine) Put(tx *Transaction, key string, value *string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.writable(tx); err != nil {
		return err
	}
	tx.writes[key] = value
	return nil
}

// writable reports why tx cannot write.
func (e *Engine) writable(tx *Transaction) error {
	if !e.primary {
		return errorf(proxy.ReadOnlyTransaction, "cannot write during recovery")
	}
	if tx.epoch != e.epoch {
		return errorf(proxy.ReadOnlyTransaction, "the instance changed between primary and replica since the transaction began")
	}
	return nil
}

// Commit makes the writes of tx visible as one record, releases its locks and
// returns the end of the log.
func (e *Engine) Commit(tx *Transaction) (proxy.Position, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.release(tx)
	changes := tx.changes()
	if len(changes) == 0 {
		return e.log.end().Position, nil
	}
	if err := e.writable(tx); err != nil {
		return 0, err
	}
	return e.append(changes).End, nil
}

// changes returns the writes ordered by key.
func (t *Transaction) changes() []Change {
	changes := make([]Change, 0, len(t.writes))
	for k, v := range t.writes {
		c := Change{Key: k, Deleted: v == nil}
		if v != nil {
			c.Value = *v
		}
		changes = append(changes, c)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// Rollback drops the writes of tx and releases its locks.
func (e *Engine) Rollback(tx *Transaction) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.release(tx)
}

// release gives each lock of tx to its first waiter.
func (e *Engine) release(tx *Transaction) {
	e.abandon(tx)
	for key, l := range tx.held {
		delete(tx.held, key)
		if len(l.queue) == 0 {
			l.holder = nil
			if e.locks[key] == l {
				delete(e.locks, key)
			}
			continue
		}
		w := l.queue[0]
		l.queue = l.queue[1:]
		l.holder = w.tx
		w.tx.held[key] = l
		w.tx.waiting = nil
		close(w.granted)
	}
	tx.writes = make(map[string]*string)
}

// Waiters returns the number of transactions that wait for a row lock.
func (e *Engine) Waiters() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, l := range e.locks {
		n += len(l.queue)
	}
	return n
}

// savedWrites returns a copy of the writes of a transaction for a savepoint.
// Locks taken after the savepoint are kept until the end of the transaction.
func (t *Transaction) savedWrites() map[string]*string {
	return maps.Clone(t.writes)
}

// restoreWrites returns to the writes of a savepoint.
func (t *Transaction) restoreWrites(saved map[string]*string) {
	t.writes = maps.Clone(saved)
}
