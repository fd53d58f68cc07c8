package statement

import "slices"

// sessionLocks are the functions that take an advisory lock until the session
// ends. The pg_advisory_xact_ functions end with the transaction.
var sessionLocks = []string{
	"pg_advisory_lock",
	"pg_advisory_lock_shared",
	"pg_try_advisory_lock",
	"pg_try_advisory_lock_shared",
}

// refusal names what a proxy cannot support about a statement, mostly state that
// would stay on its connection. It returns nothing for other statements.
func refusal(tokens []token) string {
	switch first := tokens[0]; {
	case first.is("listen"):
		return "LISTEN"
	case first.is("prepare") && !(cursorAt(tokens, 1).is("transaction") && cursorAt(tokens, 2).kind == text):
		return "SQL PREPARE"
	case first.is("declare") && holds(tokens):
		return "a cursor WITH HOLD"
	}
	if chains(tokens) {
		return "COMMIT AND CHAIN"
	}
	return patterns(tokens)
}

// patterns finds what is refused anywhere in a statement.
func patterns(tokens []token) string {
	for i, t := range tokens {
		switch {
		case t.is("create") && createsTemporary(tokens[i+1:]):
			return "a temporary table"
		case t.is("into") && isTemporaryTarget(tokens, i):
			return "a temporary table"
		case isSessionLock(t) && cursorAt(tokens, i+1).isSymbol("("):
			return "a session advisory lock"
		}
	}
	return ""
}

// chains recognises a COMMIT that begins another transaction. It cannot be
// confirmed: the connection is not idle afterwards.
func chains(tokens []token) bool {
	if !tokens[0].is("commit", "end") {
		return false
	}
	last := len(tokens) - 1
	return last > 1 && tokens[last].is("chain") && tokens[last-1].is("and")
}

func cursorAt(tokens []token, i int) token {
	c := cursor{tokens}
	return c.peek(i)
}

func isSessionLock(t token) bool {
	return (t.kind == word || t.kind == quoted) && slices.Contains(sessionLocks, t.value)
}

// holds finds WITH HOLD ahead of the cursor's query.
func holds(tokens []token) bool {
	for i, t := range tokens {
		if t.is("for") {
			return false
		}
		if t.is("with") && cursorAt(tokens, i+1).is("hold") {
			return true
		}
	}
	return false
}

// createsTemporary examines what follows CREATE: a temporary object, or one in
// the schema of temporary objects.
func createsTemporary(tokens []token) bool {
	c := cursor{tokens}
	if c.accept("or") {
		c.accept("replace")
	}
	c.accept("local", "global")
	if c.peek(0).is("temp", "temporary") {
		return true
	}
	for i, t := range tokens {
		if t.is("as", "select") || t.isSymbol("(") {
			return false
		}
		if t.names("pg_temp") && cursorAt(tokens, i+1).isSymbol(".") {
			return true
		}
	}
	return false
}

// isTemporaryTarget recognises SELECT ... INTO TEMPORARY t at the word INTO. In
// INSERT and MERGE the name of an ordinary table follows.
func isTemporaryTarget(tokens []token, into int) bool {
	if into > 0 && tokens[into-1].is("insert", "merge") {
		return false
	}
	c := cursor{tokens[into+1:]}
	c.accept("local", "global")
	return c.peek(0).is("temp", "temporary") && !c.peek(1).is("from")
}
