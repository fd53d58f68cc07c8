package instance

import (
	"strconv"

	"github.com/jackc/pgx/v5/pgtype"
)

// typeNames gives the names of the types that a cast may name.
var typeNames = map[uint32]string{
	pgtype.TextOID: "text", pgtype.VarcharOID: "varchar", pgtype.Int2OID: "int2",
	pgtype.Int4OID: "int4", pgtype.Int8OID: "int8", pgtype.Float8OID: "float8",
	pgtype.BoolOID: "bool", oidLSN: "pg_lsn",
}

// typeAliases gives the other names of types.
var typeAliases = map[string]uint32{
	"integer": pgtype.Int4OID, "int": pgtype.Int4OID, "bigint": pgtype.Int8OID,
	"smallint": pgtype.Int2OID, "boolean": pgtype.BoolOID,
}

// typeName takes the name of a type.
func (p *parser) typeName() uint32 {
	if p.words("double precision") {
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
	for p.words("or") {
		left = operation{"or", left, p.conjunction()}
	}
	return left
}

func (p *parser) conjunction() expression {
	left := p.negation()
	for p.words("and") {
		left = operation{"and", left, p.negation()}
	}
	return left
}

func (p *parser) negation() expression {
	defer p.nest()()
	if p.words("not") {
		return prefix{"not", p.negation()}
	}
	return p.comparison()
}

var comparisons = []string{"=", "<>", "!=", "<=", ">=", "<", ">"}

func (p *parser) comparison() expression {
	left := p.concatenation()
	for _, op := range comparisons {
		if p.symbol(op) {
			if op == "!=" {
				op = "<>"
			}
			return operation{op, left, p.concatenation()}
		}
	}
	switch {
	case p.words("is null"):
		return isNull{operand: left}
	case p.words("is not null"):
		return isNull{operand: left, negated: true}
	case p.words("in"):
		p.wantSymbol("(")
		return inList{left, p.list()}
	}
	return left
}

func (p *parser) concatenation() expression {
	left := p.sum()
	for p.symbol("||") {
		left = operation{"||", left, p.sum()}
	}
	return left
}

func (p *parser) sum() expression {
	left := p.product()
	for {
		switch {
		case p.symbol("+"):
			left = operation{"+", left, p.product()}
		case p.symbol("-"):
			left = operation{"-", left, p.product()}
		default:
			return left
		}
	}
}

func (p *parser) product() expression {
	left := p.sign()
	for {
		switch {
		case p.symbol("*"):
			left = operation{"*", left, p.sign()}
		case p.symbol("/"):
			left = operation{"/", left, p.sign()}
		case p.symbol("%"):
			left = operation{"%", left, p.sign()}
		default:
			return left
		}
	}
}

func (p *parser) sign() expression {
	defer p.nest()()
	if p.symbol("-") {
		return prefix{"-", p.sign()}
	}
	e := p.primary()
	for p.symbol("::") {
		e = cast{e, p.typeName()}
	}
	return e
}

// list takes expressions up to the closing parenthesis.
func (p *parser) list() []expression {
	list := []expression{p.expression()}
	for p.symbol(",") {
		list = append(list, p.expression())
	}
	p.wantSymbol(")")
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
		p.wantSymbol("(")
		e := p.expression()
		p.wantSymbol(")")
		return e
	}
	return p.named()
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

// named parses an expression that starts with a name.
func (p *parser) named() expression {
	t := p.peek()
	if t.kind == tokenWord {
		switch {
		case p.words("null"):
			return literal{nullValue(pgtype.UnknownOID)}
		case p.words("true"):
			return literal{boolValue(true)}
		case p.words("false"):
			return literal{boolValue(false)}
		case p.words("cast"):
			p.wantSymbol("(")
			e := p.expression()
			p.wantWords("as")
			c := cast{e, p.typeName()}
			p.wantSymbol(")")
			return c
		case reserved[t.text]:
			p.fail()
		}
	}
	name := p.name()
	if p.symbol(".") {
		table := name
		name = p.name()
		if table != "pg_catalog" {
			return column{table: table, name: name}
		}
	}
	if !p.symbol("(") {
		return column{name: name}
	}
	return p.call(name)
}

// call parses the arguments of a function.
func (p *parser) call(name string) expression {
	if name == "count" && p.symbol("*") {
		p.wantSymbol(")")
		return call{name: name}
	}
	if p.symbol(")") {
		return call{name: name}
	}
	return call{name: name, arguments: p.list()}
}
