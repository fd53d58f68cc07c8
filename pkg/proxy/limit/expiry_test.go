package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
)

// Guards against parts of which giver and receiver, or earlier and later holder
// of a slot, use the same at once, if only for the difference of two clocks. One
// host receives most of an account, is then cut off or paused, or the account's
// limit changes, and all hosts are flooded until everything has expired. With a
// burst of a tenth of a second's rate, a few milliseconds of double use are
// above the bound; with a rate near zero, so are tokens that are counted twice.
func TestExpiry(t *testing.T) {
	const account = "only"
	rapid.Check(t, func(t *rapid.T) {
		b := newBound(rapid.IntRange(2, 4).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"), account)
		b.valid = rapid.SampledFrom([]time.Duration{3 * time.Second, 20 * time.Second}).Draw(t, "valid")
		b.lease, b.renew = 30*time.Second, 3*time.Second
		b.hold = b.valid + b.valid/20
		delay := time.Duration(rapid.IntRange(1, 240).Draw(t, "delay")) * time.Millisecond
		b.delay = func() time.Duration { return delay }
		b.loss = rapid.SampledFrom([]float64{0, 0, 0.1}).Draw(t, "loss")
		limits := proxy.Account{ID: account, Rate: 1000, Burst: 100}
		if rapid.Bool().Draw(t, "burst") {
			limits = proxy.Account{ID: account, Rate: 5, Burst: 400}
		}
		b.put(&proxy.Document{Accounts: []proxy.Account{limits}})
		for host := range b.current {
			b.launch(host)
		}
		if rapid.Bool().Draw(t, "adverse") {
			b.skew()
		}
		b.run(12 * time.Second)
		ceding := time.Duration(rapid.IntRange(1, 40).Draw(t, "ceding")) * tick
		b.flood(ceding, ceding, account, b.current[0])
		b.disturb(t, limits)
		b.flood(b.valid+3*time.Second, drawPulse(t), account, b.current...)
		b.check(t)
	})
}

// disturb cuts off or pauses the first host, or changes the limit.
func (b *bound) disturb(t *rapid.T, limits proxy.Account) {
	p := b.current[0]
	switch rapid.SampledFrom([]string{"none", "cut", "alone", "pause", "document", "remove", "restart", "leave", "lease"}).Draw(t, "disturbance") {
	case "cut":
		p.side = 1
	case "alone":
		p.side, p.offline = 1, true
	case "pause":
		p.paused = true
		b.attempt(p, limits.ID, 1000)
		b.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * tick)
		b.resume(p)
	case "document":
		limits.Rate, limits.Burst = limits.Rate/5, limits.Burst/5
		b.put(&proxy.Document{Accounts: []proxy.Account{limits}})
	case "remove":
		accounts := []proxy.Account{limits}
		b.put(&proxy.Document{})
		b.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "removed")) * tick)
		b.put(&proxy.Document{Accounts: accounts})
	case "restart":
		b.end(p)
		b.launch(0)
	case "leave":
		// A giver stops; its slots are free once its grants have ended.
		b.hide(b.current[1])
		b.handle(b.current[1], limit.Leave{})
	case "lease":
		// A giver loses its slots while the first host still asks it.
		b.current[1].offline = true
		b.hide(b.current[1])
		b.flood(b.lease, b.lease, limits.ID, p)
	}
}

// hide takes a process off the lists of all hosts but the first.
func (b *bound) hide(p *process) {
	p.hidden = true
	for _, q := range b.current[1:] {
		b.announce(q)
	}
}

// skew sets the clocks that make double use longest: the first host's is slow,
// the others' are fast.
func (b *bound) skew() {
	for host, p := range b.current {
		p.rate = 1 + proxy.ClockRateBound
		if host == 0 {
			p.rate = 1 - proxy.ClockRateBound
		}
	}
}

// Guards against a slot that is taken over before a holder that is cut off or
// paused has stopped using it.
func TestTakeover(t *testing.T) {
	const account = "only"
	rapid.Check(t, func(t *rapid.T) {
		b := newBound(rapid.IntRange(2, 3).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"), account)
		b.lease, b.renew = 300*time.Second, 20*time.Second
		delay := time.Duration(rapid.IntRange(1, 500).Draw(t, "delay")) * time.Millisecond
		b.delay = func() time.Duration { return delay }
		b.put(&proxy.Document{Accounts: []proxy.Account{{ID: account, Rate: 1000, Burst: 100}}})
		for host := range b.current {
			b.launch(host)
		}
		b.skew()
		b.run(time.Duration(rapid.IntRange(100, 400).Draw(t, "running")) * tick)
		p := b.current[0]
		p.offline, p.side, p.hidden = true, 1, true
		for _, q := range b.current {
			b.announce(q)
		}
		p.paused = rapid.Bool().Draw(t, "paused")
		b.run(b.lease - 20*time.Second)
		b.resume(p)
		b.flood(30*time.Second, drawPulse(t), account, b.current...)
		b.check(t)
	})
}

// flood sends more requests than the limit allows to the given processes. Pulses
// with rests between them let the buckets fill, so that a short double use comes
// on top of a whole burst.
func (b *bound) flood(d, pulse time.Duration, account proxy.AccountID, to ...*process) {
	for end := b.now + d; b.now < end; {
		for rest := min(end, b.now+pulse); b.now < rest; {
			for _, p := range to {
				b.attempt(p, account, 1000)
			}
			b.run(4 * time.Millisecond)
		}
		if pulse < d {
			b.run(pulse)
		}
	}
}

func drawPulse(t *rapid.T) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{2, 5, 1000}).Draw(t, "pulse")) * tick
}
