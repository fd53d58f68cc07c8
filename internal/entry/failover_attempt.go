package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

// failoverAttempt is one host's attempt to coordinate the failover of a primary.
type failoverAttempt struct {
	host  *Host
	group proxy.GroupID
	// reason is why the primary is replaced. baseVersion is the version of the
	// leadership record that the attempt starts from.
	reason      failover.Reason
	baseVersion proxy.Version
	// takenOver reports that an earlier attempt may have sent promotion requests.
	takenOver bool
	// record is the leadership record that the attempt writes. version is the version
	// that the store assigned to it.
	record  failover.Record
	version proxy.Version

	// startedAt is when the write of the record began. acknowledgedAt is when this
	// host had received the store's acknowledgement of that write.
	startedAt, acknowledgedAt proxy.Instant
	// unconfirmedHosts are the hosts that have not yet confirmed that they no longer
	// use the old primary; nil before they are listed.
	unconfirmedHosts map[proxy.HostID]peering.Peer
	// promoting is the instance whose promotion this attempt requested. requestedAt is
	// the time of the first request for it. requestAccepted reports that the platform
	// has accepted the last request. rejectedInstance is the instance whose promotion
	// the platform last rejected.
	promoting, rejectedInstance proxy.InstanceID
	requestedAt                 proxy.Instant
	requestAccepted             bool
	// storeFailingSince is when the store began to leave the attempt without answers; zero
	// while it answers. The lock of the cluster state guards it and version.
	storeFailingSince proxy.Instant
}

// run writes the record that begins the failover and coordinates it to its end.
func (a *failoverAttempt) run(ctx context.Context) {
	h := a.host
	defer a.begin()()
	if a.reason == failover.Unreachable && h.probe(a.record.Primary) {
		return
	}
	log := h.Log.With().Str("group", string(a.group)).Str("primary", string(a.record.Primary)).Logger()
	log.Info().Str("reason", string(a.reason)).Uint64("version", uint64(a.baseVersion)).Msg("replacement begins")
	a.startedAt = h.Clock.Now()
	if err := a.writeRecord(ctx); err != nil {
		log.Info().Err(err).Msg("replacement was not begun")
		return
	}
	successor, err := a.coordinate(ctx)
	if err != nil {
		log.Warn().Err(err).Uint64("version", uint64(a.version)).Msg("replacement failed")
		return
	}
	log.Info().Str("successor", string(successor)).Dur("took", h.Clock.Now().Sub(a.startedAt)).Msg("replacement done")
}

// begin registers the attempt with the cluster state and returns a function that ends it.
func (a *failoverAttempt) begin() (end func()) {
	cs := a.host.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.attempts[a.group] = a
	return func() {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		delete(cs.attempts, a.group)
	}
}

// writeRecord writes the record that begins the failover. If the store's answer is lost,
// the watch tells whether the record was written; if it does not either, this host leaves
// the failover to others for some time.
func (a *failoverAttempt) writeRecord(ctx context.Context) error {
	h := a.host
	written, err := h.Store.Write(ctx, leadershipKind, string(a.group), a.record, a.baseVersion)
	a.recordStoreCall(err)
	version := written.Version
	if err != nil {
		if errors.Is(err, proxy.ErrConflict) || errors.Is(err, proxy.ErrRefused) {
			return fmt.Errorf("write record: %w", err)
		}
		var ok bool
		if version, ok = a.awaitRecord(ctx); !ok {
			h.clusterState.mu.Lock()
			h.clusterState.attemptAfter = h.Clock.Now().Add(attemptPause)
			h.clusterState.mu.Unlock()
			return fmt.Errorf("write record: %w", err)
		}
	}
	h.clusterState.mu.Lock()
	a.version, a.acknowledgedAt = version, h.Clock.Now()
	h.clusterState.mu.Unlock()
	h.applyLeadership(a.group, a.record, version)
	return nil
}

// awaitRecord waits until this host receives the record that the attempt has written, and
// returns its version.
func (a *failoverAttempt) awaitRecord(ctx context.Context) (proxy.Version, bool) {
	cs := a.host.clusterState
	for start := a.host.Clock.Now(); a.host.Clock.Now().Sub(start) < storeFailingTimeout; {
		cs.mu.Lock()
		l := cs.leaderships[a.group]
		received := l != nil && l.version > a.baseVersion && l.record == a.record
		version := proxy.Version(0)
		if received {
			version = l.version
		}
		cs.mu.Unlock()
		if received {
			return version, true
		}
		if !timing.Sleep(ctx, pollInterval) {
			return 0, false
		}
	}
	return 0, false
}

// recordStoreCall records whether the store has answered a call of the attempt.
func (a *failoverAttempt) recordStoreCall(err error) {
	a.host.clusterState.mu.Lock()
	defer a.host.clusterState.mu.Unlock()
	answered := err == nil || errors.Is(err, proxy.ErrConflict)
	if answered {
		a.storeFailingSince = 0
	} else if a.storeFailingSince == 0 {
		a.storeFailingSince = a.host.Clock.Now()
	}
}

// stalled reports whether the store leaves the attempt without answers, so that another
// host should take the failover over. The caller holds the lock of the cluster state.
func (a *failoverAttempt) stalled(now proxy.Instant) bool {
	return a.storeFailingSince != 0 && now.Sub(a.storeFailingSince) > storeFailingTimeout
}

// coordinate retires the old primary, has a successor promoted, and records it. It
// returns the new primary. If only the record was overwritten, the old primary may remain.
func (a *failoverAttempt) coordinate(ctx context.Context) (proxy.InstanceID, error) {
	if err := a.awaitRetirement(ctx); err != nil {
		return "", err
	}
	overwritten := a.reason == failover.Overwritten
	var finalPosition *proxy.Bookmark
	if !overwritten {
		finalPosition = a.stepDown()
	}
	for a.mayContinue() {
		instances := a.host.clusterState.groupInstances(a.group)
		statuses := a.host.inspectAll(instances)
		primary, ok := failover.CurrentPrimary(statuses)
		// A newer term is known to most instances, if not to the old primary.
		kept := overwritten && 2*len(statuses) > len(instances)
		if ok && (primary != a.record.Primary || kept) && (primary == a.promoting || !a.promotionPending()) {
			return primary, a.recordPrimary(ctx, primary)
		}
		if target, ok := a.target(instances, statuses, finalPosition); ok {
			a.requestPromotion(ctx, target)
		}
		if !timing.Sleep(ctx, pollInterval) {
			return "", ctx.Err()
		}
	}
	return "", eris.New("failover did not complete within the time of an attempt")
}

// promotionPending reports whether a promotion request of this attempt may still take
// effect.
func (a *failoverAttempt) promotionPending() bool {
	return a.promoting != "" && a.host.Clock.Now().Sub(a.requestedAt) < failover.PromotionTimeout
}

// target returns the instance whose promotion to request now, or false if there is
// nothing to request. While a promotion is pending, its request is repeated until the
// platform has accepted it. Otherwise the target is the best successor. If the old
// primary's finalPosition is known, the successor must have received the log up to it
// before it is promoted. This requirement is dropped once failover.Lease plus
// catchUpTimeout have passed since the store acknowledged the record.
func (a *failoverAttempt) target(
	instances []directory.Instance, statuses map[proxy.InstanceID]proxy.ReplicationStatus, finalPosition *proxy.Bookmark,
) (proxy.InstanceID, bool) {
	if a.promotionPending() {
		return a.promoting, !a.requestAccepted
	}
	successor, ok := failover.Successor(instances, statuses, finalPosition, a.record.Primary, a.rejectedInstance)
	if !ok {
		return "", false
	}
	waitExpired := a.host.Clock.Now().Sub(a.acknowledgedAt) > failover.Lease+catchUpTimeout
	if finalPosition != nil && statuses[successor].Received.Before(*finalPosition) && !waitExpired {
		return "", false
	}
	return successor, true
}

// requestPromotion requests the promotion of target and records the result.
func (a *failoverAttempt) requestPromotion(ctx context.Context, target proxy.InstanceID) {
	first := a.promoting != target
	sent, err := a.sendPromotion(ctx, target)
	if sent && first {
		a.promoting, a.requestedAt = target, a.host.Clock.Now()
	}
	a.requestAccepted = err == nil
	if err == nil {
		return
	}
	a.host.Log.Warn().Err(err).Str("group", string(a.group)).Bool("sent", sent).Msg("promotion was not accepted")
	if errors.Is(err, proxy.ErrConflict) && first {
		a.promoting, a.rejectedInstance = "", target
	}
}

// mayContinue reports whether the attempt is within its time and the group's record
// is still the one that it wrote.
func (a *failoverAttempt) mayContinue() bool {
	now := a.host.Clock.Now()
	cs := a.host.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	l := cs.leaderships[a.group]
	return now.Sub(a.startedAt) < failover.AttemptTimeout && l != nil && l.version == a.version
}

// awaitRetirement waits until no host uses the old primary any more.
func (a *failoverAttempt) awaitRetirement(ctx context.Context) error {
	for a.mayContinue() {
		allConfirmed := a.allConfirmed(ctx)
		since := a.host.Clock.Now().Sub(a.acknowledgedAt)
		if failover.Retired(since, allConfirmed) &&
			(!a.takenOver || since > failover.TakeoverPromotionDelay) {
			return nil
		}
		if !timing.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return errSuperseded
}

// allConfirmed asks the registered hosts whether they have accepted the failover, and
// reports whether all of them have. It lists the hosts after the store has
// acknowledged the record: a host that registers later reads the record before it
// uses a primary, and need not be asked.
func (a *failoverAttempt) allConfirmed(ctx context.Context) bool {
	if a.unconfirmedHosts == nil {
		listing, err := a.host.Store.List(ctx, memberKind)
		a.recordStoreCall(err)
		if err != nil {
			a.host.Log.Warn().Err(err).Str("group", string(a.group)).Msg("hosts were not listed")
			return false
		}
		a.unconfirmedHosts = make(map[proxy.HostID]peering.Peer, len(listing.Records))
		for _, record := range listing.Records {
			e, err := decodeHostEntry(record)
			if err != nil {
				a.host.Log.Warn().Err(err).Str("entry", record.Name).Msg("host entry is not readable")
			}
			id := proxy.HostID(record.Name)
			a.unconfirmedHosts[id], _ = (&member{entry: e}).peer(id)
		}
	}
	announcement := &peering.Announcement{Group: a.group, Version: a.version, Record: a.record}
	for _, s := range a.host.peerEndpoint.QueryStates(ctx,
		slices.Collect(maps.Values(a.unconfirmedHosts)), announcement, voteTimeout) {
		if slices.Contains(s.Accepted, peering.Acceptance{Group: a.group, Version: a.version}) {
			delete(a.unconfirmedHosts, s.Host)
		}
	}
	return len(a.unconfirmedHosts) == 0
}

// stepDown makes the old primary a replica if it can be reached, and returns the end
// of its log.
func (a *failoverAttempt) stepDown() *proxy.Bookmark {
	cs := a.host.clusterState
	cs.mu.Lock()
	old, ok := cs.instances[a.record.Primary]
	cs.mu.Unlock()
	if !ok {
		return nil
	}
	status, err := a.host.inspect(old.Instance)
	if err != nil {
		a.host.Log.Info().Err(err).Str("instance", string(old.ID)).Msg("old primary was not reached")
		return nil
	}
	if !status.Primary {
		return &status.Received
	}
	command := proxy.Statement{Verb: proxy.StepDown, Term: status.Term + 1}
	status, err = a.host.queryStatus(old.Instance, command)
	if err != nil {
		a.host.Log.Warn().Err(err).Str("instance", string(old.ID)).Msg("old primary did not step down")
		return nil
	}
	return &status.Received
}

// sendPromotion requests a promotion with the record's version as the fencing token,
// after it has checked that the record is unchanged. It reports whether a request was
// sent.
func (a *failoverAttempt) sendPromotion(ctx context.Context, successor proxy.InstanceID) (sent bool, err error) {
	read := a.host.Clock.Now()
	listing, err := a.host.Store.List(ctx, leadershipKind)
	a.recordStoreCall(err)
	if err != nil {
		return false, fmt.Errorf("read leadership record before promotion: %w", err)
	}
	for _, record := range listing.Records {
		if record.Name == string(a.group) && record.Version != a.version {
			return false, errSuperseded
		}
	}
	stillValid := func() bool {
		return a.mayContinue() && a.host.Clock.Now().Sub(read) <= failover.PromotionSendTimeout
	}
	if !stillValid() {
		return false, errSuperseded
	}
	promotion := proxy.Promotion{
		Group: a.group, Instance: successor, Holder: a.host.Settings.Host, Fence: uint64(a.version),
		StillValid: stillValid,
	}
	a.host.Log.Info().Str("group", string(a.group)).Str("successor", string(successor)).
		Uint64("fence", promotion.Fence).Msg("promotion ordered")
	if err := a.host.Promoter.Promote(ctx, promotion); err != nil {
		return !errors.Is(err, proxy.ErrExpired), fmt.Errorf("request promotion: %w", err)
	}
	return true, nil
}

// recordPrimary writes the new primary to the leadership record. If the store's
// answer is lost, the watch of the records tells whether the write took effect.
func (a *failoverAttempt) recordPrimary(ctx context.Context, successor proxy.InstanceID) error {
	record := failover.Record{Primary: successor, Phase: failover.Settled}
	for a.mayContinue() {
		written, err := a.host.Store.Write(ctx, leadershipKind, string(a.group), record, a.version)
		a.recordStoreCall(err)
		if err == nil {
			a.host.applyLeadership(a.group, record, written.Version)
			return nil
		}
		a.host.Log.Warn().Err(err).Str("group", string(a.group)).Msg("new primary was not recorded")
		if !timing.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	cs := a.host.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if l := cs.leaderships[a.group]; l != nil && l.record == record {
		return nil
	}
	return errSuperseded
}
