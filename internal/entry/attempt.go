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
	"github.com/auburnyoke/auburnyoke/pkg/proxy/succession"
)

// attempt is one host's replacement of a primary.
type attempt struct {
	host  *Host
	group proxy.GroupID
	// reason is why the primary is replaced, base the version of the record that
	// the attempt starts from.
	reason succession.Reason
	base   proxy.Version
	// continued reports that an earlier attempt may have sent promote calls.
	continued bool
	// record is what the attempt writes, and version the version that it got.
	record  succession.Record
	version proxy.Version

	// began is the instant before the record was written, accepted the instant
	// after the store acknowledged it.
	began, accepted proxy.Instant
	// waiting are the hosts that have not confirmed; nil before they are listed.
	waiting map[proxy.HostID]peering.Peer
	// ordered is the instance for which a promote call was sent first at
	// orderedAt; answered tells whether the platform has accepted it. The
	// platform has rejected the promotion of rejected.
	ordered, rejected proxy.InstanceID
	orderedAt         proxy.Instant
	answered          bool
}

// run begins the replacement and conducts it to its end.
func (a *attempt) run(ctx context.Context) {
	h := a.host
	if a.reason == succession.Unreachable && h.probe(a.record.Primary) {
		return
	}
	log := h.Log.With().Str("group", string(a.group)).Str("primary", string(a.record.Primary)).Logger()
	log.Info().Str("reason", string(a.reason)).Uint64("version", uint64(a.base)).Msg("replacement begins")
	a.began = h.Clock.Now()
	written, err := h.Store.Write(ctx, tenureKind, string(a.group), a.record, a.base)
	if err != nil {
		// Where the answer was lost, the watch brings the record, and this host
		// continues it as its own.
		log.Info().Err(err).Msg("replacement was not begun")
		return
	}
	a.version, a.accepted = written.Version, h.Clock.Now()
	h.learnTenure(a.group, a.record, a.version)
	successor, err := a.conduct(ctx)
	if err != nil {
		log.Warn().Err(err).Uint64("version", uint64(a.version)).Msg("replacement failed")
		return
	}
	log.Info().Str("successor", string(successor)).Dur("took", h.Clock.Now().Sub(a.began)).Msg("replacement done")
}

// conduct carries the attempt through its steps.
func (a *attempt) conduct(ctx context.Context) (proxy.InstanceID, error) {
	if err := a.awaitRetirement(ctx); err != nil {
		return "", err
	}
	final := a.stepDown()
	for a.current() {
		instances := a.host.beliefs.groupInstances(a.group)
		conditions := a.host.inspectAll(instances)
		leading, ok := succession.Leading(conditions)
		if ok && leading != a.record.Primary && (leading == a.ordered || !a.pending()) {
			return leading, a.settle(ctx, leading)
		}
		if target, ok := a.target(instances, conditions, final); ok {
			a.order(ctx, target)
		}
		if !timing.Sleep(ctx, pollTime) {
			return "", ctx.Err()
		}
	}
	return "", eris.New("time of the attempt is over")
}

// pending reports whether an order of this attempt may still take effect.
func (a *attempt) pending() bool {
	return a.ordered != "" && a.host.Clock.Now().Sub(a.orderedAt) < succession.PromotionTime
}

// target returns the instance to order now, or false while an order is pending
// or no instance is fit. A reachable old primary's log must be complete on the
// successor, for as long as that may take.
func (a *attempt) target(
	instances []directory.Instance, conditions map[proxy.InstanceID]proxy.ReplicationStatus, final *proxy.Bookmark,
) (proxy.InstanceID, bool) {
	if a.pending() {
		return a.ordered, !a.answered
	}
	successor, ok := succession.Successor(instances, conditions, a.record.Primary, a.rejected)
	if !ok {
		return "", false
	}
	late := a.host.Clock.Now().Sub(a.accepted) > succession.Lease+catchUpTime
	if final != nil && conditions[successor].Received.Before(*final) && !late {
		return "", false
	}
	return successor, true
}

// order sends a promote call and notes what is known of it.
func (a *attempt) order(ctx context.Context, target proxy.InstanceID) {
	first := a.ordered != target
	sent, err := a.promote(ctx, target)
	if sent && first {
		a.ordered, a.orderedAt = target, a.host.Clock.Now()
	}
	a.answered = err == nil
	if err == nil {
		return
	}
	a.host.Log.Warn().Err(err).Str("group", string(a.group)).Bool("sent", sent).Msg("promotion was not accepted")
	if errors.Is(err, proxy.ErrConflict) && first {
		a.ordered, a.rejected = "", target
	}
}

// current reports whether the attempt may still act.
func (a *attempt) current() bool {
	now := a.host.Clock.Now()
	b := a.host.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tenures[a.group]
	return now.Sub(a.began) < succession.AttemptTime && t != nil && t.version == a.version
}

// awaitRetirement waits until no host uses the old primary any more.
func (a *attempt) awaitRetirement(ctx context.Context) error {
	for a.current() {
		confirmed := a.confirmed(ctx)
		since := a.host.Clock.Now().Sub(a.accepted)
		if succession.Retired(since, confirmed) && (!a.continued || since > succession.OrderPause) {
			return nil
		}
		if !timing.Sleep(ctx, pollTime) {
			return ctx.Err()
		}
	}
	return errLostAttempt
}

// confirmed asks the hosts that were registered after the store acknowledged
// the replacement, and reports whether all have accepted it. Hosts that register
// later read the record first.
func (a *attempt) confirmed(ctx context.Context) bool {
	if a.waiting == nil {
		listing, err := a.host.Store.List(ctx, memberKind)
		if err != nil {
			a.host.Log.Warn().Err(err).Str("group", string(a.group)).Msg("hosts were not listed")
			return false
		}
		a.waiting = make(map[proxy.HostID]peering.Peer, len(listing.Records))
		for _, record := range listing.Records {
			r, err := decodeReport(record)
			if err != nil {
				a.host.Log.Warn().Err(err).Str("entry", record.Name).Msg("host entry is not readable")
			}
			id := proxy.HostID(record.Name)
			a.waiting[id], _ = (&member{report: r}).peer(id)
		}
	}
	notice := &peering.Announcement{Group: a.group, Version: a.version, Record: a.record}
	for _, s := range a.host.lender.QueryStates(ctx, slices.Collect(maps.Values(a.waiting)), notice, voteTimeout) {
		if slices.Contains(s.Accepted, peering.Acceptance{Group: a.group, Version: a.version}) {
			delete(a.waiting, s.Host)
		}
	}
	return len(a.waiting) == 0
}

// stepDown makes the old primary a replica where it can be reached and returns
// the end of its log.
func (a *attempt) stepDown() *proxy.Bookmark {
	b := a.host.beliefs
	b.mu.Lock()
	old, ok := b.instances[a.record.Primary]
	b.mu.Unlock()
	if !ok {
		return nil
	}
	condition, err := a.host.inspect(old.Instance)
	if err != nil {
		a.host.Log.Info().Err(err).Str("instance", string(old.ID)).Msg("old primary was not reached")
		return nil
	}
	if !condition.Primary {
		return &condition.Received
	}
	order := proxy.Statement{Verb: proxy.StepDown, Term: condition.Term + 1}
	condition, err = a.host.ask(old.Instance, order)
	if err != nil {
		a.host.Log.Warn().Err(err).Str("instance", string(old.ID)).Msg("old primary did not step down")
		return nil
	}
	return &condition.Received
}

// promote orders the promotion under the attempt's fence and reports whether a
// call was sent.
func (a *attempt) promote(ctx context.Context, successor proxy.InstanceID) (sent bool, err error) {
	read := a.host.Clock.Now()
	listing, err := a.host.Store.List(ctx, tenureKind)
	if err != nil {
		return false, fmt.Errorf("read record before the order: %w", err)
	}
	for _, record := range listing.Records {
		if record.Name == string(a.group) && record.Version != a.version {
			return false, errLostAttempt
		}
	}
	if !a.current() || a.host.Clock.Now().Sub(read) > succession.OrderTime {
		return false, errLostAttempt
	}
	fence := uint64(a.version)
	a.host.Log.Info().Str("group", string(a.group)).Str("successor", string(successor)).Uint64("fence", fence).
		Msg("promotion ordered")
	if err := a.host.Promoter.Promote(ctx, a.group, successor, a.host.Settings.Host, fence); err != nil {
		return true, fmt.Errorf("order promotion: %w", err)
	}
	return true, nil
}

// settle writes the new primary into the record. A lost answer is resolved by
// the watch of the records.
func (a *attempt) settle(ctx context.Context, successor proxy.InstanceID) error {
	record := succession.Record{Primary: successor, Phase: succession.Settled}
	for a.current() {
		written, err := a.host.Store.Write(ctx, tenureKind, string(a.group), record, a.version)
		if err == nil {
			a.host.learnTenure(a.group, record, written.Version)
			return nil
		}
		a.host.Log.Warn().Err(err).Str("group", string(a.group)).Msg("new primary was not recorded")
		if !timing.Sleep(ctx, pollTime) {
			return ctx.Err()
		}
	}
	b := a.host.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.tenures[a.group]; t != nil && t.record == record {
		return nil
	}
	return errLostAttempt
}
