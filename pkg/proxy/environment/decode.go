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

// MaxSize is the limit on a document's text, in bytes.
const MaxSize = proxy.MaxObjectSize

// Decode reads a document and checks it. The error is Problems with every fault
// found; a text that is not well-formed YAML has only its first syntax error.
func Decode(text []byte) (*proxy.Document, error) {
	document, _, err := decode(text)
	return document, err
}

// decode also returns the root of the syntax tree.
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
		r.place(violations)
	}
	if len(r.problems) > 0 {
		r.problems.sort()
		return nil, nil, r.problems
	}
	return document, root, nil
}

// parse returns the root node of the text's only YAML document.
func parse(text []byte) (ast.Node, Problems) {
	if problem := checkText(text); problem != nil {
		return nil, Problems{*problem}
	}
	// The parser counts a line break of two characters after a comment as two.
	text = bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n"))
	if problems := scan(text); len(problems) > 0 {
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
			at := positionOf(document.Body)
			return nil, Problems{{Line: at.line, Column: at.column, Value: "a second YAML document", Want: "one"}}
		}
		root = document.Body
	}
	if root == nil {
		return nil, Problems{{Line: 1, Column: 1, Value: "an empty document", Want: "a mapping"}}
	}
	return root, nil
}

// checkText refuses what the parser should not be given.
func checkText(text []byte) *Problem {
	if len(text) > MaxSize {
		return &Problem{Line: 1, Column: 1, Value: fmt.Sprintf("%d bytes", len(text)), Want: fmt.Sprintf("at most %d bytes", MaxSize)}
	}
	line, column := 1, 0
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		column++
		at := Problem{Line: line, Column: column}
		switch {
		case r == utf8.RuneError && size == 1:
			at.Value, at.Want = fmt.Sprintf("byte 0x%02x", text[i]), "UTF-8"
			return &at
		case r == '\r' && bytes.HasPrefix(text[i:], []byte("\r\n")):
		case r < ' ' && r != '\n' && r != '\t', r == 0x7f:
			at.Value, at.Want = fmt.Sprintf("control character 0x%02x", r), "printable text"
			return &at
		case r == '\n':
			line, column = line+1, 0
		}
		i += size
	}
	return nil
}

// syntaxProblem describes a parser's error without the source lines that the
// parser would print, because they may hold verifiers.
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
