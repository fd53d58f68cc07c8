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

const (
	// settleTime is the time before the load in which hosts measure instances and
	// confirm leases.
	settleTime = 2 * time.Second
	// silenceInterval is shorter than the time that a new connection takes, so that no
	// connection to an unresponsive instance receives an answer.
	silenceInterval = 4 * time.Millisecond
)

// Run starts an installation, applies the load and the failure of the scenario, and
// returns the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, startTimeout+settleTime+o.Duration+10*requestTimeout)
	defer stop()
	n := &installation{options: o}
	n.options.Log = o.Log.Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, message string) {
		if isInvariantViolation(message) {
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
	records := n.runLoad(ctx, plan)
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("run not finished: %w", err)
	}
	report := n.report(plan, records)
	n.close()
	report.add("hosts that did not stop", fmt.Sprint(len(n.stuck)), "0", len(n.stuck) == 0)
	return report, nil
}

// prepareRows inserts an empty row for each session on the primary of its group.
func (n *installation) prepareRows(plan []plannedSession) error {
	for _, s := range plan {
		primary := n.primary(s.route.Group)
		if primary == nil {
			return eris.Errorf("group %s has no primary", s.route.Group)
		}
		tx := primary.Engine().Begin()
		if _, err := primary.Engine().Lock(tx, s.row); err != nil {
			return fmt.Errorf("lock row: %w", err)
		}
		empty := ""
		if err := primary.Engine().Put(tx, s.row, &empty); err != nil {
			return fmt.Errorf("insert row: %w", err)
		}
		if _, err := primary.Engine().Commit(tx); err != nil {
			return fmt.Errorf("commit row: %w", err)
		}
	}
	return nil
}

// primary returns the running primary of a group, nil if there is none. Of several, it
// returns the one on the latest timeline.
func (n *installation) primary(group proxy.GroupID) *emulatedInstance {
	var best *emulatedInstance
	for _, e := range n.instances {
		state := e.Engine().State()
		if e.group != group || e.killed || !state.Primary {
			continue
		}
		if best == nil || state.Timeline > best.Engine().State().Timeline {
			best = e
		}
	}
	return best
}

// runLoad runs all sessions and the scenario's failure, and returns the records.
func (n *installation) runLoad(ctx context.Context, plan []plannedSession) []record {
	started := time.Now()
	ctx, stop := context.WithCancel(ctx)
	var background, sessions sync.WaitGroup
	background.Go(func() { n.injectFailure(ctx) })
	background.Go(func() { n.sampleConnections(ctx) })
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
	background.Wait()
	var records []record
	for _, c := range clients {
		records = append(records, c.records...)
	}
	return records
}

// injectFailure injects the scenario's failure at its time. It returns when the failure
// is complete or, for an unresponsive instance, when ctx ends.
func (n *installation) injectFailure(ctx context.Context) {
	if !timing.Sleep(ctx, n.options.faultAt()) {
		return
	}
	switch n.options.Scenario {
	case PrimaryKilled:
		primary := n.primary(n.faultedGroup())
		primary.killed = true
		primary.close()
	case PrimarySilent:
		n.keepUnresponsive(ctx, n.primary(n.faultedGroup()).Instance)
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

// keepUnresponsive suppresses an instance's answers on all connections until ctx ends.
// Replication continues.
func (n *installation) keepUnresponsive(ctx context.Context, i *instance.Instance) {
	for {
		i.SilenceAll()
		if !timing.Sleep(ctx, silenceInterval) {
			return
		}
	}
}

// faultedGroup returns the group whose primary fails.
func (n *installation) faultedGroup() proxy.GroupID { return n.document.Groups[0].ID }
