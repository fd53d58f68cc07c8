package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// The emulated deployment has two groups in two availability zones. The replica lag
// and the maximum number of connections of an instance are those of the smaller of the
// users' services.
const (
	replicaLag     = 60 * time.Millisecond
	promotionDelay = 300 * time.Millisecond
	maxConnections = 16
	// ampleConnections suffices for transactions with pauses of all clients.
	ampleConnections = 400
	// sharedConnections is so small a limit for otherAccounts accounts that one host holds
	// the connections to an instance, and runs the statements of the others there.
	sharedConnections = 100
	otherAccounts     = 60
)

var (
	groups = []string{"ledger", "routes"}
	zones  = []string{"gondar", "woldia"}
)

// startTimeout bounds the start of the hosts. A soak whose hosts do not serve by then
// ends with an error.
const startTimeout = time.Minute

// Options configure a soak.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Clients  int
	// Stops limits the faults to planned stops, reloads and changes of the configuration, and
	// gives clients transactions with pauses and statements that take time. With an odd
	// seed, hosts run statements for one another. No promise about stops is waived because
	// of another fault.
	Stops bool
	// Synchronous is the number of replicas that receive a commit before it is acknowledged.
	// If it is not zero, replicas also become deaf and fail together with the primary.
	Synchronous int
	// Evacuations evacuates zones and makes instances cold after a restart. Processes are not
	// paused then and nothing delays statements on their way to instances, so that no late
	// arrival is excused.
	Evacuations bool
	// Binary is the path of the entry host's program. Settings and logs are written to
	// Directory.
	Binary, Directory string
	// OnEvent is called with a line for each event. It may be nil.
	OnEvent func(string)
}

// Bounds of evacuated zones and cold instances if Options.Evacuations is set.
const (
	maxEvacuationTime = 5 * time.Second
	warmupTime        = 8 * time.Second
	warmupRate        = 20
	warmupOvershoot   = 1.5
	warmupSlack       = 5
)

// bounds returns the lines of the settings for these bounds.
func (o Options) bounds() []string {
	if !o.Evacuations {
		return nil
	}
	return []string{
		fmt.Sprintf("evacuate_ms = %d", maxEvacuationTime.Milliseconds()),
		fmt.Sprintf("warmup_overshoot = %v", warmupOvershoot),
		fmt.Sprintf("warmup_slack = %v", warmupSlack),
	}
}

// Report is the result of a soak.
type Report struct {
	Violations []string
	// Statements is the number of statements that clients sent. Succeeded is the number
	// of those that were acknowledged.
	Statements, Succeeded int
}

// Soak is the state of one run.
type Soak struct {
	options        Options
	deployment     *deployment.Deployment
	ledger         *Ledger
	faultHistory   faultHistory
	operator       *operator
	hosts          []*host
	instanceRelays []*Relay
	clients        []*simulatedClient
	began          time.Time
	// stalls is the time for which the soak itself was not scheduled, in units of
	// stallThreshold.
	stalls atomic.Int64
	// evacuated holds the zones that are evacuated.
	evacuated sync.Map
}

// Run starts the processes, injects faults for the duration, waits for recovery and
// checks the guarantees.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &Soak{options: o, ledger: NewLedger(), began: time.Now()}
	s.operator = &operator{soak: s}
	stop, err := s.start()
	defer stop()
	if err != nil {
		return Report{}, fmt.Errorf("start: %w", err)
	}
	random := rand.New(rand.NewPCG(o.Seed, 0))
	runCtx, cancelRun := context.WithCancel(ctx)
	defer cancelRun()
	var workers sync.WaitGroup
	workers.Go(func() { s.watchStalls(runCtx) })
	if !s.waitUntil(startTimeout, s.allServe) {
		return Report{}, fmt.Errorf("hosts did not serve within %v; logs are in %s", startTimeout, o.Directory)
	}
	s.logEvent("hosts serve")
	for _, h := range s.hosts {
		workers.Go(func() { s.operator.probe(runCtx, h) })
	}
	for n, c := range s.clients {
		c.random = rand.New(rand.NewPCG(o.Seed, uint64(n)+1))
		workers.Go(func() { c.run(runCtx) })
	}
	faultCtx, cancelFaults := context.WithTimeout(runCtx, o.Duration)
	// The odd writer has a random source of its own, so that it leaves the schedule of the
	// other faults as it is.
	workers.Go(func() { s.writeOddly(faultCtx, rand.New(rand.NewPCG(o.Seed, writerStream))) })
	s.inject(faultCtx, random)
	cancelFaults()
	s.logEvent("faults ended")
	if !s.waitUntil(maxRecoveryTime, s.allServe) {
		s.ledger.report("RECOVER", "hosts did not serve within %v after the faults", maxRecoveryTime)
	}
	cancelRun()
	workers.Wait()
	if o.Evacuations {
		arrived, cold, evacuated := s.ledger.countArrivals()
		s.logEvent("%d statements arrived, %d at cold instances, %d in evacuated zones", arrived, cold, evacuated)
	}
	return s.report(), nil
}

// writerStream is the random stream of the odd writer, beyond those of the clients.
const writerStream = 1 << 32

// start starts the deployment, the relays and the hosts, and creates the clients. The
// returned function stops what was started, also after an error.
func (s *Soak) start() (stop func(), err error) {
	var stops []func()
	stop = func() {
		for n := len(stops) - 1; n >= 0; n-- {
			stops[n]()
		}
	}
	onStop := func(f func()) { stops = append(stops, f) }
	d, stopDeployment, err := deployment.Start(groups, zones, replicaLag, s.connections())
	if err != nil {
		return stop, fmt.Errorf("emulated deployment: %w", err)
	}
	onStop(stopDeployment)
	s.deployment = d
	s.ledger.Synchronous = s.options.Synchronous > 0
	for _, g := range d.Groups {
		if s.options.Stops {
			g.SetWork(work)
		}
		if g.Synchronous = s.options.Synchronous; g.Synchronous > 0 {
			g.PromotionDelay = promotionDelay
		}
	}
	if s.options.Evacuations {
		for _, g := range d.Groups {
			g.WarmupTime, g.WarmupRate = warmupTime, warmupRate
		}
		d.ObserveArrivals(func(a deployment.Arrival) {
			if s.faultHistory.faultFree(a.At, true, machineComponent) {
				s.ledger.Arrived(a)
			}
		})
	}
	d.Observe(s.ledger)
	if err := s.startInstanceRelays(onStop); err != nil {
		return stop, fmt.Errorf("relay of an instance: %w", err)
	}
	if err := s.operator.changeConfiguration(true); err != nil {
		return stop, fmt.Errorf("first configuration: %w", err)
	}
	if err := s.startHosts(onStop); err != nil {
		return stop, fmt.Errorf("host: %w", err)
	}
	for n := range s.options.Clients {
		c := &simulatedClient{soak: s, name: fmt.Sprintf("c%d", n)}
		c.newItem()
		s.clients = append(s.clients, c)
	}
	return stop, nil
}

// sharesConnections reports whether hosts run statements for one another.
func (s *Soak) sharesConnections() bool { return s.options.Stops && s.options.Seed%2 == 1 }

// connections returns the number of connections that an instance accepts.
func (s *Soak) connections() int {
	switch {
	case s.sharesConnections():
		return sharedConnections
	case s.options.Stops:
		return ampleConnections
	default:
		return maxConnections
	}
}

// Times that instances work on statements if Options.Stops is set. All clients together leave
// the two slots of an instance time to spare.
const (
	maxWork     = 10 * time.Millisecond
	maxLongWork = 600 * time.Millisecond
	// longWorkShare is the number of statements of which one takes up to maxLongWork.
	longWorkShare = 64
)

// work returns how long an instance works on a statement.
func work(text string) time.Duration {
	word, rest, _ := strings.Cut(text, " ")
	if word == "WAITLSN" {
		_, rest, _ = strings.Cut(rest, " ")
		word, _, _ = strings.Cut(rest, " ")
	}
	switch word {
	case "READ", "WRITE", "EXECUTE", "COMMIT":
	default:
		return 0
	}
	if rand.IntN(longWorkShare) == 0 {
		return rand.N(maxLongWork)
	}
	return rand.N(maxWork)
}

// startInstanceRelays starts a relay in front of each instance.
func (s *Soak) startInstanceRelays(onStop func(func())) error {
	for _, g := range s.deployment.Groups {
		for _, id := range g.Instances() {
			err := g.Reroute(id, func(address string) (string, error) {
				r, stopRelay, err := StartRelay("127.0.0.1:0", address)
				if err != nil {
					return "", err
				}
				onStop(stopRelay)
				s.instanceRelays = append(s.instanceRelays, r)
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

// servingRequest is the request id of the statements that check whether hosts serve.
// The ledger ignores their runs.
const servingRequest = "serving"

// allServe reports whether every host serves reads on the primary of every group.
func (s *Soak) allServe() bool {
	for _, h := range s.hosts {
		for _, g := range s.deployment.Groups {
			if !servesReads(h, g.Name+"-strict") {
				return false
			}
		}
	}
	return true
}

// servesReads reports whether a host serves a read of a database.
func servesReads(h *host, database string) bool {
	client, _, err := deployment.Dial(h.clientRelay.Address(), database, probeKey)
	if err != nil {
		return false
	}
	defer client.Close()
	if client.SetIODeadline(time.Now().Add(answerTimeout)) != nil {
		return false
	}
	answer, err := client.QueryWithID(servingRequest, "READ nothing")
	return err == nil && len(answer) > 0 && answer[0] == 'D'
}

// waitUntil polls until a condition holds, for at most the limit. Time for which the
// soak was not scheduled does not count.
func (s *Soak) waitUntil(limit time.Duration, condition func() bool) bool {
	const poll = 100 * time.Millisecond
	stalls := s.stalls.Load()
	for start := time.Now(); ; time.Sleep(poll) {
		if condition() {
			return true
		}
		late := time.Duration(s.stalls.Load()-stalls) * stallThreshold
		if time.Since(start) > limit+late {
			return false
		}
	}
}

// stallThreshold is how late a tick must be to count as a stall of the machine.
const stallThreshold = 100 * time.Millisecond

// watchStalls records when the soak was not scheduled on time, until ctx is done.
// Guarantees with a time bound are not checked for these times.
func (s *Soak) watchStalls(ctx context.Context) {
	const tick = 20 * time.Millisecond
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(tick)
		now := time.Now()
		if late := now.Sub(last) - tick; late > stallThreshold {
			s.stalls.Add(int64(late/stallThreshold) + 1)
			s.faultHistory.begin(false, machineComponent)()
		}
		last = now
	}
}

// checkLost checks a statement whose connection ended without an answer. That is a
// violation only if the host was stopping gracefully, there was no other fault, and the
// statement has run or was sent more than unreadWindow before the end.
func (s *Soak) checkLost(st Statement, h *host) {
	c := component(h.number)
	if !s.faultHistory.stoppingAt(st.Answered, c) ||
		!s.faultHistory.faultFree(st.Sent, true, c, storeComponent, instancesComponent, machineComponent) {
		return
	}
	if s.ledger.hasRun(st.Request) || st.Answered.Sub(st.Sent) > unreadWindow {
		s.ledger.report("LOST",
			"%s of session %s got no answer from %s, which was stopping; sent %v before the end of its connection",
			st.Request, st.Session, h.name, st.Answered.Sub(st.Sent).Round(time.Millisecond))
	}
}

// randomItem returns the current item of c with probability 1/2, and of a random client
// otherwise.
func (s *Soak) randomItem(c *simulatedClient, random *rand.Rand) string {
	if random.IntN(2) == 0 {
		return c.item
	}
	return *s.clients[random.IntN(len(s.clients))].published.Load()
}

func (s *Soak) logEvent(format string, values ...any) {
	if s.options.OnEvent != nil {
		s.options.OnEvent(fmt.Sprintf("%7.3f s  ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, values...))
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
