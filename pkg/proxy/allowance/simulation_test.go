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

// The simulated deployment is that of the user loom-ledger after its expected growth:
// hosts in four availability zones that are 4.5 ms apart, and accounts that use their
// rate divided by 1.6.
const (
	hostCount    = 68
	zoneCount    = 4
	accountCount = 76
	zoneDelay    = 4500 * time.Microsecond
	localDelay   = 300 * time.Microsecond
	usedRate     = 1 / 1.6
	tickTime     = 50 * time.Millisecond
	loanWait     = 35 * time.Millisecond
)

// event is a function to run at an instant of virtual time.
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

// simulation runs hosts under load in virtual time and counts the operations that
// arrive after measureFrom.
type simulation struct {
	random *rand.Rand
	queue  events
	hosts  []*simulatedHost
	byID   map[proxy.HostID]*simulatedHost
	// dead is a stopped host, or nil.
	dead *simulatedHost
	// asked and refused count all operations and the refused ones.
	asked   int
	refused int
	// excess is the number of refused operations that one bucket for all hosts would
	// have admitted.
	excess      int
	waited      time.Duration
	ideal       map[proxy.AccountID]*ideal
	accounts    map[proxy.AccountID]directory.Account
	admitted    map[proxy.AccountID][]proxy.Instant
	measureFrom proxy.Instant
}

// ideal is a single token bucket for all hosts, for comparison.
type ideal struct {
	tokens     float64
	refilledAt proxy.Instant
}

// simulatedHost is a host and the operations that wait for a token on it.
type simulatedHost struct {
	allowance.Borrower
	id      proxy.HostID
	waiting []*waiter
}

// waiter is an operation that arrived at a host.
type waiter struct {
	account     proxy.AccountID
	arrived     proxy.Instant
	stopWaiting func()
	finished    bool
	// allowed reports whether one bucket for all hosts would have had a token.
	allowed bool
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[proxy.HostID]*simulatedHost),
		ideal: make(map[proxy.AccountID]*ideal), accounts: make(map[proxy.AccountID]directory.Account),
		admitted: make(map[proxy.AccountID][]proxy.Instant), measureFrom: proxy.Instant(5 * time.Second),
	}
	var ids []proxy.HostID
	var peers []allowance.Peer
	for n := range hostCount {
		id := proxy.HostID(fmt.Sprintf("host-%02d", n))
		ids = append(ids, id)
		peers = append(peers, allowance.Peer{Host: id, Zone: proxy.Zone(fmt.Sprint(n % zoneCount))})
	}
	for n := range accountCount {
		id := proxy.AccountID(fmt.Sprintf("account-%02d", n))
		// A few accounts are large.
		rate := 6 + 14*s.random.Float64()
		if n < 4 {
			rate = 100
		}
		s.accounts[id] = directory.Account{ID: id, Rate: rate, Burst: rate}
		s.ideal[id] = &ideal{}
	}
	for n, id := range ids {
		h := &simulatedHost{id: id}
		h.Zone, h.Random = peers[n].Zone, s.random.Uint64
		h.Table = &allowance.Table{Self: id, HandoverDelay: 5 * time.Second}
		h.Table.Configure(0, 1, s.accounts, ids, true)
		h.SetPeers(append(append([]allowance.Peer(nil), peers[:n]...), peers[n+1:]...))
		s.hosts = append(s.hosts, h)
		s.byID[id] = h
	}
	return s
}

func (s *simulation) after(now proxy.Instant, d time.Duration, run func(proxy.Instant)) {
	heap.Push(&s.queue, event{now.Add(d), run})
}

func (s *simulation) delay(a, b *simulatedHost) time.Duration {
	if a.Zone == b.Zone {
		return localDelay
	}
	return zoneDelay
}

// arrive schedules the next operation of an account and simulates the current one.
func (s *simulation) arrive(now proxy.Instant, account directory.Account, demand float64) {
	s.after(now, time.Duration(s.random.ExpFloat64()/demand*float64(time.Second)), func(now proxy.Instant) {
		s.arrive(now, account, demand)
	})
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if h == s.dead {
		return
	}
	i := s.ideal[account.ID]
	i.tokens = min(account.Burst, i.tokens+account.Rate*now.Sub(i.refilledAt).Seconds())
	i.refilledAt = now
	w := &waiter{account: account.ID, arrived: now, allowed: i.tokens >= 1}
	if w.allowed {
		i.tokens--
	}
	if h.Table.Admit(now, account.ID) == nil {
		s.end(now, w, true)
		return
	}
	w.stopWaiting = h.Table.Await(account.ID)
	h.waiting = append(h.waiting, w)
	s.serve(now, h)
	s.after(now, allowance.AnswerTimeout+time.Millisecond, func(now proxy.Instant) { s.serve(now, h) })
	s.after(now, loanWait, func(now proxy.Instant) {
		if !w.finished {
			s.end(now, w, false)
		}
	})
}

func (s *simulation) end(now proxy.Instant, w *waiter, admitted bool) {
	w.finished = true
	if w.stopWaiting != nil {
		w.stopWaiting()
	}
	if admitted {
		s.admitted[w.account] = append(s.admitted[w.account], now)
	}
	if w.arrived < s.measureFrom {
		return
	}
	s.asked++
	s.waited += now.Sub(w.arrived)
	if !admitted {
		s.refused++
		if w.allowed {
			s.excess++
		}
	}
}

// serve retries the waiting operations of a host and sends its loan requests.
func (s *simulation) serve(now proxy.Instant, h *simulatedHost) {
	kept := h.waiting[:0]
	for _, w := range h.waiting {
		if !w.finished && h.Table.Retry(now, w.account) == nil {
			s.end(now, w, true)
		}
		if !w.finished {
			kept = append(kept, w)
		}
	}
	h.waiting = kept
	requests, waiting := h.NextRequests(now)
	if !waiting {
		for _, w := range h.waiting {
			s.end(now, w, false)
		}
		h.waiting = h.waiting[:0]
	}
	for _, r := range requests {
		to := s.byID[r.To]
		s.after(now, s.delay(h, to), func(now proxy.Instant) {
			if to == s.dead || h == s.dead {
				return
			}
			var loans []allowance.Loan
			for _, shortfall := range r.Shortfalls {
				lent, remaining := to.Table.Lend(now, r.Revision, shortfall.Account, shortfall.Tokens)
				loans = append(loans, allowance.Loan{Account: shortfall.Account, Tokens: lent, Remaining: remaining})
			}
			s.after(now, s.delay(h, to), func(now proxy.Instant) {
				h.HandleAnswer(now, r.Number, loans)
				s.serve(now, h)
			})
		})
	}
}

func (s *simulation) tick(now proxy.Instant, h *simulatedHost) {
	s.serve(now, h)
	s.after(now, tickTime, func(now proxy.Instant) { s.tick(now, h) })
}

// run simulates until an instant.
func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at < proxy.Instant(until) {
		e := heap.Pop(&s.queue).(event)
		e.run(e.at)
	}
}

func (s *simulation) start(overloaded proxy.AccountID, demandFactor float64) {
	for n, h := range s.hosts {
		s.after(0, time.Duration(n)*tickTime/hostCount, func(now proxy.Instant) { s.tick(now, h) })
	}
	for n := range accountCount {
		a := s.accounts[proxy.AccountID(fmt.Sprintf("account-%02d", n))]
		demand := a.Rate * usedRate
		if a.ID == overloaded {
			demand *= demandFactor
		}
		s.after(0, 0, func(now proxy.Instant) { s.arrive(now, a, demand) })
	}
}

// checkWindows fails if more operations of an account were admitted in any window of
// up to 5 s than its rate and burst allow.
func (s *simulation) checkWindows(is *is.I) {
	for id, times := range s.admitted {
		a := s.accounts[id]
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

// Simulates many hosts whose accounts stay within their rates. Guards against refusals
// because tokens are on other hosts than the operations: at most 1 operation of 1,000
// may be refused that one bucket for all hosts would admit, and 1 of 100 while a host
// is dead.
func TestFleetServesWhatOneBucketWould(t *testing.T) {
	for name, c := range map[string]struct {
		seed    uint64
		dead    int // index of the dead host, or -1
		allowed int // refusals per 1,000 operations
	}{
		"no faults": {seed: 1, dead: -1, allowed: 1},
		"dead host": {seed: 2, dead: 7, allowed: 10},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(c.seed)
			if c.dead >= 0 {
				s.dead = s.hosts[c.dead]
			}
			s.start("", 1)
			s.run(35 * time.Second)
			t.Logf("asked %d, refused %d, of these %d that one bucket would admit, mean wait %v",
				s.asked, s.refused, s.excess, s.waited/time.Duration(s.asked))
			s.checkWindows(is)
			is.True(s.excess*1000 <= c.allowed*s.asked)
		})
	}
}

// Simulates the load with one small account that sends 7.5 times its usual number of
// operations. Guards against admissions above its rate and burst in any window, and
// against an account above its limit that gets much less than its rate.
func TestFleetLimitsAccountAboveItsRate(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3)
	overloaded := proxy.AccountID("account-40")
	s.start(overloaded, 7.5)
	s.run(35 * time.Second)
	t.Logf("asked %d, refused %d, of these %d that one bucket would admit", s.asked, s.refused, s.excess)
	s.checkWindows(is)
	a := s.accounts[overloaded]
	got := float64(len(s.admitted[overloaded])) / 35
	is.True(got >= 0.9*a.Rate) // an account above its limit still gets its rate
}
