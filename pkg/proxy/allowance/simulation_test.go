package allowance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// The fleet of loom-ledger once grown: hosts in four availability zones, 4.5 ms
// from each other, and accounts that use their rate divided by 1.6.
const (
	fleetHosts    = 68
	fleetZones    = 4
	fleetAccounts = 76
	zoneDelay     = 4500 * time.Microsecond
	localDelay    = 300 * time.Microsecond
	usedRate      = 1 / 1.6
	tickTime      = 50 * time.Millisecond
	loanWait      = 35 * time.Millisecond
)

// event is something that happens at an instant of the played load.
type event struct {
	at  proxy.Instant
	run func(now proxy.Instant)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// play is a fleet under load in virtual time.
type play struct {
	random    *rand.Rand
	queue     events
	hosts     []*player
	byID      map[proxy.HostID]*player
	dead      *player
	asked     int
	refused   int
	excess    int
	waited    time.Duration
	ideal     map[proxy.AccountID]*ideal
	accounts  map[proxy.AccountID]directory.Account
	admitted  map[proxy.AccountID][]proxy.Instant
	measuring proxy.Instant
}

// ideal is one bucket for all hosts.
type ideal struct {
	tokens float64
	filled proxy.Instant
}

type player struct {
	allowance.Borrower
	id      proxy.HostID
	waiting []*waiter
}

type waiter struct {
	account proxy.AccountID
	arrived proxy.Instant
	leave   func()
	done    bool
	// allowed reports that one bucket for all hosts would have had a token.
	allowed bool
}

func newPlay(seed uint64) *play {
	p := &play{
		random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[proxy.HostID]*player),
		ideal: make(map[proxy.AccountID]*ideal), accounts: make(map[proxy.AccountID]directory.Account),
		admitted: make(map[proxy.AccountID][]proxy.Instant), measuring: proxy.Instant(5 * time.Second),
	}
	var ids []proxy.HostID
	var peers []allowance.Peer
	for n := range fleetHosts {
		id := proxy.HostID(fmt.Sprintf("host-%02d", n))
		ids = append(ids, id)
		peers = append(peers, allowance.Peer{Host: id, Zone: proxy.Zone(fmt.Sprint(n % fleetZones))})
	}
	for n := range fleetAccounts {
		id := proxy.AccountID(fmt.Sprintf("account-%02d", n))
		// A few accounts are large.
		rate := 6 + 14*p.random.Float64()
		if n < 4 {
			rate = 100
		}
		p.accounts[id] = directory.Account{ID: id, Rate: rate, Burst: rate}
		p.ideal[id] = &ideal{}
	}
	for n, id := range ids {
		h := &player{id: id}
		h.Zone, h.Random = peers[n].Zone, p.random.Uint64
		h.Table = &allowance.Table{Self: id, HandOver: 5 * time.Second}
		h.Table.Configure(0, 1, p.accounts, ids, true)
		h.SetPeers(append(append([]allowance.Peer(nil), peers[:n]...), peers[n+1:]...))
		p.hosts = append(p.hosts, h)
		p.byID[id] = h
	}
	return p
}

func (p *play) after(now proxy.Instant, d time.Duration, run func(proxy.Instant)) {
	heap.Push(&p.queue, event{now.Add(d), run})
}

func (p *play) delay(a, b *player) time.Duration {
	if a.Zone == b.Zone {
		return localDelay
	}
	return zoneDelay
}

// arrive plays one operation of an account and plans the next one.
func (p *play) arrive(now proxy.Instant, account directory.Account, demand float64) {
	p.after(now, time.Duration(p.random.ExpFloat64()/demand*float64(time.Second)), func(now proxy.Instant) {
		p.arrive(now, account, demand)
	})
	h := p.hosts[p.random.IntN(len(p.hosts))]
	if h == p.dead {
		return
	}
	i := p.ideal[account.ID]
	i.tokens = min(account.Burst, i.tokens+account.Rate*now.Sub(i.filled).Seconds())
	i.filled = now
	w := &waiter{account: account.ID, arrived: now, allowed: i.tokens >= 1}
	if w.allowed {
		i.tokens--
	}
	if h.Table.Admit(now, account.ID) == nil {
		p.end(now, w, true)
		return
	}
	w.leave = h.Table.Await(account.ID)
	h.waiting = append(h.waiting, w)
	p.serve(now, h)
	p.after(now, allowance.AnswerTime+time.Millisecond, func(now proxy.Instant) { p.serve(now, h) })
	p.after(now, loanWait, func(now proxy.Instant) {
		if !w.done {
			p.end(now, w, false)
		}
	})
}

func (p *play) end(now proxy.Instant, w *waiter, admitted bool) {
	w.done = true
	if w.leave != nil {
		w.leave()
	}
	if admitted {
		p.admitted[w.account] = append(p.admitted[w.account], now)
	}
	if w.arrived < p.measuring {
		return
	}
	p.asked++
	p.waited += now.Sub(w.arrived)
	if !admitted {
		p.refused++
		if w.allowed {
			p.excess++
		}
	}
}

// serve lets the operations of a host that wait try again, and sends its requests.
func (p *play) serve(now proxy.Instant, h *player) {
	kept := h.waiting[:0]
	for _, w := range h.waiting {
		if !w.done && h.Table.Retry(now, w.account) == nil {
			p.end(now, w, true)
		}
		if !w.done {
			kept = append(kept, w)
		}
	}
	h.waiting = kept
	requests, waiting := h.Ask(now)
	if !waiting {
		for _, w := range h.waiting {
			p.end(now, w, false)
		}
		h.waiting = h.waiting[:0]
	}
	for _, r := range requests {
		to := p.byID[r.To]
		p.after(now, p.delay(h, to), func(now proxy.Instant) {
			if to == p.dead || h == p.dead {
				return
			}
			var loans []allowance.Loan
			for _, need := range r.Needs {
				lent, left := to.Table.Lend(now, r.Revision, need.Account, need.Tokens)
				loans = append(loans, allowance.Loan{Account: need.Account, Tokens: lent, Left: left})
			}
			p.after(now, p.delay(h, to), func(now proxy.Instant) {
				h.Answer(now, r.Number, loans)
				p.serve(now, h)
			})
		})
	}
}

func (p *play) tick(now proxy.Instant, h *player) {
	p.serve(now, h)
	p.after(now, tickTime, func(now proxy.Instant) { p.tick(now, h) })
}

// run plays until an instant.
func (p *play) run(until time.Duration) {
	for len(p.queue) > 0 && p.queue[0].at < proxy.Instant(until) {
		e := heap.Pop(&p.queue).(event)
		e.run(e.at)
	}
}

func (p *play) start(hot proxy.AccountID, excess float64) {
	for n, h := range p.hosts {
		p.after(0, time.Duration(n)*tickTime/fleetHosts, func(now proxy.Instant) { p.tick(now, h) })
	}
	for n := range fleetAccounts {
		a := p.accounts[proxy.AccountID(fmt.Sprintf("account-%02d", n))]
		demand := a.Rate * usedRate
		if a.ID == hot {
			demand *= excess
		}
		p.after(0, 0, func(now proxy.Instant) { p.arrive(now, a, demand) })
	}
}

// checkWindows fails if an account got more than its rate and burst in any window.
func (p *play) checkWindows(is *is.I) {
	for id, times := range p.admitted {
		a := p.accounts[id]
		first := 0
		for last := range times {
			for times[last].Sub(times[first]) > 5*time.Second {
				first++
			}
			window := times[last].Sub(times[first]).Seconds()
			is.True(float64(last-first+1) <= a.Rate*window+a.Burst+1)
		}
	}
}

// Plays the load of a large fleet whose accounts stay within their rates. Guards
// against tokens that are at the wrong host: at most 1 operation of 1,000 may be
// refused that one bucket for all hosts would admit, and 1 of 100 while a host is
// dead.
func TestFleetServesWhatOneBucketWould(t *testing.T) {
	for name, c := range map[string]struct {
		seed    uint64
		dead    int // a host, or none below 0
		allowed int // refusals in 1,000 operations
	}{
		"calm":      {seed: 1, dead: -1, allowed: 1},
		"dead host": {seed: 2, dead: 7, allowed: 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPlay(c.seed)
			if c.dead >= 0 {
				p.dead = p.hosts[c.dead]
			}
			p.start("", 1)
			p.run(35 * time.Second)
			t.Logf("asked %d, refused %d, of these %d that one bucket would admit, mean wait %v",
				p.asked, p.refused, p.excess, p.waited/time.Duration(p.asked))
			p.checkWindows(is)
			is.True(p.excess*1000 <= c.allowed*p.asked)
		})
	}
}

// Plays the load with a small account that sends 7.5 times its usual. Guards
// against operations above its rate and burst in any window, and against refusals
// of the other accounts.
func TestFleetHoldsASmallHotAccount(t *testing.T) {
	is := is.New(t)
	p := newPlay(3)
	hot := proxy.AccountID("account-40")
	p.start(hot, 7.5)
	p.run(35 * time.Second)
	t.Logf("asked %d, refused %d, of these %d that one bucket would admit", p.asked, p.refused, p.excess)
	p.checkWindows(is)
	a := p.accounts[hot]
	got := float64(len(p.admitted[hot])) / 35
	is.True(got >= 0.9*a.Rate) // the hot account still gets its share
}
