package environment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Problem is a fault of a document's text.
type Problem struct {
	// Line and Column count from one.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path leads to the value; see proxy.Violation. It is empty for a syntax
	// error.
	Path string `json:"path,omitempty"`
	// Value is the offending value, without verifiers and keys.
	Value string `json:"value"`
	// Want tells what is allowed.
	Want string `json:"want"`
}

// String returns the problem in one line.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d, column %d: %s: want %s", p.Line, p.Column, p.Value, p.Want)
	}
	return fmt.Sprintf("line %d, column %d: %s: %s: want %s", p.Line, p.Column, p.Path, p.Value, p.Want)
}

// Problems are all the faults of a document, ordered by line and column.
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

// place turns violations of the rules into problems of the text. A value that
// could not be read is not reported a second time.
func (r *reader) place(violations proxy.Violations) {
	for _, v := range violations {
		if r.unreadable(v.Path) {
			continue
		}
		value := v.Value
		at, ok := r.positions[v.Path]
		if !ok {
			value = "missing"
			at = r.enclosing(v.Path)
		}
		r.problems = append(r.problems, Problem{Line: at.line, Column: at.column, Path: v.Path, Value: value, Want: v.Want})
	}
}

// unreadable tells whether path or an object around it was reported already.
func (r *reader) unreadable(path string) bool {
	for ; path != ""; path = parent(path) {
		if r.failed[path] {
			return true
		}
	}
	return false
}

// enclosing returns the position of the innermost object around a value that
// is not in the text.
func (r *reader) enclosing(path string) position {
	for path != "" {
		path = parent(path)
		if at, ok := r.positions[path]; ok {
			return at
		}
	}
	return position{line: 1, column: 1}
}

// parent cuts the last name or index off a path.
func parent(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}
