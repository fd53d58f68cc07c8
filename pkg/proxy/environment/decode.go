package environment

import (
	"bytes"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// MaxDocumentSize is the largest allowed text of a document, in bytes.
const MaxDocumentSize = proxy.MaxObjectSize

// Decode parses and validates a document. The error is of type Problems and lists
// every problem found. For malformed YAML it contains only the first syntax error.
func Decode(text []byte) (*proxy.Document, error) {
	document, _, err := decode(text)
	return document, err
}

// decode is Decode and also returns the root of the syntax tree.
func decode(text []byte) (*proxy.Document, ast.Node, error) {
	root, problems := parse(text)
	if len(problems) > 0 {
		return nil, nil, problems
	}
	r := &reader{positions: map[string]position{}, failed: map[string]bool{}}
	document := &proxy.Document{}
	r.read("", root, document)
	var violations proxy.Violations
	if err := document.Validate(); errors.As(err, &violations) {
		r.addViolations(violations)
	}
	if len(r.problems) > 0 {
		r.problems.sort()
		return nil, nil, r.problems
	}
	return document, root, nil
}

// parse returns the root node of a text with exactly one YAML document.
func parse(text []byte) (ast.Node, Problems) {
	if problem := checkText(text); problem != nil {
		return nil, Problems{*problem}
	}
	// The parser counts CRLF after a comment as two line breaks, which would shift
	// the reported positions.
	text = bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n"))
	if problems := checkSyntax(text); len(problems) > 0 {
		return nil, problems
	}
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, Problems{syntaxProblem(err)}
	}
	var root ast.Node
	for _, document := range file.Docs {
		if document.Body == nil {
			continue
		}
		if root != nil {
			pos := positionOf(document.Body)
			return nil, Problems{{Line: pos.line, Column: pos.column, Value: "a second YAML document", Want: "one"}}
		}
		root = document.Body
	}
	if root == nil {
		return nil, Problems{{Line: 1, Column: 1, Value: "an empty document", Want: "a mapping"}}
	}
	return root, nil
}

// checkText returns a problem for a text that is too long, is not UTF-8 or contains
// control characters. Such a text must not reach the parser.
func checkText(text []byte) *Problem {
	if len(text) > MaxDocumentSize {
		return &Problem{Line: 1, Column: 1, Value: fmt.Sprintf("%d bytes", len(text)), Want: fmt.Sprintf("at most %d bytes", MaxDocumentSize)}
	}
	line, column := 1, 0
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		column++
		problem := Problem{Line: line, Column: column}
		switch {
		case r == utf8.RuneError && size == 1:
			problem.Value, problem.Want = fmt.Sprintf("byte 0x%02x", text[i]), "UTF-8"
			return &problem
		case r == '\r' && bytes.HasPrefix(text[i:], []byte("\r\n")):
		case r < ' ' && r != '\n' && r != '\t', r == 0x7f:
			problem.Value, problem.Want = fmt.Sprintf("control character 0x%02x", r), "printable text"
			return &problem
		case r == '\n':
			line, column = line+1, 0
		}
		i += size
	}
	return nil
}

// syntaxProblem converts an error of the parser. It omits the source lines that the
// parser would print, because they may contain verifiers.
func syntaxProblem(err error) Problem {
	problem := Problem{Line: 1, Column: 1, Value: "syntax error", Want: "well-formed YAML"}
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return problem
	}
	problem.Value = proxy.Redact(syntax.GetMessage())
	if token := syntax.GetToken(); token != nil && token.Position != nil {
		problem.Line, problem.Column = token.Position.Line, token.Position.Column
	}
	return problem
}
