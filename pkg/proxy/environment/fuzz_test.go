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

// Guards against texts that crash the decoder, problems without a place in the
// text, accepted documents that break the rules, and edits that damage a
// document.
func FuzzDecode(f *testing.F) {
	seeds, err := filepath.Glob("testdata/*/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range seeds {
		f.Add(read(f, seed))
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
			t.Fatalf("accepted document: %v", err)
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
			t.Fatalf("edited document: %v", err)
		}
		keys := &after.Accounts[0].Keys
		*keys = (*keys)[:len(*keys)-1]
		if len(*keys) == 0 {
			*keys = document.Accounts[0].Keys
		}
		if !reflect.DeepEqual(after, document) {
			t.Fatalf("the edit changed %v", environment.Diff(document, after))
		}
	})
}

func checkProblems(t *testing.T, text []byte, err error) {
	var problems environment.Problems
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("not a list of problems: %v", err)
	}
	lines := bytes.Split(text, []byte("\n"))
	for _, p := range problems {
		if p.Line < 1 || p.Line > len(lines) || p.Column < 1 || p.Value == "" || p.Want == "" {
			t.Fatalf("problem %+v in a text of %d lines", p, len(lines))
		}
		if p.String() != proxy.Redact(p.String()) && p.Want != proxy.VerifierFormat {
			t.Fatalf("problem shows a secret: %s", p)
		}
	}
}
