package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/succession"
)

// Times of a replacement.
const (
	// handoverTime is how long a host lets operations that may write finish on a
	// primary that is replaced as planned.
	handoverTime = 400 * time.Millisecond
	// rankTime staggers the hosts, so that usually one of them acts.
	rankTime = 100 * time.Millisecond
	// conductorAge is how long a conductor counts as at work after it said so.
	conductorAge = 2 * time.Second
	// storeSlack is how much older than two waits a proof may be while the store
	// counts as reachable.
	storeSlack = time.Second
	// maxRank bounds the delay of the last host.
	maxRank = 12
	// pollTime is the pause between two questions while something is awaited.
	pollTime = 40 * time.Millisecond
	// probeTimeout limits a question to an instance.
	probeTimeout = 500 * time.Millisecond
	// catchUpTime is how long the successor may take to receive what a primary
	// that has stepped down had committed.
	catchUpTime = 1500 * time.Millisecond
)

var errLostAttempt = eris.New("another host has changed the record")

// acceptReplacements notes that the host no longer uses a primary that is being
// replaced: at once if it has failed, otherwise after running operations ended.
func (h *Host) acceptReplacements(now proxy.Instant) {
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.tenures {
		if t.record.Phase != succession.Replacing || t.accepted {
			continue
		}
		if t.record.Planned && t.working > 0 && now.Sub(t.seen) < handoverTime {
			continue
		}
		t.accepted = true
		h.Log.Info().Str("group", string(id)).Uint64("version", uint64(t.version)).Int("working", t.working).
			Msg("replacement accepted")
	}
}

// runConductor starts and conducts replacements, one at a time for each group.
func (h *Host) runConductor(ctx context.Context) {
	busy := make(map[proxy.GroupID]chan struct{})
	for timing.Sleep(ctx, tickTime) {
		for _, id := range h.configuredGroups() {
			if done := busy[id]; done != nil {
				select {
				case <-done:
					delete(busy, id)
				default:
					continue
				}
			}
			if task := h.groupTask(id); task != nil {
				done := make(chan struct{})
				busy[id] = done
				go func() {
					defer close(done)
					task(ctx)
				}()
			}
		}
	}
}

func (h *Host) configuredGroups() []proxy.GroupID {
	c, _ := h.beliefs.current()
	if c == nil {
		return nil
	}
	ids := make([]proxy.GroupID, 0, len(c.Groups))
	for id := range c.Groups {
		ids = append(ids, id)
	}
	return ids
}

// groupTask returns what the host has to do now for a group, or nil.
func (h *Host) groupTask(id proxy.GroupID) func(context.Context) {
	now := h.Clock.Now()
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.inTouchLocked(now) || b.configured == 0 {
		return nil
	}
	t := b.tenures[id]
	if t == nil {
		primary := b.registeredPrimary(id)
		if primary != "" && b.registered != 0 && now.Sub(b.registered) > h.rankDelay() {
			return func(ctx context.Context) { h.found(ctx, id, primary) }
		}
		return nil
	}
	view := b.view(now, t)
	view.Own = t.record.Host == h.Settings.Host
	reason, due := succession.Decide(view)
	if !due || view.Held < h.rankDelay() {
		return nil
	}
	a := &attempt{
		host: h, group: id, reason: reason, base: t.version,
		continued: t.record.Phase == succession.Replacing,
		record: succession.Record{
			Primary: t.record.Primary,
			Phase:   succession.Replacing,
			Host:    h.Settings.Host,
			Planned: reason == succession.Leaving,
		},
	}
	return a.run
}

// rankDelay returns how long this host lets others act first: by its place among
// the hosts that answer, up to maxRank. The caller holds the lock of the beliefs.
func (h *Host) rankDelay() time.Duration {
	rank := 0
	for id, m := range h.beliefs.members {
		if id < h.Settings.Host && m.silent == 0 {
			rank++
		}
	}
	return time.Duration(min(rank, maxRank)) * rankTime
}

// registeredPrimary returns the one registered instance of a group that calls
// itself primary, or nothing.
func (b *beliefs) registeredPrimary(id proxy.GroupID) proxy.InstanceID {
	found := proxy.InstanceID("")
	for _, i := range b.instances {
		if i.Group != id || !i.Primary || i.missing != 0 {
			continue
		}
		if found != "" {
			return ""
		}
		found = i.ID
	}
	return found
}

// view gathers what the decision on a group's primary needs. The caller holds
// the lock.
func (b *beliefs) view(now proxy.Instant, t *tenure) succession.View {
	v := succession.View{Record: t.record, Held: now.Sub(t.seen)}
	v.Conducting = t.conducted != 0 && now.Sub(t.conducted) < conductorAge
	i := b.instances[t.record.Primary]
	switch {
	case i == nil:
		v.Missing = now.Sub(t.seen)
	case i.missing != 0:
		v.Missing = now.Sub(i.missing)
	default:
		v.Instance = &i.Instance
		if i.demoted != 0 {
			v.Demoted = min(now.Sub(i.demoted), now.Sub(t.seen))
		}
	}
	if vote := b.votes[t.record.Primary]; now.Sub(vote.at) < voteAge {
		v.Hosts, v.Suspecting = vote.hosts, vote.suspecting
	}
	return v
}

// found writes a group's first record.
func (h *Host) found(ctx context.Context, id proxy.GroupID, primary proxy.InstanceID) {
	record := succession.Record{Primary: primary, Phase: succession.Settled}
	written, err := h.Store.Write(ctx, tenureKind, string(id), record, 0)
	if err != nil {
		if !errors.Is(err, proxy.ErrConflict) {
			h.Log.Warn().Err(err).Str("group", string(id)).Msg("first record was not written")
		}
		return
	}
	h.learnTenure(id, record, written.Version)
}
