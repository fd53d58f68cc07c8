package configuration_test

import (
	"testing"

	"github.com/auburnyoke/auburnyoke/internal/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }
