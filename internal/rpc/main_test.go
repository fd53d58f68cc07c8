package rpc_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines of streams, acquired connections and monitors that still run
// after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
