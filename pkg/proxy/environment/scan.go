package environment

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// Bounds of the syntax. The parser recurses for each level of nesting and takes
// quadratic time for the keys of one mapping, so that texts of a few hundred
// kilobytes could exhaust memory or keep a processor busy for minutes.
// Documents need four levels and ten keys.
const (
	maxNesting = 32
	maxIndent  = 128
	maxKeys    = 64
	// maxSyntax ends the scan of a text that is no document at all.
	maxSyntax = 100
)

// unsupported names the parts of YAML that documents cannot use. Without
// aliases the text cannot expand to more than its own size.
var unsupported = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.TagType:        "a tag",
	token.MergeKeyType:   "a merge key",
	token.MappingKeyType: "a complex key",
	token.DirectiveType:  "a directive",
}

// scanner checks the bounds of the syntax on the tokens, before the parser.
type scanner struct {
	problems Problems
	// flow holds the number of keys of each open bracket.
	flow []int
	// block holds the open block mappings, outermost first.
	block []blockMapping
}

type blockMapping struct{ column, keys int }

// scan returns the problems that keep the parser from reading the text.
func scan(text []byte) Problems {
	s := &scanner{}
	for _, t := range lexer.Tokenize(string(text)) {
		if !s.token(t) || len(s.problems) == maxSyntax {
			break
		}
	}
	return s.problems
}

// token checks one token and tells whether to go on.
func (s *scanner) token(t *token.Token) bool {
	if name, ok := unsupported[t.Type]; ok {
		s.add(t, name, "plain YAML without anchors, aliases, tags, merge keys, complex keys and directives")
	}
	switch t.Type {
	case token.MappingStartType, token.SequenceStartType:
		s.flow = append(s.flow, 0)
		if len(s.flow) > maxNesting {
			return s.add(t, "deep nesting", fmt.Sprintf("at most %d brackets within one another", maxNesting))
		}
	case token.MappingEndType, token.SequenceEndType:
		s.flow = s.flow[:max(len(s.flow)-1, 0)]
	case token.SequenceEntryType:
		s.leave(t.Position.Column)
		return s.indent(t)
	case token.MappingValueType:
		return s.key(t)
	}
	return true
}

// key counts the keys of the innermost mapping at the colon after a key.
func (s *scanner) key(colon *token.Token) bool {
	if depth := len(s.flow); depth > 0 {
		s.flow[depth-1]++
		return s.count(colon, s.flow[depth-1])
	}
	key := colon
	if colon.Prev != nil {
		key = colon.Prev
	}
	column := key.Position.Column
	s.leave(column)
	if last := len(s.block) - 1; last >= 0 && s.block[last].column == column {
		s.block[last].keys++
		return s.count(key, s.block[last].keys)
	}
	s.block = append(s.block, blockMapping{column: column, keys: 1})
	return s.indent(key)
}

// leave closes the block mappings to the right of column.
func (s *scanner) leave(column int) {
	for len(s.block) > 0 && s.block[len(s.block)-1].column > column {
		s.block = s.block[:len(s.block)-1]
	}
}

func (s *scanner) count(t *token.Token, keys int) bool {
	if keys > maxKeys {
		return s.add(t, "a mapping of more keys", fmt.Sprintf("at most %d keys in a mapping", maxKeys))
	}
	return true
}

func (s *scanner) indent(t *token.Token) bool {
	if len(s.flow) == 0 && t.Position.Column > maxIndent {
		return s.add(t, "deep nesting", fmt.Sprintf("an indentation of at most %d columns", maxIndent))
	}
	return true
}

// add appends a problem and returns false.
func (s *scanner) add(t *token.Token, value, want string) bool {
	s.problems = append(s.problems, Problem{
		Line: t.Position.Line, Column: t.Position.Column, Value: value, Want: want,
	})
	return false
}
