package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// The emulated deployment: two groups in two availability zones, with the limits
// of connections and the lag of the smaller of the users' services.
const (
	replicaLag  = 60 * time.Millisecond
	connections = 16
)

var (
	groups = []string{"ledger", "routes"}
	zones  = []string{"gondar", "woldia"}
)

// startTime limits the start of the hosts. It decides nothing but a soak that
// cannot begin.
const startTime = time.Minute

// Options are what a soak needs.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Callers  int
	// Binary is the entry host's program, Directory where settings and logs go.
	Binary, Directory string
	// Note receives a line for each event; nil for none.
	Note func(string)
}

// Report is what a soak has found.
type Report struct {
	Violations []string
	// Statements are those that callers have sent, Succeeded those that were
	// acknowledged.
	Statements, Succeeded int
}

// Soak is one run.
type Soak struct {
	options    Options
	deployment *deployment.Deployment
	ledger     *Ledger
	calm       calm
	operator   *operator
	hosts      []*host
	instances  []*Relay
	callers    []*caller
	began      time.Time
	// stalled counts the times at which the soak itself did not run on time.
	stalled atomic.Int64
}

// Run starts the processes, injects faults for the duration, waits for recovery
// and checks what was seen.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &Soak{options: o, ledger: NewLedger(), began: time.Now()}
	s.operator = &operator{soak: s}
	stop, err := s.start()
	defer stop()
	if err != nil {
		return Report{}, fmt.Errorf("start: %w", err)
	}
	random := rand.New(rand.NewPCG(o.Seed, 0))
	work, stopWork := context.WithCancel(ctx)
	defer stopWork()
	var working sync.WaitGroup
	working.Go(func() { s.watchClock(work) })
	if !s.await(startTime, s.serves) {
		return Report{}, fmt.Errorf("hosts did not serve within %v; logs are in %s", startTime, o.Directory)
	}
	s.note("hosts serve")
	for _, h := range s.hosts {
		working.Go(func() { s.operator.probe(work, h) })
	}
	for n, c := range s.callers {
		c.random = rand.New(rand.NewPCG(o.Seed, uint64(n)+1))
		working.Go(func() { c.run(work) })
	}
	faulty, endFaults := context.WithTimeout(work, o.Duration)
	s.inject(faulty, random)
	endFaults()
	s.note("faults ended")
	if !s.await(recoveryTime, s.serves) {
		s.ledger.report("RECOVER", "hosts did not serve within %v after the faults", recoveryTime)
	}
	stopWork()
	working.Wait()
	return s.report(), nil
}

// start starts everything and returns a function that ends it.
func (s *Soak) start() (stop func(), err error) {
	var stops []func()
	stop = func() {
		for n := len(stops) - 1; n >= 0; n-- {
			stops[n]()
		}
	}
	onStop := func(f func()) { stops = append(stops, f) }
	d, stopDeployment, err := deployment.Start(groups, zones, replicaLag, connections)
	if err != nil {
		return stop, fmt.Errorf("emulated deployment: %w", err)
	}
	onStop(stopDeployment)
	s.deployment = d
	d.Observe(s.ledger)
	if err := s.relayInstances(onStop); err != nil {
		return stop, fmt.Errorf("relay of an instance: %w", err)
	}
	if err := s.operator.change(true); err != nil {
		return stop, fmt.Errorf("first configuration: %w", err)
	}
	if err := s.startHosts(onStop); err != nil {
		return stop, fmt.Errorf("host: %w", err)
	}
	for n := range s.options.Callers {
		c := &caller{soak: s, name: fmt.Sprintf("c%d", n)}
		c.newItem()
		s.callers = append(s.callers, c)
	}
	return stop, nil
}

// relayInstances puts a relay before each instance.
func (s *Soak) relayInstances(onStop func(func())) error {
	for _, g := range s.deployment.Groups {
		for _, id := range g.Instances() {
			err := g.Reroute(id, func(address string) (string, error) {
				r, stopRelay, err := StartRelay("127.0.0.1:0", address)
				if err != nil {
					return "", err
				}
				onStop(stopRelay)
				s.instances = append(s.instances, r)
				return r.Address(), nil
			})
			if err != nil {
				return fmt.Errorf("reroute %s: %w", id, err)
			}
		}
	}
	return nil
}

// startHosts starts the processes of all hosts.
func (s *Soak) startHosts(onStop func(func())) error {
	for n := range s.options.Hosts {
		h, stopHost, err := newHost(s.options, s.deployment, n, zones[n%len(zones)])
		if err != nil {
			return fmt.Errorf("prepare number %d: %w", n, err)
		}
		onStop(stopHost)
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return fmt.Errorf("start %s: %w", h.name, err)
		}
	}
	return nil
}

// servingRequest is the id of the statements that ask whether hosts serve.
const servingRequest = "serving"

// serves reports whether every host serves reads of every group's primary.
func (s *Soak) serves() bool {
	for _, h := range s.hosts {
		for _, g := range s.deployment.Groups {
			if !answers(h, g.Name+"-strict") {
				return false
			}
		}
	}
	return true
}

// answers reports whether a host serves a read of a database.
func answers(h *host, database string) bool {
	client, _, err := deployment.Dial(h.callers.Address(), database, probeKey)
	if err != nil {
		return false
	}
	defer client.Close()
	if client.Limit(time.Now().Add(answerTime)) != nil {
		return false
	}
	answer, err := client.QueryAs(servingRequest, "READ nothing")
	return err == nil && len(answer) > 0 && answer[0] == 'D'
}

// await polls until a condition holds. Time in which the machine did not let the
// soak run does not count.
func (s *Soak) await(limit time.Duration, holds func() bool) bool {
	const poll = 100 * time.Millisecond
	stalled := s.stalled.Load()
	for start := time.Now(); ; time.Sleep(poll) {
		if holds() {
			return true
		}
		late := time.Duration(s.stalled.Load()-stalled) * stallTime
		if time.Since(start) > limit+late {
			return false
		}
	}
}

// stallTime is how late a tick must come to count as a stall of the machine.
const stallTime = 100 * time.Millisecond

// watchClock notes the times at which the machine does not let the soak run:
// promises with a time bound do not hold for them.
func (s *Soak) watchClock(ctx context.Context) {
	const tick = 20 * time.Millisecond
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(tick)
		now := time.Now()
		if late := now.Sub(last) - tick; late > stallTime {
			s.stalled.Add(int64(late/stallTime) + 1)
			s.calm.begin(false, machinePart)()
		}
		last = now
	}
}

// lost judges a statement whose connection ended without an answer. Only a
// graceful stop without other trouble leaves no excuse.
func (s *Soak) lost(st Statement, h *host) {
	p := part(h.number)
	if !s.calm.stopping(st.Answered, p) ||
		!s.calm.holds(st.Asked, true, p, storePart, instancesPart, machinePart) {
		return
	}
	if s.ledger.hasRun(st.Request) || st.Answered.Sub(st.Asked) > lossSlack {
		s.ledger.report("LOST", "%s of session %s got no answer from %s, which was stopping; sent %v before the end of its connection",
			st.Request, st.Session, h.name, st.Answered.Sub(st.Asked).Round(time.Millisecond))
	}
}

// anyItem returns the current item of a caller, half of the time of c itself.
func (s *Soak) anyItem(c *caller, random *rand.Rand) string {
	if random.IntN(2) == 0 {
		return c.item
	}
	return *s.callers[random.IntN(len(s.callers))].published.Load()
}

func (s *Soak) note(format string, values ...any) {
	if s.options.Note != nil {
		s.options.Note(fmt.Sprintf("%7.3f s  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, values...))
	}
}

func (s *Soak) report() Report {
	r := Report{Violations: s.ledger.Check(), Statements: len(s.ledger.statements)}
	for _, st := range s.ledger.statements {
		if st.Outcome == Succeeded {
			r.Succeeded++
		}
	}
	return r
}
