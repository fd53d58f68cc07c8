package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// meanFaultInterval is the mean time between the starts of two faults. Faults last
// up to several seconds, so they overlap.
const meanFaultInterval = 800 * time.Millisecond

// fault describes one kind of fault. run injects it and returns once it has ended.
type fault struct {
	name string
	run  func(ctx context.Context, s *Soak, random *rand.Rand) error
}

// faults lists the kinds of faults. A kind that is listed twice is drawn twice as
// often. The order determines what a seed draws.
var faults = []fault{
	{"kill", kill},
	{"kill several", killSeveral},
	{"stop", stopOne},
	{"stop in turn", stopInTurn},
	{"freeze", freeze},
	{"freeze", freeze},
	{"reload", reload},
	{"harm callers", impairClientRelay},
	{"harm store of one host", impairStoreRelay},
	{"harm store of one host", impairStoreRelay},
	{"harm orders", impairPromotionRelay},
	{"harm instance", impairInstanceRelay},
	{"harm instance", impairInstanceRelay},
	{"store refuses", takeStoreDown},
	{"store compacts", compactStore},
	{"store holds watches", holdWatches},
	{"crash primary", crashPrimary},
	{"crash instance", crashInstance},
	{"drain primary", drainPrimary},
	{"lose answers", loseAnswers},
	{"lag", increaseLag},
	{"instance fails", failStatements},
	{"change", changeConfiguration},
	{"change", changeConfiguration},
	{"change quickly", changeRepeatedly},
	{"withdraw key", rotateKey},
}

// plannedFaults are the faults if Options.Stops is set.
var plannedFaults = []fault{
	{"stop", stopOne},
	{"stop", stopOne},
	{"stop in turn", stopInTurn},
	{"stop two", stopTwo},
	{"reload", reload},
	{"change", changeConfiguration},
	{"withdraw key", rotateKey},
}

// synchronousFaults are added if Options.Synchronous is not zero.
var synchronousFaults = []fault{
	{"deaf replica", deafenReplica},
	{"drain replica", drainReplica},
	{"instances fail together", failTogether},
	{"instances fail together", failTogether},
}

// evacuationFaults are the faults if Options.Evacuations is set.
var evacuationFaults = []fault{
	{"evacuate", evacuate},
	{"evacuate", evacuate},
	{"evacuate", evacuate},
	{"crash primary", crashPrimary},
	{"crash instance", crashInstance},
	{"crash instance", crashInstance},
	{"crash instance", crashInstance},
	{"drain primary", drainPrimary},
	{"kill", kill},
	{"kill several", killSeveral},
	{"stop", stopOne},
	{"harm store of one host", impairStoreRelay},
	{"store refuses", takeStoreDown},
	{"store compacts", compactStore},
	{"store holds watches", holdWatches},
	{"change", changeConfiguration},
}

// inject starts faults until ctx is done and returns once all of them have ended.
func (s *Soak) inject(ctx context.Context, random *rand.Rand) {
	kinds := faults
	if s.options.Stops {
		kinds = plannedFaults
	}
	if s.options.Evacuations {
		kinds = evacuationFaults
	}
	if s.options.Synchronous > 0 {
		kinds = slices.Concat(kinds, synchronousFaults, synchronousFaults)
	}
	var running sync.WaitGroup
	for ctx.Err() == nil {
		gap := time.Duration(random.ExpFloat64() * float64(meanFaultInterval))
		f := kinds[random.IntN(len(kinds))]
		// Each fault has its own random source: overlapping faults would draw from a
		// shared one in an order that the seed does not determine.
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		pause(ctx, gap)
		if ctx.Err() != nil {
			break
		}
		s.logEvent("fault: %s", f.name)
		running.Go(func() {
			if err := f.run(ctx, s, faultRandom); err != nil {
				s.ledger.report("SOAK", "%s: %v", f.name, err)
			}
		})
	}
	running.Wait()
}

// randomDuration returns a random duration of at least low and below high.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func (s *Soak) randomHost(random *rand.Rand) *host { return s.hosts[random.IntN(len(s.hosts))] }

// killHost kills a host and restarts it after the time down.
func killHost(ctx context.Context, s *Soak, h *host, down time.Duration) error {
	defer s.faultHistory.begin(false, component(h.number))()
	h.kill()
	pause(ctx, down)
	return h.start()
}

func kill(ctx context.Context, s *Soak, random *rand.Rand) error {
	return killHost(ctx, s, s.randomHost(random), randomDuration(random, 100*time.Millisecond, 2*time.Second))
}

func killSeveral(ctx context.Context, s *Soak, random *rand.Rand) error {
	down := randomDuration(random, 100*time.Millisecond, 2*time.Second)
	var killed sync.WaitGroup
	for _, h := range s.hosts {
		if random.IntN(3) > 0 {
			killed.Go(func() {
				if err := killHost(ctx, s, h, down); err != nil {
					s.ledger.report("SOAK", "start %s: %v", h.name, err)
				}
			})
		}
	}
	killed.Wait()
	return nil
}

// stopHost stops a host gracefully and restarts it.
func stopHost(s *Soak, h *host) error {
	defer s.faultHistory.begin(true, component(h.number))()
	h.stop()
	return h.start()
}

func stopOne(_ context.Context, s *Soak, random *rand.Rand) error {
	return stopHost(s, s.randomHost(random))
}

// evacuate evacuates a zone for a random time. Another one may be evacuated meanwhile.
func evacuate(ctx context.Context, s *Soak, random *rand.Rand) error {
	zone := zones[random.IntN(len(zones))]
	if _, evacuated := s.evacuated.LoadOrStore(zone, true); evacuated {
		return nil
	}
	defer s.evacuated.Delete(zone)
	s.deployment.Evacuate(zone)
	acknowledged := time.Now()
	pause(ctx, randomDuration(random, 300*time.Millisecond, 3*maxEvacuationTime))
	s.ledger.RecordEvacuation(zone, acknowledged, time.Now())
	s.deployment.TakeBack(zone)
	return nil
}

// maxDeafness is the longest time for which a replica receives nothing.
const maxDeafness = 6500 * time.Millisecond

// randomReplica returns a random group and one of its replicas.
func (s *Soak) randomReplica(random *rand.Rand) (*deployment.Group, string) {
	g := s.deployment.Groups[random.IntN(len(s.deployment.Groups))]
	primary := g.Primary()
	replicas := slices.DeleteFunc(g.Instances(), func(id string) bool { return id == primary })
	return g, replicas[random.IntN(len(replicas))]
}

func deafenReplica(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.faultHistory.begin(false, instancesComponent)()
	g, id := s.randomReplica(random)
	g.Deafen(id)
	pause(ctx, randomDuration(random, time.Second, maxDeafness))
	g.Hear(id)
	return nil
}

// drainReplica makes a replica announce that it is about to leave, and later restarts it.
func drainReplica(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.faultHistory.begin(false, instancesComponent)()
	g, id := s.randomReplica(random)
	g.Drain(id)
	pause(ctx, randomDuration(random, time.Second, maxDrainTime))
	g.Crash(id)
	g.Restart(id)
	return nil
}

// failTogether makes one replica deaf, and stops the primary some time later. The other
// replica, which has acknowledged the commits since then, is stopped too, drains or goes on.
// The entries of stopped instances may outlast them.
func failTogether(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.faultHistory.begin(false, instancesComponent)()
	g, far := s.randomReplica(random)
	primary := g.Primary()
	near := slices.DeleteFunc(g.Instances(), func(id string) bool { return id == primary || id == far })[0]
	g.Deafen(far)
	pause(ctx, randomDuration(random, 300*time.Millisecond, 2*time.Second))
	failing := []string{primary}
	switch random.IntN(3) {
	case 0:
		failing = append(failing, near)
	case 1:
		g.Drain(near)
	}
	var back sync.WaitGroup
	for _, id := range failing {
		down := randomDuration(random, time.Second, 7*time.Second)
		lapse := random.IntN(2) == 0
		back.Go(func() {
			g.Kill(id)
			pause(ctx, down/2)
			if lapse {
				g.Lapse(id)
			}
			pause(ctx, down/2)
			g.Restart(id)
		})
	}
	back.Wait()
	g.Hear(far)
	return nil
}

// stopTwo stops two hosts, the second one while the first is stopping.
func stopTwo(ctx context.Context, s *Soak, random *rand.Rand) error {
	first, second := s.randomHost(random), s.randomHost(random)
	gap := randomDuration(random, 0, gracePeriod)
	ended := make(chan error, 1)
	go func() { ended <- stopHost(s, first) }()
	pause(ctx, gap)
	err := stopHost(s, second)
	return errors.Join(err, <-ended)
}

func stopInTurn(ctx context.Context, s *Soak, random *rand.Rand) error {
	gap := randomDuration(random, 100*time.Millisecond, time.Second)
	for _, h := range s.hosts {
		if err := stopHost(s, h); err != nil {
			return fmt.Errorf("one of several hosts: %w", err)
		}
		pause(ctx, gap)
	}
	return nil
}

func freeze(ctx context.Context, s *Soak, random *rand.Rand) error {
	h := s.randomHost(random)
	defer s.faultHistory.begin(false, component(h.number))()
	h.signal(syscall.SIGSTOP)
	pause(ctx, randomDuration(random, 100*time.Millisecond, 6*time.Second))
	h.signal(syscall.SIGCONT)
	return nil
}

func reload(_ context.Context, s *Soak, random *rand.Rand) error {
	s.randomHost(random).signal(syscall.SIGHUP)
	return nil
}

// maxImpairment is the longest time for which a relay or the store is impaired. It
// exceeds maxRevokeTime, the time within which a withdrawn key must stop working.
const maxImpairment = 9 * time.Second

// impair sets a relay to a random mode other than Healthy for a random time.
func (s *Soak) impair(ctx context.Context, random *rand.Rand, r *Relay, affected component) error {
	defer s.faultHistory.begin(false, affected)()
	r.SetMode(Delayed + RelayMode(random.IntN(int(relayModes-Delayed))))
	pause(ctx, randomDuration(random, 200*time.Millisecond, maxImpairment))
	r.SetMode(Healthy)
	return nil
}

func impairClientRelay(ctx context.Context, s *Soak, random *rand.Rand) error {
	h := s.randomHost(random)
	return s.impair(ctx, random, h.clientRelay, component(h.number))
}

func impairStoreRelay(ctx context.Context, s *Soak, random *rand.Rand) error {
	h := s.randomHost(random)
	return s.impair(ctx, random, h.storeRelay, component(h.number))
}

func impairPromotionRelay(ctx context.Context, s *Soak, random *rand.Rand) error {
	return s.impair(ctx, random, s.randomHost(random).promotionRelay, instancesComponent)
}

func impairInstanceRelay(ctx context.Context, s *Soak, random *rand.Rand) error {
	return s.impair(ctx, random, s.instanceRelays[random.IntN(len(s.instanceRelays))], instancesComponent)
}

func takeStoreDown(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.faultHistory.begin(false, storeComponent)()
	s.deployment.Store.SetDown(true)
	pause(ctx, randomDuration(random, 200*time.Millisecond, maxImpairment))
	s.deployment.Store.SetDown(false)
	return nil
}

func compactStore(_ context.Context, s *Soak, _ *rand.Rand) error {
	defer s.faultHistory.begin(false, storeComponent)()
	s.deployment.Store.Compact()
	return nil
}

func holdWatches(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.faultHistory.begin(false, storeComponent)()
	s.deployment.Store.HoldWatches(true)
	pause(ctx, randomDuration(random, 200*time.Millisecond, 2*time.Second))
	s.deployment.Store.HoldWatches(false)
	return nil
}

// crashAndRestart crashes an instance that choose selects and restarts it.
func (s *Soak) crashAndRestart(
	ctx context.Context, random *rand.Rand, choose func(ids []string, primary string) string,
) error {
	defer s.faultHistory.begin(false, instancesComponent)()
	g := s.deployment.Groups[random.IntN(len(s.deployment.Groups))]
	id := choose(g.Instances(), g.Primary())
	g.Crash(id)
	pause(ctx, randomDuration(random, 200*time.Millisecond, 5*time.Second))
	g.Restart(id)
	return nil
}

func crashPrimary(ctx context.Context, s *Soak, random *rand.Rand) error {
	return s.crashAndRestart(ctx, random, func(_ []string, primary string) string { return primary })
}

func crashInstance(ctx context.Context, s *Soak, random *rand.Rand) error {
	return s.crashAndRestart(ctx, random, func(ids []string, _ string) string { return ids[random.IntN(len(ids))] })
}

// drainPrimary makes a primary announce that it is about to leave, and later
// crashes and restarts it. The time until then can exceed maxDrainTime.
func drainPrimary(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.faultHistory.begin(false, instancesComponent)()
	g := s.deployment.Groups[random.IntN(len(s.deployment.Groups))]
	id := g.Primary()
	g.Drain(id)
	announced := time.Now()
	pause(ctx, randomDuration(random, time.Second, 11*time.Second))
	seen := []component{storeComponent, machineComponent}
	for _, h := range s.hosts {
		seen = append(seen, component(h.number))
	}
	if s.faultHistory.faultFree(announced, true, seen...) {
		s.ledger.RecordLeaving(id, announced, time.Now())
	}
	g.Crash(id)
	g.Restart(id)
	return nil
}

func loseAnswers(_ context.Context, s *Soak, random *rand.Rand) error {
	defer s.faultHistory.begin(false, instancesComponent)()
	s.deployment.Groups[random.IntN(len(s.deployment.Groups))].LoseAnswers(1 + random.IntN(5))
	return nil
}

func increaseLag(ctx context.Context, s *Soak, random *rand.Rand) error {
	g := s.deployment.Groups[random.IntN(len(s.deployment.Groups))]
	g.SetLag(randomDuration(random, 100*time.Millisecond, 3*time.Second))
	pause(ctx, randomDuration(random, time.Second, 5*time.Second))
	g.SetLag(replicaLag)
	return nil
}

// failStatements makes one instance answer every third statement with an error.
func failStatements(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.faultHistory.begin(false, instancesComponent)()
	g := s.deployment.Groups[random.IntN(len(s.deployment.Groups))]
	ids := g.Instances()
	failing := ids[random.IntN(len(ids))]
	code := []string{"BUSY", "FAILED"}[random.IntN(2)]
	statements := 0
	g.SetFault(func(instance, text string) string {
		if instance != failing || text == "STATUS" {
			return ""
		}
		if statements++; statements%3 != 0 {
			return ""
		}
		return code
	})
	pause(ctx, randomDuration(random, time.Second, 4*time.Second))
	g.SetFault(nil)
	return nil
}

func changeConfiguration(_ context.Context, s *Soak, _ *rand.Rand) error {
	return s.operator.changeConfiguration(false)
}

func rotateKey(_ context.Context, s *Soak, _ *rand.Rand) error {
	return s.operator.changeConfiguration(true)
}

func changeRepeatedly(ctx context.Context, s *Soak, random *rand.Rand) error {
	for range 3 + random.IntN(12) {
		if err := s.operator.changeConfiguration(random.IntN(4) == 0); err != nil {
			return fmt.Errorf("one of several changes: %w", err)
		}
		pause(ctx, 80*time.Millisecond)
	}
	return nil
}
