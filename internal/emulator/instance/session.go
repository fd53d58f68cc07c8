package instance

import (
	"context"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Transaction states of the ReadyForQuery message.
const (
	txIdle    = 'I'
	txInBlock = 'T'
	txFailed  = 'E'
)

// session is the SQL state of a connection. One goroutine uses it.
type session struct {
	engine         *Engine
	slots          *semaphore
	pid            uint32
	settings       settings
	maxConnections func() string // max_connections

	// ctx ends when the running statement is cancelled.
	ctx context.Context
	// tx is nil between transactions. During an implicit transaction, txStatus
	// is txIdle.
	tx             *Transaction
	txStatus       byte
	readOnly       bool
	settingsBefore settings // at the start of the transaction
	savepoints     []savepoint
	notices        []error
	// onTransactionEnd is called when a transaction ends; it closes the portals.
	onTransactionEnd func()
	// deallocate removes a prepared statement, or all if the name is empty.
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

// lockRow takes the row lock of a key. A waiting statement releases its slot, so
// that the holder of the lock can run.
func (s *session) lockRow(key string) error {
	granted, err := s.engine.Lock(s.tx, key)
	if err != nil || granted == nil {
		return err
	}
	s.slots.release()
	select {
	case <-granted:
		return s.slots.acquire(s.ctx)
	case <-s.ctx.Done():
		s.engine.CancelLockWait(s.tx)
		s.slots.acquireAboveLimit()
		return context.Cause(s.ctx)
	}
}

// ensureTransaction begins an implicit transaction if none is open.
func (s *session) ensureTransaction() {
	if s.tx != nil {
		return
	}
	s.tx = s.engine.Begin()
	s.settingsBefore = s.settings
	s.readOnly, _ = parseBoolean(s.storedValue("default_transaction_read_only"))
}

// clearTransaction resets the transaction state after a commit or rollback.
func (s *session) clearTransaction() {
	s.tx = nil
	s.txStatus = txIdle
	s.savepoints = nil
	s.settings.local = nil
	s.readOnly = false
	s.onTransactionEnd()
}

// commit ends the transaction successfully.
func (s *session) commit() error {
	if s.tx == nil {
		return nil
	}
	_, err := s.engine.Commit(s.tx)
	if err != nil {
		s.settings = s.settingsBefore
	}
	s.clearTransaction()
	return err
}

// rollback ends the transaction and restores its settings.
func (s *session) rollback() {
	if s.tx == nil {
		return
	}
	s.engine.Rollback(s.tx)
	s.settings = s.settingsBefore
	s.clearTransaction()
}

// fail records that a statement failed: it ends an implicit transaction and
// leaves a transaction block failed.
func (s *session) fail() {
	if s.txStatus == txIdle {
		s.rollback()
		return
	}
	s.txStatus = txFailed
}

// commitImplicit commits an implicit transaction.
func (s *session) commitImplicit() error {
	if s.txStatus != txIdle {
		return nil
	}
	return s.commit()
}

// checkNotFailed returns an error if the transaction has failed and stmt does not end
// it or return to a savepoint.
func (s *session) checkNotFailed(stmt statement) error {
	if s.txStatus != txFailed {
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

// transactionCommand executes a transaction command and returns its tag.
func (s *session) transactionCommand(stmt statement) (string, error) {
	switch stmt := stmt.(type) {
	case beginStatement:
		return stmt.tag, s.begin(stmt)
	case commitStatement:
		if s.txStatus == txFailed {
			s.rollback()
			return "ROLLBACK", nil
		}
		s.warnOutsideBlock()
		return "COMMIT", s.commit()
	case rollbackStatement:
		s.warnOutsideBlock()
		s.rollback()
		return "ROLLBACK", nil
	}
	return s.savepoint(stmt.(savepointStatement))
}

// warnOutsideBlock adds a warning outside a transaction block.
func (s *session) warnOutsideBlock() {
	if s.txStatus == txIdle {
		s.notices = append(s.notices, errorf(stateNoTransaction, "there is no transaction in progress"))
	}
}

func (s *session) begin(stmt beginStatement) error {
	if s.txStatus != txIdle {
		s.notices = append(s.notices,
			errorf(stateActiveTransaction, "there is already a transaction in progress"))
		return nil
	}
	s.ensureTransaction()
	s.txStatus = txInBlock
	return s.setAccessMode(stmt.access)
}

// setAccessMode changes the access mode of the open transaction.
func (s *session) setAccessMode(access accessMode) error {
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
	if s.txStatus == txIdle {
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
	s.txStatus = txInBlock
	return "ROLLBACK", nil
}

// checkWritable returns an error if a command that writes cannot run.
func (s *session) checkWritable(command string) error {
	if s.readOnly || !s.engine.State().Primary {
		return errorf(proxy.ReadOnlyTransaction, "cannot execute %s in a read-only transaction", command)
	}
	return nil
}
