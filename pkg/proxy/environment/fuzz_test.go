package environment_test

import (
	"bytes"
	"errors"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

// Guards against texts that crash the decoder, problems without a position in the text,
// accepted documents that violate the validation rules, and edits that change more than
// the added key.
func FuzzDecode(f *testing.F) {
	seeds, err := filepath.Glob("testdata/*/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range seeds {
		f.Add(readFile(f, seed))
	}
	verifier, err := environment.DeriveVerifier("new", []byte("salt of the test"))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := environment.Decode(text)
		if err != nil {
			checkProblems(t, text, err)
			return
		}
		if err := document.Validate(); err != nil {
			t.Fatalf("the accepted document is invalid: %v", err)
		}
		if len(document.Accounts) == 0 {
			return
		}
		edited, err := environment.AddKey(text, document.Accounts[0].ID, "fuzz-key", verifier)
		if err != nil {
			return
		}
		after, err := environment.Decode(edited)
		if err != nil {
			t.Fatalf("the edited document does not decode: %v", err)
		}
		keys := &after.Accounts[0].Keys
		*keys = (*keys)[:len(*keys)-1]
		if len(*keys) == 0 {
			*keys = document.Accounts[0].Keys
		}
		if !reflect.DeepEqual(after, document) {
			t.Fatalf("the edit changed more than the key:\n%v", environment.Diff(document, after))
		}
	})
}

func checkProblems(t *testing.T, text []byte, err error) {
	var problems environment.Problems
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("the error is no list of problems: %v", err)
	}
	lines := bytes.Split(text, []byte("\n"))
	for _, p := range problems {
		if p.Line < 1 || p.Line > len(lines) || p.Column < 1 || p.Value == "" || p.Want == "" {
			t.Fatalf("problem %+v is incomplete or outside the text of %d lines", p, len(lines))
		}
		if p.String() != proxy.Redact(p.String()) && p.Want != proxy.VerifierFormat {
			t.Fatalf("the problem contains a secret: %s", p)
		}
	}
}
