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

// describe writes statements as the files of testdata do.
func describe(statements []statement.Statement) string {
	var words []string
	for _, s := range statements {
		word := ""
		for name, kind := range kinds {
			if kind == s.Kind {
				word = name
			}
		}
		for _, part := range []string{s.Name, s.Value} {
			if part != "" {
				word += " " + part
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

// TestClassify guards against statements that leave state on a connection
// unnoticed, and against ordinary statements that are refused. Each case of the
// file is a text, the line "--", and what is found in the text.
func TestClassify(t *testing.T) {
	content, err := os.ReadFile(filepath.Join("testdata", "cases.txt"))
	is.New(t).NoErr(err)
	for _, test := range strings.Split(string(content), "\n\n") {
		text, want, ok := strings.Cut(strings.TrimSpace(test), "\n--\n")
		if !ok {
			t.Fatalf("case without a result: %q", test)
		}
		if got := describe(statement.Classify(text)); got != want {
			t.Errorf("%s\n got %s\nwant %s", text, got, want)
		}
	}
}

// TestLongStatement guards against memory that grows with a multiple of a
// statement's length, and against refused functions in its middle.
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

// FuzzClassify guards against texts that crash the lexer, and against
// statements that do not lie in the text in order.
func FuzzClassify(f *testing.F) {
	f.Add("begin; select 'a;b' /* c; */ -- d;\n; commit")
	f.Add("select $tag$ ; $tag$, E'\\';', U&\"x\" from t where a = $1")
	f.Fuzz(func(t *testing.T, text string) {
		rest := text
		for _, s := range statement.Classify(text) {
			at := strings.Index(rest, s.Text)
			if at < 0 || s.Text == "" {
				t.Fatalf("statement %q is not in the rest %q", s.Text, rest)
			}
			rest = rest[at+len(s.Text):]
		}
	})
}
