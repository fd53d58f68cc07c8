package instance

import (
	"strings"
	"unicode/utf8"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	tokenWord
	tokenQuoted
	tokenString
	tokenNumber
	tokenParameter
	tokenSymbol
)

// token is a lexical element. Words are in lower case.
type token struct {
	kind tokenKind
	text string
}

// longSymbols lists the symbols of more than one character, longest first.
var longSymbols = []string{"||", "::", "<=", ">=", "<>", "!="}

// tokenize splits SQL text into tokens, ending with tokenEnd.
func tokenize(sql string) ([]token, error) {
	if !utf8.ValidString(sql) || strings.ContainsRune(sql, 0) {
		return nil, errorf(stateCharacter, "the statement is not valid UTF-8 without null bytes")
	}
	var tokens []token
	for {
		sql = skipBlank(sql)
		if sql == "" {
			return append(tokens, token{kind: tokenEnd}), nil
		}
		t, n, err := nextToken(sql)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
		sql = sql[n:]
	}
}

// skipBlank drops leading white space and comments.
func skipBlank(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n\f")
		switch {
		case strings.HasPrefix(sql, "--"):
			_, sql, _ = strings.Cut(sql, "\n")
		case strings.HasPrefix(sql, "/*"):
			_, sql, _ = strings.Cut(sql, "*/")
		default:
			return sql
		}
	}
}

// nextToken returns the first token of sql and its length.
func nextToken(sql string) (token, int, error) {
	c := sql[0]
	switch {
	case isLetter(c):
		n := prefixLength(sql, func(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' })
		return token{tokenWord, strings.ToLower(sql[:n])}, n, nil
	case isDigit(c):
		n := prefixLength(sql, func(c byte) bool { return isDigit(c) || c == '.' })
		return token{tokenNumber, sql[:n]}, n, nil
	case c == '$':
		n := 1 + prefixLength(sql[1:], isDigit)
		if n == 1 {
			return token{}, 0, errorf(proxy.FeatureNotSupported, "dollar-quoted strings are not supported")
		}
		return token{tokenParameter, sql[1:n]}, n, nil
	case c == '\'':
		return nextQuoted(sql, tokenString)
	case c == '"':
		return nextQuoted(sql, tokenQuoted)
	}
	for _, s := range longSymbols {
		if strings.HasPrefix(sql, s) {
			return token{tokenSymbol, s}, len(s), nil
		}
	}
	if strings.IndexByte("()+-*/%,;=<>.", c) < 0 {
		return token{}, 0, errorf(stateSyntax, "syntax error at or near %q", string(c))
	}
	return token{tokenSymbol, string(c)}, 1, nil
}

// nextQuoted reads a string or quoted identifier, in which a doubled quote stands
// for one quote.
func nextQuoted(sql string, kind tokenKind) (token, int, error) {
	quote := sql[0]
	var text strings.Builder
	for i := 1; i < len(sql); i++ {
		if sql[i] != quote {
			text.WriteByte(sql[i])
			continue
		}
		if i+1 < len(sql) && sql[i+1] == quote {
			text.WriteByte(quote)
			i++
			continue
		}
		return token{kind, text.String()}, i + 1, nil
	}
	return token{}, 0, errorf(stateSyntax, "unterminated quoted text")
}

// prefixLength returns the length of the longest prefix of s whose bytes satisfy in.
func prefixLength(s string, in func(byte) bool) int {
	n := 0
	for n < len(s) && in(s[n]) {
		n++
	}
	return n
}

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= utf8.RuneSelf
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
