package environment_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random schedules. The flag -rapid.seed on the
// command line has precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
