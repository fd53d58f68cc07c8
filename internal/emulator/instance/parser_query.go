package instance

import (
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

func (p *parser) selection() *selectStatement {
	s := &selectStatement{targets: p.targets()}
	if p.acceptWords("from") {
		s.source = p.source()
	}
	if p.acceptWords("where") {
		s.where = p.expression()
	}
	if p.acceptWords("order by") {
		s.order = &order{by: p.expression()}
		s.order.descending = p.acceptWords("desc")
		if !s.order.descending {
			p.acceptWords("asc")
		}
	}
	for {
		switch {
		case p.acceptWords("limit"):
			s.limit = p.expression()
			continue
		case p.acceptWords("offset"):
			s.offset = p.expression()
			continue
		case p.acceptWords("for update"):
			s.locking = true
		}
		break
	}
	s.hoistSeries()
	s.checkSource()
	return s
}

// hoistSeries turns SELECT generate_series(a, b) into SELECT ... FROM
// generate_series(a, b).
func (s *selectStatement) hoistSeries() {
	if s.source.kind != sourceNone {
		return
	}
	for i, t := range s.targets {
		c, ok := t.value.(call)
		if !ok || c.name != "generate_series" || len(c.arguments) != 2 {
			continue
		}
		s.source = source{sourceSeries, "generate_series", c.arguments[0], c.arguments[1]}
		s.targets[i].value = column{name: "generate_series"}
		return
	}
}

// checkSource rejects clauses that the source of the SELECT does not allow.
func (s *selectStatement) checkSource() {
	if s.locking && s.source.kind != sourceTable {
		panic(errorf(proxy.FeatureNotSupported, "FOR UPDATE needs the table %s", tableName))
	}
	if s.order == nil {
		return
	}
	if _, ok := s.order.by.(literal); ok || s.source.kind == sourceSeries {
		panic(errorf(proxy.FeatureNotSupported, "ORDER BY needs an expression on the table %s", tableName))
	}
}

// source parses the FROM clause.
func (p *parser) source() source {
	switch {
	case p.acceptWords("generate_series"):
		p.expectSymbol("(")
		s := source{kind: sourceSeries, first: p.expression()}
		p.expectSymbol(",")
		s.last = p.expression()
		p.expectSymbol(")")
		s.alias = "generate_series"
		p.acceptWords("as")
		if t := p.peek(); t.kind == tokenQuoted || t.kind == tokenWord && !reservedWords[t.text] {
			s.alias = p.name()
			if p.acceptSymbol("(") {
				s.alias = p.name()
				p.expectSymbol(")")
			}
		}
		return s
	case p.acceptWords("pg_control_checkpoint"):
		p.expectSymbol("(")
		p.expectSymbol(")")
		return source{kind: sourceCheckpoint}
	case p.acceptWords("pg_stat_wal_receiver"):
		return source{kind: sourceWALReceiver}
	}
	p.table()
	return source{kind: sourceTable}
}

// reservedWords cannot be an alias or a column.
var reservedWords = map[string]bool{
	"and": true, "as": true, "asc": true, "desc": true, "for": true, "from": true,
	"in": true, "is": true, "limit": true, "not": true, "offset": true, "on": true, "or": true,
	"order": true, "returning": true, "select": true, "set": true, "to": true, "where": true,
}

func (p *parser) targets() []target {
	targets := []target{p.target()}
	for p.acceptSymbol(",") {
		targets = append(targets, p.target())
	}
	return targets
}

func (p *parser) target() target {
	if p.acceptSymbol("*") {
		return target{star: true}
	}
	t := target{value: p.expression()}
	t.name = targetName(t.value)
	if p.acceptWords("as") {
		t.name = p.name()
	} else if n := p.peek(); n.kind == tokenQuoted || n.kind == tokenWord && !reservedWords[n.text] {
		t.name = p.name()
	}
	return t
}

// targetName returns the name that PostgreSQL gives to a result column.
func targetName(e expression) string {
	switch e := e.(type) {
	case column:
		return e.name
	case call:
		return e.name
	case cast:
		if n := targetName(e.operand); n != "?column?" {
			return n
		}
		return typeNames[e.to]
	}
	return "?column?"
}

func (p *parser) insert() statement {
	p.table()
	s := &insertStatement{columns: p.columns()}
	p.expectWords("values")
	for {
		p.expectSymbol("(")
		row := p.list()
		if len(row) != len(s.columns) {
			panic(errorf(stateSyntax, "INSERT has %d columns and %d values", len(s.columns), len(row)))
		}
		s.rows = append(s.rows, row)
		if !p.acceptSymbol(",") {
			break
		}
	}
	if p.acceptWords("on conflict") {
		p.conflict(s)
	}
	s.returning = p.returning()
	return s
}

// conflict parses the rest of an ON CONFLICT clause.
func (p *parser) conflict(s *insertStatement) {
	if p.acceptSymbol("(") {
		p.expectWords("key")
		p.expectSymbol(")")
	}
	if p.acceptWords("do nothing") {
		s.conflict = conflictNothing
		return
	}
	p.expectWords("do update set")
	s.conflict = conflictUpdate
	s.update = p.assignment()
	if p.acceptWords("where") {
		s.where = p.expression()
	}
}

// assignment parses "value = expression" and returns the expression.
func (p *parser) assignment() expression {
	if p.column() != "value" {
		panic(errorf(proxy.FeatureNotSupported, "the emulator cannot change a key"))
	}
	p.expectSymbol("=")
	return p.expression()
}

func (p *parser) returning() []target {
	if !p.acceptWords("returning") {
		return nil
	}
	return p.targets()
}

func (p *parser) update() statement {
	p.table()
	p.expectWords("set")
	s := &updateStatement{value: p.assignment()}
	if p.acceptWords("where") {
		s.where = p.expression()
	}
	s.returning = p.returning()
	return s
}

func (p *parser) deletion() statement {
	p.table()
	s := &deleteStatement{}
	if p.acceptWords("where") {
		s.where = p.expression()
	}
	s.returning = p.returning()
	return s
}

func (p *parser) copy() statement {
	s := &copyStatement{}
	if p.acceptSymbol("(") {
		p.expectWords("select")
		s.query = p.selection()
		p.expectSymbol(")")
		p.expectWords("to stdout")
	} else {
		p.table()
		s.columns = p.columns()
		s.in = p.acceptWords("from stdin")
		if !s.in {
			p.expectWords("to stdout")
			s.query = &selectStatement{source: source{kind: sourceTable}}
			for _, c := range s.columns {
				s.query.targets = append(s.query.targets, target{value: column{name: c}, name: c})
			}
		}
	}
	s.format = p.copyFormat()
	return s
}

// copyFormat parses the options of COPY.
func (p *parser) copyFormat() copyFormat {
	p.acceptWords("with")
	parens := p.acceptSymbol("(")
	if parens {
		p.expectWords("format")
	}
	format := copyText
	switch {
	case p.acceptWords("binary"):
		format = copyBinary
	case p.acceptWords("csv"):
		panic(errorf(proxy.FeatureNotSupported, "the emulator copies in the formats text and binary"))
	default:
		p.acceptWords("text")
	}
	if parens {
		p.expectSymbol(")")
	}
	return format
}
