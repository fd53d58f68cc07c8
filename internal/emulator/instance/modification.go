package instance

import (
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// modifiedRows collects the rows that a statement changed. rows holds the values of
// RETURNING.
type modifiedRows struct {
	count     int
	returning []target
	rows      [][]value
}

// add records a changed row.
func (m *modifiedRows) add(sc *scope, row Row) error {
	m.count++
	if m.returning == nil {
		return nil
	}
	sc.row = &row
	values, err := sc.project(m.returning)
	m.rows = append(m.rows, values)
	return err
}

func (m *modifiedRows) result(command string) *result {
	r := &result{tag: func(int) string { return tagWithCount(command)(m.count) }}
	if m.returning != nil {
		r.next = rowIterator(m.rows)
	}
	return r
}

// text evaluates e as the text of a column. It rejects null, which cannot be stored.
func (sc *scope) text(e expression) (string, error) {
	v, err := sc.evaluate(e)
	if err != nil {
		return "", err
	}
	if v.null {
		return "", errorf(proxy.FeatureNotSupported, "the emulator stores no null values")
	}
	v, err = v.convert(pgtype.TextOID)
	return v.text, err
}

// lockRows locks rows and returns those for which the condition still holds,
// with their current values, as READ COMMITTED requires.
func (s *session) lockRows(rows []Row, where expression, sc *scope) ([]Row, error) {
	var locked []Row
	for _, row := range rows {
		if err := s.lockRow(row.Key); err != nil {
			return nil, err
		}
		text, ok := s.engine.Get(s.tx, row.Key)
		if !ok {
			continue
		}
		current := Row{row.Key, text}
		sc.row = &current
		ok, err := sc.conditionHolds(where)
		if err != nil {
			return nil, err
		}
		if ok {
			locked = append(locked, current)
		}
	}
	return locked, nil
}

// lockAffectedRows locks and returns the rows that UPDATE or DELETE changes.
func (s *session) lockAffectedRows(command string, where expression, sc *scope) ([]Row, error) {
	if err := s.checkWritable(command); err != nil {
		return nil, err
	}
	rows, err := s.matchingRows(where, sc)
	if err != nil {
		return nil, err
	}
	return s.lockRows(rows, where, sc)
}

func (s *session) updateRows(stmt *updateStatement, sc *scope) (*result, error) {
	rows, err := s.lockAffectedRows("UPDATE", stmt.where, sc)
	if err != nil {
		return nil, err
	}
	m := &modifiedRows{returning: stmt.returning}
	for _, row := range rows {
		sc.row = &row
		text, err := sc.text(stmt.value)
		if err != nil {
			return nil, err
		}
		if err := s.engine.Put(s.tx, row.Key, &text); err != nil {
			return nil, err
		}
		if err := m.add(sc, Row{row.Key, text}); err != nil {
			return nil, err
		}
	}
	return m.result("UPDATE"), nil
}

func (s *session) deleteRows(stmt *deleteStatement, sc *scope) (*result, error) {
	rows, err := s.lockAffectedRows("DELETE", stmt.where, sc)
	if err != nil {
		return nil, err
	}
	m := &modifiedRows{returning: stmt.returning}
	for _, row := range rows {
		if err := s.engine.Put(s.tx, row.Key, nil); err != nil {
			return nil, err
		}
		if err := m.add(sc, row); err != nil {
			return nil, err
		}
	}
	return m.result("DELETE"), nil
}

func (s *session) insertRows(stmt *insertStatement, sc *scope) (*result, error) {
	if err := s.checkWritable("INSERT"); err != nil {
		return nil, err
	}
	m := &modifiedRows{returning: stmt.returning}
	for _, expressions := range stmt.rows {
		row, err := sc.newRow(stmt.columns, expressions)
		if err != nil {
			return nil, err
		}
		if err := s.insertRow(stmt, sc, row, m); err != nil {
			return nil, err
		}
	}
	return m.result("INSERT 0"), nil
}

// newRow evaluates one row of VALUES.
func (sc *scope) newRow(columns []string, expressions []expression) (Row, error) {
	var row Row
	hasKey, hasValue := false, false
	for i, e := range expressions {
		text, err := sc.text(e)
		if err != nil {
			return row, err
		}
		if columns[i] == "key" {
			row.Key, hasKey = text, true
			continue
		}
		row.Value, hasValue = text, true
	}
	if !hasKey || !hasValue {
		return row, errorf(stateNotNull, "key and value must both be inserted")
	}
	return row, nil
}

// insertRow inserts a row. If the key exists, it applies the ON CONFLICT clause.
func (s *session) insertRow(stmt *insertStatement, sc *scope, row Row, m *modifiedRows) error {
	if err := s.lockRow(row.Key); err != nil {
		return err
	}
	text, exists := s.engine.Get(s.tx, row.Key)
	if exists {
		switch stmt.conflict {
		case conflictNothing:
			return nil
		case conflictError:
			return errorf(stateUnique, "duplicate key value violates unique constraint \"kv_pkey\"")
		}
		current := Row{row.Key, text}
		sc.row, sc.excluded = &current, &row
		ok, err := sc.conditionHolds(stmt.where)
		if !ok || err != nil {
			return err
		}
		if row.Value, err = sc.text(stmt.update); err != nil {
			return err
		}
		sc.row, sc.excluded = nil, nil
	}
	if err := s.engine.Put(s.tx, row.Key, &row.Value); err != nil {
		return err
	}
	return m.add(sc, row)
}
