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
	"github.com/auburnyoke/auburnyoke/pkg/proxy/succession"
)

// Times of a replacement.
const (
	// handoverTime is how long a host lets operations that may write finish on a
	// primary that is replaced as planned.
	handoverTime = 400 * time.Millisecond
	// rankTime staggers the hosts, so that usually one of them acts.
	rankTime = 100 * time.Millisecond
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
	if b.led == 0 || now.Sub(b.led) > 2*proofWait+storeSlack || b.configured == 0 {
		return nil
	}
	t := b.tenures[id]
	rank := time.Duration(h.rankLocked()) * rankTime
	if t == nil {
		if primary := b.registeredPrimary(id); primary != "" && b.registered != 0 && now.Sub(b.registered) > rank {
			return func(ctx context.Context) { h.found(ctx, id, primary) }
		}
		return nil
	}
	view := b.view(now, t)
	view.Own = t.record.Host == h.Settings.Host
	reason, due := succession.Decide(view)
	if !due || now.Sub(t.seen) < rank || view.Held < rank {
		return nil
	}
	record := succession.Record{
		Primary: t.record.Primary,
		Phase:   succession.Replacing,
		Host:    h.Settings.Host,
		Planned: reason == succession.Leaving,
	}
	version := t.version
	continued := t.record.Phase == succession.Replacing
	return func(ctx context.Context) { h.replace(ctx, id, record, version, reason, continued) }
}

// conductorAge is how long a conductor counts as at work after it said so.
const conductorAge = 2 * time.Second

// storeSlack is how much older than two waits a proof may be while the store
// counts as reachable.
const storeSlack = time.Second

// rankLocked returns the host's place among the hosts that answer, up to
// maxRank.
func (h *Host) rankLocked() int {
	rank := 0
	for id, m := range h.beliefs.members {
		if id < h.Settings.Host && m.silent == 0 {
			rank++
		}
	}
	return min(rank, maxRank)
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
	h.applyTenure(id, record, written.Version)
	h.reconfigure()
}

// attempt is one host's replacement of a primary.
type attempt struct {
	host    *Host
	group   proxy.GroupID
	record  succession.Record
	version proxy.Version
	// began is the instant before the record was written, accepted the instant
	// after the store acknowledged it.
	began, accepted proxy.Instant
	// waiting are the hosts that have not confirmed; nil before they are listed.
	waiting map[proxy.HostID]peering.Peer
	// continued reports that an earlier attempt may have sent promote calls.
	continued bool
	// ordered is the instance for which a promote call was sent first at
	// orderedAt; answered tells whether the platform has accepted it. The
	// platform has rejected the promotion of rejected.
	ordered, rejected proxy.InstanceID
	orderedAt         proxy.Instant
	answered          bool
}

// replace conducts the replacement of a primary.
func (h *Host) replace(
	ctx context.Context, id proxy.GroupID, record succession.Record, version proxy.Version, reason succession.Reason,
	continued bool,
) {
	a := &attempt{host: h, group: id, record: record, began: h.Clock.Now(), continued: continued}
	log := h.Log.With().Str("group", string(id)).Str("primary", string(record.Primary)).Logger()
	if reason == succession.Unreachable && h.probe(record.Primary) {
		return
	}
	log.Info().Str("reason", string(reason)).Uint64("version", uint64(version)).Msg("replacement begins")
	written, err := h.Store.Write(ctx, tenureKind, string(id), record, version)
	if err != nil {
		log.Info().Err(err).Msg("replacement was not begun")
		return
	}
	a.version, a.accepted = written.Version, h.Clock.Now()
	h.applyTenure(id, record, written.Version)
	h.reconfigure()
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
	instances []directory.Instance, conditions map[proxy.InstanceID]proxy.Condition, final *proxy.Bookmark,
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
	notice := &peering.Notice{Group: a.group, Version: a.version, Record: a.record}
	for _, s := range a.host.lender.Ask(ctx, slices.Collect(maps.Values(a.waiting)), notice, voteTimeout) {
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
			a.host.applyTenure(a.group, record, written.Version)
			a.host.reconfigure()
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

// inspect asks an instance for its condition.
func (h *Host) inspect(i directory.Instance) (proxy.Condition, error) {
	return h.ask(i, proxy.Statement{Verb: proxy.Inspect})
}

// ask sends one of the statements that return a condition, on a connection of
// its own.
func (h *Host) ask(i directory.Instance, s proxy.Statement) (proxy.Condition, error) {
	target := proxy.Target{Group: i.Group, Instance: i.ID, Address: i.Address, Account: h.anyAccount()}
	link, _, err := h.Dialer.Dial(probeTimeout, target)
	if err != nil {
		return proxy.Condition{}, fmt.Errorf("open connection: %w", err)
	}
	defer link.Close()
	answers, err := link.Exchange(probeTimeout, proxy.Order{Statement: s})
	if err != nil {
		return proxy.Condition{}, fmt.Errorf("%s: %w", s.Verb, err)
	}
	if failure := answers[0].Failure; failure != nil {
		return proxy.Condition{}, fmt.Errorf("%s: %w", s.Verb, failure)
	}
	if len(answers[0].Rows) == 0 {
		return proxy.Condition{}, eris.Errorf("%s: answer without a row", s.Verb)
	}
	condition, err := h.Decode.Condition(answers[0].Rows[0])
	if err != nil {
		return proxy.Condition{}, fmt.Errorf("%s: %w", s.Verb, err)
	}
	return condition, nil
}

// probe asks an instance for its condition, notes the result and reports
// whether it answered.
func (h *Host) probe(id proxy.InstanceID) bool {
	b := h.beliefs
	b.mu.Lock()
	i, ok := b.instances[id]
	b.mu.Unlock()
	if !ok {
		return false
	}
	if _, err := h.inspect(i.Instance); err != nil {
		b.suspect(h.Clock.Now(), id)
		return false
	}
	h.answered(id)
	return true
}

// probeSuspects asks the suspected primaries again, so that a suspicion does not
// outlast its cause.
func (h *Host) probeSuspects(ctx context.Context) {
	for timing.Sleep(ctx, suspectTime/2) {
		for _, id := range h.beliefs.suspected() {
			h.probe(id)
		}
	}
}

// anyAccount returns an account under which the host opens its own connections.
func (h *Host) anyAccount() proxy.AccountID {
	c, _ := h.beliefs.current()
	lowest := proxy.AccountID("")
	if c == nil {
		return lowest
	}
	for id := range c.Accounts {
		if lowest == "" || id < lowest {
			lowest = id
		}
	}
	return lowest
}

// inspectAll asks all instances at the same time.
func (h *Host) inspectAll(instances []directory.Instance) map[proxy.InstanceID]proxy.Condition {
	type answer struct {
		id        proxy.InstanceID
		condition proxy.Condition
		err       error
	}
	answers := make(chan answer, len(instances))
	for _, i := range instances {
		go func() {
			condition, err := h.inspect(i)
			answers <- answer{i.ID, condition, err}
		}()
	}
	conditions := make(map[proxy.InstanceID]proxy.Condition, len(instances))
	for range instances {
		if a := <-answers; a.err == nil {
			conditions[a.id] = a.condition
		} else {
			h.Log.Info().Err(a.err).Str("instance", string(a.id)).Msg("instance was not inspected")
		}
	}
	return conditions
}
