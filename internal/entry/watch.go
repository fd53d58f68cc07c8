package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/succession"
)

const tenureKind proxy.Kind = "groups"

// Waits of the watches.
const (
	// proofWait is the wait of the watches whose answers prove that nothing has
	// changed. A proof is up to two waits old, which is well below the time in
	// which a withdrawn key has to stop working.
	proofWait = 1500 * time.Millisecond
	// instanceWait is the wait of the watch of instances, which proves nothing. It
	// bounds the time in which a silent connection is noticed.
	instanceWait = 4 * time.Second
	// absenceTime is how long an instance is used while its entry is missing:
	// entries are back within about two seconds of the store's return.
	absenceTime = 2500 * time.Millisecond
	// drainMargin is how long before the end of the drain time a leaving instance
	// gets its last operation.
	drainMargin = 1500 * time.Millisecond
	// retryTime is the pause after a failed call to the store. It doubles up to
	// maxRetryTime, since refused calls are paid for too.
	retryTime    = 150 * time.Millisecond
	maxRetryTime = 900 * time.Millisecond
	// hopTime is the pause before another relay is tried.
	hopTime = 100 * time.Millisecond
	// staleTime is how much older than a wait a state may be that is continued
	// by a watch.
	staleTime = 800 * time.Millisecond
)

func (h *Host) runConfiguration(ctx context.Context) {
	f := h.newFollower(h.Decode.ConfigurationKind, proofWait)
	f.replace = h.applyConfiguration
	f.change = h.applyConfiguration
	f.run(ctx)
}

// applyConfiguration puts the newest configuration into force and dates it.
// Versions only rise.
func (h *Host) applyConfiguration(sent proxy.Instant, records []proxy.Record) {
	changed := false
	for _, record := range records {
		if record.Name != "main" || record.Deleted {
			continue
		}
		c, err := h.Decode.Configuration(record.Spec)
		if err != nil {
			// Without the newest version, nothing proves that keys are still valid.
			h.Log.Error().Err(err).Uint64("version", uint64(record.Version)).Msg("configuration is not readable")
			return
		}
		changed = h.putInForce(c) || changed
	}
	h.beliefs.mu.Lock()
	if h.beliefs.configuration != nil {
		h.beliefs.configured = max(h.beliefs.configured, sent)
	}
	h.beliefs.mu.Unlock()
	if changed {
		h.reconfigure()
		h.redistribute()
	}
}

func (h *Host) putInForce(c *directory.Configuration) bool {
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.configuration != nil && c.Revision <= b.configuration.Revision {
		return false
	}
	b.configuration = c
	h.Log.Info().Uint64("revision", uint64(c.Revision)).Int("routes", len(c.Routes)).
		Int("accounts", len(c.Accounts)).Int("keys", len(c.Keys)).Msg("configuration in force")
	return true
}

func (h *Host) runTenures(ctx context.Context) {
	f := h.newFollower(tenureKind, proofWait)
	f.replace = h.applyTenures
	f.change = h.applyTenures
	f.run(ctx)
}

func (h *Host) applyTenures(sent proxy.Instant, records []proxy.Record) {
	for _, record := range records {
		if record.Deleted {
			continue
		}
		var r succession.Record
		err := json.Unmarshal(record.Spec, &r)
		if err == nil {
			err = r.Validate()
		}
		if err != nil {
			h.Log.Error().Err(err).Str("group", record.Name).Msg("leadership is not readable")
			return
		}
		h.applyTenure(proxy.GroupID(record.Name), r, record.Version)
	}
	h.beliefs.mu.Lock()
	h.beliefs.led = max(h.beliefs.led, sent)
	h.beliefs.mu.Unlock()
	if len(records) > 0 {
		h.reconfigure()
	}
}

// applyTenure notes a version of a group's record and reports whether it is new.
func (h *Host) applyTenure(id proxy.GroupID, r succession.Record, version proxy.Version) bool {
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.tenures[id]
	if old != nil && old.version >= version {
		return false
	}
	t := &tenure{record: r, version: version, seen: h.Clock.Now()}
	if old != nil {
		t.working = old.working
		t.base, t.began = old.version, t.seen
		if old.record.Phase == succession.Replacing {
			t.base, t.began, t.accepted = old.base, old.began, old.accepted && r.Phase == succession.Replacing
			if r.Phase == succession.Settled {
				b.vacancy = t.seen.Sub(old.began)
			}
		}
	}
	b.tenures[id] = t
	if old != nil && old.record.Primary != r.Primary {
		delete(b.suspects, r.Primary)
	}
	h.Log.Info().Str("group", string(id)).Str("primary", string(r.Primary)).Str("phase", string(r.Phase)).
		Str("conductor", string(r.Host)).Bool("planned", r.Planned).Uint64("version", uint64(version)).
		Msg("leadership changed")
	return true
}

// learnTenure notes a version of a group's record that did not come from the
// watch, and uses it at once.
func (h *Host) learnTenure(id proxy.GroupID, r succession.Record, version proxy.Version) {
	if h.applyTenure(id, r, version) {
		h.reconfigure()
	}
}

func (h *Host) runInstances(ctx context.Context) {
	f := h.newFollower(h.Decode.InstanceKind, instanceWait)
	f.replace = h.replaceInstances
	f.change = h.changeInstances
	f.run(ctx)
}

// replaceInstances takes a whole listing: entries that it lacks are missing.
func (h *Host) replaceInstances(sent proxy.Instant, records []proxy.Record) {
	present := make(map[proxy.InstanceID]bool, len(records))
	for _, record := range records {
		present[proxy.InstanceID(record.Name)] = true
	}
	b := h.beliefs
	b.mu.Lock()
	for id, i := range b.instances {
		if !present[id] && i.missing == 0 {
			i.missing = h.Clock.Now()
		}
	}
	b.mu.Unlock()
	h.changeInstances(sent, records)
}

func (h *Host) changeInstances(_ proxy.Instant, records []proxy.Record) {
	if len(records) == 0 {
		return
	}
	for _, record := range records {
		h.changeInstance(record)
	}
	h.reconfigure()
}

// changeInstance notes one entry. An entry that cannot be read counts as missing.
func (h *Host) changeInstance(record proxy.Record) {
	id := proxy.InstanceID(record.Name)
	now := h.Clock.Now()
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.instances[id]
	if known != nil && record.Version != 0 && record.Version < known.version {
		return
	}
	if record.Deleted {
		if known != nil && known.missing == 0 {
			known.missing = now
			h.Log.Info().Str("instance", string(id)).Str("group", string(known.Group)).Msg("instance is missing")
		}
		return
	}
	i, err := h.Decode.Instance(record.Name, record.Spec)
	if err != nil {
		h.Log.Warn().Err(err).Msg("entry of an instance is not usable")
		if known != nil && known.missing == 0 {
			known.missing = now
		}
		return
	}
	l := &listed{Instance: i, version: record.Version}
	if known != nil {
		l.leaving, l.demoted = known.leaving, known.demoted
	}
	l.leaving = since(l.leaving, i.Leaving, now)
	l.demoted = since(l.demoted, !i.Primary, now)
	b.instances[id] = l
	h.Log.Info().Str("instance", string(id)).Str("group", string(i.Group)).Str("zone", string(i.Zone)).
		Bool("leaving", i.Leaving).Bool("primary", i.Primary).Str("address", i.Address).Msg("instance changed")
}

// since returns when a condition began: began if it already held, now if it has
// just begun, zero if it does not hold.
func since(began proxy.Instant, holds bool, now proxy.Instant) proxy.Instant {
	switch {
	case !holds:
		return 0
	case began != 0:
		return began
	default:
		return now
	}
}

// expireInstances forgets instances whose entries are missing for good.
func (h *Host) expireInstances(now proxy.Instant) {
	b := h.beliefs
	b.mu.Lock()
	expired := false
	for id, i := range b.instances {
		gone := i.missing != 0 && now.Sub(i.missing) > absenceTime
		drained := i.leaving != 0 && now.Sub(i.leaving) > h.Settings.Drain-drainMargin
		if gone || drained && !i.retired {
			expired = true
		}
		if gone {
			delete(b.instances, id)
		}
		i.retired = i.retired || drained
	}
	b.mu.Unlock()
	if expired {
		h.reconfigure()
	}
}
