package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/succession"
)

const memberKind proxy.Kind = "hosts"

// Times of the membership.
const (
	// reportTime is the interval at which a host renews its entry and counts the
	// others. A new host is counted by all within two intervals.
	reportTime = 4 * time.Second
	// joinTime is how long a new host waits for the others to count it.
	joinTime = 5 * time.Second
	// joinPause follows an attempt to join that did not succeed.
	joinPause = 100 * time.Millisecond
	// lostTime is how long an entry may remain unchanged until its host counts
	// as lost. It exceeds the time of a restart.
	lostTime = 15 * time.Second
	// liveTime is how long an entry may remain unchanged while its host counts
	// as live.
	liveTime = 2*reportTime + time.Second
	// suspectTime is how long a primary must be out of reach before a host
	// reports it: two failed attempts to connect.
	suspectTime = 600 * time.Millisecond
)

// Report is a host's entry in the store.
type Report struct {
	// Incarnation is a random number drawn at start.
	Incarnation proxy.Incarnation `json:"incarnation"`
	// Round rises with each renewal.
	Round uint64 `json:"round"`
	// Address is where the host answers requests of other hosts.
	Address string     `json:"address"`
	Zone    proxy.Zone `json:"zone"`
	// Accepted holds for each group the version of the record that replaces its
	// primary, once the host no longer uses that primary.
	Accepted map[proxy.GroupID]proxy.Version `json:"accepted,omitempty"`
	// Suspects are primaries that the host cannot reach.
	Suspects []proxy.InstanceID `json:"suspects,omitempty"`
}

// Validate checks an entry that was read from the store.
func (r Report) Validate() error {
	if r.Incarnation == 0 {
		return eris.New("report without an incarnation")
	}
	return nil
}

// member is another host's report with the time at which it last changed.
type member struct {
	report  Report
	version proxy.Version
	changed proxy.Instant
}

// runMembers renews the host's own entry and counts the others.
func (h *Host) runMembers(ctx context.Context) {
	next := h.Clock.Now()
	for {
		if now := h.Clock.Now(); now >= next || h.reportChanged(now) {
			renewed := h.renewReport(ctx)
			if now >= next {
				h.countMembers(ctx)
				next = now.Add(reportTime)
			}
			if !renewed || h.joined() == 0 {
				next = now.Add(joinPause)
			}
		}
		if !timing.Sleep(ctx, tickTime) {
			return
		}
	}
}

// report builds the host's entry.
func (h *Host) report(now proxy.Instant) Report {
	r := Report{
		Incarnation: h.incarnation, Round: h.round, Address: h.Settings.Peer.String(), Zone: h.Settings.Zone,
		Accepted: make(map[proxy.GroupID]proxy.Version),
	}
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.tenures {
		if t.record.Phase == succession.Replacing && t.accepted {
			r.Accepted[id] = t.version
		}
	}
	for id, since := range b.suspects {
		if now.Sub(since) > suspectTime {
			r.Suspects = append(r.Suspects, id)
		}
	}
	slices.Sort(r.Suspects)
	return r
}

// reportChanged reports whether the others have to learn something at once.
func (h *Host) reportChanged(now proxy.Instant) bool {
	r := h.report(now)
	if !slices.Equal(r.Suspects, h.last.Suspects) {
		return true
	}
	for id, version := range r.Accepted {
		if h.last.Accepted[id] != version {
			return true
		}
	}
	return false
}

// renewReport writes the host's entry and reports whether that succeeded.
func (h *Host) renewReport(ctx context.Context) bool {
	h.round++
	r := h.report(h.Clock.Now())
	record, err := h.Store.Write(ctx, memberKind, string(h.Settings.Host), r, h.reported)
	switch {
	case err == nil:
		h.reported, h.last = record.Version, r
		h.beliefs.mu.Lock()
		h.register(h.Settings.Host, proxy.Record{Name: string(h.Settings.Host), Version: record.Version}, r)
		h.beliefs.mu.Unlock()
	case errors.Is(err, proxy.ErrConflict):
		// An earlier process of this host, or an earlier call, has written it.
		h.reported = record.Version
		h.known.Store(true)
		if record.Version == 0 {
			h.adopt(ctx)
		}
	case errors.Is(err, proxy.ErrNotFound):
		h.reported = 0
	default:
		h.Log.Warn().Err(err).Msg("host entry was not renewed")
	}
	return err == nil
}

// adopt finds the version of the host's own entry.
func (h *Host) adopt(ctx context.Context) {
	listing, err := h.Store.List(ctx, memberKind)
	if err != nil {
		h.Log.Warn().Err(err).Msg("host entry was not read")
		return
	}
	for _, record := range listing.Records {
		if record.Name == string(h.Settings.Host) {
			h.reported = record.Version
		}
	}
}

// countMembers lists the hosts and removes the entries of lost ones.
func (h *Host) countMembers(ctx context.Context) {
	sent := h.Clock.Now()
	listing, err := h.Store.List(ctx, memberKind)
	if err != nil {
		h.Log.Warn().Err(err).Msg("hosts were not counted")
		return
	}
	for _, lost := range h.mergeMembers(sent, listing) {
		if err := h.Store.Remove(ctx, memberKind, lost.Name, lost.Version); err != nil {
			h.Log.Warn().Err(err).Str("lost", lost.Name).Msg("entry of a lost host was not removed")
			continue
		}
		h.Log.Info().Str("lost", lost.Name).Msg("lost host removed")
	}
	h.reconfigure()
}

// mergeMembers replaces the known hosts by the listing and returns the records
// of lost ones.
func (h *Host) mergeMembers(sent proxy.Instant, listing proxy.Listing) []proxy.Record {
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	now := h.Clock.Now()
	before := len(b.members)
	present := make(map[proxy.HostID]bool, len(listing.Records))
	var lost []proxy.Record
	for _, record := range listing.Records {
		id := proxy.HostID(record.Name)
		r, err := decodeReport(record)
		if err != nil {
			h.Log.Warn().Err(err).Str("entry", record.Name).Msg("host entry is not readable")
		}
		present[id] = true
		h.register(id, record, r)
		if m := b.members[id]; id != h.Settings.Host && now.Sub(m.changed) > lostTime {
			lost = append(lost, record)
		}
	}
	for id := range b.members {
		if !present[id] {
			delete(b.members, id)
		}
	}
	if present[h.Settings.Host] && b.counted == 0 {
		b.counted = sent
		h.joinedAt = sent
	}
	if len(b.members) != before {
		h.Log.Info().Int("hosts", len(b.members)).Int("before", before).Msg("number of hosts changed")
	}
	return lost
}

// register notes a report. The caller holds the lock of the beliefs.
func (h *Host) register(id proxy.HostID, record proxy.Record, r Report) {
	m := h.beliefs.members[id]
	if m == nil {
		m = &member{}
		h.beliefs.members[id] = m
	}
	if m.version != record.Version {
		m.report, m.version, m.changed = r, record.Version, h.Clock.Now()
	}
}

func decodeReport(record proxy.Record) (Report, error) {
	var r Report
	if err := json.Unmarshal(record.Spec, &r); err != nil {
		return Report{}, fmt.Errorf("decode report: %w", err)
	}
	if err := r.Validate(); err != nil {
		return Report{}, fmt.Errorf("report: %w", err)
	}
	return r, nil
}

// joined returns the instant at which the host was first counted, zero before.
func (h *Host) joined() proxy.Instant {
	h.beliefs.mu.Lock()
	defer h.beliefs.mu.Unlock()
	return h.joinedAt
}
