package allowance_test

import (
	"fmt"
	"testing"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// BenchmarkConfigure measures how long a host takes to apply a configuration with many
// hosts and accounts.
func BenchmarkConfigure(b *testing.B) {
	const hosts, accounts = 300, 335
	limits := make(map[proxy.AccountID]directory.Account)
	for n := range accounts {
		id := proxy.AccountID(fmt.Sprintf("account-%03d", n))
		limits[id] = directory.Account{ID: id, Rate: float64(6 + n%20), Burst: 10}
	}
	ids := make([]proxy.HostID, hosts)
	for n := range ids {
		ids[n] = proxy.HostID(fmt.Sprintf("host-%03d", n))
	}
	table := &allowance.Table{Self: ids[0]}
	now := proxy.Instant(0)
	revision := proxy.Revision(0)
	for b.Loop() {
		revision++
		table.Configure(now, revision, limits, ids, true)
	}
}
