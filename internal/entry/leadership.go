package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

const leadershipKind proxy.Kind = "groups"

func (h *Host) followLeaderships(ctx context.Context) {
	f := h.newFollower(leadershipKind, confirmationWait)
	f.applySnapshot = func(confirmedAt proxy.Instant, listing proxy.Listing) {
		h.markMissingLeaderships(listing)
		h.applyLeaderships(confirmedAt, listing)
	}
	f.applyChanges = h.applyLeaderships
	f.run(ctx)
}

// applyLeaderships records changed leadership records and when they were confirmed to
// be current. A group whose record cannot be decoded has no primary until a host has
// replaced the record.
func (h *Host) applyLeaderships(confirmedAt proxy.Instant, listing proxy.Listing) {
	for _, record := range listing.Records {
		if record.Deleted {
			continue
		}
		r, err := decodeLeadership(record.Spec)
		if err != nil {
			h.rejected.add(leadershipKind, record.Name, record.Version, err.Error())
		} else {
			h.rejected.remove(leadershipKind, record.Name)
		}
		h.recordLeadership(proxy.GroupID(record.Name), r, record.Version)
	}
	h.clusterState.confirmLeaderships(confirmedAt, listing.Version.Era)
	if len(listing.Records) > 0 {
		h.updateDispatch()
	}
}

// decodeLeadership decodes a leadership record. After an error, the record is
// failover.Unreadable.
func decodeLeadership(spec []byte) (failover.Record, error) {
	var r failover.Record
	err := json.Unmarshal(spec, &r)
	if err == nil {
		err = r.Validate()
	}
	if err != nil {
		return failover.Record{Phase: failover.Unreadable}, fmt.Errorf("decode leadership record: %w", err)
	}
	return r, nil
}

// recordLeadership records a version of a group's leadership record and reports
// whether it is new. The primary of an unreadable record is the one that was known
// before. A record of another era is not believed.
func (h *Host) recordLeadership(id proxy.GroupID, r failover.Record, version proxy.StoreVersion) bool {
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if r.Era != version.Era {
		h.recordRestoredLocked(id, r, version)
		return false
	}
	old := cs.leaderships[id]
	if old != nil && !version.After(old.version) {
		return false
	}
	l := &leadership{record: r, version: version, receivedAt: now, usedSince: version}
	if cs.leadershipEra == version.Era && cs.registeredEra == version.Era {
		l.confirmedAt = cs.leadershipConfirmedAt
	}
	if old != nil {
		if r.Phase == failover.Unreadable {
			l.record.Primary = old.record.Primary
		}
		l.running = old.running
		l.baseVersion, l.failoverStart = old.usedSince, l.receivedAt
		if old.record.Phase == failover.Replacing {
			l.baseVersion, l.failoverStart, l.accepted =
				old.baseVersion, old.failoverStart, old.accepted && r.Phase == failover.Replacing
			if r.Phase == failover.Settled {
				cs.failoverTime = l.receivedAt.Sub(old.failoverStart)
			}
		}
		if old.restored != nil && old.restored.version.After(version) {
			l.restored = old.restored
		}
		primary, usedSince, leased := cs.primaryLocked(now, id)
		switch {
		case leased && r.Phase == failover.Settled && r.Primary == primary:
			l.usedSince, l.confirmedAt = usedSince, max(l.confirmedAt, old.confirmedAt)
		case r.Phase == failover.Replacing:
			l.confirmedAt = max(l.confirmedAt, old.confirmedAt)
		}
	}
	cs.leaderships[id] = l
	if old != nil && old.record.Primary != r.Primary {
		delete(cs.suspectedSince, r.Primary)
	}
	h.Log.Info().Str("group", string(id)).Str("primary", string(r.Primary)).Str("phase", string(r.Phase)).
		Str("conductor", string(r.Host)).Bool("planned", r.Planned).
		Uint64("era", uint64(version.Era)).Uint64("version", uint64(version.Version)).Msg("leadership changed")
	return true
}

// recordRestoredLocked records that the store holds a record that was not written in its era.
// What the host knew before remains: a lease, if it has one, or a failover that has begun. The
// caller holds the lock of the cluster state.
func (h *Host) recordRestoredLocked(id proxy.GroupID, r failover.Record, version proxy.StoreVersion) {
	cs := h.clusterState
	l := cs.leaderships[id]
	if l == nil {
		l = &leadership{record: failover.Record{Phase: failover.Restored, Primary: r.Primary}, receivedAt: h.Clock.Now()}
		cs.leaderships[id] = l
	}
	if !version.After(l.version) || l.restored != nil && !version.After(l.restored.version) {
		return
	}
	l.restored = &restoredRecord{version: version, receivedAt: h.Clock.Now()}
	h.Metrics.recordsRestored.Inc(1)
	h.Log.Warn().Str("group", string(id)).Uint64("era", uint64(version.Era)).Uint64("version", uint64(version.Version)).
		Uint64("written", uint64(r.Era)).Str("found", string(r.Primary)).Str("found_phase", string(r.Phase)).
		Uint64("known_era", uint64(l.version.Era)).Uint64("known_version", uint64(l.version.Version)).
		Str("known", string(l.record.Primary)).Str("known_phase", string(l.record.Phase)).
		Msg("leadership record is of another era and not believed")
}

// markMissingLeaderships records which groups have no record in a listing of a new era of the
// store.
func (h *Host) markMissingLeaderships(listing proxy.Listing) {
	present := make(map[proxy.GroupID]bool, len(listing.Records))
	for _, record := range listing.Records {
		present[proxy.GroupID(record.Name)] = true
	}
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for id, l := range cs.leaderships {
		if !present[id] && listing.Version.Era > l.version.Era {
			h.recordRestoredLocked(id, failover.Record{}, proxy.StoreVersion{Era: listing.Version.Era})
		}
	}
}

// confirmLeaderships records that the store had no other leadership records as of confirmedAt.
func (s *clusterState) confirmLeaderships(confirmedAt proxy.Instant, era proxy.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leadershipConfirmedAt, s.leadershipEra = max(s.leadershipConfirmedAt, confirmedAt), era
	s.extendLeasesLocked()
}

// confirmRegistrationLocked records that the store holds this host's entry in an era. The caller
// holds s.mu.
func (s *clusterState) confirmRegistrationLocked(era proxy.Era) {
	s.registeredEra = era
	s.extendLeasesLocked()
}

// extendLeasesLocked passes the last confirmation of the leadership records to the groups. In an
// era in which the host is not known to be registered, it extends no lease: a coordinator does
// not wait for a host that it has not listed. The caller holds s.mu.
func (s *clusterState) extendLeasesLocked() {
	if s.registeredEra != s.leadershipEra {
		return
	}
	for _, l := range s.leaderships {
		if l.affirmed() && l.version.Era == s.leadershipEra {
			l.confirmedAt = max(l.confirmedAt, s.leadershipConfirmedAt)
		}
	}
}

// affirmLeadership writes a group's record again in the era of the store. The host had a lease on
// the primary when it knew what the store holds, so that the primary was not replaced; the write
// succeeds only if the store still holds that.
func (h *Host) affirmLeadership(ctx context.Context, id proxy.GroupID, primary proxy.InstanceID, found proxy.StoreVersion) {
	h.writeLeadership(ctx, id, failover.Record{Primary: primary, Phase: failover.Settled, Era: found.Era}, found)
}

// writeLeadership writes a leadership record that is not part of a failover.
func (h *Host) writeLeadership(ctx context.Context, id proxy.GroupID, record failover.Record, expected proxy.StoreVersion) {
	written, err := h.Store.Write(ctx, leadershipKind, string(id), record, expected)
	if err != nil {
		if !errors.Is(err, proxy.ErrConflict) {
			h.Log.Warn().Err(err).Str("group", string(id)).Msg("leadership record was not written")
		}
		return
	}
	h.Log.Info().Str("group", string(id)).Str("primary", string(record.Primary)).
		Uint64("era", uint64(written.Version.Era)).Uint64("version", uint64(written.Version.Version)).
		Uint64("replaced", uint64(expected.Version)).Msg("leadership record written")
	h.applyLeadership(id, record, written.Version)
}

// applyLeadership records a version of a group's leadership record that did not come
// from the watch, and uses it at once.
func (h *Host) applyLeadership(id proxy.GroupID, r failover.Record, version proxy.StoreVersion) {
	if h.recordLeadership(id, r, version) {
		h.updateDispatch()
	}
}
