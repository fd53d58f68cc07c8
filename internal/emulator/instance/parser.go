package instance

import (
	"strings"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// tableName is the only table.
const tableName = "kv"

// parser reads statements from tokens by recursive descent. The first error ends
// the parse by a panic with *Error, which parse recovers.
type parser struct {
	tokens []token
	next   int
	depth  int
}

// maxDepth limits the nesting of expressions, since a stack overflow ends the process.
const maxDepth = 1000

// nest counts the entry into an expression and returns the function that leaves it.
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
		for p.acceptSymbol(";") {
		}
		if p.peek().kind == tokenEnd {
			return statements, nil
		}
		statements = append(statements, p.statement())
		if p.peek().kind != tokenEnd {
			p.expectSymbol(";")
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

// failAtToken ends the parse with a syntax error at the next token.
func (p *parser) failAtToken() {
	t := p.peek()
	if t.kind == tokenEnd {
		panic(errorf(stateSyntax, "syntax error at end of input"))
	}
	panic(errorf(stateSyntax, "syntax error at or near %q", t.text))
}

// acceptWords consumes the words of phrase if they come next.
func (p *parser) acceptWords(phrase string) bool {
	for i, w := range strings.Fields(phrase) {
		index := min(p.next+i, len(p.tokens)-1)
		if t := p.tokens[index]; t.kind != tokenWord || t.text != w {
			return false
		}
	}
	p.next += len(strings.Fields(phrase))
	return true
}

func (p *parser) expectWords(phrase string) {
	if !p.acceptWords(phrase) {
		p.failAtToken()
	}
}

// acceptSymbol consumes the symbol if it comes next.
func (p *parser) acceptSymbol(s string) bool {
	if t := p.peek(); t.kind != tokenSymbol || t.text != s {
		return false
	}
	p.next++
	return true
}

func (p *parser) expectSymbol(s string) {
	if !p.acceptSymbol(s) {
		p.failAtToken()
	}
}

// name consumes an identifier.
func (p *parser) name() string {
	t := p.peek()
	if t.kind != tokenWord && t.kind != tokenQuoted {
		p.failAtToken()
	}
	return p.take().text
}

// table consumes the name of the only table.
func (p *parser) table() {
	name := p.name()
	if name == "public" && p.acceptSymbol(".") {
		name = p.name()
	}
	if name != tableName {
		panic(errorf(stateUndefinedTable, "relation %q does not exist", name))
	}
}

// column consumes the name of a column of the table.
func (p *parser) column() string {
	name := p.name()
	if name != "key" && name != "value" {
		panic(errorf(stateUndefinedColumn, "column %q of relation %q does not exist", name, tableName))
	}
	return name
}

// columns consumes a list of columns in parentheses, if there is one. The default is
// all columns.
func (p *parser) columns() []string {
	if !p.acceptSymbol("(") {
		return []string{"key", "value"}
	}
	columns := []string{p.column()}
	for p.acceptSymbol(",") {
		columns = append(columns, p.column())
	}
	p.expectSymbol(")")
	return columns
}

func (p *parser) statement() statement {
	switch {
	case p.acceptWords("select"):
		return p.selection()
	case p.acceptWords("insert into"):
		return p.insert()
	case p.acceptWords("update"):
		return p.update()
	case p.acceptWords("delete from"):
		return p.deletion()
	case p.acceptWords("copy"):
		return p.copy()
	case p.acceptWords("begin"):
		return p.begin("BEGIN")
	case p.acceptWords("start transaction"):
		return p.begin("START TRANSACTION")
	case p.acceptWords("commit"), p.acceptWords("end"):
		p.skipWorkOrTransaction()
		return commitStatement{}
	case p.acceptWords("abort"):
		p.skipWorkOrTransaction()
		return rollbackStatement{}
	case p.acceptWords("rollback"):
		return p.rollback()
	case p.acceptWords("savepoint"):
		return savepointStatement{savepointSet, p.name()}
	case p.acceptWords("release"):
		p.acceptWords("savepoint")
		return savepointStatement{savepointRelease, p.name()}
	}
	return p.sessionStatement()
}

// sessionStatement parses the statements about settings and the session.
func (p *parser) sessionStatement() statement {
	switch {
	case p.acceptWords("set"):
		return p.set()
	case p.acceptWords("reset all"):
		return resetAllStatement{}
	case p.acceptWords("reset"):
		return setStatement{name: p.settingName(), tag: "RESET"}
	case p.acceptWords("show"):
		return showStatement{p.settingName()}
	case p.acceptWords("discard all"):
		return discardStatement{}
	case p.acceptWords("deallocate"):
		p.acceptWords("prepare")
		if p.acceptWords("all") {
			return deallocateStatement{}
		}
		return deallocateStatement{p.name()}
	case p.acceptWords("alter system"):
		return p.alterSystem()
	}
	if t := p.peek(); t.kind == tokenWord && strings.Contains(unsupportedCommands, " "+t.text+" ") {
		panic(errorf(proxy.FeatureNotSupported, "%s is not supported by the emulator", strings.ToUpper(t.text)))
	}
	p.failAtToken()
	return nil
}

// unsupportedCommands lists commands that PostgreSQL has and the emulator does not.
const unsupportedCommands = " alter analyze call close cluster comment create declare discard do drop execute" +
	" explain fetch grant listen lock merge move notify prepare reindex revoke truncate unlisten" +
	" vacuum values with "

// skipWorkOrTransaction consumes the optional word after BEGIN, COMMIT and ROLLBACK.
func (p *parser) skipWorkOrTransaction() {
	if !p.acceptWords("work") {
		p.acceptWords("transaction")
	}
}

func (p *parser) begin(tag string) statement {
	if tag == "BEGIN" {
		p.skipWorkOrTransaction()
	}
	return beginStatement{tag: tag, access: p.transactionModes()}
}

// transactionModes parses transaction modes and returns the access mode.
func (p *parser) transactionModes() accessMode {
	access := accessDefault
	for {
		switch {
		case p.acceptWords("read only"):
			access = accessReadOnly
		case p.acceptWords("read write"):
			access = accessReadWrite
		case p.acceptWords("isolation level read committed"), p.acceptWords("isolation level read uncommitted"):
		case p.acceptWords("not deferrable"):
		case p.acceptWords("isolation level"), p.acceptWords("deferrable"):
			panic(errorf(proxy.FeatureNotSupported, "the emulator has only the isolation level READ COMMITTED"))
		default:
			return access
		}
		p.acceptSymbol(",")
	}
}

func (p *parser) rollback() statement {
	p.skipWorkOrTransaction()
	if !p.acceptWords("to") {
		return rollbackStatement{}
	}
	p.acceptWords("savepoint")
	return savepointStatement{savepointRollback, p.name()}
}

// settingName consumes the name of a setting.
func (p *parser) settingName() string {
	if p.acceptWords("time zone") {
		return "timezone"
	}
	if p.acceptWords("session authorization") {
		return "session_authorization"
	}
	if p.acceptWords("transaction isolation level") {
		return "transaction_isolation"
	}
	name := p.name()
	for p.acceptSymbol(".") {
		name += "." + p.name()
	}
	return strings.ToLower(name)
}

func (p *parser) set() statement {
	if p.acceptWords("transaction") {
		return setTransactionStatement{p.transactionModes()}
	}
	if p.acceptWords("session characteristics") {
		panic(errorf(proxy.FeatureNotSupported, "SET SESSION CHARACTERISTICS is not supported by the emulator"))
	}
	s := setStatement{tag: "SET", local: p.acceptWords("local")}
	if !s.local {
		p.acceptWords("session")
	}
	zone := p.acceptWords("time zone")
	s.name = "timezone"
	if !zone {
		s.name = p.settingName()
		if !p.acceptSymbol("=") {
			p.expectWords("to")
		}
	}
	if p.acceptWords("default") {
		return s
	}
	text := p.settingValue()
	s.value = &text
	return s
}

// settingValue consumes a value, or a list of values separated by commas.
func (p *parser) settingValue() string {
	var values []string
	for {
		sign := ""
		if p.acceptSymbol("-") {
			sign = "-"
		}
		switch p.peek().kind {
		case tokenWord, tokenQuoted, tokenString, tokenNumber:
			values = append(values, sign+p.take().text)
		default:
			p.failAtToken()
		}
		if !p.acceptSymbol(",") {
			return strings.Join(values, ", ")
		}
	}
}

func (p *parser) alterSystem() statement {
	reset := p.acceptWords("reset")
	if !reset {
		p.expectWords("set")
	}
	name := p.settingName()
	if name != conninfoSetting && !strings.Contains(name, ".") {
		panic(errorf(stateCannotChange, "ALTER SYSTEM cannot change %q in the emulator", name))
	}
	if reset {
		return alterSystemStatement{name: name}
	}
	if !p.acceptSymbol("=") {
		p.expectWords("to")
	}
	if p.acceptWords("default") {
		return alterSystemStatement{name: name}
	}
	return alterSystemStatement{name: name, value: p.settingValue()}
}
