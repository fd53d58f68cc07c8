package allowance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

const account proxy.AccountID = "clerks"

func accounts(rate, burst float64) map[proxy.AccountID]directory.Account {
	return map[proxy.AccountID]directory.Account{account: {ID: account, Rate: rate, Burst: burst}}
}

// Guards against hosts that together admit more than an account's rate and
// burst, however they lend tokens to each other and however many loans are lost.
func TestLoansNeverRaiseTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 4
		rate := float64(rapid.IntRange(1, 200).Draw(t, "rate"))
		burst := float64(rapid.IntRange(0, 200).Draw(t, "burst"))
		var tables [hosts]allowance.Table
		for n := range tables {
			tables[n].Configure(0, accounts(rate, burst), 1.0/hosts)
		}
		var now proxy.Instant
		admitted := 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			host := &tables[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			for range rapid.IntRange(0, 10).Draw(t, "operations") {
				if host.Admit(now, account) == nil {
					admitted++
				}
			}
			for _, need := range host.Needs(now) {
				lender := &tables[rapid.IntRange(0, hosts-1).Draw(t, "lender")]
				lent, _ := lender.Lend(now, need.Account, need.Tokens)
				if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
					host.Credit(now, need.Account, lent)
				}
			}
		}
		if limit := rate*time.Duration(now).Seconds() + max(burst, hosts) + 1; float64(admitted) > limit {
			t.Fatalf("admitted %d, limit %v", admitted, limit)
		}
	})
}

// Plays one account whose demand reaches a single host, at 60% of its rate over
// seven hosts. Guards against refusals within the rate, which equal parts alone
// would cause for most of the operations.
func TestUnevenDemandIsServedByLoans(t *testing.T) {
	is := is.New(t)
	const hosts, rate, demand = 7, 70.0, 42
	var tables [hosts]allowance.Table
	for n := range tables {
		tables[n].Configure(0, accounts(rate, rate), 1.0/hosts)
	}
	refused, asked := 0, 0
	lender := 0
	for now := proxy.Instant(0); now < proxy.Instant(20*time.Second); now = now.Add(time.Second / demand) {
		if now > proxy.Instant(2*time.Second) {
			asked++
			if tables[0].Admit(now, account) != nil {
				refused++
			}
		}
		for _, need := range tables[0].Needs(now) {
			lender = lender%(hosts-1) + 1
			lent, _ := tables[lender].Lend(now, need.Account, need.Tokens)
			tables[0].Credit(now, need.Account, lent)
		}
	}
	is.True(refused*100 <= asked) // at most 1% refused within the rate
}

// Guards against a host that lends what its own callers are about to use.
func TestLenderKeepsWhatItNeeds(t *testing.T) {
	is := is.New(t)
	var table allowance.Table
	table.Configure(0, accounts(100, 20), 1)
	now := proxy.Instant(time.Second)
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		_ = table.Admit(now, account)
	}
	lent, _ := table.Lend(now, account, 100)
	is.True(lent <= 20)
	is.True(table.Admit(now.Add(10*time.Millisecond), account) == nil)
}

// Guards against operations of an account that the configuration does not hold.
func TestUnknownAccountIsRefused(t *testing.T) {
	is := is.New(t)
	var table allowance.Table
	is.True(table.Admit(0, account) != nil)
	table.Configure(0, accounts(1, 1), 0)
	is.True(table.Admit(proxy.Instant(time.Hour), account) != nil)
}
