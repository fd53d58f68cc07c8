// Package seeded makes randomised tests give the same verdict on every run.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with a fixed seed of pgregory.net/rapid. The
// flag -rapid.seed on the command line has precedence.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
