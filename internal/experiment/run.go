package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
	"github.com/auburnyoke/auburnyoke/internal/emulator/platform"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Waits of a run.
const (
	// settleTime lets hosts measure instances and confirm leases before the
	// load starts.
	settleTime = 2 * time.Second
	// silenceInterval is shorter than the cost of a new connection, so that no
	// connection to a silent instance gets an answer.
	silenceInterval = 4 * time.Millisecond
)

// Run performs one experiment.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, startTimeout+settleTime+o.Duration+10*requestTimeout)
	defer stop()
	n := &installation{options: o}
	n.options.Log = o.Log.Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
		if isInvariant(message) {
			n.invariants.Add(1)
		}
	}))
	defer n.close()
	if err := n.start(ctx); err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	plan := makePlan(o, n.document)
	if err := n.prepareRows(plan); err != nil {
		return nil, fmt.Errorf("prepare rows: %w", err)
	}
	time.Sleep(settleTime)
	records := n.load(ctx, plan)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("run not finished: %w", err)
	}
	report := n.report(plan, records)
	n.close()
	report.add("hosts that did not stop", fmt.Sprint(len(n.stuck)), "0", len(n.stuck) == 0)
	return report, nil
}

// prepareRows inserts the sessions' rows on the primaries.
func (n *installation) prepareRows(plan []plannedSession) error {
	for _, s := range plan {
		primary := n.primary(s.route.Group)
		if primary == nil {
			return eris.Errorf("group %s has no primary", s.route.Group)
		}
		tx := primary.Engine().Begin()
		if _, err := primary.Engine().Lock(tx, s.row); err != nil {
			return fmt.Errorf("lock: %w", err)
		}
		empty := ""
		if err := primary.Engine().Put(tx, s.row, &empty); err != nil {
			return fmt.Errorf("put: %w", err)
		}
		if _, err := primary.Engine().Commit(tx); err != nil {
			return fmt.Errorf("commit: %w", err)
		}
	}
	return nil
}

// primary returns the primary of a group's latest timeline.
func (n *installation) primary(group proxy.GroupID) *emulated {
	var best *emulated
	for _, e := range n.instances {
		state := e.Engine().State()
		if e.group != group || e.dead || !state.Primary {
			continue
		}
		if best == nil || state.Timeline > best.Engine().State().Timeline {
			best = e
		}
	}
	return best
}

// load runs all sessions and the failure, and returns the records.
func (n *installation) load(ctx context.Context, plan []plannedSession) []record {
	started := time.Now()
	ctx, stop := context.WithCancel(ctx)
	var failure, sessions sync.WaitGroup
	failure.Go(func() { n.fail(ctx) })
	failure.Go(func() { n.sample(ctx) })
	clients := make([]*client, len(plan))
	for i, s := range plan {
		c := &client{
			plannedSession: s, installation: n, started: started,
			random: rand.New(rand.NewPCG(n.options.Seed, uint64(i)+1)),
		}
		clients[i] = c
		sessions.Go(func() { c.run(ctx) })
	}
	sessions.Wait()
	stop()
	failure.Wait()
	var records []record
	for _, c := range clients {
		records = append(records, c.records...)
	}
	return records
}

// fail causes the scenario's failure at its time. It returns when the failure
// needs no more work.
func (n *installation) fail(ctx context.Context) {
	if !timing.Sleep(ctx, n.options.faultAt()) {
		return
	}
	switch n.options.Scenario {
	case PrimaryKilled:
		primary := n.primary(n.faulted())
		primary.dead = true
		primary.close()
	case PrimarySilent:
		n.silence(ctx, n.primary(n.faulted()).Instance)
	case Outage:
		n.platform.SetFaults(platform.Faults{Outage: true})
		timing.Sleep(ctx, n.options.Outage)
		n.platform.SetFaults(platform.Faults{})
	case HostStopped:
		n.hosts[0].stop()
	case HostKilled:
		n.hosts[0].kill()
	}
}

// silence keeps an instance from answering on any connection until ctx ends.
// Replication goes on.
func (n *installation) silence(ctx context.Context, i *instance.Instance) {
	for {
		i.SilenceAll()
		if !timing.Sleep(ctx, silenceInterval) {
			return
		}
	}
}

// faulted returns the group whose primary fails.
func (n *installation) faulted() proxy.GroupID { return n.document.Groups[0].ID }
