package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// meanGap is the mean time between the beginnings of two faults. Faults last for
// up to some seconds, so that several overlap.
const meanGap = 800 * time.Millisecond

// fault is one kind of disturbance. Its run ends when the disturbance has ended.
type fault struct {
	name string
	run  func(ctx context.Context, s *Soak, random *rand.Rand) error
}

// faults lists the kinds; those that stand twice are drawn twice as often.
var faults = []fault{
	{"kill", kill},
	{"kill several", killSeveral},
	{"stop", stopOne},
	{"stop in turn", stopInTurn},
	{"freeze", freeze},
	{"freeze", freeze},
	{"reload", reload},
	{"harm callers", harmCallers},
	{"harm store of one host", harmStore},
	{"harm store of one host", harmStore},
	{"harm orders", harmOrders},
	{"harm instance", harmInstance},
	{"harm instance", harmInstance},
	{"store refuses", refuseStore},
	{"store compacts", compactStore},
	{"store holds watches", holdWatches},
	{"crash primary", crashPrimary},
	{"crash instance", crashInstance},
	{"drain primary", drainPrimary},
	{"lose answers", loseAnswers},
	{"lag", lag},
	{"instance fails", failPart},
	{"change", change},
	{"change", change},
	{"change quickly", changeQuickly},
	{"withdraw key", rotateKey},
}

// inject starts faults until ctx ends and returns once all have ended.
func (s *Soak) inject(ctx context.Context, random *rand.Rand) {
	var running sync.WaitGroup
	for ctx.Err() == nil {
		gap := time.Duration(random.ExpFloat64() * float64(meanGap))
		f := faults[random.IntN(len(faults))]
		// Each fault draws from numbers of its own: the order in which faults that
		// overlap draw is not fixed.
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		pause(ctx, gap)
		if ctx.Err() != nil {
			break
		}
		s.note("fault: %s", f.name)
		running.Go(func() {
			if err := f.run(ctx, s, own); err != nil {
				s.ledger.report("SOAK", "%s: %v", f.name, err)
			}
		})
	}
	running.Wait()
}

// between draws a duration.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func (s *Soak) anyHost(random *rand.Rand) *host { return s.hosts[random.IntN(len(s.hosts))] }

// killHost kills a host and starts it again.
func killHost(ctx context.Context, s *Soak, h *host, down time.Duration) error {
	defer s.calm.begin(false, part(h.number))()
	h.kill()
	pause(ctx, down)
	return h.start()
}

func kill(ctx context.Context, s *Soak, random *rand.Rand) error {
	return killHost(ctx, s, s.anyHost(random), between(random, 100*time.Millisecond, 2*time.Second))
}

func killSeveral(ctx context.Context, s *Soak, random *rand.Rand) error {
	down := between(random, 100*time.Millisecond, 2*time.Second)
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

// stopHost stops a host gracefully and starts it again.
func stopHost(s *Soak, h *host) error {
	defer s.calm.begin(true, part(h.number))()
	h.stop()
	return h.start()
}

func stopOne(_ context.Context, s *Soak, random *rand.Rand) error {
	return stopHost(s, s.anyHost(random))
}

func stopInTurn(ctx context.Context, s *Soak, random *rand.Rand) error {
	gap := between(random, 100*time.Millisecond, time.Second)
	for _, h := range s.hosts {
		if err := stopHost(s, h); err != nil {
			return fmt.Errorf("one of several hosts: %w", err)
		}
		pause(ctx, gap)
	}
	return nil
}

func freeze(ctx context.Context, s *Soak, random *rand.Rand) error {
	h := s.anyHost(random)
	defer s.calm.begin(false, part(h.number))()
	h.signal(syscall.SIGSTOP)
	pause(ctx, between(random, 100*time.Millisecond, 6*time.Second))
	h.signal(syscall.SIGCONT)
	return nil
}

func reload(_ context.Context, s *Soak, random *rand.Rand) error {
	s.anyHost(random).signal(syscall.SIGHUP)
	return nil
}

// maxHarm is the longest time for which a relay does harm. It exceeds the time in
// which a withdrawn key has to stop working.
const maxHarm = 9 * time.Second

// harm lets a relay do harm for a while.
func (s *Soak) harm(ctx context.Context, random *rand.Rand, r *Relay, touched part) error {
	defer s.calm.begin(false, touched)()
	r.Set(Delayed + Harm(random.IntN(int(harms-Delayed))))
	pause(ctx, between(random, 200*time.Millisecond, maxHarm))
	r.Set(Healthy)
	return nil
}

func harmCallers(ctx context.Context, s *Soak, random *rand.Rand) error {
	h := s.anyHost(random)
	return s.harm(ctx, random, h.callers, part(h.number))
}

func harmStore(ctx context.Context, s *Soak, random *rand.Rand) error {
	h := s.anyHost(random)
	return s.harm(ctx, random, h.store, part(h.number))
}

func harmOrders(ctx context.Context, s *Soak, random *rand.Rand) error {
	return s.harm(ctx, random, s.anyHost(random).orders, instancesPart)
}

func harmInstance(ctx context.Context, s *Soak, random *rand.Rand) error {
	return s.harm(ctx, random, s.instances[random.IntN(len(s.instances))], instancesPart)
}

func refuseStore(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.calm.begin(false, storePart)()
	s.deployment.Store.SetDown(true)
	pause(ctx, between(random, 200*time.Millisecond, maxHarm))
	s.deployment.Store.SetDown(false)
	return nil
}

func compactStore(_ context.Context, s *Soak, _ *rand.Rand) error {
	defer s.calm.begin(false, storePart)()
	s.deployment.Store.Compact()
	return nil
}

func holdWatches(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.calm.begin(false, storePart)()
	s.deployment.Store.HoldWatches(true)
	pause(ctx, between(random, 200*time.Millisecond, 2*time.Second))
	s.deployment.Store.HoldWatches(false)
	return nil
}

// crash stops an instance and starts it again.
func (s *Soak) crash(ctx context.Context, random *rand.Rand, chosen func(ids []string, primary string) string) error {
	defer s.calm.begin(false, instancesPart)()
	g := s.deployment.Groups[random.IntN(len(s.deployment.Groups))]
	id := chosen(g.Instances(), g.Primary())
	g.Crash(id)
	pause(ctx, between(random, 200*time.Millisecond, 5*time.Second))
	g.Restart(id)
	return nil
}

func crashPrimary(ctx context.Context, s *Soak, random *rand.Rand) error {
	return s.crash(ctx, random, func(_ []string, primary string) string { return primary })
}

func crashInstance(ctx context.Context, s *Soak, random *rand.Rand) error {
	return s.crash(ctx, random, func(ids []string, _ string) string { return ids[random.IntN(len(ids))] })
}

// drainPrimary lets a primary report that it leaves, and replaces it later.
func drainPrimary(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.calm.begin(false, instancesPart)()
	g := s.deployment.Groups[random.IntN(len(s.deployment.Groups))]
	id := g.Primary()
	g.Drain(id)
	pause(ctx, between(random, time.Second, 8*time.Second))
	g.Crash(id)
	g.Restart(id)
	return nil
}

func loseAnswers(_ context.Context, s *Soak, random *rand.Rand) error {
	defer s.calm.begin(false, instancesPart)()
	s.deployment.Groups[random.IntN(len(s.deployment.Groups))].LoseAnswers(1 + random.IntN(5))
	return nil
}

func lag(ctx context.Context, s *Soak, random *rand.Rand) error {
	g := s.deployment.Groups[random.IntN(len(s.deployment.Groups))]
	g.SetLag(between(random, 100*time.Millisecond, 3*time.Second))
	pause(ctx, between(random, time.Second, 5*time.Second))
	g.SetLag(replicaLag)
	return nil
}

// failPart lets one instance refuse or fail part of its statements.
func failPart(ctx context.Context, s *Soak, random *rand.Rand) error {
	defer s.calm.begin(false, instancesPart)()
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
	pause(ctx, between(random, time.Second, 4*time.Second))
	g.SetFault(nil)
	return nil
}

func change(_ context.Context, s *Soak, _ *rand.Rand) error { return s.operator.change(false) }

func rotateKey(_ context.Context, s *Soak, _ *rand.Rand) error { return s.operator.change(true) }

func changeQuickly(ctx context.Context, s *Soak, random *rand.Rand) error {
	for range 3 + random.IntN(12) {
		if err := s.operator.change(random.IntN(4) == 0); err != nil {
			return fmt.Errorf("one of several changes: %w", err)
		}
		pause(ctx, 80*time.Millisecond)
	}
	return nil
}
