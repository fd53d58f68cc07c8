package instance

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// result is the outcome of a statement. next returns one row at a call and nil
// after the last one; it is nil for statements without rows.
type result struct {
	next func() ([]value, error)
	// tag returns the command tag for the number of rows sent.
	tag func(rows int) string
	// copyStmt is set for COPY.
	copyStmt *copyStatement
}

// resultWithTag returns a result without rows and with a fixed command tag.
func resultWithTag(tag string) *result {
	return &result{tag: func(int) string { return tag }}
}

// tagWithCount returns a tag function for commands that report a number of rows.
func tagWithCount(command string) func(int) string {
	return func(rows int) string { return fmt.Sprintf("%s %d", command, rows) }
}

// execute runs a statement and returns its result.
func (s *session) execute(stmt statement, parameters []value) (*result, error) {
	if err := s.checkNotFailed(stmt); err != nil {
		return nil, err
	}
	switch stmt.(type) {
	case beginStatement, commitStatement, rollbackStatement, savepointStatement:
		tag, err := s.transactionCommand(stmt)
		return resultWithTag(tag), err
	}
	s.ensureTransaction()
	sc := &scope{session: s, parameters: parameters}
	switch stmt := stmt.(type) {
	case *selectStatement:
		next, err := s.selectRows(stmt, sc)
		return &result{next: next, tag: tagWithCount("SELECT")}, err
	case *insertStatement:
		return s.insertRows(stmt, sc)
	case *updateStatement:
		return s.updateRows(stmt, sc)
	case *deleteStatement:
		return s.deleteRows(stmt, sc)
	case *copyStatement:
		return s.copy(stmt, sc)
	}
	return s.sessionCommand(stmt)
}

// sessionCommand executes a statement about settings or the session.
func (s *session) sessionCommand(stmt statement) (*result, error) {
	switch stmt := stmt.(type) {
	case setStatement:
		if stmt.local && s.txStatus == txIdle {
			s.notices = append(s.notices,
				errorf(stateNoTransaction, "SET LOCAL can only be used in transaction blocks"))
		}
		return resultWithTag(stmt.tag), s.set(stmt.name, stmt.value, stmt.local)
	case setTransactionStatement:
		return resultWithTag("SET"), s.setAccessMode(stmt.access)
	case resetAllStatement:
		s.resetAll()
		return resultWithTag("RESET"), nil
	case showStatement:
		text, ok := s.show(stmt.name)
		if !ok {
			return nil, unknownSetting(stmt.name)
		}
		return &result{next: singleRow([]value{textValue(text)}), tag: func(int) string { return "SHOW" }}, nil
	case deallocateStatement:
		if stmt.name == "" {
			return resultWithTag("DEALLOCATE ALL"), s.deallocate("")
		}
		return resultWithTag("DEALLOCATE"), s.deallocate(stmt.name)
	case discardStatement:
		if s.txStatus != txIdle {
			return nil, errorf(stateActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
		}
		s.resetAll()
		s.engine.AdvisoryUnlockAll(s)
		return resultWithTag("DISCARD ALL"), s.deallocate("")
	case alterSystemStatement:
		if s.txStatus != txIdle {
			return nil, errorf(stateActiveTransaction, "ALTER SYSTEM cannot run inside a transaction block")
		}
		return resultWithTag("ALTER SYSTEM"), s.alterSystem(stmt)
	}
	return nil, errorf(proxy.InternalInconsistency, "statement %T", stmt)
}

// singleRow returns a row iterator for one row.
func singleRow(row []value) func() ([]value, error) {
	return rowIterator([][]value{row})
}

// rowIterator returns a function that returns the next of rows, nil after the last.
func rowIterator(rows [][]value) func() ([]value, error) {
	return func() ([]value, error) {
		if len(rows) == 0 {
			return nil, nil
		}
		row := rows[0]
		rows = rows[1:]
		return row, nil
	}
}
