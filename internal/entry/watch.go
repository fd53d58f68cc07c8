package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

const (
	// confirmationWait is how long the store may hold the watches whose answers
	// confirm that nothing has changed. A confirmation is up to two waits old, which
	// is well below the time in which a withdrawn key has to stop working.
	confirmationWait = 1500 * time.Millisecond
	// instanceWait is how long the store may hold the watch of instances. No decision
	// depends on the age of that state, but the wait bounds the time until an
	// unresponsive connection to the store is noticed.
	instanceWait = 4 * time.Second
	// absenceTimeout is how long an instance is used while its entry is missing:
	// after an outage of the store, entries are back within about two seconds.
	absenceTimeout = 2500 * time.Millisecond
	// drainMargin is how long before the end of the drain time a leaving instance
	// gets its last operation.
	drainMargin = 1500 * time.Millisecond
	// retryDelay is the pause after a failed call to the store. It doubles up to
	// maxRetryDelay, since refused calls are billed too.
	retryDelay    = 150 * time.Millisecond
	maxRetryDelay = 900 * time.Millisecond
	// relayRetryDelay is the pause before another relay is tried.
	relayRetryDelay = 100 * time.Millisecond
	// maxResumeAge is how much older than a watch's wait the state may be when a
	// watch continues it; older state is listed again.
	maxResumeAge = 800 * time.Millisecond
)

// configurationName is the name of the object that holds the configuration.
const configurationName = "main"

func (h *Host) followConfiguration(ctx context.Context) {
	f := h.newFollower(h.Decode.ConfigurationKind, confirmationWait)
	f.applySnapshot = h.applyConfiguration
	f.applyChanges = h.applyConfiguration
	f.run(ctx)
}

// applyConfiguration activates the newest configuration and records that it was
// confirmed as of confirmedAt. Revisions only increase.
func (h *Host) applyConfiguration(confirmedAt proxy.Instant, listing proxy.Listing) {
	changed := false
	for _, record := range listing.Records {
		if record.Name != configurationName || record.Deleted {
			continue
		}
		c, err := h.Decode.Configuration(record.Spec)
		if err != nil {
			// Without the newest version, nothing confirms that the keys are still
			// valid.
			h.rejected.add(h.Decode.ConfigurationKind, record.Name, record.Version, err.Error())
			return
		}
		h.rejected.remove(h.Decode.ConfigurationKind, record.Name)
		for n, problem := range c.Problems {
			// Each part has an entry of its own beside that of the object.
			h.rejected.add(h.Decode.ConfigurationKind, fmt.Sprintf("%s#%d", record.Name, n), record.Version, problem)
		}
		changed = h.activateConfiguration(c) || changed
	}
	h.clusterState.mu.Lock()
	if h.clusterState.configuration != nil {
		h.clusterState.configurationConfirmedAt = max(h.clusterState.configurationConfirmedAt, confirmedAt)
	}
	h.clusterState.mu.Unlock()
	h.confirmWarmup(confirmedAt)
	if changed {
		h.updateDispatch()
		h.updateAllowances()
	}
}

// activateConfiguration makes a newer configuration the current one and reports
// whether it was newer.
func (h *Host) activateConfiguration(c *directory.Configuration) bool {
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.configuration != nil && c.Revision <= cs.configuration.Revision {
		return false
	}
	cs.configuration = c
	h.Log.Info().Uint64("revision", uint64(c.Revision)).Int("routes", len(c.Routes)).
		Int("accounts", len(c.Accounts)).Int("keys", len(c.Keys)).Msg("configuration in force")
	return true
}

func (h *Host) followInstances(ctx context.Context) {
	f := h.newFollower(h.Decode.InstanceKind, instanceWait)
	f.applySnapshot = h.replaceInstances
	f.applyChanges = h.applyInstanceChanges
	f.run(ctx)
}

// replaceInstances applies a complete listing: known instances that it lacks are
// missing.
func (h *Host) replaceInstances(confirmedAt proxy.Instant, listing proxy.Listing) {
	present := make(map[proxy.InstanceID]bool, len(listing.Records))
	for _, record := range listing.Records {
		present[proxy.InstanceID(record.Name)] = true
	}
	cs := h.clusterState
	cs.mu.Lock()
	if cs.instancesFollowedAt == 0 {
		cs.instancesFollowedAt = h.Clock.Now()
	}
	for id, i := range cs.instances {
		if !present[id] && i.missingSince == 0 {
			i.missingSince = h.Clock.Now()
		}
	}
	cs.mu.Unlock()
	h.applyInstanceChanges(confirmedAt, listing)
}

func (h *Host) applyInstanceChanges(confirmedAt proxy.Instant, listing proxy.Listing) {
	for _, record := range listing.Records {
		h.recordInstance(record)
	}
	if len(listing.Records) > 0 {
		h.updateDispatch()
	}
	if h.warmup != nil {
		h.warmup.ConfirmInstances(confirmedAt)
	}
}

// recordInstance records one entry. An entry that cannot be decoded counts as
// missing.
func (h *Host) recordInstance(record proxy.Record) {
	id := proxy.InstanceID(record.Name)
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	known := cs.instances[id]
	if known != nil && record.Version.Version != 0 && known.version.After(record.Version) {
		return
	}
	if record.Deleted {
		h.rejected.remove(h.Decode.InstanceKind, record.Name)
		if known != nil && known.missingSince == 0 {
			known.missingSince = now
			h.Log.Info().Str("instance", string(id)).Str("group", string(known.Group)).Msg("instance is missing")
		}
		return
	}
	i, err := h.Decode.Instance(record.Name, record.Spec)
	if err != nil {
		h.rejected.add(h.Decode.InstanceKind, record.Name, record.Version, err.Error())
		if known != nil && known.missingSince == 0 {
			known.missingSince = now
		}
		return
	}
	h.rejected.remove(h.Decode.InstanceKind, record.Name)
	if known != nil && known.version.Era != record.Version.Era && known.WrittenAfter(i) {
		// A restored store holds an entry that the instance has replaced since. It may be of
		// before the instance began to leave.
		known.version = record.Version
		h.Log.Info().Str("instance", string(id)).Uint64("era", uint64(record.Version.Era)).
			Uint64("sequence", i.Sequence).Uint64("known", known.Sequence).Msg("older entry of an instance passed over")
		return
	}
	entry := &registeredInstance{Instance: i, version: record.Version}
	if known != nil {
		entry.demotedSince = known.demotedSince
	} else {
		known = cs.departed[id]
	}
	if known != nil {
		entry.leavingSince, entry.retired = known.leavingSince, known.retired && i.Leaving
	} else {
		// It may have been leaving for any time, and exit at any moment.
		entry.retired = i.Leaving
	}
	if i.WarmupLeft > 0 {
		entry.coldUntil = now.Add(i.WarmupLeft)
	}
	entry.leavingSince = conditionSince(entry.leavingSince, i.Leaving, now)
	entry.demotedSince = conditionSince(entry.demotedSince, !i.Primary, now)
	cs.instances[id] = entry
	delete(cs.departed, id)
	h.Log.Info().Str("instance", string(id)).Str("group", string(i.Group)).Str("zone", string(i.Zone)).
		Bool("leaving", i.Leaving).Bool("primary", i.Primary).Str("address", i.Address).
		Dur("cold", i.WarmupLeft).Msg("instance changed")
}

// conditionSince returns since when a condition holds: began if it already held
// before, now if it has just begun, zero if it does not hold.
func conditionSince(began proxy.Instant, holds bool, now proxy.Instant) proxy.Instant {
	switch {
	case !holds:
		return 0
	case began != 0:
		return began
	default:
		return now
	}
}

// expireInstances removes instances whose entries have been missing for absenceTimeout,
// forgets those that have been missing for failover.GoneTimeout, and retires leaving
// instances whose drain time ends.
func (h *Host) expireInstances(now proxy.Instant) {
	cs := h.clusterState
	cs.mu.Lock()
	expired := false
	for id, i := range cs.instances {
		gone := i.missingSince != 0 && now.Sub(i.missingSince) > absenceTimeout
		drained := i.leavingSince != 0 && now.Sub(i.leavingSince) > h.Settings.Drain-drainMargin
		if gone || drained && !i.retired {
			expired = true
		}
		if gone {
			delete(cs.instances, id)
			cs.departed[id] = i
		}
		i.retired = i.retired || drained
	}
	for id, i := range cs.departed {
		if now.Sub(i.missingSince) > failover.GoneTimeout {
			delete(cs.departed, id)
		}
	}
	cs.mu.Unlock()
	if expired {
		h.updateDispatch()
	}
}
