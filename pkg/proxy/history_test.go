package proxy_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Guards against a state from before the store was restored that is taken for the later one
// since its version is higher, and against an order between equal places.
func TestVersionsOfALaterEraComeAfter(t *testing.T) {
	is := is.New(t)
	first, second := proxy.StoreVersion{Era: 1, Version: 105}, proxy.StoreVersion{Era: 2, Version: 93}
	is.True(second.After(first))
	is.True(!first.After(second))
	is.True(!second.After(second))
	is.True(proxy.StoreVersion{Era: 2, Version: 94}.After(second))
	is.True(proxy.StoreVersion{Version: 2}.After(proxy.StoreVersion{Version: 1})) // a store without eras
}

// Guards against a fencing token that falls in a new era, and against one that changes for a store
// without eras.
func TestFenceRisesWithTheEra(t *testing.T) {
	is := is.New(t)
	first, second := proxy.StoreVersion{Era: 1, Version: 1 << 39}, proxy.StoreVersion{Era: 2, Version: 1}
	is.True(first.Fence() < second.Fence())
	is.Equal(proxy.StoreVersion{Version: 105}.Fence(), uint64(105))
}
