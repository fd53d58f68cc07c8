package entry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/evacuation"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

// failoverAttempt is one host's attempt to coordinate the failover of a primary.
type failoverAttempt struct {
	host  *Host
	group proxy.GroupID
	// reason is why the primary is replaced. baseVersion is the version of the
	// leadership record that the attempt starts from.
	reason      failover.Reason
	baseVersion proxy.StoreVersion
	// takenOver reports that an earlier attempt may have sent promotion requests.
	takenOver bool
	// record is the leadership record that the attempt writes. version is the version
	// that the store assigned to it.
	record  failover.Record
	version proxy.StoreVersion

	// startedAt is when the write of the record began. acknowledgedAt is when this
	// host had received the store's acknowledgement of that write.
	startedAt, acknowledgedAt proxy.Instant
	// unconfirmedHosts are the hosts that have not yet confirmed that they no longer
	// use the old primary; nil before they are listed.
	unconfirmedHosts map[proxy.HostID]peering.Peer
	// promoting is the instance whose promotion this attempt requested. requestedAt is
	// the time of the first request for it. requestAccepted reports that the platform
	// has accepted the last request. rejectedInstance is the instance whose promotion
	// the platform last rejected, at rejectedAt.
	promoting, rejectedInstance proxy.InstanceID
	requestedAt, rejectedAt     proxy.Instant
	requestAccepted             bool
	// finalPosition is the end of the old primary's log, which it reported when it had
	// stepped down at steppedDownAt; nil if it is not known. stepDownTriedAt is when it was
	// first asked to, stepDownRefused that its last answer was a refusal.
	finalPosition                  *proxy.Bookmark
	steppedDownAt, stepDownTriedAt proxy.Instant
	stepDownRefused                bool
	// missingLogged reports that logMissing has logged.
	missingLogged bool
	// eraSince is since when at the latest the store is in the era of the record. The host that
	// has known it for longest tells.
	eraSince proxy.Instant
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
	log.Info().Str("reason", string(a.reason)).Uint64("era", uint64(a.baseVersion.Era)).Uint64("version", uint64(a.baseVersion.Version)).Msg("replacement begins")
	a.startedAt = h.Clock.Now()
	if err := a.writeRecord(ctx); err != nil {
		log.Info().Err(err).Msg("replacement was not begun")
		return
	}
	successor, err := a.coordinate(ctx)
	if err != nil {
		log.Warn().Err(err).Uint64("era", uint64(a.version.Era)).Uint64("version", uint64(a.version.Version)).Msg("replacement failed")
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
	if version.Era != a.record.Era {
		return fmt.Errorf("record of era %d was written in era %d: %w", a.record.Era, version.Era, errSuperseded)
	}
	h.clusterState.mu.Lock()
	a.version, a.acknowledgedAt = version, h.Clock.Now()
	h.clusterState.mu.Unlock()
	_, a.eraSince = h.eras.current()
	h.applyLeadership(a.group, a.record, version)
	return nil
}

// awaitRecord waits until this host receives the record that the attempt has written, and
// returns its version.
func (a *failoverAttempt) awaitRecord(ctx context.Context) (proxy.StoreVersion, bool) {
	cs := a.host.clusterState
	for start := a.host.Clock.Now(); a.host.Clock.Now().Sub(start) < storeFailingTimeout; {
		cs.mu.Lock()
		l := cs.leaderships[a.group]
		received := l != nil && l.version.After(a.baseVersion) && l.record == a.record
		var version proxy.StoreVersion
		if received {
			version = l.version
		}
		cs.mu.Unlock()
		if received {
			return version, true
		}
		if !timing.Sleep(ctx, pollInterval) {
			return version, false
		}
	}
	return proxy.StoreVersion{}, false
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
// returns the new primary. The old primary may remain if only the record was overwritten, or
// if it answers again before there is a successor.
func (a *failoverAttempt) coordinate(ctx context.Context) (proxy.InstanceID, error) {
	if err := a.awaitRetirement(ctx); err != nil {
		return "", err
	}
	recordLost := a.reason.RecordLost()
	for a.mayContinue() {
		if !recordLost && (a.stepDownTriedAt == 0 || a.stepDownRefused) {
			a.stepDown()
		}
		election := a.election()
		primary, ok := failover.CurrentPrimary(election.Statuses)
		// A newer term is known to most instances, if not to the old primary.
		kept := recordLost && 2*len(election.Statuses) > len(election.Instances)
		if ok && (primary != a.record.Primary || kept) && (primary == a.promoting || !a.promotionPending()) {
			return primary, a.recordPrimary(ctx, primary)
		}
		target, found := a.target(election)
		switch {
		case found:
			a.requestPromotion(ctx, target)
		case ok && primary == a.record.Primary && a.mayKeepPrimary(election):
			a.host.Log.Info().Str("group", string(a.group)).Str("primary", string(primary)).
				Msg("primary answers again and is kept")
			return primary, a.recordPrimary(ctx, primary)
		case election.Synchronous > 0 && !a.promotionPending():
			a.logMissing(election)
		}
		if !timing.Sleep(ctx, pollInterval) {
			return "", ctx.Err()
		}
	}
	return "", eris.New("failover did not complete within the time of an attempt")
}

// election inspects the instances of the group and returns the state of the election.
func (a *failoverAttempt) election() failover.Election {
	cs := a.host.clusterState
	e := failover.Election{
		Primary: a.record.Primary, Synchronous: cs.synchronousReplicas(a.group), Final: a.finalPosition,
		Waited: a.host.Clock.Now().Sub(a.acknowledgedAt),
	}
	if e.Synchronous == 0 {
		e.Instances = cs.groupInstances(a.group)
	} else {
		e.Instances, e.Partial = cs.possibleInstances(a.host.Clock.Now(), a.group)
	}
	a.leaveOutEvacuated(&e)
	e.Statuses = a.host.inspectAll(e.Instances)
	now := a.host.Clock.Now()
	if a.finalPosition != nil {
		e.SteppedDown = now.Sub(a.steppedDownAt)
	}
	if a.rejectedInstance != "" && now.Sub(a.rejectedAt) < rejectionPause {
		e.Rejected = a.rejectedInstance
	}
	return e
}

// leaveOutEvacuated marks the instances in evacuated zones. Those in closed zones are not
// inspected either, unless they may have the only copy of a commit.
func (a *failoverAttempt) leaveOutEvacuated(e *failover.Election) {
	now := a.host.Clock.Now()
	e.Evacuated = make(map[proxy.InstanceID]bool)
	e.Instances = slices.DeleteFunc(e.Instances, func(i directory.Instance) bool {
		if !a.host.evacuations.Evacuated(i.Zone) {
			return false
		}
		e.Evacuated[i.ID] = true
		return e.Synchronous == 0 && a.host.evacuations.State(now, i.Zone) == evacuation.Closed
	})
}

// promotionPending reports whether a promotion request of this attempt may still take
// effect.
func (a *failoverAttempt) promotionPending() bool {
	return a.promoting != "" && a.host.Clock.Now().Sub(a.requestedAt) < failover.PromotionTimeout
}

// target returns the instance whose promotion to request now, or false if there is
// nothing to request. While a promotion is pending, its request is repeated until the
// platform has accepted it. Otherwise the target is the successor of the election. It
// waits for a busy primary to step down.
func (a *failoverAttempt) target(e failover.Election) (proxy.InstanceID, bool) {
	if a.promotionPending() {
		return a.promoting, !a.requestAccepted
	}
	if a.stepDownRefused && a.host.Clock.Now().Sub(a.stepDownTriedAt) < stepDownTimeout {
		return "", false
	}
	return e.Successor()
}

// logMissing logs once that no instance is known to have all acknowledged commits, and
// which instances have not answered.
func (a *failoverAttempt) logMissing(e failover.Election) {
	if a.missingLogged {
		return
	}
	a.missingLogged = true
	var missing []string
	for _, i := range e.Instances {
		if _, ok := e.Statuses[i.ID]; !ok {
			missing = append(missing, string(i.ID))
		}
	}
	a.host.Log.Warn().Str("group", string(a.group)).Strs("missing", missing).Bool("partial", e.Partial).
		Msg("no instance is known to have all acknowledged commits")
}

// mayKeepPrimary reports whether the old primary, which answers as the primary of the
// newest term, may go on. No promotion that could still take effect may have been
// requested, by an earlier attempt either.
func (a *failoverAttempt) mayKeepPrimary(e failover.Election) bool {
	return e.Synchronous > 0 && !a.reason.Planned() && a.promoting == "" &&
		(!a.takenOver || e.Waited > failover.PromotionTimeout)
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
		a.promoting, a.rejectedInstance, a.rejectedAt = "", target, a.host.Clock.Now()
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
	return now.Sub(a.startedAt) < failover.AttemptTimeout && l != nil && l.version == a.version && l.affirmed()
}

// awaitRetirement waits until no host uses the old primary any more.
func (a *failoverAttempt) awaitRetirement(ctx context.Context) error {
	for a.mayContinue() {
		allConfirmed := a.allConfirmed(ctx)
		since := a.host.Clock.Now().Sub(a.acknowledgedAt)
		if failover.Retired(since, allConfirmed, a.restoredFor()) &&
			(!a.takenOver || since > failover.TakeoverPromotionDelay) {
			a.host.Log.Info().Str("group", string(a.group)).Uint64("era", uint64(a.version.Era)).Uint64("version", uint64(a.version.Version)).
				Bool("confirmed", allConfirmed).Dur("after", since).Msg("replacement may promote")
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
		if listing.Version.Era != a.version.Era {
			return false // the attempt ends, since its record is not the store's any more
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
		if s.Era == a.version.Era {
			a.eraSince = min(a.eraSince, a.host.Clock.Now().Add(-s.EraAge))
		}
		if slices.Contains(s.Accepted, peering.Acceptance{Group: a.group, Version: a.version}) {
			delete(a.unconfirmedHosts, s.Host)
		}
	}
	return len(a.unconfirmedHosts) == 0
}

// restoredFor returns for how long the era of the attempt's record is known to last.
func (a *failoverAttempt) restoredFor() time.Duration {
	if a.version.Era == 0 {
		return failover.NeverRestored
	}
	return a.host.Clock.Now().Sub(a.eraSince)
}

// stepDown makes the old primary a replica if it can be reached, and records the end of
// its log.
func (a *failoverAttempt) stepDown() {
	if a.stepDownTriedAt == 0 {
		a.stepDownTriedAt = a.host.Clock.Now()
	}
	a.stepDownRefused = false
	old, ok := a.host.clusterState.knownInstance(a.record.Primary)
	if !ok {
		return
	}
	status, err := a.host.inspect(old)
	if err == nil && status.Primary {
		status, err = a.host.queryStatus(old, proxy.Statement{Verb: proxy.StepDown, Term: status.Term + 1})
	}
	if err != nil {
		var failure *proxy.Failure
		a.stepDownRefused = errors.As(err, &failure)
		a.host.Log.Info().Err(err).Str("instance", string(old.ID)).Msg("old primary did not step down")
		return
	}
	a.finalPosition, a.steppedDownAt = &status.Received, a.host.Clock.Now()
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
	if !slices.ContainsFunc(listing.Records, func(r proxy.Record) bool {
		return r.Name == string(a.group) && r.Version == a.version
	}) {
		return false, errSuperseded
	}
	stillValid := func() bool {
		return a.mayContinue() && a.host.Clock.Now().Sub(read) <= failover.PromotionSendTimeout
	}
	if !stillValid() {
		return false, errSuperseded
	}
	promotion := proxy.Promotion{
		Group: a.group, Instance: successor, Holder: a.host.Settings.Host, Fence: a.version.Fence(),
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
	record := failover.Record{Primary: successor, Phase: failover.Settled, Era: a.record.Era}
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
