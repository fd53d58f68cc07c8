package instance

import (
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// columnDescription is the name and type of a result column.
type columnDescription struct {
	name string
	oid  uint32
}

// analyzer infers the types of parameters and result columns. Like the parser it
// reports an error by a panic with *Error, which analyze recovers.
type analyzer struct {
	parameters     []uint32 // type OIDs, 0 while unknown
	source         source
	allowsExcluded bool // in ON CONFLICT DO UPDATE
	aggregate      bool // in a target list with count(*)
}

// analyze returns the types of the parameters and the result columns of a
// statement. Declared parameter types take precedence.
func analyze(s statement, declared []uint32) (parameters []uint32, columns []columnDescription, err error) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case *Error:
			err = r
		default:
			panic(r)
		}
	}()
	a := &analyzer{parameters: append([]uint32(nil), declared...)}
	columns = a.statement(s)
	for i, oid := range a.parameters {
		if oid == 0 || oid == pgtype.UnknownOID {
			a.parameters[i] = pgtype.TextOID
		}
	}
	return a.parameters, columns, nil
}

func (a *analyzer) statement(s statement) []columnDescription {
	switch s := s.(type) {
	case *selectStatement:
		return a.selectColumns(s)
	case *insertStatement:
		for _, row := range s.rows {
			for _, e := range row {
				a.inferWithoutAggregate(e, pgtype.TextOID)
			}
		}
		a.source.kind = sourceTable
		a.allowsExcluded = s.conflict == conflictUpdate
		a.inferOptional(s.update, pgtype.TextOID)
		a.inferCondition(s.where)
		a.allowsExcluded = false
		return a.returningColumns(s.returning)
	case *updateStatement:
		a.source.kind = sourceTable
		a.inferWithoutAggregate(s.value, pgtype.TextOID)
		a.inferCondition(s.where)
		return a.returningColumns(s.returning)
	case *deleteStatement:
		a.source.kind = sourceTable
		a.inferCondition(s.where)
		return a.returningColumns(s.returning)
	case showStatement:
		return []columnDescription{{s.name, pgtype.TextOID}}
	case *copyStatement:
		if s.query != nil {
			a.selectColumns(s.query)
		}
	}
	return nil
}

func (a *analyzer) selectColumns(s *selectStatement) []columnDescription {
	a.source = s.source
	if s.source.kind == sourceSeries {
		a.seriesType()
	}
	a.inferCondition(s.where)
	if s.order != nil {
		a.inferWithoutAggregate(s.order.by, 0)
	}
	a.inferOptional(s.limit, pgtype.Int8OID)
	a.inferOptional(s.offset, pgtype.Int8OID)
	return a.targets(s.targets)
}

// returningColumns returns the result columns of RETURNING.
func (a *analyzer) returningColumns(targets []target) []columnDescription {
	if isAggregate(targets) {
		panic(errorf(stateGrouping, "aggregate functions are not allowed in RETURNING"))
	}
	return a.targets(targets)
}

// targets returns the result columns of a target list.
func (a *analyzer) targets(targets []target) []columnDescription {
	var columns []columnDescription
	a.aggregate = isAggregate(targets)
	defer func() { a.aggregate = false }()
	for _, t := range targets {
		if t.star {
			columns = append(columns, a.star()...)
			continue
		}
		oid := a.infer(t.value, pgtype.TextOID)
		if oid == 0 || oid == pgtype.UnknownOID {
			oid = pgtype.TextOID
		}
		columns = append(columns, columnDescription{t.name, oid})
	}
	return columns
}

// star returns the columns that * stands for.
func (a *analyzer) star() []columnDescription {
	if a.aggregate {
		panic(errorf(stateGrouping, "* cannot be selected beside count(*)"))
	}
	switch a.source.kind {
	case sourceTable:
		return []columnDescription{{"key", pgtype.TextOID}, {"value", pgtype.TextOID}}
	case sourceSeries:
		return []columnDescription{{a.source.alias, a.seriesType()}}
	case sourceCheckpoint:
		return []columnDescription{{timelineColumn, pgtype.Int4OID}}
	case sourceWALReceiver:
		return []columnDescription{{receiverColumn, pgtype.TextOID}}
	}
	panic(errorf(stateSyntax, "SELECT * with no tables specified is not valid"))
}

// timelineColumn is the supported column of pg_control_checkpoint().
const timelineColumn = "timeline_id"

// receiverColumn is the supported column of pg_stat_wal_receiver.
const receiverColumn = "status"

// seriesType returns the type of the numbers of generate_series. It infers the
// arguments without the source, since they cannot refer to the series' own column.
func (a *analyzer) seriesType() uint32 {
	series := a.source
	a.source = source{}
	defer func() { a.source = series }()
	first := a.inferWithoutAggregate(series.first, pgtype.Int4OID)
	last := a.inferWithoutAggregate(series.last, pgtype.Int4OID)
	if first == pgtype.Int8OID || last == pgtype.Int8OID {
		return pgtype.Int8OID
	}
	return pgtype.Int4OID
}

func (a *analyzer) inferOptional(e expression, want uint32) {
	if e != nil {
		a.inferWithoutAggregate(e, want)
	}
}

// inferWithoutAggregate infers an expression that must not contain count(*).
func (a *analyzer) inferWithoutAggregate(e expression, want uint32) uint32 {
	if hasCount(e) {
		panic(errorf(stateGrouping, "aggregate functions are not allowed here"))
	}
	return a.infer(e, want)
}

func (a *analyzer) inferCondition(e expression) {
	if e == nil {
		return
	}
	if hasCount(e) {
		panic(errorf(stateGrouping, "aggregate functions are not allowed in WHERE"))
	}
	if oid := a.infer(e, pgtype.BoolOID); oid != pgtype.BoolOID && oid != pgtype.UnknownOID {
		panic(errorf(stateDatatypeMismatch, "argument of WHERE must be type boolean"))
	}
}

// infer returns the type of e. A parameter of unknown type gets the type want,
// which is 0 if the context determines none.
func (a *analyzer) infer(e expression, want uint32) uint32 {
	switch e := e.(type) {
	case literal:
		return e.value.oid
	case parameter:
		return a.parameter(e.index, want)
	case column:
		return a.column(e)
	case cast:
		a.infer(e.operand, e.to)
		return e.to
	case call:
		return a.call(e)
	case unaryOperation:
		if e.operator == "not" {
			want = pgtype.BoolOID
		}
		return a.infer(e.operand, want)
	case binaryOperation:
		return a.binaryOperation(e)
	case inList:
		oid := a.infer(e.operand, 0)
		for _, item := range e.list {
			a.infer(item, oid)
		}
		return pgtype.BoolOID
	case isNull:
		a.infer(e.operand, 0)
		return pgtype.BoolOID
	}
	panic(errorf(proxy.InternalInconsistency, "expression %T", e))
}

func (a *analyzer) parameter(index int, want uint32) uint32 {
	for len(a.parameters) <= index {
		a.parameters = append(a.parameters, 0)
	}
	if a.parameters[index] == 0 && want != pgtype.UnknownOID {
		a.parameters[index] = want
	}
	return a.parameters[index]
}

func (a *analyzer) column(c column) uint32 {
	if a.aggregate {
		panic(errorf(stateGrouping, "column %q cannot be selected beside count(*)", c.name))
	}
	isField := c.name == "key" || c.name == "value"
	switch a.source.kind {
	case sourceTable:
		if isField && (c.table == "" || c.table == tableName || c.table == "excluded" && a.allowsExcluded) {
			return pgtype.TextOID
		}
	case sourceSeries:
		if c.name == a.source.alias {
			return a.seriesType()
		}
	case sourceCheckpoint:
		if c.name == timelineColumn {
			return pgtype.Int4OID
		}
	case sourceWALReceiver:
		if c.name == receiverColumn {
			return pgtype.TextOID
		}
	}
	panic(errorf(stateUndefinedColumn, "column %q does not exist", c.name))
}

func (a *analyzer) call(c call) uint32 {
	f, ok := functions[c.name]
	if !ok || len(c.arguments) < f.required || len(c.arguments) > len(f.arguments) {
		panic(errorf(stateUndefinedFunction, "function %s with %d arguments does not exist", c.name, len(c.arguments)))
	}
	for i, e := range c.arguments {
		a.infer(e, f.arguments[i])
	}
	return f.result
}

func (a *analyzer) binaryOperation(o binaryOperation) uint32 {
	switch o.operator {
	case "and", "or":
		a.infer(o.left, pgtype.BoolOID)
		a.infer(o.right, pgtype.BoolOID)
		return pgtype.BoolOID
	case "||":
		a.infer(o.left, pgtype.TextOID)
		a.infer(o.right, pgtype.TextOID)
		return pgtype.TextOID
	}
	left := a.infer(o.left, 0)
	right := a.infer(o.right, left)
	if left == 0 {
		left = a.infer(o.left, right)
	}
	if _, ok := arithmetic[o.operator]; !ok {
		return pgtype.BoolOID
	}
	return arithmeticType(o.operator, left, right)
}

// arithmeticType returns the result type of an arithmetic operation.
func arithmeticType(operator string, left, right uint32) uint32 {
	oid := uint32(pgtype.Int4OID)
	for _, side := range []uint32{left, right} {
		switch side {
		case 0, pgtype.UnknownOID, pgtype.Int4OID, pgtype.Int2OID:
		case pgtype.Float8OID:
			oid = pgtype.Float8OID
		case pgtype.Int8OID:
			if oid == pgtype.Int4OID {
				oid = pgtype.Int8OID
			}
		default:
			panic(errorf(stateUndefinedFunction, "operator %s needs numbers; cast the operands", operator))
		}
	}
	return oid
}
