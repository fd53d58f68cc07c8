package containment_test

import (
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/containment"
)

// table is state that several goroutines share.
type table struct {
	mu      sync.Mutex
	entries map[string]int
}

func (t *table) change(panics bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if panics {
		t.entries["a"]++ // the map is nil
	}
}

var shared = []string{"github.com/auburnyoke/auburnyoke/internal/containment_test.(*table)"}

// Guards against one input that ends the process, and against an error that does not
// tell where the panic was.
func TestCallReturnsPanicsAsErrors(t *testing.T) {
	is := is.New(t)
	err := containment.Call(func() error { panic("odd input") })
	is.True(errors.Is(err, containment.ErrPanic))
	is.True(strings.Contains(err.Error(), "odd input"))
	is.True(strings.Contains(err.Error(), "containment_test.go"))
	failure := errors.New("failure")
	is.Equal(containment.Call(func() error { return failure }), failure)
	is.NoErr(containment.Call(func() error { return nil }))
}

// Guards against an unexpected state of one session that ends the process with all the
// others, and against serving on from a table that was changed in part.
func TestGuard(t *testing.T) {
	tests := map[string]struct {
		work      func(t *table)
		contained bool
	}{
		"no panic":                           {func(t *table) { t.change(false) }, false},
		"panic of the session":               {func(*table) { panic("odd state") }, true},
		"panic after the table was used":     {func(t *table) { t.change(false); panic("odd state") }, true},
		"panic in the table":                 {func(t *table) { t.change(true) }, false},
		"nil pointer in a call of the table": {func(*table) { (*table)(nil).change(false) }, false},
		"panic while cleaning up": {func(t *table) {
			defer func() { t.change(true) }()
			panic("odd state")
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			contained := 0
			guard := containment.Guard{Shared: shared, OnPanic: func(value any, stack []byte) {
				is.Equal(value, "odd state")
				is.True(strings.Contains(string(stack), "containment_test.go"))
				contained++
			}}
			var passedOn any
			func() {
				defer func() { passedOn = recover() }()
				guard.Run(func() { test.work(&table{}) })
			}()
			is.Equal(contained == 1, test.contained)
			is.Equal(passedOn != nil, name != "no panic" && !test.contained)
		})
	}
}
