package failover_test

import (
	"testing"

	"github.com/auburnyoke/auburnyoke/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }
