package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
)

// Guards against a share that donor and receiver, or the previous and the next holder of
// a slot, use at the same time, even if only for the difference between two clocks. One
// host receives most of an account's limit. Then it is partitioned or paused, or the
// limit changes, and all hosts are flooded until everything has expired. With a burst of
// a tenth of a second's rate, a few milliseconds of double use exceed the bound; with a
// rate near zero, so do tokens that are counted twice.
func TestExpiry(t *testing.T) {
	const account = "only"
	rapid.Check(t, func(t *rapid.T) {
		b := newBound(rapid.IntRange(2, 4).Draw(t, "hosts"), rapid.Uint64().Draw(t, "seed"), account)
		b.grantDuration = rapid.SampledFrom([]time.Duration{3 * time.Second, 20 * time.Second}).Draw(t, "grant duration")
		b.lease, b.renew = 30*time.Second, 3*time.Second
		b.outlastTime = b.grantDuration + b.grantDuration/20
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
		transferTime := time.Duration(rapid.IntRange(1, 40).Draw(t, "transfer time")) * tick
		b.flood(transferTime, transferTime, account, b.current[0])
		b.injectFault(t, limits)
		b.flood(b.grantDuration+3*time.Second, drawPulse(t), account, b.current...)
		b.check(t)
	})
}

// injectFault executes a random fault of the first host or of a donor, or a change of the
// limit.
func (b *bound) injectFault(t *rapid.T, limits proxy.Account) {
	p := b.current[0]
	switch rapid.SampledFrom([]string{"none", "partition", "isolate", "pause", "document", "remove", "restart", "leave", "lease"}).Draw(t, "fault") {
	case "partition":
		p.side = 1
	case "isolate":
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
		// A donor stops. Its slots are free after its grants have expired.
		b.hide(b.current[1])
		b.handle(b.current[1], limit.Leave{})
	case "lease":
		// A donor loses its slots while the first host still sends requests to it.
		b.current[1].offline = true
		b.hide(b.current[1])
		b.flood(b.lease, b.lease, limits.ID, p)
	}
}

// hide removes a process from the host lists of all hosts except the first.
func (b *bound) hide(p *process) {
	p.hidden = true
	for _, q := range b.current[1:] {
		b.announce(q)
	}
}

// skew sets the clock rates that make double use last longest: slow on the first host,
// fast on the others.
func (b *bound) skew() {
	for host, p := range b.current {
		p.rate = 1 + proxy.ClockRateBound
		if host == 0 {
			p.rate = 1 - proxy.ClockRateBound
		}
	}
}

// Guards against a slot that is taken over while a partitioned or paused holder still
// uses it.
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

// flood sends more requests than the limit allows to the given processes. With pauses
// between the pulses the buckets fill, so that a short double use is admitted in
// addition to a full burst.
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
