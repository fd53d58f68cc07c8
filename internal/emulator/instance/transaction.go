package instance

import (
	"maps"
	"sort"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Transaction holds the uncommitted writes and the row locks of one session. Only
// that session may use it. writes maps a key to its new value, nil for a deleted row.
type Transaction struct {
	roleChanges uint64
	writes      map[string]*string
	heldLocks   map[string]*rowLock
	waitingFor  *rowLock
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
		roleChanges: e.roleChanges,
		writes:      make(map[string]*string),
		heldLocks:   make(map[string]*rowLock),
	}
}

// Lock takes the lock of a key for tx. It returns nil if tx holds the lock now,
// and otherwise a channel that is closed when tx holds it. It returns an error
// on a replica and on a deadlock.
func (e *Engine) Lock(tx *Transaction, key string) (<-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkWritable(tx); err != nil {
		return nil, err
	}
	if tx.heldLocks[key] != nil {
		return nil, nil
	}
	l := e.rowLocks[key]
	if l == nil {
		l = &rowLock{key: key, holder: tx}
		e.rowLocks[key] = l
		tx.heldLocks[key] = l
		return nil, nil
	}
	for holder := l.holder; holder != nil; holder = holder.waitingFor.holderOrNil() {
		if holder == tx {
			return nil, errorf(stateDeadlock, "deadlock detected")
		}
	}
	w := &waiter{tx: tx, granted: make(chan struct{})}
	l.queue = append(l.queue, w)
	tx.waitingFor = l
	return w.granted, nil
}

// holderOrNil returns the holder of a lock. It returns nil if the lock is nil.
func (l *rowLock) holderOrNil() *Transaction {
	if l == nil {
		return nil
	}
	return l.holder
}

// CancelLockWait ends the wait of tx for a row lock.
func (e *Engine) CancelLockWait(tx *Transaction) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelLockWait(tx)
}

func (e *Engine) cancelLockWait(tx *Transaction) {
	l := tx.waitingFor
	if l == nil {
		return
	}
	tx.waitingFor = nil
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
	if err := e.checkWritable(tx); err != nil {
		return err
	}
	tx.writes[key] = value
	return nil
}

// checkWritable returns an error if tx cannot write.
func (e *Engine) checkWritable(tx *Transaction) error {
	if !e.primary {
		return errorf(proxy.ReadOnlyTransaction, "cannot write during recovery")
	}
	if tx.roleChanges != e.roleChanges {
		return errorf(proxy.ReadOnlyTransaction, "the instance changed between primary and replica since the transaction began")
	}
	return nil
}

// Commit makes the writes of tx visible as one record, releases its locks and
// returns the end of the log.
func (e *Engine) Commit(tx *Transaction) (proxy.Position, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.releaseLocks(tx)
	changes := tx.changes()
	if len(changes) == 0 {
		return e.wal.end().Position, nil
	}
	if err := e.checkWritable(tx); err != nil {
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

// Rollback discards the writes of tx and releases its locks.
func (e *Engine) Rollback(tx *Transaction) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocks(tx)
}

// releaseLocks passes each lock of tx to its first waiter and discards the writes.
func (e *Engine) releaseLocks(tx *Transaction) {
	e.cancelLockWait(tx)
	for key, l := range tx.heldLocks {
		delete(tx.heldLocks, key)
		if len(l.queue) == 0 {
			l.holder = nil
			if e.rowLocks[key] == l {
				delete(e.rowLocks, key)
			}
			continue
		}
		w := l.queue[0]
		l.queue = l.queue[1:]
		l.holder = w.tx
		w.tx.heldLocks[key] = l
		w.tx.waitingFor = nil
		close(w.granted)
	}
	tx.writes = make(map[string]*string)
}

// Waiters returns the number of transactions that wait for a row lock.
func (e *Engine) Waiters() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, l := range e.rowLocks {
		n += len(l.queue)
	}
	return n
}

// savedWrites returns a copy of the writes of a transaction for a savepoint.
// Locks taken after the savepoint are kept until the end of the transaction.
func (t *Transaction) savedWrites() map[string]*string {
	return maps.Clone(t.writes)
}

// restoreWrites restores the writes of a savepoint.
func (t *Transaction) restoreWrites(saved map[string]*string) {
	t.writes = maps.Clone(saved)
}
