package statement

import "strings"

// Kind describes the effect of a statement on its session, as far as it matters to a
// proxy.
type Kind uint8

// The kinds of statements.
const (
	Other Kind = iota
	// Begin starts a transaction.
	Begin
	// Commit and Rollback end a transaction.
	Commit
	Rollback
	// Savepoint defines the savepoint Name. RollbackTo rolls back to it, which also
	// restores the settings that were in effect when it was defined.
	Savepoint
	RollbackTo
	// Set changes the setting Name for the session.
	Set
	// Reset sets the setting Name to its initial value.
	Reset
	// ResetAll sets all settings to their initial values.
	ResetAll
	// Discard drops all of the session's state.
	Discard
	// Deallocate drops the prepared statement Name, or all of them if Name is empty.
	Deallocate
	// Refused statements must not be executed: they leave state on the connection
	// that cannot be restored, or their outcome cannot be confirmed. Reason names
	// the unsupported feature.
	Refused
)

// Statement is one statement of an SQL text.
type Statement struct {
	Kind Kind
	// Name is folded to lower case unless it was quoted.
	Name string
	// Value is the new value of a setting, empty if it is not a single token.
	Value string
	// Text is the statement without the semicolon and without comments before or
	// after it.
	Text string
	// ReadOnly and ReadWrite report the access mode that the statement sets for
	// transactions. At most one of them is true.
	ReadOnly  bool
	ReadWrite bool
	// Reason is set for Refused statements only.
	Reason string
}

// Classify returns the statements of a text in order. It skips empty statements.
func Classify(input string) []Statement {
	var statements []Statement
	l := &lexer{input: input}
	for {
		tokens, reason, more := l.nextStatement()
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

// Only the first and the last tokens of a statement with more than maxTokens are kept,
// so that memory use does not exceed a small multiple of the text's length.
const (
	headTokens = 128
	tailTokens = 16
	maxTokens  = 1024
)

// dropMiddle returns the first and the last tokens and, if the tokens match a refused
// pattern, the reason to refuse the statement. A separator replaces the dropped tokens so
// that no pattern matches across the gap.
func dropMiddle(tokens []token) ([]token, string) {
	reason := findRefused(tokens)
	tail := tokens[len(tokens)-tailTokens:]
	separator := token{kind: symbol, value: "...", start: tail[0].start, end: tail[0].start}
	return append(append(tokens[:headTokens], separator), tail...), reason
}

// nextStatement returns the tokens up to a semicolon, the reason to refuse the statement
// because of tokens that were dropped, and whether text may follow. A function body
// (BEGIN ATOMIC ... END) with its semicolons is part of the statement that contains it.
func (l *lexer) nextStatement() (tokens []token, reason string, more bool) {
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
			if tokens, found = dropMiddle(tokens); found != "" {
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

// classify classifies one statement, which must have at least one token. It leaves Text
// empty.
func classify(tokens []token) Statement {
	if reason := refusalReason(tokens); reason != "" {
		return Statement{Kind: Refused, Reason: reason}
	}
	r := tokenReader{tokens}
	switch first := r.next(); {
	case first.is("begin"), first.is("start") && r.peek(0).is("transaction"):
		return withAccessMode(Statement{Kind: Begin}, tokens)
	case first.is("commit", "end"):
		if r.peek(0).is("prepared") {
			return Statement{}
		}
		return Statement{Kind: Commit}
	case first.is("abort"):
		return Statement{Kind: Rollback}
	case first.is("rollback"):
		return rollback(r)
	case first.is("prepare") && r.peek(0).is("transaction"):
		return Statement{Kind: Commit}
	case first.is("savepoint"):
		return Statement{Kind: Savepoint, Name: r.next().value}
	case first.is("set"):
		return set(r, tokens)
	case first.is("reset"):
		return reset(r)
	case first.is("discard"):
		return discard(r)
	case first.is("deallocate"):
		return deallocate(r)
	}
	return Statement{}
}

func rollback(r tokenReader) Statement {
	if r.peek(0).is("prepared") {
		return Statement{}
	}
	r.accept("work", "transaction")
	if !r.accept("to") {
		return Statement{Kind: Rollback}
	}
	r.accept("savepoint")
	return Statement{Kind: RollbackTo, Name: r.next().value}
}

// set classifies SET. Changes for the current transaction only are of kind Other.
func set(r tokenReader, tokens []token) Statement {
	if r.accept("local") || r.peek(0).is("constraints") {
		return withAccessMode(Statement{}, tokens)
	}
	if r.accept("transaction") {
		return withAccessMode(Statement{}, tokens)
	}
	if r.accept("session") {
		switch {
		case r.accept("characteristics"):
			return characteristics(tokens)
		case r.accept("authorization"):
			return Statement{Kind: Set, Name: "session_authorization", Value: r.value()}
		}
	}
	switch {
	case r.accept("time"):
		r.accept("zone")
		return Statement{Kind: Set, Name: "timezone", Value: r.value()}
	case r.accept("names"):
		return Statement{Kind: Set, Name: "client_encoding", Value: r.value()}
	case r.accept("schema"):
		return Statement{Kind: Set, Name: "search_path", Value: r.value()}
	case r.accept("role"):
		return Statement{Kind: Set, Name: "role", Value: r.value()}
	}
	name := r.name()
	if !r.accept("to") && !r.acceptSymbol("=") {
		return Statement{}
	}
	if r.peek(0).is("default") {
		return Statement{Kind: Reset, Name: name}
	}
	if strings.HasPrefix(name, "transaction_") {
		return transactionSetting(name, r.value())
	}
	return Statement{Kind: Set, Name: name, Value: r.value()}
}

// transactionSetting classifies SET of a setting that only applies to the current
// transaction.
func transactionSetting(name, value string) Statement {
	if name != "transaction_read_only" {
		return Statement{}
	}
	return Statement{ReadOnly: IsOn(value), ReadWrite: !IsOn(value)}
}

// IsOn reports whether the value of a boolean setting means true. Like PostgreSQL, it
// accepts prefixes of the words true and yes.
func IsOn(value string) bool {
	value = strings.ToLower(value)
	if value == "" {
		return false
	}
	return value == "1" || value == "on" || strings.HasPrefix("true", value) || strings.HasPrefix("yes", value)
}

// characteristics classifies SET SESSION CHARACTERISTICS AS TRANSACTION, which changes
// default_transaction_read_only and similar settings.
func characteristics(tokens []token) Statement {
	s := withAccessMode(Statement{Kind: Set, Name: "session_characteristics"}, tokens)
	switch {
	case s.ReadOnly:
		s.Name, s.Value = "default_transaction_read_only", "on"
	case s.ReadWrite:
		s.Name, s.Value = "default_transaction_read_only", "off"
	}
	return s
}

func reset(r tokenReader) Statement {
	switch {
	case r.accept("all"):
		return Statement{Kind: ResetAll}
	case r.peek(0).is("session") && r.peek(1).is("authorization"):
		return Statement{Kind: Reset, Name: "session_authorization"}
	case r.peek(0).is("time") && r.peek(1).is("zone"):
		return Statement{Kind: Reset, Name: "timezone"}
	}
	return Statement{Kind: Reset, Name: r.name()}
}

func discard(r tokenReader) Statement {
	if r.accept("all") {
		return Statement{Kind: Discard}
	}
	return Statement{}
}

func deallocate(r tokenReader) Statement {
	r.accept("prepare")
	if r.accept("all") {
		return Statement{Kind: Deallocate}
	}
	return Statement{Kind: Deallocate, Name: r.next().value}
}

// withAccessMode returns s with ReadOnly or ReadWrite set if READ ONLY or READ WRITE
// occurs among the tokens. READ WRITE takes precedence.
func withAccessMode(s Statement, tokens []token) Statement {
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

// tokenReader consumes tokens from the front.
type tokenReader struct{ tokens []token }

func (r *tokenReader) peek(i int) token {
	if i >= len(r.tokens) {
		return token{}
	}
	return r.tokens[i]
}

func (r *tokenReader) next() token {
	t := r.peek(0)
	if len(r.tokens) > 0 {
		r.tokens = r.tokens[1:]
	}
	return t
}

func (r *tokenReader) accept(words ...string) bool {
	if !r.peek(0).is(words...) {
		return false
	}
	r.next()
	return true
}

func (r *tokenReader) acceptSymbol(s string) bool {
	if !r.peek(0).isSymbol(s) {
		return false
	}
	r.next()
	return true
}

// name reads the name of a setting, which may be qualified. It is folded to lower case
// even if it is quoted, because names of settings are not case-sensitive.
func (r *tokenReader) name() string {
	name := strings.ToLower(r.next().value)
	for r.acceptSymbol(".") {
		name += "." + strings.ToLower(r.next().value)
	}
	return name
}

// value returns the value of the remaining token, or an empty string unless exactly one
// token remains.
func (r *tokenReader) value() string {
	if len(r.tokens) != 1 {
		return ""
	}
	return r.tokens[0].value
}
