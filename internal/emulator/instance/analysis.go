package instance

import (
	"github.com/jackc/pgx/v5/pgtype"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// description is the name and type of a result column.
type description struct {
	name string
	oid  uint32
}

// analysis infers the types of parameters and result columns. Like the parser
// it ends with a panic of *Error.
type analysis struct {
	parameters []uint32 // 0 while unknown
	source     source
	excluded   bool
	aggregate  bool // a target list with count(*)
}

// analyze returns the types of the parameters and the result columns of a
// statement. Declared parameter types take precedence.
func analyze(s statement, declared []uint32) (parameters []uint32, columns []description, err error) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case *Error:
			err = r
		default:
			panic(r)
		}
	}()
	a := &analysis{parameters: append([]uint32(nil), declared...)}
	columns = a.statement(s)
	for i, oid := range a.parameters {
		if oid == 0 || oid == pgtype.UnknownOID {
			a.parameters[i] = pgtype.TextOID
		}
	}
	return a.parameters, columns, nil
}

func (a *analysis) statement(s statement) []description {
	switch s := s.(type) {
	case *selectStatement:
		return a.selection(s)
	case *insertStatement:
		for _, row := range s.rows {
			for _, e := range row {
				a.plain(e, pgtype.TextOID)
			}
		}
		a.source.kind = sourceTable
		a.excluded = s.conflict == conflictUpdate
		a.optional(s.update, pgtype.TextOID)
		a.condition(s.where)
		a.excluded = false
		return a.returned(s.returning)
	case *updateStatement:
		a.source.kind = sourceTable
		a.plain(s.value, pgtype.TextOID)
		a.condition(s.where)
		return a.returned(s.returning)
	case *deleteStatement:
		a.source.kind = sourceTable
		a.condition(s.where)
		return a.returned(s.returning)
	case showStatement:
		return []description{{s.name, pgtype.TextOID}}
	case *copyStatement:
		if s.query != nil {
			a.selection(s.query)
		}
	}
	return nil
}

func (a *analysis) selection(s *selectStatement) []description {
	a.source = s.source
	if s.source.kind == sourceSeries {
		a.seriesType()
	}
	a.condition(s.where)
	if s.order != nil {
		a.plain(s.order.by, 0)
	}
	a.optional(s.limit, pgtype.Int8OID)
	a.optional(s.offset, pgtype.Int8OID)
	return a.targets(s.targets)
}

// returned returns the result columns of RETURNING.
func (a *analysis) returned(targets []target) []description {
	if isAggregate(targets) {
		panic(errorf(stateGrouping, "aggregate functions are not allowed in RETURNING"))
	}
	return a.targets(targets)
}

// targets returns the result columns of a target list.
func (a *analysis) targets(targets []target) []description {
	var columns []description
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
		columns = append(columns, description{t.name, oid})
	}
	return columns
}

// star returns the columns of the source.
func (a *analysis) star() []description {
	if a.aggregate {
		panic(errorf(stateGrouping, "* cannot be selected beside count(*)"))
	}
	switch a.source.kind {
	case sourceTable:
		return []description{{"key", pgtype.TextOID}, {"value", pgtype.TextOID}}
	case sourceSeries:
		return []description{{a.source.alias, a.seriesType()}}
	case sourceCheckpoint:
		return []description{{timelineColumn, pgtype.Int4OID}}
	case sourceReceiver:
		return []description{{receiverColumn, pgtype.TextOID}}
	}
	panic(errorf(stateSyntax, "SELECT * with no tables specified is not valid"))
}

// timelineColumn is the supported column of pg_control_checkpoint().
const timelineColumn = "timeline_id"

// receiverColumn is the supported column of pg_stat_wal_receiver.
const receiverColumn = "status"

// seriesType returns the type of the numbers of generate_series, whose
// arguments cannot refer to its own column.
func (a *analysis) seriesType() uint32 {
	series := a.source
	a.source = source{}
	defer func() { a.source = series }()
	first := a.plain(series.first, pgtype.Int4OID)
	last := a.plain(series.last, pgtype.Int4OID)
	if first == pgtype.Int8OID || last == pgtype.Int8OID {
		return pgtype.Int8OID
	}
	return pgtype.Int4OID
}

func (a *analysis) optional(e expression, want uint32) {
	if e != nil {
		a.plain(e, want)
	}
}

// plain infers an expression that must not contain count(*).
func (a *analysis) plain(e expression, want uint32) uint32 {
	if hasCount(e) {
		panic(errorf(stateGrouping, "aggregate functions are not allowed here"))
	}
	return a.infer(e, want)
}

func (a *analysis) condition(e expression) {
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

// infer returns the type of e. A parameter of unknown type gets the type want;
// want is 0 where the context does not tell.
func (a *analysis) infer(e expression, want uint32) uint32 {
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
	case prefix:
		if e.operator == "not" {
			want = pgtype.BoolOID
		}
		return a.infer(e.operand, want)
	case operation:
		return a.operation(e)
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

func (a *analysis) parameter(index int, want uint32) uint32 {
	for len(a.parameters) <= index {
		a.parameters = append(a.parameters, 0)
	}
	if a.parameters[index] == 0 && want != pgtype.UnknownOID {
		a.parameters[index] = want
	}
	return a.parameters[index]
}

func (a *analysis) column(c column) uint32 {
	if a.aggregate {
		panic(errorf(stateGrouping, "column %q cannot be selected beside count(*)", c.name))
	}
	isField := c.name == "key" || c.name == "value"
	switch a.source.kind {
	case sourceTable:
		if isField && (c.table == "" || c.table == tableName || c.table == "excluded" && a.excluded) {
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
	case sourceReceiver:
		if c.name == receiverColumn {
			return pgtype.TextOID
		}
	}
	panic(errorf(stateUndefinedColumn, "column %q does not exist", c.name))
}

func (a *analysis) call(c call) uint32 {
	f, ok := functions[c.name]
	if !ok || len(c.arguments) < f.required || len(c.arguments) > len(f.arguments) {
		panic(errorf(stateUndefinedFunction, "function %s with %d arguments does not exist", c.name, len(c.arguments)))
	}
	for i, e := range c.arguments {
		a.infer(e, f.arguments[i])
	}
	return f.result
}

func (a *analysis) operation(o operation) uint32 {
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
	return wider(o.operator, left, right)
}

// wider returns the type of an arithmetic operation.
func wider(operator string, left, right uint32) uint32 {
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
