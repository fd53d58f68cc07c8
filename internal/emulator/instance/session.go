package instance

import (
	"context"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Transaction states of the ReadyForQuery message.
const (
	blockIdle   = 'I'
	blockOpen   = 'T'
	blockFailed = 'E'
)

// session is the SQL state of a connection. One goroutine uses it.
type session struct {
	engine   *Engine
	slots    *semaphore
	pid      uint32
	settings settings
	limit    func() string // max_connections

	// ctx ends when the running statement is cancelled.
	ctx context.Context
	// tx is nil between transactions. An implicit transaction has block idle.
	tx         *Transaction
	block      byte
	readOnly   bool
	before     settings // as the transaction began
	savepoints []savepoint
	notices    []error
	// ended is called when a transaction ends, which closes the portals.
	ended func()
	// deallocate removes a prepared statement, or all for the empty name.
	deallocate func(name string) error
}

// savepoint is a state to which ROLLBACK TO returns.
type savepoint struct {
	name     string
	writes   map[string]*string
	settings settings
}

// pause sleeps until d has passed or the statement is cancelled.
func (s *session) pause(d time.Duration) error {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-s.ctx.Done():
		return context.Cause(s.ctx)
	}
}

// lock takes the row lock of a key. A waiting statement gives its slot back,
// so that the holder of the lock can run.
func (s *session) lock(key string) error {
	granted, err := s.engine.Lock(s.tx, key)
	if err != nil || granted == nil {
		return err
	}
	s.slots.release()
	select {
	case <-granted:
		return s.slots.acquire(s.ctx)
	case <-s.ctx.Done():
		s.engine.Abandon(s.tx)
		s.slots.reacquire()
		return context.Cause(s.ctx)
	}
}

// start begins an implicit transaction if none is open.
func (s *session) start() {
	if s.tx != nil {
		return
	}
	s.tx = s.engine.Begin()
	s.before = s.settings
	s.readOnly, _ = parseSwitch(s.value("default_transaction_read_only"))
}

// end forgets the transaction.
func (s *session) end() {
	s.tx = nil
	s.block = blockIdle
	s.savepoints = nil
	s.settings.local = nil
	s.readOnly = false
	s.ended()
}

// commit ends the transaction successfully.
func (s *session) commit() error {
	if s.tx == nil {
		return nil
	}
	_, err := s.engine.Commit(s.tx)
	if err != nil {
		s.settings = s.before
	}
	s.end()
	return err
}

// rollback ends the transaction and restores its settings.
func (s *session) rollback() {
	if s.tx == nil {
		return
	}
	s.engine.Rollback(s.tx)
	s.settings = s.before
	s.end()
}

// fail records that a statement failed: it ends an implicit transaction and
// leaves a transaction block failed.
func (s *session) fail() {
	if s.block == blockIdle {
		s.rollback()
		return
	}
	s.block = blockFailed
}

// finish commits an implicit transaction.
func (s *session) finish() error {
	if s.block != blockIdle {
		return nil
	}
	return s.commit()
}

// admits reports why a statement cannot run in the state of the transaction.
func (s *session) admits(stmt statement) error {
	if s.block != blockFailed {
		return nil
	}
	switch stmt := stmt.(type) {
	case commitStatement, rollbackStatement:
		return nil
	case savepointStatement:
		if stmt.action == savepointRollback {
			return nil
		}
	}
	return errorf(stateFailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}

// control executes a transaction command and returns its tag.
func (s *session) control(stmt statement) (string, error) {
	switch stmt := stmt.(type) {
	case beginStatement:
		return stmt.tag, s.begin(stmt)
	case commitStatement:
		if s.block == blockFailed {
			s.rollback()
			return "ROLLBACK", nil
		}
		s.warnIdle()
		return "COMMIT", s.commit()
	case rollbackStatement:
		s.warnIdle()
		s.rollback()
		return "ROLLBACK", nil
	}
	return s.savepoint(stmt.(savepointStatement))
}

// warnIdle adds a warning outside a transaction block.
func (s *session) warnIdle() {
	if s.block == blockIdle {
		s.notices = append(s.notices, errorf(stateNoTransaction, "there is no transaction in progress"))
	}
}

func (s *session) begin(stmt beginStatement) error {
	if s.block != blockIdle {
		s.notices = append(s.notices,
			errorf(stateActiveTransaction, "there is already a transaction in progress"))
		return nil
	}
	s.start()
	s.block = blockOpen
	return s.setAccess(stmt.access)
}

// setAccess changes the access mode of the open transaction.
func (s *session) setAccess(access accessMode) error {
	switch access {
	case accessReadOnly:
		s.readOnly = true
	case accessReadWrite:
		if !s.engine.State().Primary {
			return errorf(proxy.FeatureNotSupported, "cannot set transaction read-write mode during recovery")
		}
		s.readOnly = false
	}
	return nil
}

func (s *session) savepoint(stmt savepointStatement) (string, error) {
	if s.block == blockIdle {
		return "", errorf(stateNoTransaction, "SAVEPOINT can only be used in transaction blocks")
	}
	if stmt.action == savepointSet {
		saved := savepoint{stmt.name, s.tx.savedWrites(), s.settings}
		s.savepoints = append(s.savepoints, saved)
		return "SAVEPOINT", nil
	}
	i := len(s.savepoints) - 1
	for i >= 0 && s.savepoints[i].name != stmt.name {
		i--
	}
	if i < 0 {
		return "", errorf(stateInvalidSavepoint, "savepoint %q does not exist", stmt.name)
	}
	if stmt.action == savepointRelease {
		s.savepoints = s.savepoints[:i]
		return "RELEASE", nil
	}
	saved := s.savepoints[i]
	s.savepoints = s.savepoints[:i+1]
	s.tx.restoreWrites(saved.writes)
	s.settings = saved.settings
	s.block = blockOpen
	return "ROLLBACK", nil
}

// mayWrite reports why a command cannot write.
func (s *session) mayWrite(command string) error {
	if s.readOnly || !s.engine.State().Primary {
		return errorf(proxy.ReadOnlyTransaction, "cannot execute %s in a read-only transaction", command)
	}
	return nil
}
