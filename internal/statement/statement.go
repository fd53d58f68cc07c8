package statement

import "strings"

// Kind is what a statement does to its session, as far as a proxy has to know.
type Kind uint8

// The kinds of statements.
const (
	Other Kind = iota
	// Begin starts a transaction.
	Begin
	// Commit and Rollback end one.
	Commit
	Rollback
	// Savepoint and RollbackTo change a transaction's settings. Name is the
	// savepoint's name.
	Savepoint
	RollbackTo
	// Set changes the setting Name for the session.
	Set
	// Reset gives the setting Name its initial value.
	Reset
	// ResetAll gives all settings their initial values.
	ResetAll
	// Discard drops all of the session's state.
	Discard
	// Deallocate drops the prepared statement Name, or all where it is empty.
	Deallocate
	// Refused leaves state on the connection that cannot be restored, or cannot
	// be confirmed. Reason names what is not supported.
	Refused
)

// Statement is one statement of a text.
type Statement struct {
	Kind Kind
	// Name is folded to lower case unless it was quoted.
	Name string
	// Value is a setting's new value if it is a single token.
	Value string
	// Text is the statement without surrounding comments and semicolon.
	Text string
	// ReadOnly and ReadWrite report the access mode that the statement asks
	// for its transaction.
	ReadOnly  bool
	ReadWrite bool
	Reason    string
}

// Classify returns the statements of a text in order, without empty ones.
func Classify(input string) []Statement {
	var statements []Statement
	l := &lexer{input: input}
	for {
		tokens, reason, more := l.statement()
		if len(tokens) > 0 {
			s := classify(tokens)
			if reason != "" {
				s = Statement{Kind: Refused, Reason: reason}
			}
			s.Text = input[tokens[0].start:tokens[len(tokens)-1].end]
			statements = append(statements, s)
		}
		if !more {
			return statements
		}
	}
}

// Of a long statement only the first and the last tokens are kept, so that the
// memory for a text does not exceed a small multiple of its length.
const (
	headTokens = 128
	tailTokens = 16
	maxTokens  = 1024
)

// shorten examines tokens and drops those in the middle. A separator keeps the
// rest from being read across the gap.
func shorten(tokens []token) ([]token, string) {
	reason := patterns(tokens)
	tail := tokens[len(tokens)-tailTokens:]
	separator := token{kind: symbol, value: "...", start: tail[0].start, end: tail[0].start}
	return append(append(tokens[:headTokens], separator), tail...), reason
}

// statement returns the tokens up to a semicolon, the reason to refuse tokens
// that it dropped, and whether text may follow. The semicolons of an SQL
// function body (BEGIN ATOMIC ... END) are part of the statement that contains
// it.
func (l *lexer) statement() (tokens []token, reason string, more bool) {
	depth := 0
	for {
		t, ok := l.next()
		if !ok {
			return tokens, reason, false
		}
		if t.isSymbol(";") && depth == 0 {
			return tokens, reason, true
		}
		if len(tokens) == maxTokens {
			var found string
			if tokens, found = shorten(tokens); found != "" {
				reason = found
			}
		}
		switch {
		case t.is("atomic") && len(tokens) > 1 && tokens[len(tokens)-1].is("begin") && tokens[0].is("create"):
			depth++
		case t.is("case") && depth > 0:
			depth++
		case t.is("end") && depth > 0:
			depth--
		}
		tokens = append(tokens, t)
	}
}

// classify examines one statement, which has at least one token.
func classify(tokens []token) Statement {
	if reason := refusal(tokens); reason != "" {
		return Statement{Kind: Refused, Reason: reason}
	}
	c := cursor{tokens}
	switch first := c.next(); {
	case first.is("begin"), first.is("start") && c.peek(0).is("transaction"):
		return modes(Statement{Kind: Begin}, tokens)
	case first.is("commit", "end"):
		if c.peek(0).is("prepared") {
			return Statement{}
		}
		return Statement{Kind: Commit}
	case first.is("abort"):
		return Statement{Kind: Rollback}
	case first.is("rollback"):
		return rollback(c)
	case first.is("prepare") && c.peek(0).is("transaction"):
		return Statement{Kind: Commit}
	case first.is("savepoint"):
		return Statement{Kind: Savepoint, Name: c.next().value}
	case first.is("set"):
		return set(c, tokens)
	case first.is("reset"):
		return reset(c)
	case first.is("discard"):
		return discard(c)
	case first.is("deallocate"):
		return deallocate(c)
	}
	return Statement{}
}

func rollback(c cursor) Statement {
	if c.peek(0).is("prepared") {
		return Statement{}
	}
	c.accept("work", "transaction")
	if !c.accept("to") {
		return Statement{Kind: Rollback}
	}
	c.accept("savepoint")
	return Statement{Kind: RollbackTo, Name: c.next().value}
}

// set examines SET. Settings of one transaction only are of kind Other.
func set(c cursor, tokens []token) Statement {
	if c.accept("local") || c.peek(0).is("constraints") {
		return modes(Statement{}, tokens)
	}
	if c.accept("transaction") {
		return modes(Statement{}, tokens)
	}
	if c.accept("session") {
		switch {
		case c.accept("characteristics"):
			return characteristics(tokens)
		case c.accept("authorization"):
			return Statement{Kind: Set, Name: "session_authorization", Value: c.value()}
		}
	}
	switch {
	case c.accept("time"):
		c.accept("zone")
		return Statement{Kind: Set, Name: "timezone", Value: c.value()}
	case c.accept("names"):
		return Statement{Kind: Set, Name: "client_encoding", Value: c.value()}
	case c.accept("schema"):
		return Statement{Kind: Set, Name: "search_path", Value: c.value()}
	case c.accept("role"):
		return Statement{Kind: Set, Name: "role", Value: c.value()}
	}
	name := c.name()
	if !c.accept("to") && !c.acceptSymbol("=") {
		return Statement{}
	}
	if c.peek(0).is("default") {
		return Statement{Kind: Reset, Name: name}
	}
	if strings.HasPrefix(name, "transaction_") {
		return transactionSetting(name, c.value())
	}
	return Statement{Kind: Set, Name: name, Value: c.value()}
}

// transactionSetting examines settings that end with the transaction.
func transactionSetting(name, value string) Statement {
	if name != "transaction_read_only" {
		return Statement{}
	}
	return Statement{ReadOnly: IsOn(value), ReadWrite: !IsOn(value)}
}

// IsOn reports whether a setting's value means true. PostgreSQL also accepts
// unique prefixes of the words.
func IsOn(value string) bool {
	value = strings.ToLower(value)
	if value == "" {
		return false
	}
	return value == "1" || value == "on" || strings.HasPrefix("true", value) || strings.HasPrefix("yes", value)
}

// characteristics examines SET SESSION CHARACTERISTICS AS TRANSACTION, which
// sets default_transaction_read_only and its like.
func characteristics(tokens []token) Statement {
	s := modes(Statement{Kind: Set, Name: "session_characteristics"}, tokens)
	switch {
	case s.ReadOnly:
		s.Name, s.Value = "default_transaction_read_only", "on"
	case s.ReadWrite:
		s.Name, s.Value = "default_transaction_read_only", "off"
	}
	return s
}

func reset(c cursor) Statement {
	switch {
	case c.accept("all"):
		return Statement{Kind: ResetAll}
	case c.peek(0).is("session") && c.peek(1).is("authorization"):
		return Statement{Kind: Reset, Name: "session_authorization"}
	case c.peek(0).is("time") && c.peek(1).is("zone"):
		return Statement{Kind: Reset, Name: "timezone"}
	}
	return Statement{Kind: Reset, Name: c.name()}
}

func discard(c cursor) Statement {
	if c.accept("all") {
		return Statement{Kind: Discard}
	}
	return Statement{}
}

func deallocate(c cursor) Statement {
	c.accept("prepare")
	if c.accept("all") {
		return Statement{Kind: Deallocate}
	}
	return Statement{Kind: Deallocate, Name: c.next().value}
}

// modes notes READ ONLY and READ WRITE among the tokens.
func modes(s Statement, tokens []token) Statement {
	for i := 0; i+1 < len(tokens); i++ {
		if !tokens[i].is("read") {
			continue
		}
		s.ReadOnly = s.ReadOnly || tokens[i+1].is("only")
		s.ReadWrite = s.ReadWrite || tokens[i+1].is("write")
	}
	if s.ReadWrite {
		s.ReadOnly = false
	}
	return s
}

// cursor reads tokens from the front.
type cursor struct{ tokens []token }

func (c *cursor) peek(i int) token {
	if i >= len(c.tokens) {
		return token{}
	}
	return c.tokens[i]
}

func (c *cursor) next() token {
	t := c.peek(0)
	if len(c.tokens) > 0 {
		c.tokens = c.tokens[1:]
	}
	return t
}

func (c *cursor) accept(words ...string) bool {
	if !c.peek(0).is(words...) {
		return false
	}
	c.next()
	return true
}

func (c *cursor) acceptSymbol(s string) bool {
	if !c.peek(0).isSymbol(s) {
		return false
	}
	c.next()
	return true
}

// name reads a name that may be qualified. Names of settings are not case
// sensitive, even if they are quoted.
func (c *cursor) name() string {
	name := strings.ToLower(c.next().value)
	for c.acceptSymbol(".") {
		name += "." + strings.ToLower(c.next().value)
	}
	return name
}

// value returns the only remaining token's value, or nothing if there are more.
func (c *cursor) value() string {
	if len(c.tokens) != 1 {
		return ""
	}
	return c.tokens[0].value
}
