package instance

import (
	"strings"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// tableName is the only table.
const tableName = "kv"

// parser reads statements from tokens by recursive descent. The first error
// ends the parse by a panic with *Error that parse recovers.
type parser struct {
	tokens []token
	next   int
	depth  int
}

// maxDepth limits the nesting of expressions, which the stack would not.
const maxDepth = 1000

// nest enters an expression and returns the function that leaves it.
func (p *parser) nest() func() {
	p.depth++
	if p.depth > maxDepth {
		panic(errorf(proxy.StatementTooComplex, "expressions are nested more than %d deep", maxDepth))
	}
	return func() { p.depth-- }
}

// parse returns the statements of SQL text.
func parse(sql string) (statements []statement, err error) {
	tokens, err := tokenize(sql)
	if err != nil {
		return nil, err
	}
	defer func() {
		switch r := recover().(type) {
		case nil:
		case *Error:
			statements, err = nil, r
		default:
			panic(r)
		}
	}()
	p := &parser{tokens: tokens}
	for {
		for p.symbol(";") {
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		statements = append(statements, p.statement())
		if p.peek().kind != tokenEnd {
			p.wantSymbol(";")
		}
	}
}

func (p *parser) peek() token { return p.tokens[p.next] }

func (p *parser) take() token {
	t := p.tokens[p.next]
	if t.kind != tokenEnd {
		p.next++
	}
	return t
}

// fail ends the parse at the next token.
func (p *parser) fail() {
	t := p.peek()
	if t.kind == tokenEnd {
		panic(errorf(stateSyntax, "syntax error at end of input"))
	}
	panic(errorf(stateSyntax, "syntax error at or near %q", t.text))
}

// words takes the given words if they come next.
func (p *parser) words(phrase string) bool {
	for i, w := range strings.Fields(phrase) {
		at := min(p.next+i, len(p.tokens)-1)
		if t := p.tokens[at]; t.kind != tokenWord || t.text != w {
			return false
		}
	}
	p.next += len(strings.Fields(phrase))
	return true
}

func (p *parser) wantWords(phrase string) {
	if !p.words(phrase) {
		p.fail()
	}
}

// symbol takes the symbol if it comes next.
func (p *parser) symbol(s string) bool {
	if t := p.peek(); t.kind != tokenSymbol || t.text != s {
		return false
	}
	p.next++
	return true
}

func (p *parser) wantSymbol(s string) {
	if !p.symbol(s) {
		p.fail()
	}
}

// name takes an identifier.
func (p *parser) name() string {
	t := p.peek()
	if t.kind != tokenWord && t.kind != tokenQuoted {
		p.fail()
	}
	return p.take().text
}

// table takes the name of the only table.
func (p *parser) table() {
	name := p.name()
	if name == "public" && p.symbol(".") {
		name = p.name()
	}
	if name != tableName {
		panic(errorf(stateUndefinedTable, "relation %q does not exist", name))
	}
}

// column takes the name of a column of the table.
func (p *parser) column() string {
	name := p.name()
	if name != "key" && name != "value" {
		panic(errorf(stateUndefinedColumn, "column %q of relation %q does not exist", name, tableName))
	}
	return name
}

// columns takes a list of columns in parentheses if there is one.
func (p *parser) columns() []string {
	if !p.symbol("(") {
		return []string{"key", "value"}
	}
	columns := []string{p.column()}
	for p.symbol(",") {
		columns = append(columns, p.column())
	}
	p.wantSymbol(")")
	return columns
}

func (p *parser) statement() statement {
	switch {
	case p.words("select"):
		return p.selection()
	case p.words("insert into"):
		return p.insert()
	case p.words("update"):
		return p.update()
	case p.words("delete from"):
		return p.deletion()
	case p.words("copy"):
		return p.copy()
	case p.words("begin"):
		return p.begin("BEGIN")
	case p.words("start transaction"):
		return p.begin("START TRANSACTION")
	case p.words("commit"), p.words("end"):
		p.optionalWords()
		return commitStatement{}
	case p.words("abort"):
		p.optionalWords()
		return rollbackStatement{}
	case p.words("rollback"):
		return p.rollback()
	case p.words("savepoint"):
		return savepointStatement{savepointSet, p.name()}
	case p.words("release"):
		p.words("savepoint")
		return savepointStatement{savepointRelease, p.name()}
	}
	return p.command()
}

// command parses the statements about settings and sessions.
func (p *parser) command() statement {
	switch {
	case p.words("set"):
		return p.set()
	case p.words("reset all"):
		return resetAllStatement{}
	case p.words("reset"):
		return setStatement{name: p.setting(), tag: "RESET"}
	case p.words("show"):
		return showStatement{p.setting()}
	case p.words("discard all"):
		return discardStatement{}
	case p.words("deallocate"):
		p.words("prepare")
		if p.words("all") {
			return deallocateStatement{}
		}
		return deallocateStatement{p.name()}
	case p.words("alter system"):
		return p.alterSystem()
	}
	if t := p.peek(); t.kind == tokenWord && strings.Contains(unsupported, " "+t.text+" ") {
		panic(errorf(proxy.FeatureNotSupported, "%s is not supported by the emulator", strings.ToUpper(t.text)))
	}
	p.fail()
	return nil
}

// unsupported lists commands that PostgreSQL has and the emulator does not.
const unsupported = " alter analyze call close cluster comment create declare discard do drop execute" +
	" explain fetch grant listen lock merge move notify prepare reindex revoke truncate unlisten" +
	" vacuum values with "

// optionalWords takes the optional words after COMMIT and ROLLBACK.
func (p *parser) optionalWords() {
	if !p.words("work") {
		p.words("transaction")
	}
}

func (p *parser) begin(tag string) statement {
	if tag == "BEGIN" {
		p.optionalWords()
	}
	return beginStatement{tag: tag, access: p.modes()}
}

// modes parses transaction modes.
func (p *parser) modes() accessMode {
	access := accessDefault
	for {
		switch {
		case p.words("read only"):
			access = accessReadOnly
		case p.words("read write"):
			access = accessReadWrite
		case p.words("isolation level read committed"), p.words("isolation level read uncommitted"):
		case p.words("not deferrable"):
		case p.words("isolation level"), p.words("deferrable"):
			panic(errorf(proxy.FeatureNotSupported, "the emulator has only the isolation level READ COMMITTED"))
		default:
			return access
		}
		p.symbol(",")
	}
}

func (p *parser) rollback() statement {
	p.optionalWords()
	if !p.words("to") {
		return rollbackStatement{}
	}
	p.words("savepoint")
	return savepointStatement{savepointRollback, p.name()}
}

// setting takes the name of a setting.
func (p *parser) setting() string {
	if p.words("time zone") {
		return "timezone"
	}
	if p.words("session authorization") {
		return "session_authorization"
	}
	if p.words("transaction isolation level") {
		return "transaction_isolation"
	}
	name := p.name()
	for p.symbol(".") {
		name += "." + p.name()
	}
	return strings.ToLower(name)
}

func (p *parser) set() statement {
	if p.words("transaction") {
		return setTransactionStatement{p.modes()}
	}
	if p.words("session characteristics") {
		panic(errorf(proxy.FeatureNotSupported, "SET SESSION CHARACTERISTICS is not supported by the emulator"))
	}
	s := setStatement{tag: "SET", local: p.words("local")}
	if !s.local {
		p.words("session")
	}
	zone := p.words("time zone")
	s.name = "timezone"
	if !zone {
		s.name = p.setting()
		if !p.symbol("=") {
			p.wantWords("to")
		}
	}
	if p.words("default") {
		return s
	}
	text := p.settingValue()
	s.value = &text
	return s
}

// settingValue takes a value, or a list of values separated by commas.
func (p *parser) settingValue() string {
	var values []string
	for {
		sign := ""
		if p.symbol("-") {
			sign = "-"
		}
		switch p.peek().kind {
		case tokenWord, tokenQuoted, tokenString, tokenNumber:
			values = append(values, sign+p.take().text)
		default:
			p.fail()
		}
		if !p.symbol(",") {
			return strings.Join(values, ", ")
		}
	}
}

func (p *parser) alterSystem() statement {
	reset := p.words("reset")
	if !reset {
		p.wantWords("set")
	}
	name := p.setting()
	if name != conninfoSetting && !strings.Contains(name, ".") {
		panic(errorf(stateCannotChange, "ALTER SYSTEM cannot change %q in the emulator", name))
	}
	if reset {
		return alterSystemStatement{name: name}
	}
	if !p.symbol("=") {
		p.wantWords("to")
	}
	if p.words("default") {
		return alterSystemStatement{name: name}
	}
	return alterSystemStatement{name: name, value: p.settingValue()}
}
