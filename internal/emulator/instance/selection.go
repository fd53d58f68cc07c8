package instance

import (
	"context"
	"slices"
	"sort"

	"github.com/jackc/pgx/v5/pgtype"
)

// selectRows returns a function that returns the next row of a SELECT, nil after
// the last. Rows are computed one at a time from a snapshot, so that a large result
// is never in memory as a whole.
func (s *session) selectRows(stmt *selectStatement, sc *scope) (func() ([]value, error), error) {
	sc.source = stmt.source
	limit, offset, err := limitAndOffset(stmt, sc)
	if err != nil {
		return nil, err
	}
	advance, err := s.scanSource(stmt, sc)
	if err != nil {
		return nil, err
	}
	if isAggregate(stmt.targets) {
		if sc.count, err = count(advance); err != nil {
			return nil, err
		}
		advance = advanceTimes(1)
	}
	return func() ([]value, error) {
		for ; offset > 0; offset-- {
			if ok, err := advance(); !ok || err != nil {
				return nil, err
			}
		}
		if limit == 0 {
			return nil, nil
		}
		limit--
		if ok, err := advance(); !ok || err != nil {
			return nil, err
		}
		return sc.project(stmt.targets)
	}, nil
}

// isAggregate reports whether a target list contains count(*).
func isAggregate(targets []target) bool {
	for _, t := range targets {
		if hasCount(t.value) {
			return true
		}
	}
	return false
}

func hasCount(e expression) bool {
	switch e := e.(type) {
	case call:
		return e.name == "count" || slices.ContainsFunc(e.arguments, hasCount)
	case cast:
		return hasCount(e.operand)
	case unaryOperation:
		return hasCount(e.operand)
	case binaryOperation:
		return hasCount(e.left) || hasCount(e.right)
	case inList:
		return hasCount(e.operand) || slices.ContainsFunc(e.list, hasCount)
	case isNull:
		return hasCount(e.operand)
	}
	return false
}

// count returns the number of rows.
func count(advance func() (bool, error)) (int64, error) {
	for n := int64(0); ; n++ {
		ok, err := advance()
		if !ok || err != nil {
			return n, err
		}
	}
}

// advanceTimes returns a function that advances n times.
func advanceTimes(n int) func() (bool, error) {
	return func() (bool, error) {
		n--
		return n >= 0, nil
	}
}

// limitAndOffset returns the values of LIMIT and OFFSET. A negative limit means no
// limit.
func limitAndOffset(stmt *selectStatement, sc *scope) (limit, offset int64, err error) {
	limit = -1
	if stmt.limit != nil {
		if limit, err = sc.integer(stmt.limit, -1); err != nil {
			return
		}
	}
	if stmt.offset != nil {
		offset, err = sc.integer(stmt.offset, 0)
	}
	return
}

// integer evaluates e as an integer. It returns ifNull for null.
func (sc *scope) integer(e expression, ifNull int64) (int64, error) {
	v, err := sc.evaluate(e)
	if err != nil || v.null {
		return ifNull, err
	}
	return v.integer()
}

// scanSource returns a function that moves the scope to the next row of the source.
func (s *session) scanSource(stmt *selectStatement, sc *scope) (func() (bool, error), error) {
	switch stmt.source.kind {
	case sourceSeries:
		return s.scanSeries(stmt, sc)
	case sourceTable:
		return s.scanTable(stmt, sc)
	}
	if stmt.source.kind == sourceWALReceiver {
		if !s.engine.State().Streaming {
			return advanceTimes(0), nil
		}
		sc.sourceValue = textValue("streaming")
	} else {
		timeline := intValue(int64(s.engine.State().Timeline))
		sc.sourceValue = value{oid: pgtype.Int4OID, text: timeline.text}
	}
	ok, err := sc.conditionHolds(stmt.where)
	if !ok {
		return advanceTimes(0), err
	}
	return advanceTimes(1), err
}

func (s *session) scanSeries(stmt *selectStatement, sc *scope) (func() (bool, error), error) {
	n, err := sc.integer(stmt.source.first, 0)
	if err != nil {
		return nil, err
	}
	last, err := sc.integer(stmt.source.last, -1)
	if err != nil {
		return nil, err
	}
	a := &analyzer{source: stmt.source}
	oid := a.seriesType()
	return func() (bool, error) {
		for n <= last {
			if s.ctx.Err() != nil {
				return false, context.Cause(s.ctx)
			}
			sc.sourceValue = intValue(n)
			sc.sourceValue.oid = oid
			n++
			if ok, err := sc.conditionHolds(stmt.where); ok || err != nil {
				return ok, err
			}
		}
		return false, nil
	}, nil
}

func (s *session) scanTable(stmt *selectStatement, sc *scope) (func() (bool, error), error) {
	if stmt.locking {
		if err := s.checkWritable("SELECT FOR UPDATE"); err != nil {
			return nil, err
		}
	}
	rows, err := s.matchingRows(stmt.where, sc)
	if err != nil {
		return nil, err
	}
	if stmt.locking {
		if rows, err = s.lockRows(rows, stmt.where, sc); err != nil {
			return nil, err
		}
	}
	if stmt.order != nil {
		if err := sc.sort(rows, *stmt.order); err != nil {
			return nil, err
		}
	}
	return func() (bool, error) {
		if len(rows) == 0 {
			return false, nil
		}
		sc.row = &rows[0]
		rows = rows[1:]
		return true, nil
	}, nil
}

// sort orders rows by an expression. Rows with equal values stay ordered by key.
func (sc *scope) sort(rows []Row, by order) error {
	values := make(map[string]value, len(rows))
	for i := range rows {
		sc.row = &rows[i]
		v, err := sc.evaluate(by.by)
		if err != nil {
			return err
		}
		values[rows[i].Key] = v
	}
	var failure error
	sort.SliceStable(rows, func(i, j int) bool {
		order, err := values[rows[i].Key].compare(values[rows[j].Key])
		if err != nil {
			failure = err
		}
		if by.descending {
			order = -order
		}
		return order < 0
	})
	return failure
}

// project evaluates a target list.
func (sc *scope) project(targets []target) ([]value, error) {
	row := make([]value, 0, len(targets))
	for _, t := range targets {
		switch {
		case !t.star:
			v, err := sc.evaluate(t.value)
			if err != nil {
				return nil, err
			}
			row = append(row, v)
		case sc.row != nil:
			row = append(row, textValue(sc.row.Key), textValue(sc.row.Value))
		default:
			row = append(row, sc.sourceValue)
		}
	}
	return row, nil
}

// matchingRows returns the visible rows for which a condition holds, ordered by key.
func (s *session) matchingRows(where expression, sc *scope) ([]Row, error) {
	candidates, err := s.candidates(where, sc)
	if err != nil {
		return nil, err
	}
	rows := candidates[:0]
	for i := range candidates {
		sc.row = &candidates[i]
		ok, err := sc.conditionHolds(where)
		if err != nil {
			return nil, err
		}
		if ok {
			rows = append(rows, candidates[i])
		}
	}
	sc.row = nil
	return rows, nil
}

// candidates returns the row with the key that the condition requires, or all
// rows if it requires no single key.
func (s *session) candidates(where expression, sc *scope) ([]Row, error) {
	e := requiredKey(where)
	if e == nil {
		return s.engine.Scan(s.tx), nil
	}
	key, err := sc.evaluate(e)
	if err != nil {
		return nil, err
	}
	text, ok := s.engine.Get(s.tx, key.text)
	if !ok || key.null {
		return nil, nil
	}
	return []Row{{key.text, text}}, nil
}

// requiredKey returns the literal or parameter to which a condition requires the key
// to be equal, nil if there is none.
func requiredKey(where expression) expression {
	o, ok := where.(binaryOperation)
	if !ok {
		return nil
	}
	if o.operator == "and" {
		if e := requiredKey(o.left); e != nil {
			return e
		}
		return requiredKey(o.right)
	}
	if c, ok := o.left.(column); !ok || c.name != "key" || o.operator != "=" {
		return nil
	}
	switch o.right.(type) {
	case literal, parameter:
		return o.right
	}
	return nil
}
