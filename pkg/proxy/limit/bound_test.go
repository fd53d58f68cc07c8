package limit_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/internal/rapidtest"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
)

// defaultChecks limits a run with the race detector to a few seconds.
const defaultChecks = "10"

// TestMain sets the default number of checks, which the command line overrides.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", defaultChecks); err != nil {
		panic(err)
	}
	rapidtest.Main(m)
}

// reference is a token bucket for all hosts together. An admission that leaves its level
// below zero ends a window of length w in which more than rate*w + burst requests were
// admitted. The negated lowest level is the greatest excess over all windows. Levels are
// in nanorequests, so the check is exact. The bucket starts empty, like those of the
// hosts.
type reference struct {
	rate, burst int64
	level       int64
	advancedAt  time.Duration
	lowest      int64
}

func (r *reference) set(now time.Duration, rate, burst int64) {
	r.advance(now)
	r.rate, r.burst = rate, burst
	r.level = min(r.level, burst*1e9)
}

func (r *reference) advance(now time.Duration) {
	r.level = min(r.burst*1e9, r.level+r.rate*int64(now-r.advancedAt))
	r.advancedAt = now
}

func (r *reference) admit(now time.Duration) {
	r.advance(now)
	r.level -= 1e9
	r.lowest = min(r.lowest, r.level)
}

// check fails if too much was admitted or a host has reported a violation.
func (b *bound) check(t *rapid.T) {
	for _, id := range b.accounts {
		if lowest := b.references[id].lowest; lowest < 0 {
			t.Fatalf("account %s: %d nanorequests above rate*w + burst", id, -lowest)
		}
	}
	if len(b.violations) > 0 {
		t.Fatalf("violations: %v", b.violations)
	}
}

func newBound(hosts int, seed uint64, accounts ...proxy.AccountID) *bound {
	b := &bound{simulation: newSimulation(hosts, seed), accounts: accounts, references: map[proxy.AccountID]*reference{}}
	b.drift = proxy.ClockRateBound
	b.outlastTime = 3100 * time.Millisecond
	for _, id := range accounts {
		b.references[id] = &reference{}
	}
	return b
}

// bound checks the admissions of all hosts against the limits of the revisions that the
// hosts apply.
type bound struct {
	*simulation
	documents []*proxy.Document
	// lastUsed is, for each revision, the last instant at which some host applied it.
	lastUsed   []time.Duration
	accounts   []proxy.AccountID
	references map[proxy.AccountID]*reference
	admitted   int
	// outlastTime is how long shares that were transferred under a limit may outlast it.
	outlastTime time.Duration
}

// publish publishes a revision with the given rates and with bursts of twice the rates.
// It omits accounts whose rate is zero.
func (b *bound) publish(rates ...int) {
	d := &proxy.Document{}
	for i, id := range b.accounts {
		if rates[i] > 0 {
			d.Accounts = append(d.Accounts, proxy.Account{ID: id, Rate: float64(rates[i]), Burst: 2 * rates[i]})
		}
	}
	b.put(d)
}

func (b *bound) put(d *proxy.Document) {
	b.documents = append(b.documents, d)
	b.lastUsed = append(b.lastUsed, -time.Hour)
	for _, p := range b.current {
		if p != nil {
			b.after(b.upTo(3*time.Second), func() { b.apply(p, len(b.documents)-1) })
		}
	}
}

func (b *bound) apply(p *process, index int) {
	b.on(p, func() {
		if p.revision <= index {
			b.release(p)
			p.revision = index + 1
			b.updateReferences()
			b.handle(p, limit.Configure{Revision: proxy.Revision(index + 1), Document: b.documents[index]})
		}
	})
}

// release records that a process stops applying its revision.
func (b *bound) release(p *process) {
	if p.revision > 0 {
		b.lastUsed[p.revision-1] = b.now
		b.after(b.outlastTime+1, b.updateReferences)
	}
}

// updateReferences sets each reference to the largest limit that may still be in use.
func (b *bound) updateReferences() {
	for _, p := range b.processes {
		if !p.ended && p.revision > 0 {
			b.lastUsed[p.revision-1] = b.now
		}
	}
	for _, id := range b.accounts {
		rate, burst := int64(0), int64(0)
		for i, d := range b.documents {
			if b.now-b.lastUsed[i] > b.outlastTime {
				continue
			}
			for _, a := range d.Accounts {
				if a.ID == id {
					rate, burst = max(rate, int64(a.Rate)), max(burst, int64(a.Burst))
				}
			}
		}
		b.references[id].set(b.now, rate, burst)
	}
}

// attempt sends up to count requests to a process until one is refused.
func (b *bound) attempt(p *process, account proxy.AccountID, count int) {
	b.on(p, func() {
		for range count {
			if p.table.Admit(p.local(b.now), account) != nil {
				return
			}
			b.admitted++
			b.references[account].admit(b.now)
		}
	})
}

func (b *bound) launch(host int) {
	p := b.start(host)
	b.apply(p, max(0, len(b.documents)-1-b.random.IntN(2)))
	for _, q := range b.current {
		if q != nil {
			b.after(b.upTo(5*time.Second), func() { b.announce(q) })
		}
	}
}

func (b *bound) end(p *process) {
	b.release(p)
	p.ended = true
	for _, q := range b.current {
		b.after(b.upTo(5*time.Second), func() { b.announce(q) })
	}
}

// injectAction executes a random fault or change.
func (b *bound) injectAction(t *rapid.T) {
	host := rapid.IntRange(0, len(b.current)-1).Draw(t, "host")
	d := time.Duration(rapid.IntRange(1, 300).Draw(t, "duration")) * tick
	p := b.current[host]
	switch action := rapid.SampledFrom([]string{"none", "pause", "restart", "replace", "partition", "outage", "document", "leave"}).Draw(t, "action"); action {
	case "pause":
		p.paused = true
		b.after(d, func() { b.resume(p) })
	case "restart":
		b.end(p)
		b.after(d/4, func() { b.launch(host) })
	case "replace":
		// The old process is paused and resumes while its successor is running.
		p.paused = true
		b.after(d, func() { b.resume(p) })
		b.after(d+5*time.Second, func() { b.end(p) })
		b.launch(host)
	case "partition":
		p.side = rapid.IntRange(1, 2).Draw(t, "side")
		p.offline = rapid.Bool().Draw(t, "offline")
		b.after(d, func() { p.side, p.offline = 0, false })
	case "outage":
		b.outage = true
		b.after(d, func() { b.outage = false })
	case "document":
		rates := make([]int, len(b.accounts))
		for i := range rates {
			rates[i] = rapid.SampledFrom([]int{0, 3, 15, 40, 80}).Draw(t, "rate")
		}
		b.publish(rates...)
	case "leave":
		b.on(p, func() { b.handle(p, limit.Leave{}) })
		b.after(d, func() { b.end(p); b.launch(host) })
	}
}

// traffic sends requests of each account in a random pattern for the given time.
func (b *bound) traffic(t *rapid.T, d time.Duration) {
	for _, id := range b.accounts {
		pattern := rapid.SampledFrom([]string{"idle", "one", "even", "flood"}).Draw(t, "pattern")
		host := b.random.IntN(len(b.current))
		for at := time.Duration(0); at < d && pattern != "idle"; at += b.upTo(50 * time.Millisecond) {
			b.after(at, func() {
				switch pattern {
				case "one":
					b.attempt(b.current[host], id, 1+b.random.IntN(3))
				case "even":
					b.attempt(b.current[b.random.IntN(len(b.current))], id, 1)
				case "flood":
					for _, p := range b.processes {
						b.attempt(p, id, 100)
					}
				}
			})
		}
	}
}

// Guards against admissions above rate*w + burst in any window of length w. They would
// be caused by grants or slots that two hosts use at once, grants that are used after a
// pause, and tokens that are created by a revision, a restart or a takeover. Replay a
// failure with -rapid.failfile or -rapid.seed. The long run is
// go test ./pkg/proxy/limit -rapid.checks 20000 -timeout 4h.
func TestBound(t *testing.T) {
	total, furtherIncarnations := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		b := newBound(rapid.IntRange(3, 8).Draw(t, "hosts"), seed, "large", "small")
		b.lease, b.renew = 12*time.Second, 3*time.Second
		b.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3}).Draw(t, "loss")
		b.publish(60, 15)
		for host := range b.current {
			b.launch(host)
		}
		for range rapid.IntRange(5, 40).Draw(t, "phases") {
			b.injectAction(t)
			b.traffic(t, 2*time.Second)
			b.run(2 * time.Second)
		}
		b.check(t)
		total += b.admitted
		furtherIncarnations += len(b.processes) - len(b.current)
	})
	is.New(t).True(total > 0) // requests were admitted
	t.Log(fmt.Sprintf("%d requests admitted, %d further incarnations", total, furtherIncarnations))
}
