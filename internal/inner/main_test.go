package inner_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines of loans, streams and monitors that outlive them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
