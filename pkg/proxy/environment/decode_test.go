package environment_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.FromSlash(path))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func readExample(t testing.TB, name string) string {
	return string(readFile(t, "../../../examples/"+name+".yaml"))
}

// Guards against problems with a wrong or missing position, problems that hide others,
// and messages that contain verifiers or keys. The golden files list the expected
// problems.
func TestDecodeReportsAllProblems(t *testing.T) {
	paths, err := filepath.Glob("testdata/document/*.yaml")
	is.New(t).NoErr(err)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			is := is.New(t)
			_, err := environment.Decode(readFile(t, path))
			is.True(err != nil)
			golden := strings.TrimSuffix(path, ".yaml") + ".txt"
			if os.Getenv("UPDATE_TESTDATA") != "" {
				is.NoErr(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o644))
			}
			is.Equal(err.Error()+"\n", string(readFile(t, golden)))
			is.True(!strings.Contains(err.Error(), "leak"))
			is.True(!strings.Contains(err.Error(), "pasted"))
		})
	}
}

// Guards against rejecting the example documents, and against missing defaults.
func TestDecodeExamples(t *testing.T) {
	for _, name := range []string{"loom-ledger", "sargabusz"} {
		is := is.New(t)
		document, err := environment.Decode([]byte(readExample(t, name)))
		is.NoErr(err)
		is.Equal(string(document.Environment), name)
		is.Equal(len(document.Accounts), 8)
		is.Equal(len(document.Groups), 3)
		is.True(document.Groups[0].Instances[0].Primary)
	}
	is := is.New(t)
	document, err := environment.Decode([]byte("environment: demo\naccounts:\n  - {id: a, rate: 2.5, burst: 1}\n"))
	is.NoErr(err)
	is.Equal(document.Isolation, proxy.DefaultIsolation)
	is.Equal(document.Accounts[0].Weight, proxy.DefaultWeight)
	is.Equal(document.Accounts[0].Rate, 2.5)
}

// Guards against texts that exhaust memory, stack or time in the parser, and against
// accepting texts that are no single YAML mapping.
func TestDecodeRefusesHostileTexts(t *testing.T) {
	texts := map[string]string{
		"size":     strings.Repeat("#", environment.MaxDocumentSize+1),
		"brackets": "environment: " + strings.Repeat("[", 1000),
		"blocks":   strings.Repeat("- ", 1000),
		"keys":     strings.Repeat("a: |\n", 1000),
		"flow":     "{" + strings.Repeat("a: 1, ", 1000) + "}",
		"binary":   "environment: \xff",
		"control":  "environment: \x00",
		"two":      "environment: a\n---\nenvironment: b\n",
		"empty":    "# nothing\n",
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			_, err := environment.Decode([]byte(text))
			is.New(t).True(err != nil)
		})
	}
}
