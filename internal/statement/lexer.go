package statement

import "strings"

// tokenKind tells tokens apart as far as classification needs it.
type tokenKind uint8

const (
	word   tokenKind = iota + 1 // an unquoted identifier or keyword, in lower case
	quoted                      // a quoted identifier
	text                        // a string constant or a number
	symbol                      // any other single character
)

type token struct {
	kind  tokenKind
	value string // the identifier, the string's content or the character
	start int
	end   int
}

// is reports whether t is one of the given unquoted words.
func (t token) is(words ...string) bool {
	if t.kind != word {
		return false
	}
	for _, w := range words {
		if t.value == w {
			return true
		}
	}
	return false
}

// names reports whether t is an identifier, quoted or not, with the given name.
func (t token) names(name string) bool {
	return (t.kind == word || t.kind == quoted) && t.value == name
}

func (t token) isSymbol(s string) bool { return t.kind == symbol && t.value == s }

// lexer splits SQL text into tokens. Unterminated constants and comments end
// with the text.
type lexer struct {
	input string
	at    int
}

// next returns the next token, or false at the end of the text.
func (l *lexer) next() (token, bool) {
	l.skip()
	if l.at >= len(l.input) {
		return token{}, false
	}
	start := l.at
	t := l.scan()
	t.start = start
	t.end = l.at
	return t, true
}

func (l *lexer) scan() token {
	c := l.input[l.at]
	switch {
	case c == '\'':
		return token{kind: text, value: l.quoted('\'', false)}
	case c == '"':
		return token{kind: quoted, value: l.quoted('"', false)}
	case c == '$':
		return l.dollar()
	case isDigit(c):
		return l.number()
	case isLetter(c):
		return l.word()
	}
	l.at++
	return token{kind: symbol, value: l.input[l.at-1 : l.at]}
}

// skip moves past white space and comments. Block comments nest.
func (l *lexer) skip() {
	for l.at < len(l.input) {
		rest := l.input[l.at:]
		switch {
		case isSpace(rest[0]):
			l.at++
		case strings.HasPrefix(rest, "--"):
			l.lineComment()
		case strings.HasPrefix(rest, "/*"):
			l.blockComment()
		default:
			return
		}
	}
}

func (l *lexer) lineComment() {
	end := strings.IndexAny(l.input[l.at:], "\r\n")
	if end < 0 {
		l.at = len(l.input)
		return
	}
	l.at += end
}

func (l *lexer) blockComment() {
	depth := 0
	for l.at < len(l.input) {
		rest := l.input[l.at:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.at += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.at += 2
		default:
			l.at++
		}
		if depth == 0 {
			return
		}
	}
}

// quoted reads a constant between quotes, where a doubled quote stands for one
// and, with escapes, a backslash protects the next character.
func (l *lexer) quoted(quote byte, escapes bool) string {
	var content strings.Builder
	l.at++
	for l.at < len(l.input) {
		c := l.input[l.at]
		l.at++
		switch {
		case escapes && c == '\\' && l.at < len(l.input):
			content.WriteByte(l.input[l.at])
			l.at++
		case c != quote:
			content.WriteByte(c)
		case l.at < len(l.input) && l.input[l.at] == quote:
			content.WriteByte(quote)
			l.at++
		default:
			return content.String()
		}
	}
	return content.String()
}

// dollar reads a dollar-quoted string, a parameter or a lone dollar sign.
func (l *lexer) dollar() token {
	end := l.at + 1
	for end < len(l.input) && (isLetter(l.input[end]) || isDigit(l.input[end])) {
		end++
	}
	isTag := end == l.at+1 || !isDigit(l.input[l.at+1])
	if end < len(l.input) && l.input[end] == '$' && isTag {
		tag := l.input[l.at : end+1]
		l.at = end + 1
		length := strings.Index(l.input[l.at:], tag)
		if length < 0 {
			content := l.input[l.at:]
			l.at = len(l.input)
			return token{kind: text, value: content}
		}
		content := l.input[l.at : l.at+length]
		l.at += length + len(tag)
		return token{kind: text, value: content}
	}
	l.at++
	return token{kind: symbol, value: "$"}
}

func (l *lexer) number() token {
	start := l.at
	for l.at < len(l.input) && (isDigit(l.input[l.at]) || isLetter(l.input[l.at]) || l.input[l.at] == '.') {
		l.at++
	}
	return token{kind: text, value: l.input[start:l.at]}
}

// word reads an identifier, or a string or identifier with a prefix such as E.
func (l *lexer) word() token {
	start := l.at
	for l.at < len(l.input) && isPart(l.input[l.at]) {
		l.at++
	}
	value := strings.ToLower(l.input[start:l.at])
	if l.at == len(l.input) {
		return token{kind: word, value: value}
	}
	switch {
	case l.input[l.at] == '\'' && value == "e":
		return token{kind: text, value: l.quoted('\'', true)}
	case l.input[l.at] == '\'' && (value == "b" || value == "x" || value == "n"):
		return token{kind: text, value: l.quoted('\'', false)}
	case value == "u" && strings.HasPrefix(l.input[l.at:], "&'"):
		l.at++
		return token{kind: text, value: l.quoted('\'', false)}
	case value == "u" && strings.HasPrefix(l.input[l.at:], "&\""):
		l.at++
		return token{kind: quoted, value: l.quoted('"', false)}
	}
	return token{kind: word, value: value}
}

func isSpace(c byte) bool {
	return c == ' ' || c >= '\t' && c <= '\r'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isLetter includes all bytes of multi-byte characters, as PostgreSQL does.
func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isPart(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' }
