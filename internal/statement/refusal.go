package statement

import "slices"

// sessionLockFunctions acquire an advisory lock that is held until the session ends. The
// locks of the pg_advisory_xact_ functions end with the transaction and are supported.
var sessionLockFunctions = []string{
	"pg_advisory_lock",
	"pg_advisory_lock_shared",
	"pg_try_advisory_lock",
	"pg_try_advisory_lock_shared",
}

// refusalReason names the unsupported feature that a statement uses, in most cases one
// that leaves state on the connection. It is empty for supported statements.
func refusalReason(tokens []token) string {
	switch first := tokens[0]; {
	case first.is("listen"):
		return "LISTEN"
	case first.is("prepare") && !(tokenAt(tokens, 1).is("transaction") && tokenAt(tokens, 2).kind == constant):
		return "SQL PREPARE"
	case first.is("declare") && declaresHold(tokens):
		return "a cursor WITH HOLD"
	}
	if commitsAndChains(tokens) {
		return "COMMIT AND CHAIN"
	}
	return findRefused(tokens)
}

// findRefused returns the refusal reason for features that can occur anywhere in a
// statement, or an empty string.
func findRefused(tokens []token) string {
	for i, t := range tokens {
		switch {
		case t.is("create") && createsTemporary(tokens[i+1:]):
			return "a temporary table"
		case t.is("into") && isTemporaryTarget(tokens, i):
			return "a temporary table"
		case isSessionLock(t) && tokenAt(tokens, i+1).isSymbol("("):
			return "a session advisory lock"
		}
	}
	return ""
}

// commitsAndChains reports whether the statement is COMMIT AND CHAIN, which begins
// another transaction. Its commit cannot be confirmed, because the connection is not idle
// afterwards.
func commitsAndChains(tokens []token) bool {
	if !tokens[0].is("commit", "end") {
		return false
	}
	last := len(tokens) - 1
	return last > 1 && tokens[last].is("chain") && tokens[last-1].is("and")
}

func tokenAt(tokens []token, i int) token {
	r := tokenReader{tokens}
	return r.peek(i)
}

func isSessionLock(t token) bool {
	return (t.kind == word || t.kind == quoted) && slices.Contains(sessionLockFunctions, t.value)
}

// declaresHold reports whether a DECLARE statement has WITH HOLD before the cursor's
// query.
func declaresHold(tokens []token) bool {
	for i, t := range tokens {
		if t.is("for") {
			return false
		}
		if t.is("with") && tokenAt(tokens, i+1).is("hold") {
			return true
		}
	}
	return false
}

// createsTemporary reports whether the tokens after CREATE declare a temporary object or
// an object in the schema pg_temp.
func createsTemporary(tokens []token) bool {
	r := tokenReader{tokens}
	if r.accept("or") {
		r.accept("replace")
	}
	r.accept("local", "global")
	if r.peek(0).is("temp", "temporary") {
		return true
	}
	for i, t := range tokens {
		if t.is("as", "select") || t.isSymbol("(") {
			return false
		}
		if t.hasName("pg_temp") && tokenAt(tokens, i+1).isSymbol(".") {
			return true
		}
	}
	return false
}

// isTemporaryTarget reports whether the INTO at index into creates a temporary table, as in
// SELECT ... INTO TEMPORARY t. In INSERT and MERGE, the name of an ordinary table follows.
func isTemporaryTarget(tokens []token, into int) bool {
	if into > 0 && tokens[into-1].is("insert", "merge") {
		return false
	}
	r := tokenReader{tokens[into+1:]}
	r.accept("local", "global")
	return r.peek(0).is("temp", "temporary") && !r.peek(1).is("from")
}
