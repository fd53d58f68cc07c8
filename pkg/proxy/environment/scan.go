package environment

import (
	"fmt"

	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"
)

// Limits on the syntax. The parser recurses once per level of nesting and takes time
// quadratic in the number of keys of a mapping. Without these limits, a text of a few
// hundred kilobytes could exhaust memory or occupy a processor for minutes. Valid
// documents need four levels and ten keys.
const (
	maxFlowDepth     = 32
	maxIndentColumns = 128
	maxMappingKeys   = 64
	// maxSyntaxProblems stops the check of a text that is no document at all.
	maxSyntaxProblems = 100
)

// unsupported describes the YAML features that documents must not use. Without
// aliases, a text cannot expand to more than its own size.
var unsupported = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.TagType:        "a tag",
	token.MergeKeyType:   "a merge key",
	token.MappingKeyType: "a complex key",
	token.DirectiveType:  "a directive",
}

// scanner checks the limits on the syntax token by token, before the parser runs.
type scanner struct {
	problems Problems
	// flowKeyCounts contains the number of keys in each open bracket, outermost first.
	flowKeyCounts []int
	// blockMappings are the open block mappings, outermost first.
	blockMappings []blockMapping
}

type blockMapping struct{ column, keys int }

// checkSyntax returns the problems for which a text must not be passed to the parser.
func checkSyntax(text []byte) Problems {
	s := &scanner{}
	for _, t := range lexer.Tokenize(string(text)) {
		if !s.token(t) || len(s.problems) == maxSyntaxProblems {
			break
		}
	}
	return s.problems
}

// token checks one token and reports whether to continue.
func (s *scanner) token(t *token.Token) bool {
	if name, ok := unsupported[t.Type]; ok {
		s.addProblem(t, name, "plain YAML without anchors, aliases, tags, merge keys, complex keys and directives")
	}
	switch t.Type {
	case token.MappingStartType, token.SequenceStartType:
		s.flowKeyCounts = append(s.flowKeyCounts, 0)
		if len(s.flowKeyCounts) > maxFlowDepth {
			return s.addProblem(t, "deep nesting", fmt.Sprintf("at most %d brackets within one another", maxFlowDepth))
		}
	case token.MappingEndType, token.SequenceEndType:
		s.flowKeyCounts = s.flowKeyCounts[:max(len(s.flowKeyCounts)-1, 0)]
	case token.SequenceEntryType:
		s.closeBlocksRightOf(t.Position.Column)
		return s.checkIndent(t)
	case token.MappingValueType:
		return s.key(t)
	}
	return true
}

// key is called at the colon after a key. It counts the key in the innermost
// mapping and reports whether to continue.
func (s *scanner) key(colon *token.Token) bool {
	if depth := len(s.flowKeyCounts); depth > 0 {
		s.flowKeyCounts[depth-1]++
		return s.checkKeyCount(colon, s.flowKeyCounts[depth-1])
	}
	key := colon
	if colon.Prev != nil {
		key = colon.Prev
	}
	column := key.Position.Column
	s.closeBlocksRightOf(column)
	if last := len(s.blockMappings) - 1; last >= 0 && s.blockMappings[last].column == column {
		s.blockMappings[last].keys++
		return s.checkKeyCount(key, s.blockMappings[last].keys)
	}
	s.blockMappings = append(s.blockMappings, blockMapping{column: column, keys: 1})
	return s.checkIndent(key)
}

// closeBlocksRightOf closes the block mappings that start to the right of column.
func (s *scanner) closeBlocksRightOf(column int) {
	for len(s.blockMappings) > 0 && s.blockMappings[len(s.blockMappings)-1].column > column {
		s.blockMappings = s.blockMappings[:len(s.blockMappings)-1]
	}
}

func (s *scanner) checkKeyCount(t *token.Token, keys int) bool {
	if keys > maxMappingKeys {
		return s.addProblem(t, "a mapping of more keys", fmt.Sprintf("at most %d keys in a mapping", maxMappingKeys))
	}
	return true
}

func (s *scanner) checkIndent(t *token.Token) bool {
	if len(s.flowKeyCounts) == 0 && t.Position.Column > maxIndentColumns {
		return s.addProblem(t, "deep nesting", fmt.Sprintf("an indentation of at most %d columns", maxIndentColumns))
	}
	return true
}

// addProblem appends a problem and returns false, for callers that stop the check.
func (s *scanner) addProblem(t *token.Token, value, want string) bool {
	s.problems = append(s.problems, Problem{
		Line: t.Position.Line, Column: t.Position.Column, Value: value, Want: want,
	})
	return false
}
