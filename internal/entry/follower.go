package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// firstResponseTimeout limits the time until a relay begins to answer a restarted host that
	// has no state of the kind. Such a host serves nobody, and after a restart of all hosts its
	// relay may be without state for longer than the host itself.
	firstResponseTimeout = 120 * time.Millisecond
	// firstRelayWait is how long a relay without state holds a request of such a host.
	firstRelayWait = 60 * time.Millisecond
)

// follower keeps the objects of one kind up to date, from the store or from another
// host of its zone that relays them.
type follower struct {
	host *Host
	kind proxy.Kind
	// watchWait is how long the store may hold a watch without a change.
	watchWait time.Duration
	// changePause is the pause after a watch has returned changes, in which further ones
	// are collected.
	changePause time.Duration
	// maxConfirmationAge is the age from which a relay's confirmation is too old.
	maxConfirmationAge time.Duration
	mirror             *mirror
	// applySnapshot applies all objects of the kind, applyChanges single changes. A new era
	// begins with a snapshot. The argument confirmedAt is the instant as of which there were no
	// other changes.
	applySnapshot func(confirmedAt proxy.Instant, listing proxy.Listing)
	applyChanges  func(confirmedAt proxy.Instant, listing proxy.Listing)

	// relay is the host that was followed last.
	relay proxy.HostID
	// version is the store's version of the state. Its number is zero while there is no state or
	// the whole state is needed.
	version proxy.StoreVersion
	// confirmedAt is the instant as of which the state was confirmed to be complete.
	confirmedAt proxy.Instant
	// relist reports that the last call failed, so that the next call is a listing.
	relist bool
	// listNext reports that the next call is a listing of the store, since a relay cannot
	// provide the state that a restarted host needs.
	listNext bool
	// crossZoneUntil is when the fallback to relays in other zones ends; it is set
	// when the store does not answer this host.
	crossZoneUntil proxy.Instant
	// storeFailing reports that the last call to the store failed.
	storeFailing bool
}

func (h *Host) newFollower(kind proxy.Kind, watchWait time.Duration) *follower {
	f := &follower{host: h, kind: kind, watchWait: watchWait, mirror: h.mirrors[kind]}
	f.maxConfirmationAge = 2*watchWait + relayAgeMargin
	if watchWait > confirmationWait {
		// No decision depends on the age of this kind.
		f.maxConfirmationAge = maxUnconfirmedAge
		f.changePause = f.mirror.batchDelay
	}
	return f
}

// run follows a relay or the store until ctx ends.
func (f *follower) run(ctx context.Context) {
	pause := retryDelay
	f.listNext = f.awaitsLease()
	for ctx.Err() == nil {
		if relay, ok := f.selectRelay(); ok {
			if f.readRelay(ctx, relay) {
				f.listNext = f.awaitsLease()
				continue
			}
			if f.listNext = f.hurries() || f.awaitsLease(); !f.listNext && !timing.Sleep(ctx, relayRetryDelay) {
				return
			}
			continue
		}
		watched := f.version.Version != 0 && !f.relist
		err := f.readStore(ctx)
		f.listNext = false
		if ctx.Err() != nil {
			return
		}
		f.relist = err != nil
		if err != nil && watched {
			// A store that holds watches back or has discarded its history may still
			// answer a listing at once.
			f.host.Log.Info().Err(err).Str("kind", string(f.kind)).Msg("watch ended, listing again")
			continue
		}
		if err != nil {
			f.crossZoneUntil = f.host.Clock.Now().Add(crossZoneTime)
		}
		f.recordStoreResult(err)
		switch {
		case err == nil:
			pause = retryDelay
		case !timing.Sleep(ctx, jitter(pause)):
			return
		default:
			pause = min(2*pause, maxRetryDelay)
		}
	}
}

// hurries reports whether the host is without state of the kind after a restart. A host that
// is new serves only after joinWait and can wait for its relay.
func (f *follower) hurries() bool { return f.version.Version == 0 && f.host.restarted.Load() }

// awaitsLease reports whether the host has restarted and not yet received leadership records
// that let it use primaries. A relay has them only after its next watch.
func (f *follower) awaitsLease() bool {
	if f.kind != leadershipKind || !f.host.restarted.Load() {
		return false
	}
	cs := f.host.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return f.confirmedAt < cs.leaseFrom
}

// selectRelay returns the relay to follow. It returns false if the host has to read from
// the store.
func (f *follower) selectRelay() (peering.Peer, bool) {
	if f.listNext {
		return peering.Peer{}, false
	}
	return f.host.selectRelay(f.host.Clock.Now() < f.crossZoneUntil, f.relay)
}

// jitter varies a pause by up to a quarter, so that hosts do not call the store at
// the same time.
func jitter(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.75 + rand.Float64()/2))
}

// readStore makes one call to the store. It lists the objects if the state is
// unknown, or if it is so old that it needs a confirmation before a watch would
// return one.
func (f *follower) readStore(ctx context.Context) error {
	sent := f.host.Clock.Now()
	f.host.Metrics.storeReads.Inc(1)
	if f.version.Version == 0 || f.relist || f.listNext || sent.Sub(f.confirmedAt) > f.watchWait+maxResumeAge {
		listing, err := f.host.Store.List(ctx, f.kind)
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		f.apply(sent, listing, true, 0)
		return nil
	}
	listing, err := f.host.Store.Watch(ctx, f.kind, f.version, f.watchWait)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	f.apply(sent, listing, false, 0)
	if len(listing.Records) > 0 {
		timing.Sleep(ctx, f.changePause)
	}
	return nil
}

// apply applies a snapshot or changes that were received over a number of relays,
// first to this host's state, then to the mirror, which serves the host's own
// followers.
func (f *follower) apply(confirmedAt proxy.Instant, listing proxy.Listing, snapshot bool, hops int) {
	if f.version.Version == 0 {
		f.logFirstState(confirmedAt, listing, hops)
	}
	for _, u := range listing.Unreadable {
		f.host.rejected.add(f.kind, u.Name, proxy.StoreVersion{}, u.Reason)
	}
	if snapshot {
		f.host.rejected.retain(f.kind, listing)
		f.applySnapshot(confirmedAt, listing)
		f.mirror.applySnapshot(confirmedAt, listing, hops)
	} else {
		f.applyChanges(confirmedAt, listing)
		f.mirror.applyChanges(confirmedAt, listing, hops)
	}
	f.version, f.confirmedAt = listing.Version, confirmedAt
}

// logFirstState logs where the first state of the kind comes from, its age and that of the
// process.
func (f *follower) logFirstState(confirmedAt proxy.Instant, listing proxy.Listing, hops int) {
	now := f.host.Clock.Now()
	line := f.host.Log.Info().Str("kind", string(f.kind)).Uint64("era", uint64(listing.Version.Era)).Uint64("version", uint64(listing.Version.Version)).
		Dur("age", now.Sub(confirmedAt)).Dur("running", now.Sub(f.host.startedAt))
	if hops > 0 {
		line.Str("relay", string(f.relay))
	}
	line.Msg("first state received")
}

// readRelay makes one request to a relay. It returns false if the relay does not
// answer or its confirmation is too old, so that another source has to be used.
func (f *follower) readRelay(ctx context.Context, relay peering.Peer) bool {
	f.relay = relay.Host
	if !f.host.relayUsable(ctx, relay) {
		return false
	}
	sent := f.host.Clock.Now()
	timeout := relayWait + f.mirror.batchDelay + relayTimeoutMargin
	beginTimeout := timeout
	if f.hurries() {
		beginTimeout = firstResponseTimeout + f.mirror.batchDelay
	}
	response, err := f.host.fetchFromRelay(ctx, relay, f.query(), beginTimeout, timeout)
	if err != nil {
		if ctx.Err() == nil {
			f.host.excludeRelay(relay.Host, err)
		}
		return false
	}
	// The relay's clock may run 1% slower.
	confirmedAt := sent.Add(min(response.ConfirmationOffset, 0) * 101 / 100)
	if age := f.host.Clock.Now().Sub(confirmedAt); age > f.maxConfirmationAge {
		f.host.excludeRelay(relay.Host, eris.Errorf("confirmation of %s is %v old", f.kind, age))
		return false
	}
	if response.Hops > maxHops {
		f.host.excludeRelay(relay.Host, eris.Errorf("%s arrived over too many relays: %d", f.kind, response.Hops))
		return false
	}
	if f.version.After(response.Version) {
		// The relay has not yet received what this host has read from the store
		// itself.
		return true
	}
	f.host.eras.observe(response.Version.Era)
	records, err := f.mirror.decode(response.Changes)
	if err == nil && !response.Snapshot && response.Version.Era != f.version.Era {
		err = errOldEra
	}
	if err != nil {
		// A relay sends a snapshot to a host that reports no version.
		f.host.Log.Info().Err(err).Str("relay", string(relay.Host)).Str("kind", string(f.kind)).
			Msg("whole state needed")
		f.version.Version = 0
		return true
	}
	f.apply(confirmedAt, proxy.Listing{Records: records, Version: response.Version},
		response.Snapshot, response.Hops+1)
	return true
}

// query returns the query of a request to a relay.
func (f *follower) query() url.Values {
	query := url.Values{
		"kind":  {string(f.kind)},
		"known": {strconv.FormatUint(uint64(f.version.Version), 10)},
	}
	if f.version.Era != 0 {
		query.Set(relayQueryEra, strconv.FormatUint(uint64(f.version.Era), 10))
	}
	if f.hurries() {
		query.Set(relayQuerySoon, "1")
	}
	return query
}

// recordStoreResult records whether the last call to the store succeeded, and logs
// changes.
func (f *follower) recordStoreResult(err error) {
	storeFailing := err != nil
	if storeFailing != f.storeFailing {
		f.storeFailing = storeFailing
		if storeFailing {
			f.mirror.markFailing()
			f.host.Log.Warn().Err(err).Str("kind", string(f.kind)).Msg("store lost")
		} else {
			f.host.Log.Info().Str("kind", string(f.kind)).Msg("store regained")
		}
	}
}
