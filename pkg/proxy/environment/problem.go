package environment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Problem is an error in a document's text.
type Problem struct {
	// Line and Column count from one.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path identifies the value, in the format of proxy.Violation. It is empty for
	// a syntax error.
	Path string `json:"path,omitempty"`
	// Value is the rejected value, without verifiers and keys.
	Value string `json:"value"`
	// Want describes what is allowed.
	Want string `json:"want"`
}

// String describes the problem in one line.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d, column %d: %s: want %s", p.Line, p.Column, p.Value, p.Want)
	}
	return fmt.Sprintf("line %d, column %d: %s: %s: want %s", p.Line, p.Column, p.Path, p.Value, p.Want)
}

// Problems lists all errors in a document, ordered by line and column.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// addViolations converts violations of the validation rules into problems with a
// position in the text. A value that could not be read is not reported a second time.
func (r *reader) addViolations(violations proxy.Violations) {
	for _, v := range violations {
		if r.alreadyReported(v.Path) {
			continue
		}
		value := v.Value
		pos, ok := r.positions[v.Path]
		if !ok {
			value = "missing"
			pos = r.enclosingPosition(v.Path)
		}
		r.problems = append(r.problems, Problem{Line: pos.line, Column: pos.column, Path: v.Path, Value: value, Want: v.Want})
	}
}

// alreadyReported reports whether the value at path, or an object that contains it,
// could not be read.
func (r *reader) alreadyReported(path string) bool {
	for ; path != ""; path = parentPath(path) {
		if r.failed[path] {
			return true
		}
	}
	return false
}

// enclosingPosition returns the position of the innermost object that would contain
// a value missing in the text.
func (r *reader) enclosingPosition(path string) position {
	for path != "" {
		path = parentPath(path)
		if pos, ok := r.positions[path]; ok {
			return pos
		}
	}
	return position{line: 1, column: 1}
}

// parentPath removes the last name or index from a path.
func parentPath(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end < 0 {
		return ""
	}
	return path[:end]
}
