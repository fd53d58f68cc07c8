package statement

import "strings"

// tokenKind distinguishes tokens as far as classification requires.
type tokenKind uint8

const (
	word     tokenKind = iota + 1 // an unquoted identifier or keyword, in lower case
	quoted                        // a quoted identifier
	constant                      // a string constant or a number
	symbol                        // any other single character
)

type token struct {
	kind  tokenKind
	value string // the identifier, the string's content or the character
	start int
	end   int
}

// is reports whether t is an unquoted word and one of the given ones.
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

// hasName reports whether t is an identifier, quoted or not, with the given name.
func (t token) hasName(name string) bool {
	return (t.kind == word || t.kind == quoted) && t.value == name
}

func (t token) isSymbol(s string) bool { return t.kind == symbol && t.value == s }

// lexer splits SQL text into tokens. An unterminated constant or comment extends to the
// end of the text.
type lexer struct {
	input string
	// pos is the byte offset of the next character in input.
	pos int
}

// next returns the next token, or false at the end of the text.
func (l *lexer) next() (token, bool) {
	l.skipSpace()
	if l.pos >= len(l.input) {
		return token{}, false
	}
	start := l.pos
	t := l.scan()
	t.start = start
	t.end = l.pos
	return t, true
}

func (l *lexer) scan() token {
	c := l.input[l.pos]
	switch {
	case c == '\'':
		return token{kind: constant, value: l.quoted('\'', false)}
	case c == '"':
		return token{kind: quoted, value: l.quoted('"', false)}
	case c == '$':
		return l.dollar()
	case isDigit(c):
		return l.number()
	case isLetter(c):
		return l.word()
	}
	l.pos++
	return token{kind: symbol, value: l.input[l.pos-1 : l.pos]}
}

// skipSpace skips white space and comments. Block comments can be nested.
func (l *lexer) skipSpace() {
	for l.pos < len(l.input) {
		rest := l.input[l.pos:]
		switch {
		case isSpace(rest[0]):
			l.pos++
		case strings.HasPrefix(rest, "--"):
			l.skipLineComment()
		case strings.HasPrefix(rest, "/*"):
			l.skipBlockComment()
		default:
			return
		}
	}
}

func (l *lexer) skipLineComment() {
	end := strings.IndexAny(l.input[l.pos:], "\r\n")
	if end < 0 {
		l.pos = len(l.input)
		return
	}
	l.pos += end
}

func (l *lexer) skipBlockComment() {
	depth := 0
	for l.pos < len(l.input) {
		rest := l.input[l.pos:]
		switch {
		case strings.HasPrefix(rest, "/*"):
			depth++
			l.pos += 2
		case strings.HasPrefix(rest, "*/"):
			depth--
			l.pos += 2
		default:
			l.pos++
		}
		if depth == 0 {
			return
		}
	}
}

// quoted reads a constant or an identifier between quotes and returns its content. A
// doubled quote stands for one quote. With escapes, a backslash escapes the character
// after it.
func (l *lexer) quoted(quote byte, escapes bool) string {
	var content strings.Builder
	l.pos++
	for l.pos < len(l.input) {
		c := l.input[l.pos]
		l.pos++
		switch {
		case escapes && c == '\\' && l.pos < len(l.input):
			content.WriteByte(l.input[l.pos])
			l.pos++
		case c != quote:
			content.WriteByte(c)
		case l.pos < len(l.input) && l.input[l.pos] == quote:
			content.WriteByte(quote)
			l.pos++
		default:
			return content.String()
		}
	}
	return content.String()
}

// dollar reads a dollar-quoted string, or else a single dollar sign, which may begin a
// parameter.
func (l *lexer) dollar() token {
	end := l.pos + 1
	for end < len(l.input) && (isLetter(l.input[end]) || isDigit(l.input[end])) {
		end++
	}
	isTag := end == l.pos+1 || !isDigit(l.input[l.pos+1])
	if end < len(l.input) && l.input[end] == '$' && isTag {
		tag := l.input[l.pos : end+1]
		l.pos = end + 1
		length := strings.Index(l.input[l.pos:], tag)
		if length < 0 {
			content := l.input[l.pos:]
			l.pos = len(l.input)
			return token{kind: constant, value: content}
		}
		content := l.input[l.pos : l.pos+length]
		l.pos += length + len(tag)
		return token{kind: constant, value: content}
	}
	l.pos++
	return token{kind: symbol, value: "$"}
}

func (l *lexer) number() token {
	start := l.pos
	for l.pos < len(l.input) && (isDigit(l.input[l.pos]) || isLetter(l.input[l.pos]) || l.input[l.pos] == '.') {
		l.pos++
	}
	return token{kind: constant, value: l.input[start:l.pos]}
}

// word reads an unquoted identifier or keyword, or a quoted string or identifier with a
// prefix such as E or U&.
func (l *lexer) word() token {
	start := l.pos
	for l.pos < len(l.input) && isIdentifierByte(l.input[l.pos]) {
		l.pos++
	}
	value := strings.ToLower(l.input[start:l.pos])
	if l.pos == len(l.input) {
		return token{kind: word, value: value}
	}
	switch {
	case l.input[l.pos] == '\'' && value == "e":
		return token{kind: constant, value: l.quoted('\'', true)}
	case l.input[l.pos] == '\'' && (value == "b" || value == "x" || value == "n"):
		return token{kind: constant, value: l.quoted('\'', false)}
	case value == "u" && strings.HasPrefix(l.input[l.pos:], "&'"):
		l.pos++
		return token{kind: constant, value: l.quoted('\'', false)}
	case value == "u" && strings.HasPrefix(l.input[l.pos:], "&\""):
		l.pos++
		return token{kind: quoted, value: l.quoted('"', false)}
	}
	return token{kind: word, value: value}
}

func isSpace(c byte) bool {
	return c == ' ' || c >= '\t' && c <= '\r'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isLetter reports whether c can begin an identifier. Like PostgreSQL, it accepts all
// bytes of multi-byte characters.
func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isIdentifierByte(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' }
