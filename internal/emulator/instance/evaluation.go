package instance

import (
	"math"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// scope holds the values that an expression can refer to.
type scope struct {
	session     *session
	parameters  []value
	source      source
	row         *Row
	excluded    *Row
	sourceValue value // of a source with one column that is not the table
	count       int64 // of count(*)
}

// evaluate returns the value of e.
func (sc *scope) evaluate(e expression) (value, error) {
	switch e := e.(type) {
	case literal:
		return e.value, nil
	case parameter:
		if e.index >= len(sc.parameters) {
			return value{}, errorf(stateUndefinedParameter, "there is no parameter $%d", e.index+1)
		}
		return sc.parameters[e.index], nil
	case column:
		return sc.column(e), nil
	case cast:
		v, err := sc.evaluate(e.operand)
		if err != nil {
			return v, err
		}
		return v.convert(e.to)
	case call:
		return sc.call(e)
	case unaryOperation:
		return sc.unaryOperation(e)
	case binaryOperation:
		return sc.binaryOperation(e)
	case inList:
		return sc.inList(e)
	case isNull:
		v, err := sc.evaluate(e.operand)
		return boolValue(v.null != e.negated), err
	}
	return value{}, errorf(proxy.InternalInconsistency, "expression %T", e)
}

func (sc *scope) column(c column) value {
	row := sc.row
	if c.table == "excluded" {
		row = sc.excluded
	}
	switch {
	case row == nil:
		return sc.sourceValue
	case c.name == "key":
		return textValue(row.Key)
	}
	return textValue(row.Value)
}

// conditionHolds evaluates a condition. It returns true for nil.
func (sc *scope) conditionHolds(e expression) (bool, error) {
	if e == nil {
		return true, nil
	}
	v, err := sc.evaluate(e)
	if err != nil {
		return false, err
	}
	v, err = v.convert(pgtype.BoolOID)
	return v.isTrue(), err
}

func (sc *scope) call(c call) (value, error) {
	if c.name == "count" {
		return intValue(sc.count), nil
	}
	f := functions[c.name]
	arguments := make([]value, len(c.arguments))
	for i, e := range c.arguments {
		v, err := sc.evaluate(e)
		if err != nil {
			return v, err
		}
		if v, err = v.convert(f.arguments[i]); err != nil {
			return v, err
		}
		if v.null {
			return nullValue(f.result), nil
		}
		arguments[i] = v
	}
	return f.run(sc.session, arguments)
}

func (sc *scope) unaryOperation(o unaryOperation) (value, error) {
	v, err := sc.evaluate(o.operand)
	if err != nil || v.null {
		return v, err
	}
	if o.operator == "not" {
		v, err = v.convert(pgtype.BoolOID)
		return boolValue(!v.isTrue()), err
	}
	return calculate("-", value{oid: v.oid, text: "0"}, v)
}

func (sc *scope) inList(e inList) (value, error) {
	for _, item := range e.list {
		v, err := sc.binaryOperation(binaryOperation{"=", e.operand, item})
		if err != nil || v.isTrue() {
			return v, err
		}
	}
	return boolValue(false), nil
}

func (sc *scope) binaryOperation(o binaryOperation) (value, error) {
	left, err := sc.evaluate(o.left)
	if err != nil {
		return left, err
	}
	if o.operator == "and" && !left.null && !left.isTrue() || o.operator == "or" && left.isTrue() {
		return left, nil
	}
	right, err := sc.evaluate(o.right)
	if err != nil {
		return right, err
	}
	switch o.operator {
	case "and":
		if !right.null && !right.isTrue() {
			return right, nil
		}
		return boolValue(true).orNull(left, right), nil
	case "or":
		if right.isTrue() {
			return right, nil
		}
		return boolValue(false).orNull(left, right), nil
	case "||":
		return textValue(left.text+right.text).orNull(left, right), nil
	}
	if left.null || right.null {
		return nullValue(pgtype.BoolOID), nil
	}
	if left, right, err = unify(left, right); err != nil {
		return left, err
	}
	if _, ok := arithmetic[o.operator]; ok {
		return calculate(o.operator, left, right)
	}
	return compare(o.operator, left, right)
}

// orNull returns null if one of the operands is null, and v otherwise.
func (v value) orNull(operands ...value) value {
	for _, o := range operands {
		if o.null {
			return nullValue(v.oid)
		}
	}
	return v
}

// unify converts the untyped one of two operands to the type of the other.
func unify(left, right value) (l, r value, err error) {
	switch {
	case left.oid == pgtype.UnknownOID:
		left, err = left.convert(right.oid)
	case right.oid == pgtype.UnknownOID:
		right, err = right.convert(left.oid)
	}
	return left, right, err
}

// arithmetic maps the operators on integers to functions that return the result
// and whether it did not overflow.
var arithmetic = map[string]func(a, b int64) (int64, bool){
	"+": func(a, b int64) (int64, bool) { return a + b, (a+b > a) == (b > 0) },
	"-": func(a, b int64) (int64, bool) { return a - b, (a-b < a) == (b > 0) },
	"*": func(a, b int64) (int64, bool) {
		return a * b, a == 0 || (a*b)/a == b && (a != -1 || b != math.MinInt64)
	},
	"/": func(a, b int64) (int64, bool) { return a / b, b != -1 || a != math.MinInt64 },
	"%": func(a, b int64) (int64, bool) { return a % b, true },
}

// calculate applies an arithmetic operator.
func calculate(operator string, left, right value) (value, error) {
	if left.oid == pgtype.Float8OID || right.oid == pgtype.Float8OID {
		return calculateFloat(operator, left, right)
	}
	a, err := left.integer()
	if err != nil {
		return left, err
	}
	b, err := right.integer()
	if err != nil {
		return right, err
	}
	if b == 0 && (operator == "/" || operator == "%") {
		return left, errorf(stateDivisionByZero, "division by zero")
	}
	n, ok := arithmetic[operator](a, b)
	if !ok {
		return left, errorf(stateOutOfRange, "bigint out of range")
	}
	oid := max(left.oid, pgtype.Int4OID)
	if left.oid == pgtype.Int8OID || right.oid == pgtype.Int8OID {
		oid = pgtype.Int8OID
	}
	return intValue(n).convert(oid)
}

func calculateFloat(operator string, left, right value) (value, error) {
	a, err := left.float()
	if err != nil {
		return left, err
	}
	b, err := right.float()
	if err != nil {
		return right, err
	}
	switch operator {
	case "+":
		a += b
	case "-":
		a -= b
	case "*":
		a *= b
	case "/":
		if b == 0 {
			return left, errorf(stateDivisionByZero, "division by zero")
		}
		a /= b
	default:
		return left, errorf(stateUndefinedFunction, "operator %s does not exist for double precision", operator)
	}
	return value{oid: pgtype.Float8OID, text: strconv.FormatFloat(a, 'g', -1, 64)}, nil
}

// compare applies a comparison operator.
func compare(operator string, left, right value) (value, error) {
	order, err := left.compare(right)
	if err != nil {
		return left, err
	}
	switch operator {
	case "=":
		return boolValue(order == 0), nil
	case "<>":
		return boolValue(order != 0), nil
	case "<":
		return boolValue(order < 0), nil
	case "<=":
		return boolValue(order <= 0), nil
	case ">":
		return boolValue(order > 0), nil
	}
	return boolValue(order >= 0), nil
}

// compare returns a negative number, 0 or a positive number if v is less than,
// equal to or greater than w. It compares text bytewise.
func (v value) compare(w value) (int, error) {
	if v.oid == pgtype.Float8OID || w.oid == pgtype.Float8OID || intSize(v.oid) > 0 && intSize(w.oid) > 0 {
		return v.compareNumbers(w)
	}
	if v.oid == oidLSN && w.oid == oidLSN {
		a, err := proxy.ParsePosition(v.text)
		if err != nil {
			return 0, err
		}
		b, err := proxy.ParsePosition(w.text)
		if err != nil {
			return 0, err
		}
		return orderOf(a < b, a > b), nil
	}
	if intSize(v.oid) > 0 || intSize(w.oid) > 0 {
		return 0, errorf(stateUndefinedFunction, "text and numbers cannot be compared; cast one of them")
	}
	return strings.Compare(v.text, w.text), nil
}

func (v value) compareNumbers(w value) (int, error) {
	if intSize(v.oid) > 0 && intSize(w.oid) > 0 {
		a, err := v.integer()
		if err != nil {
			return 0, err
		}
		b, err := w.integer()
		return orderOf(a < b, a > b), err
	}
	a, err := v.float()
	if err != nil {
		return 0, err
	}
	b, err := w.float()
	return orderOf(a < b, a > b), err
}

func orderOf(less, greater bool) int {
	switch {
	case less:
		return -1
	case greater:
		return 1
	}
	return 0
}
