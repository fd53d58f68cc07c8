package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

const memberKind proxy.Kind = "hosts"

const (
	// memberWait is how long the store may hold the watch of hosts without a change.
	memberWait = 4 * time.Second
	// joinWait is how long a newly registered host waits until all other hosts count
	// it. After this time, a host that has not received the change has stopped
	// serving.
	joinWait = 5 * time.Second
	// registerRetryDelay is the pause after a failed attempt to register.
	registerRetryDelay = 100 * time.Millisecond
	// checkInterval is the interval at which a host checks whether one of the other
	// hosts is running.
	checkInterval = time.Second
	// checkTimeout limits such a check.
	checkTimeout = 300 * time.Millisecond
	// lostTimeout is how long a host must be unresponsive until it counts as lost. It
	// exceeds the time of a restart.
	lostTimeout = 20 * time.Second
	// suspectTimeout is how long a primary must be unreachable before a host reports
	// it as suspect: two failed connection attempts.
	suspectTimeout = 600 * time.Millisecond
)

// HostEntry is a host's entry in the store. It is kept when the host restarts.
type HostEntry struct {
	// Address is where the host answers other hosts, over TCP and UDP.
	Address string     `json:"address"`
	Zone    proxy.Zone `json:"zone"`
	// Link is the bandwidth of the host's network link; zero if it is not known.
	Link proxy.MegabitsPerSecond `json:"link,omitempty"`
	// Forward is where the host runs commands for other hosts; empty if it does not.
	Forward string `json:"forward,omitempty"`
}

// Validate checks an entry that was read from the store.
func (e HostEntry) Validate() error {
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Errorf("address of a host: %w", err)
	}
	if e.Forward != "" {
		if _, err := netip.ParseAddrPort(e.Forward); err != nil {
			return fmt.Errorf("forward address of a host: %w", err)
		}
	}
	if e.Zone == "" {
		return eris.New("host without an availability zone")
	}
	if e.Link < 0 {
		return eris.Errorf("link bandwidth of %v Mbit/s is negative", e.Link)
	}
	return nil
}

// member is a registered host.
type member struct {
	entry   HostEntry
	version proxy.StoreVersion
	// keptUntil is until when the host is counted although a restored store has lost its entry;
	// zero while the entry is there.
	keptUntil proxy.Instant
	// unresponsiveSince is when the host first failed to answer; zero while it
	// answers.
	unresponsiveSince proxy.Instant
}

func (m *member) peer(id proxy.HostID) (peering.Peer, bool) {
	address, err := netip.ParseAddrPort(m.entry.Address)
	return peering.Peer{Host: id, Zone: m.entry.Zone, Address: address}, err == nil
}

// followMembers registers the host and follows the list of hosts. It starts the work
// that requires the registration.
func (h *Host) followMembers(ctx context.Context) {
	for first := true; !h.register(ctx, first); first = false {
		if !timing.Sleep(ctx, registerRetryDelay) {
			return
		}
	}
	go h.checkMembers(ctx)
	// The other kinds are read from a relay, which is among the hosts.
	var once sync.Once
	followOthers := func() {
		for _, run := range []func(context.Context){
			h.followConfiguration, h.followLeaderships, h.followInstances, h.followEvacuations,
		} {
			go run(ctx)
		}
	}
	f := h.newFollower(memberKind, memberWait)
	f.applySnapshot = func(confirmedAt proxy.Instant, listing proxy.Listing) {
		h.replaceMembers(confirmedAt, listing)
		once.Do(followOthers)
	}
	f.applyChanges = h.applyMemberChanges
	f.run(ctx)
}

// register writes the host's entry, unless an earlier process of this host has left
// it, and reports whether the entry is in the store. First reports that this process has
// not tried before, so that an entry that exists is older than the process.
func (h *Host) register(ctx context.Context, first bool) bool {
	entry := HostEntry{Address: h.Settings.Peer.String(), Zone: h.Settings.Zone, Link: h.Settings.Link}
	if h.Settings.Forward.IsValid() {
		entry.Forward = h.Settings.Forward.String()
	}
	record, err := h.Store.Write(ctx, memberKind, string(h.Settings.Host), entry, proxy.StoreVersion{})
	if errors.Is(err, proxy.ErrConflict) && record.Version.Version != 0 {
		if old, decodeErr := decodeHostEntry(record); decodeErr != nil || old != entry {
			// The host has restarted with another address.
			written, err := h.Store.Write(ctx, memberKind, record.Name, entry, record.Version)
			if err != nil {
				h.Log.Warn().Err(err).Msg("address of the host was not registered")
				return false
			}
			record = written
		}
	}
	if err != nil && !errors.Is(err, proxy.ErrConflict) {
		h.Log.Warn().Err(err).Msg("host was not registered")
		return false
	}
	h.clusterState.mu.Lock()
	defer h.clusterState.mu.Unlock()
	h.clusterState.registeredAt = h.Clock.Now()
	// The other hosts already count a host whose entry was kept.
	h.clusterState.countedFrom = h.clusterState.registeredAt
	h.restarted.Store(err != nil && first)
	h.clusterState.leaseFrom = h.clusterState.registeredAt
	if err != nil && first {
		// Every listing since the start of the process contains the entry.
		h.clusterState.leaseFrom = h.startedAt
	}
	if err == nil {
		h.clusterState.countedFrom = h.clusterState.registeredAt.Add(joinWait)
	}
	h.clusterState.confirmRegistrationLocked(record.Version.Era)
	h.Log.Info().Bool("existed", err != nil).Uint64("era", uint64(record.Version.Era)).Msg("host registered")
	return true
}

// replaceMembers applies a complete listing. Hosts whose entries were lost when the store was
// restored register again. Until they have had the time for it, they are counted, so that no other
// host uses their shares of the rates.
func (h *Host) replaceMembers(confirmedAt proxy.Instant, listing proxy.Listing) {
	now := h.Clock.Now()
	present := make(map[proxy.HostID]bool, len(listing.Records))
	for _, record := range listing.Records {
		present[proxy.HostID(record.Name)] = true
	}
	cs := h.clusterState
	cs.mu.Lock()
	restored := listing.Version.Era > cs.membersEra
	cs.membersEra = listing.Version.Era
	removed := 0
	for id, m := range cs.members {
		switch {
		case present[id]:
		case restored && id != h.Settings.Host:
			m.keptUntil = now.Add(joinWait)
			h.Log.Info().Str("lost", string(id)).Msg("entry of a host was lost when the store was restored")
		case now >= m.keptUntil:
			delete(cs.members, id)
			removed++
		}
	}
	cs.mu.Unlock()
	h.applyMembers(confirmedAt, listing, removed > 0)
}

func (h *Host) applyMemberChanges(confirmedAt proxy.Instant, listing proxy.Listing) {
	h.applyMembers(confirmedAt, listing, false)
}

func (h *Host) applyMembers(confirmedAt proxy.Instant, listing proxy.Listing, changed bool) {
	cs := h.clusterState
	cs.mu.Lock()
	for _, record := range listing.Records {
		changed = h.recordMemberLocked(proxy.HostID(record.Name), record) || changed
	}
	h.membersChanged = h.membersChanged || changed
	if changed {
		cs.membersChangedAt = h.Clock.Now()
		cs.forgetHoldersLocked()
	}
	own := cs.members[h.Settings.Host]
	registered := own != nil && own.entry.Address == h.Settings.Peer.String()
	if registered && cs.registeredAt != 0 && own.version.Era == listing.Version.Era {
		cs.confirmRegistrationLocked(listing.Version.Era)
	}
	hosts := len(cs.members)
	cs.mu.Unlock()
	if changed {
		h.Log.Info().Int("hosts", hosts).Msg("hosts changed")
	}
	// Another host may have removed the entry, or another writer overwritten it.
	if !registered && cs.leadershipConfirmedAt != 0 && confirmedAt > cs.registeredAt {
		h.rejoin()
	}
}

// recordMemberLocked records one entry and reports whether the hosts have changed.
// The caller holds the lock of the cluster state.
func (h *Host) recordMemberLocked(id proxy.HostID, record proxy.Record) bool {
	known := h.clusterState.members[id]
	if record.Deleted {
		h.rejected.remove(memberKind, record.Name)
		delete(h.clusterState.members, id)
		return known != nil
	}
	if known != nil && !record.Version.After(known.version) {
		return false
	}
	entry, err := decodeHostEntry(record)
	if err != nil {
		// The host is counted anyway, since it may use its share of the rates.
		h.rejected.add(memberKind, record.Name, record.Version, err.Error())
	} else {
		h.rejected.remove(memberKind, record.Name)
	}
	h.clusterState.members[id] = &member{entry: entry, version: record.Version}
	return true
}

// expireMembers stops counting the hosts that have not registered again after a restore.
func (h *Host) expireMembers(now proxy.Instant) {
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for id, m := range cs.members {
		if m.keptUntil != 0 && now >= m.keptUntil {
			delete(cs.members, id)
			h.membersChanged, cs.membersChangedAt = true, now
			cs.forgetHoldersLocked()
			h.Log.Info().Str("lost", string(id)).Msg("host has not registered again")
		}
	}
}

// rejoin registers the host again after its entry was removed or overwritten.
func (h *Host) rejoin() {
	h.Log.Warn().Msg("entry of this host was removed or overwritten")
	cs := h.clusterState
	cs.mu.Lock()
	cs.registeredAt, cs.leaseFrom, cs.countedFrom, cs.registeredEra = 0, 0, 0, 0
	cs.mu.Unlock()
	h.updateAllowances()
	ctx, cancel := context.WithTimeout(context.Background(), joinWait)
	defer cancel()
	for !h.register(ctx, false) {
		if !timing.Sleep(ctx, registerRetryDelay) {
			return
		}
	}
}

func decodeHostEntry(record proxy.Record) (HostEntry, error) {
	var e HostEntry
	if err := json.Unmarshal(record.Spec, &e); err != nil {
		return HostEntry{}, fmt.Errorf("decode host entry: %w", err)
	}
	if err := e.Validate(); err != nil {
		return HostEntry{}, fmt.Errorf("host entry: %w", err)
	}
	return e, nil
}

// checkMembers checks one host after the other, and removes the entries of lost
// hosts.
func (h *Host) checkMembers(ctx context.Context) {
	for timing.Sleep(ctx, checkInterval) {
		id, peer, ok := h.memberToCheck()
		if id == "" {
			continue
		}
		answered := ok && len(h.peerEndpoint.QueryStates(ctx, []peering.Peer{peer}, nil, checkTimeout)) > 0
		if lost := h.recordCheck(id, answered); !lost.Version.IsZero() {
			h.removeMember(ctx, lost)
		}
	}
}

// memberToCheck returns an unresponsive host, or any other host if all respond. It
// returns false if the host's entry has no address, and an empty ID if there is no host.
func (h *Host) memberToCheck() (proxy.HostID, peering.Peer, bool) {
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	var chosen proxy.HostID
	for id, m := range cs.members {
		if id == h.Settings.Host {
			continue
		}
		// The iteration order of a map is random, so that all hosts are checked in
		// time.
		if chosen == "" || m.unresponsiveSince != 0 && cs.members[chosen].unresponsiveSince == 0 {
			chosen = id
		}
	}
	if chosen == "" {
		return "", peering.Peer{}, false
	}
	peer, ok := cs.members[chosen].peer(chosen)
	return chosen, peer, ok
}

// recordCheck records whether a host has answered. If the host is lost and the store
// is reachable, it returns the entry to remove.
func (h *Host) recordCheck(id proxy.HostID, answered bool) proxy.Record {
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	m := cs.members[id]
	if m == nil {
		return proxy.Record{}
	}
	if answered {
		m.unresponsiveSince = 0
		return proxy.Record{}
	}
	if m.unresponsiveSince == 0 {
		m.unresponsiveSince = now
	}
	if now.Sub(m.unresponsiveSince) < lostTimeout || !cs.storeReachableLocked(now) {
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

// peerState returns the state that this host reports to other hosts.
func (h *Host) peerState() peering.State {
	era, since := h.eras.current()
	now := h.Clock.Now()
	s := peering.State{Host: h.Settings.Host, Era: era, EraAge: now.Sub(since)}
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for id, a := range cs.attempts {
		if !a.stalled(now) {
			s.Coordinating = append(s.Coordinating, peering.Acceptance{Group: id, Version: a.version})
		}
	}
	for id, l := range cs.leaderships {
		if l.record.Phase == failover.Replacing && l.accepted {
			s.Accepted = append(s.Accepted, peering.Acceptance{Group: id, Version: l.version})
		}
		if cs.unreachableLocked(now, l.record.Primary) {
			s.Suspects = append(s.Suspects, l.record.Primary)
		}
	}
	return s
}
