package statement_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/statement"
)

var kinds = map[string]statement.Kind{
	"other": statement.Other, "begin": statement.Begin, "commit": statement.Commit, "rollback": statement.Rollback,
	"savepoint": statement.Savepoint, "rollbackto": statement.RollbackTo, "set": statement.Set, "reset": statement.Reset,
	"resetall": statement.ResetAll, "discard": statement.Discard, "deallocate": statement.Deallocate, "refused": statement.Refused,
}

// describe formats statements in the notation of testdata/cases.txt.
func describe(statements []statement.Statement) string {
	var words []string
	for _, s := range statements {
		word := ""
		for name, kind := range kinds {
			if kind == s.Kind {
				word = name
			}
		}
		for _, operand := range []string{s.Name, s.Value} {
			if operand != "" {
				word += " " + operand
			}
		}
		if s.ReadOnly {
			word += " [read only]"
		}
		if s.ReadWrite {
			word += " [read write]"
		}
		words = append(words, word)
	}
	if len(words) == 0 {
		return "none"
	}
	return strings.Join(words, "; ")
}

// TestClassify guards against overlooking statements that leave state on a connection,
// and against refusing ordinary statements. Each case of the file consists of an SQL text, the
// line "--", and the statements expected in the text.
func TestClassify(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("testdata", "cases.txt"))
	is.New(t).NoErr(err)
	for _, testCase := range strings.Split(string(content), "\n\n") {
		text, want, ok := strings.Cut(strings.TrimSpace(testCase), "\n--\n")
		if !ok {
			t.Fatalf("case without an expected result: %q", testCase)
		}
		if got := describe(statement.Classify(text)); got != want {
			t.Errorf("%s\n got %s\nwant %s", text, got, want)
		}
	}
}

// TestLongStatement guards against allocations that grow with the length of a statement,
// and against overlooking a refused function in the middle of one, where tokens are
// dropped.
func TestLongStatement(t *testing.T) {
	is := is.New(t)
	long := "select " + strings.Repeat("1,", 100_000)
	is.Equal(describe(statement.Classify(long+"2; commit")), "other; commit")
	for n := 900; n < 1100; n++ {
		text := "select " + strings.Repeat("1,", n) + "pg_advisory_lock(1)" + strings.Repeat(",1", 2000)
		is.Equal(describe(statement.Classify(text)), "refused")
	}
	is.True(testing.AllocsPerRun(5, func() { statement.Classify(long) }) < 1000)
}

// FuzzClassify guards against texts that crash the lexer, and against statements whose
// Text does not occur in the input in order.
func FuzzClassify(f *testing.F) {
	f.Add("begin; select 'a;b' /* c; */ -- d;\n; commit")
	f.Add("select $tag$ ; $tag$, E'\\';', U&\"x\" from t where a = $1")
	f.Fuzz(func(t *testing.T, text string) {
		remaining := text
		for _, s := range statement.Classify(text) {
			index := strings.Index(remaining, s.Text)
			if index < 0 || s.Text == "" {
				t.Fatalf("statement %q does not occur in the remaining text %q", s.Text, remaining)
			}
			remaining = remaining[index+len(s.Text):]
		}
	})
}
