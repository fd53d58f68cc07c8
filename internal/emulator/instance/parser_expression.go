package instance

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"
)

// typeNames maps the types that a cast can have to their names.
var typeNames = map[uint32]string{
	pgtype.TextOID: "text", pgtype.VarcharOID: "varchar", pgtype.Int2OID: "int2",
	pgtype.Int4OID: "int4", pgtype.Int8OID: "int8", pgtype.Float8OID: "float8",
	pgtype.BoolOID: "bool", oidLSN: "pg_lsn",
}

// typeAliases maps the other names of types to the types.
var typeAliases = map[string]uint32{
	"integer": pgtype.Int4OID, "int": pgtype.Int4OID, "bigint": pgtype.Int8OID,
	"smallint": pgtype.Int2OID, "boolean": pgtype.BoolOID,
}

// typeName consumes the name of a type.
func (p *parser) typeName() uint32 {
	if p.acceptWords("double precision") {
		return pgtype.Float8OID
	}
	name := p.name()
	if oid, ok := typeAliases[name]; ok {
		return oid
	}
	for oid, n := range typeNames {
		if n == name {
			return oid
		}
	}
	panic(errorf(stateUndefinedObject, "type %q does not exist", name))
}

func (p *parser) expression() expression {
	defer p.nest()()
	left := p.conjunction()
	for p.acceptWords("or") {
		left = binaryOperation{"or", left, p.conjunction()}
	}
	return left
}

func (p *parser) conjunction() expression {
	left := p.negation()
	for p.acceptWords("and") {
		left = binaryOperation{"and", left, p.negation()}
	}
	return left
}

func (p *parser) negation() expression {
	defer p.nest()()
	if p.acceptWords("not") {
		return unaryOperation{"not", p.negation()}
	}
	return p.comparison()
}

var comparisons = []string{"=", "<>", "!=", "<=", ">=", "<", ">"}

func (p *parser) comparison() expression {
	left := p.concatenation()
	for _, op := range comparisons {
		if p.acceptSymbol(op) {
			if op == "!=" {
				op = "<>"
			}
			return binaryOperation{op, left, p.concatenation()}
		}
	}
	switch {
	case p.acceptWords("is null"):
		return isNull{operand: left}
	case p.acceptWords("is not null"):
		return isNull{operand: left, negated: true}
	case p.acceptWords("in"):
		p.expectSymbol("(")
		return inList{left, p.list()}
	}
	return left
}

func (p *parser) concatenation() expression {
	left := p.sum()
	for p.acceptSymbol("||") {
		left = binaryOperation{"||", left, p.sum()}
	}
	return left
}

func (p *parser) sum() expression {
	left := p.product()
	for {
		switch {
		case p.acceptSymbol("+"):
			left = binaryOperation{"+", left, p.product()}
		case p.acceptSymbol("-"):
			left = binaryOperation{"-", left, p.product()}
		default:
			return left
		}
	}
}

func (p *parser) product() expression {
	left := p.unary()
	for {
		switch {
		case p.acceptSymbol("*"):
			left = binaryOperation{"*", left, p.unary()}
		case p.acceptSymbol("/"):
			left = binaryOperation{"/", left, p.unary()}
		case p.acceptSymbol("%"):
			left = binaryOperation{"%", left, p.unary()}
		default:
			return left
		}
	}
}

func (p *parser) unary() expression {
	defer p.nest()()
	if p.acceptSymbol("-") {
		return unaryOperation{"-", p.unary()}
	}
	e := p.primary()
	for p.acceptSymbol("::") {
		e = cast{e, p.typeName()}
	}
	return e
}

// list consumes expressions up to and including the closing parenthesis.
func (p *parser) list() []expression {
	list := []expression{p.expression()}
	for p.acceptSymbol(",") {
		list = append(list, p.expression())
	}
	p.expectSymbol(")")
	return list
}

func (p *parser) primary() expression {
	t := p.peek()
	switch t.kind {
	case tokenString:
		p.take()
		return literal{value{oid: pgtype.UnknownOID, text: t.text}}
	case tokenNumber:
		p.take()
		return number(t.text)
	case tokenParameter:
		p.take()
		n, err := strconv.Atoi(t.text)
		if err != nil || n < 1 || n > maxParameters {
			panic(errorf(stateUndefinedParameter, "there is no parameter $%s", t.text))
		}
		return parameter{n - 1}
	case tokenSymbol:
		p.expectSymbol("(")
		e := p.expression()
		p.expectSymbol(")")
		return e
	}
	return p.nameOrCall()
}

// maxParameters is the protocol's limit, a 16-bit count.
const maxParameters = 65535

// number returns a literal of the smallest type that PostgreSQL would choose.
func number(text string) expression {
	n, err := strconv.ParseInt(text, 10, 64)
	switch {
	case err != nil:
		if _, err := strconv.ParseFloat(text, 64); err != nil {
			panic(errorf(stateSyntax, "invalid number %q", text))
		}
		return literal{value{oid: pgtype.Float8OID, text: text}}
	case n == int64(int32(n)):
		return literal{value{oid: pgtype.Int4OID, text: text}}
	}
	return literal{value{oid: pgtype.Int8OID, text: text}}
}

// nameOrCall parses an expression that starts with a word or a quoted name: a
// constant, a CAST, a column or a function call.
func (p *parser) nameOrCall() expression {
	t := p.peek()
	if t.kind == tokenWord {
		switch {
		case p.acceptWords("null"):
			return literal{nullValue(pgtype.UnknownOID)}
		case p.acceptWords("true"):
			return literal{boolValue(true)}
		case p.acceptWords("false"):
			return literal{boolValue(false)}
		case p.acceptWords("cast"):
			p.expectSymbol("(")
			e := p.expression()
			p.expectWords("as")
			c := cast{e, p.typeName()}
			p.expectSymbol(")")
			return c
		case reservedWords[t.text]:
			p.failAtToken()
		}
	}
	name := p.name()
	if p.acceptSymbol(".") {
		table := name
		name = p.name()
		if table != "pg_catalog" {
			return column{table: table, name: name}
		}
	}
	if !p.acceptSymbol("(") {
		return column{name: name}
	}
	return p.call(name)
}

// call parses the arguments of a function call.
func (p *parser) call(name string) expression {
	if name == "count" && p.acceptSymbol("*") {
		p.expectSymbol(")")
		return call{name: name}
	}
	if p.acceptSymbol(")") {
		return call{name: name}
	}
	return call{name: name, arguments: p.list()}
}
