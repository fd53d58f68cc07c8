// Package rapidtest makes tests with pgregory.net/rapid reproducible.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package with a fixed seed, so that every run gives the same
// result. The flag -rapid.seed on the command line takes precedence.
func Main(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
