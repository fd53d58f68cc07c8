package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/succession"
)

const memberKind proxy.Kind = "hosts"

// Times of the membership.
const (
	// memberWait is the wait of the watch of hosts.
	memberWait = 4 * time.Second
	// joinTime is how long a new host waits for the others to count it: the time
	// after which a host that learns of no change has stopped serving.
	joinTime = 5 * time.Second
	// joinPause follows an attempt to register that did not succeed.
	joinPause = 100 * time.Millisecond
	// checkTime is the interval at which a host asks one of the others whether it
	// lives.
	checkTime = time.Second
	// checkTimeout limits such a question.
	checkTimeout = 300 * time.Millisecond
	// lostTime is how long a host must not answer until it counts as lost. It
	// exceeds the time of a restart.
	lostTime = 20 * time.Second
	// suspectTime is how long a primary must be out of reach before a host
	// suspects it: two failed attempts to connect.
	suspectTime = 600 * time.Millisecond
)

// Report is a host's entry in the store. It outlives restarts of the host.
type Report struct {
	// Address is where the host answers other hosts, over TCP and UDP.
	Address string     `json:"address"`
	Zone    proxy.Zone `json:"zone"`
	// Link is the bandwidth of the host's link, zero if it is not known.
	Link proxy.MegabitsPerSecond `json:"link,omitempty"`
}

// Validate checks an entry that was read from the store.
func (r Report) Validate() error {
	if _, err := netip.ParseAddrPort(r.Address); err != nil {
		return fmt.Errorf("address of a host: %w", err)
	}
	if r.Zone == "" {
		return eris.New("host without an availability zone")
	}
	if r.Link < 0 {
		return eris.Errorf("link of %v Mbit/s", r.Link)
	}
	return nil
}

// member is a registered host.
type member struct {
	report  Report
	version proxy.Version
	// silent is when the host first failed to answer; zero while it answers.
	silent proxy.Instant
}

func (m *member) peer(id proxy.HostID) (peering.Peer, bool) {
	address, err := netip.ParseAddrPort(m.report.Address)
	return peering.Peer{Host: id, Zone: m.report.Zone, Address: address}, err == nil
}

// runMembers registers the host and follows the list of hosts.
func (h *Host) runMembers(ctx context.Context) {
	for !h.register(ctx) {
		if !timing.Sleep(ctx, joinPause) {
			return
		}
	}
	go h.runChecks(ctx)
	for _, run := range []func(context.Context){h.runConfiguration, h.runTenures, h.runInstances} {
		go run(ctx)
	}
	f := h.newFollower(memberKind, memberWait)
	f.replace = h.replaceMembers
	f.change = h.changeMembers
	f.run(ctx)
}

// register writes the host's entry, unless an earlier process of this host has
// left it, and reports whether it is there.
func (h *Host) register(ctx context.Context) bool {
	report := Report{Address: h.Settings.Peer.String(), Zone: h.Settings.Zone, Link: h.Settings.Link}
	record, err := h.Store.Write(ctx, memberKind, string(h.Settings.Host), report, 0)
	if errors.Is(err, proxy.ErrConflict) && record.Version != 0 {
		if old, decoded := decodeReport(record); decoded != nil || old != report {
			// The host has come back at another address.
			if _, err := h.Store.Write(ctx, memberKind, record.Name, report, record.Version); err != nil {
				h.Log.Warn().Err(err).Msg("address of the host was not registered")
				return false
			}
		}
	}
	if err != nil && !errors.Is(err, proxy.ErrConflict) {
		h.Log.Warn().Err(err).Msg("host was not registered")
		return false
	}
	h.beliefs.mu.Lock()
	defer h.beliefs.mu.Unlock()
	h.beliefs.registered = h.Clock.Now()
	// The other hosts count a host whose entry outlived its restart.
	h.beliefs.counted = h.beliefs.registered
	if err == nil {
		h.beliefs.counted = h.beliefs.registered.Add(joinTime)
	}
	h.Log.Info().Bool("existed", err != nil).Msg("host registered")
	return true
}

func (h *Host) replaceMembers(proof proxy.Instant, records []proxy.Record) {
	present := make(map[proxy.HostID]bool, len(records))
	for _, record := range records {
		present[proxy.HostID(record.Name)] = true
	}
	b := h.beliefs
	b.mu.Lock()
	removed := 0
	for id := range b.members {
		if !present[id] {
			delete(b.members, id)
			removed++
		}
	}
	b.mu.Unlock()
	h.applyMembers(proof, records, removed > 0)
}

func (h *Host) changeMembers(proof proxy.Instant, records []proxy.Record) {
	h.applyMembers(proof, records, false)
}

func (h *Host) applyMembers(proof proxy.Instant, records []proxy.Record, changed bool) {
	b := h.beliefs
	b.mu.Lock()
	for _, record := range records {
		changed = h.applyMember(proxy.HostID(record.Name), record) || changed
	}
	h.membersChanged = h.membersChanged || changed
	_, present := b.members[h.Settings.Host]
	hosts := len(b.members)
	b.mu.Unlock()
	if changed {
		h.Log.Info().Int("hosts", hosts).Msg("hosts changed")
	}
	if !present && b.led != 0 && proof > b.registered {
		h.rejoin()
	}
}

// applyMember notes one entry and reports whether the hosts have changed. The
// caller holds the lock of the beliefs.
func (h *Host) applyMember(id proxy.HostID, record proxy.Record) bool {
	known := h.beliefs.members[id]
	if record.Deleted {
		delete(h.beliefs.members, id)
		return known != nil
	}
	if known != nil && known.version >= record.Version {
		return false
	}
	report, err := decodeReport(record)
	if err != nil {
		// The host counts all the same: it may use its part of rates.
		h.Log.Warn().Err(err).Str("entry", record.Name).Msg("host entry is not readable")
	}
	h.beliefs.members[id] = &member{report: report, version: record.Version}
	return true
}

// rejoin registers the host again after others have taken it for lost.
func (h *Host) rejoin() {
	h.Log.Warn().Msg("entry of this host was removed")
	b := h.beliefs
	b.mu.Lock()
	b.registered, b.counted = 0, 0
	b.mu.Unlock()
	h.redistribute()
	ctx, cancel := context.WithTimeout(context.Background(), joinTime)
	defer cancel()
	for !h.register(ctx) {
		if !timing.Sleep(ctx, joinPause) {
			return
		}
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

// runChecks asks one host after the other whether it lives, and removes the
// entries of lost ones.
func (h *Host) runChecks(ctx context.Context) {
	for timing.Sleep(ctx, checkTime) {
		peer, ok := h.nextCheck()
		if !ok {
			continue
		}
		answers := h.lender.QueryStates(ctx, []peering.Peer{peer}, nil, checkTimeout)
		if lost := h.noteCheck(peer.Host, len(answers) > 0); lost.Version != 0 {
			h.removeMember(ctx, lost)
		}
	}
}

// nextCheck returns a host that did not answer, or any other.
func (h *Host) nextCheck() (peering.Peer, bool) {
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	var chosen proxy.HostID
	for id, m := range b.members {
		if id == h.Settings.Host {
			continue
		}
		// The order of a map is random, so that the hosts take turns.
		if chosen == "" || m.silent != 0 && b.members[chosen].silent == 0 {
			chosen = id
		}
	}
	if chosen == "" {
		return peering.Peer{}, false
	}
	return b.members[chosen].peer(chosen)
}

// noteCheck notes whether a host has answered. It returns the record to remove
// where the host is lost and this one is in touch with the store.
func (h *Host) noteCheck(id proxy.HostID, answered bool) proxy.Record {
	now := h.Clock.Now()
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.members[id]
	if m == nil {
		return proxy.Record{}
	}
	if answered {
		m.silent = 0
		return proxy.Record{}
	}
	if m.silent == 0 {
		m.silent = now
	}
	if now.Sub(m.silent) < lostTime || !b.inTouchLocked(now) {
		return proxy.Record{}
	}
	return proxy.Record{Name: string(id), Version: m.version}
}

func (h *Host) removeMember(ctx context.Context, lost proxy.Record) {
	if err := h.Store.Remove(ctx, memberKind, lost.Name, lost.Version); err != nil {
		h.Log.Warn().Err(err).Str("lost", lost.Name).Msg("entry of a lost host was not removed")
		return
	}
	h.Log.Info().Str("lost", lost.Name).Msg("lost host removed")
}

// state is what this host tells others that ask.
func (h *Host) state() peering.State {
	now := h.Clock.Now()
	s := peering.State{Host: h.Settings.Host}
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, t := range b.tenures {
		if t.record.Phase == succession.Replacing && t.accepted {
			s.Accepted = append(s.Accepted, peering.Acceptance{Group: id, Version: t.version})
		}
		if b.unreachableLocked(now, t.record.Primary) {
			s.Suspects = append(s.Suspects, t.record.Primary)
		}
	}
	return s
}
