package instance

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// result is the outcome of a statement. next returns its rows, nil after the
// last one; it is nil for statements without rows.
type result struct {
	next func() ([]value, error)
	// tag returns the command tag for the number of rows sent.
	tag func(rows int) string
	// copying is set for COPY.
	copying *copyStatement
}

func tagged(tag string) *result {
	return &result{tag: func(int) string { return tag }}
}

func counted(command string) func(int) string {
	return func(rows int) string { return fmt.Sprintf("%s %d", command, rows) }
}

// execute runs a statement and returns its result.
func (s *session) execute(stmt statement, parameters []value) (*result, error) {
	if err := s.admits(stmt); err != nil {
		return nil, err
	}
	switch stmt.(type) {
	case beginStatement, commitStatement, rollbackStatement, savepointStatement:
		tag, err := s.control(stmt)
		return tagged(tag), err
	}
	s.start()
	sc := &scope{session: s, parameters: parameters}
	switch stmt := stmt.(type) {
	case *selectStatement:
		next, err := s.selection(stmt, sc)
		return &result{next: next, tag: counted("SELECT")}, err
	case *insertStatement:
		return s.insert(stmt, sc)
	case *updateStatement:
		return s.update(stmt, sc)
	case *deleteStatement:
		return s.remove(stmt, sc)
	case *copyStatement:
		return s.copy(stmt, sc)
	}
	return s.command(stmt)
}

// command executes a statement about settings and sessions.
func (s *session) command(stmt statement) (*result, error) {
	switch stmt := stmt.(type) {
	case setStatement:
		if stmt.local && s.block == blockIdle {
			s.notices = append(s.notices,
				errorf(stateNoTransaction, "SET LOCAL can only be used in transaction blocks"))
		}
		return tagged(stmt.tag), s.set(stmt.name, stmt.value, stmt.local)
	case setTransactionStatement:
		return tagged("SET"), s.setAccess(stmt.access)
	case resetAllStatement:
		s.resetAll()
		return tagged("RESET"), nil
	case showStatement:
		text, ok := s.show(stmt.name)
		if !ok {
			return nil, unknownSetting(stmt.name)
		}
		return &result{next: once([]value{textValue(text)}), tag: func(int) string { return "SHOW" }}, nil
	case deallocateStatement:
		if stmt.name == "" {
			return tagged("DEALLOCATE ALL"), s.deallocate("")
		}
		return tagged("DEALLOCATE"), s.deallocate(stmt.name)
	case discardStatement:
		if s.block != blockIdle {
			return nil, errorf(stateActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
		}
		s.resetAll()
		s.engine.AdvisoryUnlockAll(s)
		return tagged("DISCARD ALL"), s.deallocate("")
	case alterSystemStatement:
		if s.block != blockIdle {
			return nil, errorf(stateActiveTransaction, "ALTER SYSTEM cannot run inside a transaction block")
		}
		return tagged("ALTER SYSTEM"), s.alterSystem(stmt)
	}
	return nil, errorf(proxy.InternalInconsistency, "statement %T", stmt)
}

// once returns a row source with one row.
func once(row []value) func() ([]value, error) {
	return listed([][]value{row})
}

// listed returns a row source for rows.
func listed(rows [][]value) func() ([]value, error) {
	return func() ([]value, error) {
		if len(rows) == 0 {
			return nil, nil
		}
		row := rows[0]
		rows = rows[1:]
		return row, nil
	}
}
