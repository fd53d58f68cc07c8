package entry

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/freshness"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
)

// confirmationMargin is subtracted from the maximum age of a confirmation. It covers
// the transmission of a request and clock rates that differ by 1%.
const confirmationMargin = 200 * time.Millisecond

// assumedFailoverTime is how long this host expects a failover to take before it has
// observed one: the platform usually takes a second to promote, and the record has to
// reach the hosts.
const assumedFailoverTime = 1200 * time.Millisecond

// leadership is a group's leadership record as last read from the store, with the
// state that this host keeps for it.
type leadership struct {
	record  failover.Record
	version proxy.StoreVersion
	// restored is what the store holds instead since it came back from a copy; nil while it
	// holds the record.
	restored *restoredRecord
	// confirmedAt is the instant as of which the store last confirmed the record.
	confirmedAt proxy.Instant
	// usedSince is the version of the record since which this host has used the primary
	// without a break. It differs from version after the record was written again in a new
	// era of the store.
	usedSince proxy.StoreVersion
	// baseVersion is usedSince as of before the current failover.
	baseVersion proxy.StoreVersion
	// failoverStart is when the host received the record that began the failover.
	failoverStart proxy.Instant
	// receivedAt is when the host received this version.
	receivedAt proxy.Instant
	// running counts this host's operations that depend on the primary: writes,
	// transactions and reads on the primary.
	running int
	// dueSince is when this host first found that a failover is due; zero while none is.
	dueSince proxy.Instant
	// accepted reports that the host no longer uses the old primary.
	accepted bool
	// coordinatorConfirmedAt is when the coordinator last confirmed that it is
	// working on the failover.
	coordinatorConfirmedAt proxy.Instant
}

// restoredRecord is a leadership record that was not written in the era of the store that it
// was found in. The number of its version is zero if the store has no record.
type restoredRecord struct {
	version    proxy.StoreVersion
	receivedAt proxy.Instant
}

// affirmed reports whether the store holds the record.
func (l *leadership) affirmed() bool { return l.restored == nil }

// registeredInstance is an instance's entry in the store.
type registeredInstance struct {
	directory.Instance
	version proxy.StoreVersion
	// leavingSince is when the entry began to report that the instance is leaving.
	// demotedSince is when it began to report that the instance is not the primary.
	// missingSince is when the entry disappeared. Each is zero while its condition does
	// not hold.
	leavingSince, demotedSince, missingSince proxy.Instant
	// coldUntil is until when the instance is slow after its start; it may have been
	// warm for some time by then.
	coldUntil proxy.Instant
	// retired reports that the instance has been leaving for so long that it gets no
	// more operations.
	retired bool
}

// clusterState is a host's view of the configuration, the hosts and the instances,
// with the instants as of which parts of it were confirmed to be current.
type clusterState struct {
	mu            sync.Mutex
	configuration *directory.Configuration
	// configurationConfirmedAt and leadershipConfirmedAt are the instants as of which
	// the configuration and the leadership records were last confirmed to be current, the
	// latter in leadershipEra of the store.
	configurationConfirmedAt, leadershipConfirmedAt proxy.Instant
	leadershipEra                                   proxy.Era
	leaderships                                     map[proxy.GroupID]*leadership
	// failoverTime is how long the last failover took.
	failoverTime time.Duration
	instances    map[proxy.InstanceID]*registeredInstance
	// departed are the instances that were removed because their entries were missing. They
	// are kept for failover.GoneTimeout. instancesFollowedAt is when the host had first
	// listed the instances; zero before.
	departed            map[proxy.InstanceID]*registeredInstance
	instancesFollowedAt proxy.Instant
	positionHistories   map[proxy.GroupID]*freshness.History
	// members are the hosts registered in the store.
	members map[proxy.HostID]*member
	// membersEra is the era of their last complete listing.
	membersEra proxy.Era
	// membersChangedAt is when the hosts last changed.
	membersChangedAt proxy.Instant
	// holders caches the holders of instances, and candidates the hosts among which they
	// are chosen; nil if they have to be computed.
	holders    map[proxy.InstanceID][]proxy.HostID
	candidates []placement.Candidate
	// routesChanged is closed and replaced when instances or primaries change.
	routesChanged chan struct{}
	// registeredAt is when the host had confirmed that its own entry is in the store.
	// leaseFrom is from when a confirmation of the leadership records lets the host use
	// primaries. countedFrom is when all other hosts take the entry into account. All are
	// zero while the host is not registered.
	registeredAt, leaseFrom, countedFrom proxy.Instant
	// registeredEra is the era of the store that is known to hold the entry.
	registeredEra proxy.Era
	// votes are the results of polls on the primaries that this host suspects.
	votes map[proxy.InstanceID]vote
	// attempts are the failovers that this host coordinates. No new one begins before
	// attemptAfter.
	attempts     map[proxy.GroupID]*failoverAttempt
	attemptAfter proxy.Instant
	// suspectedSince is when this host first failed to reach each suspected instance.
	suspectedSince map[proxy.InstanceID]proxy.Instant
}

func newClusterState() *clusterState {
	return &clusterState{
		failoverTime:      assumedFailoverTime,
		leaderships:       make(map[proxy.GroupID]*leadership),
		instances:         make(map[proxy.InstanceID]*registeredInstance),
		departed:          make(map[proxy.InstanceID]*registeredInstance),
		positionHistories: make(map[proxy.GroupID]*freshness.History),
		members:           make(map[proxy.HostID]*member),
		holders:           make(map[proxy.InstanceID][]proxy.HostID),
		routesChanged:     make(chan struct{}),
		votes:             make(map[proxy.InstanceID]vote),
		attempts:          make(map[proxy.GroupID]*failoverAttempt),
		suspectedSince:    make(map[proxy.InstanceID]proxy.Instant),
	}
}

// currentConfiguration returns the configuration and the instant as of which it was
// confirmed to be current.
func (s *clusterState) currentConfiguration() (*directory.Configuration, proxy.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration, s.configurationConfirmedAt
}

// primaryLocked returns the group's primary, and the version of its leadership record since
// which this host has used it, if this host may use the primary at now. The caller holds s.mu.
func (s *clusterState) primaryLocked(
	now proxy.Instant, id proxy.GroupID,
) (proxy.InstanceID, proxy.StoreVersion, bool) {
	l := s.leaderships[id]
	if l == nil || l.record.Phase != failover.Settled || now >= l.confirmedAt.Add(failover.Lease) {
		return "", proxy.StoreVersion{}, false
	}
	if s.registeredAt == 0 || l.confirmedAt < s.leaseFrom {
		// A coordinator does not wait for a host that it has not listed, nor for one whose
		// previous process has accepted the failover. Records from before may be replaced.
		return "", proxy.StoreVersion{}, false
	}
	return l.record.Primary, l.usedSince, true
}

// beginOperation counts an operation that depends on instance being the group's
// primary. It returns the version of the leadership record, or false if the host may
// not use instance as the primary.
func (s *clusterState) beginOperation(
	now proxy.Instant, id proxy.GroupID, instance proxy.InstanceID,
) (proxy.StoreVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	primary, version, ok := s.primaryLocked(now, id)
	if !ok || primary != instance {
		return proxy.StoreVersion{}, false
	}
	s.leaderships[id].running++
	return version, true
}

// endOperation ends an operation that beginOperation has counted.
func (s *clusterState) endOperation(id proxy.GroupID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.leaderships[id]; l != nil {
		l.running--
	}
}

// stillPrimary reports whether the leadership record under which an operation began,
// given by its version, is still in force. If it is, as far as this host knows, but
// the host's lease has expired, known is false.
func (s *clusterState) stillPrimary(
	now proxy.Instant, id proxy.GroupID, version proxy.StoreVersion,
) (stillPrimary, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leaderships[id]
	switch {
	case l == nil:
		return false, true
	case l.record.Phase == failover.Settled && l.usedSince == version:
		return true, now < l.confirmedAt.Add(failover.Lease)
	case l.record.Phase == failover.Replacing && l.baseVersion == version && !l.accepted:
		// The old primary still leads while a planned failover waits for running
		// operations.
		return true, now < l.confirmedAt.Add(failover.Lease)
	default:
		return false, true
	}
}

// coordinating reports whether this host coordinates a failover.
func (s *clusterState) coordinating() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts) > 0
}

// recordPosition records the log position that the group's primary returned for a
// statement sent at now.
func (s *clusterState) recordPosition(
	now proxy.Instant, id proxy.GroupID, instance proxy.InstanceID, position *proxy.Bookmark,
) {
	if position == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	primary, _, ok := s.primaryLocked(now, id)
	if !ok || primary != instance {
		return
	}
	h := s.positionHistories[id]
	if h == nil {
		h = &freshness.History{}
		s.positionHistories[id] = h
	}
	h.Record(now, *position)
}

// minimumPosition returns the lowest position that contains every commit acknowledged
// before the instant since.
func (s *clusterState) minimumPosition(id proxy.GroupID, since proxy.Instant) (proxy.Bookmark, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.positionHistories[id]
	if h == nil {
		return proxy.Bookmark{}, false
	}
	return h.MinimumPosition(since)
}

// positionWithin returns the oldest position of a group's primary that is at most so old, or
// else the newest one, and its age.
func (s *clusterState) positionWithin(now proxy.Instant, id proxy.GroupID, age time.Duration) (peering.Position, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	primary, _, ok := s.primaryLocked(now, id)
	h := s.positionHistories[id]
	if !ok || h == nil || h.Latest() == 0 {
		return peering.Position{}, false
	}
	sample, _ := h.Oldest(min(now.Add(-age), h.Latest()))
	return peering.Position{Primary: primary, Age: now.Sub(sample.At), Bookmark: sample.Position}, true
}

// stalePositions returns the groups whose newest timestamped position is older than
// age, with their primaries.
func (s *clusterState) stalePositions(
	now proxy.Instant, age time.Duration,
) map[proxy.GroupID]proxy.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	groups := make(map[proxy.GroupID]proxy.InstanceID)
	for id := range s.leaderships {
		primary, _, ok := s.primaryLocked(now, id)
		if !ok {
			continue
		}
		if h := s.positionHistories[id]; h == nil || now.Sub(h.Latest()) > age {
			groups[id] = primary
		}
	}
	return groups
}

// groupInstances returns the registered instances of a group, ordered by ID.
func (s *clusterState) groupInstances(id proxy.GroupID) []directory.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groupInstancesLocked(id)
}

// groupInstancesLocked is groupInstances for a caller that holds s.mu.
func (s *clusterState) groupInstancesLocked(id proxy.GroupID) []directory.Instance {
	var found []directory.Instance
	for _, i := range s.instances {
		if i.Group == id && i.missingSince == 0 {
			found = append(found, i.Instance)
		}
	}
	sortInstances(found)
	return found
}

func sortInstances(instances []directory.Instance) {
	slices.SortFunc(instances, func(a, b directory.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// possibleInstances returns the registered instances of a group and those that left the
// store less than failover.GoneTimeout ago, ordered by ID: any of them may have commits that
// the others lack. An instance whose address another one has taken over is gone. Partial
// reports that this host may not know of some that have left.
func (s *clusterState) possibleInstances(now proxy.Instant, id proxy.GroupID) (found []directory.Instance, partial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := make(map[string]bool)
	for _, i := range s.instances {
		if i.missingSince == 0 {
			addresses[i.Address] = true
			if i.Group == id {
				found = append(found, i.Instance)
			}
		}
	}
	for _, left := range []map[proxy.InstanceID]*registeredInstance{s.instances, s.departed} {
		for _, i := range left {
			if i.Group == id && i.missingSince != 0 && !addresses[i.Address] {
				found = append(found, i.Instance)
			}
		}
	}
	sortInstances(found)
	return found, s.instancesFollowedAt == 0 || now.Sub(s.instancesFollowedAt) < failover.HistoryTime
}

// knownInstance returns an instance that is registered, or that has left the store recently.
func (s *clusterState) knownInstance(id proxy.InstanceID) (directory.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range []map[proxy.InstanceID]*registeredInstance{s.instances, s.departed} {
		if i := known[id]; i != nil {
			return i.Instance, true
		}
	}
	return directory.Instance{}, false
}

// synchronousReplicas returns the number of replicas that receive a commit of a group
// before it is acknowledged.
func (s *clusterState) synchronousReplicas(id proxy.GroupID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configuration == nil {
		return 0
	}
	return s.configuration.Groups[id].Synchronous
}

// addSuspect records that an attempt to reach an instance has failed.
func (s *clusterState) addSuspect(now proxy.Instant, id proxy.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspectedSince[id] == 0 {
		s.suspectedSince[id] = now
	}
}

// unreachableLocked reports whether this host has failed to reach an instance for so
// long that it votes for a failover. The caller holds s.mu.
func (s *clusterState) unreachableLocked(now proxy.Instant, id proxy.InstanceID) bool {
	since := s.suspectedSince[id]
	return since != 0 && now.Sub(since) > suspectTimeout
}

// storeReachableLocked reports whether the store has recently confirmed the
// leadership records, so that this host may change state that other hosts rely on.
// The caller holds s.mu.
func (s *clusterState) storeReachableLocked(now proxy.Instant) bool {
	return s.leadershipConfirmedAt != 0 &&
		now.Sub(s.leadershipConfirmedAt) <= 2*confirmationWait+storeReachableMargin
}

// suspectedPrimaries returns the suspected primaries. It removes other suspects,
// since hosts only vote on primaries.
func (s *clusterState) suspectedPrimaries() []proxy.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []proxy.InstanceID
	for _, l := range s.leaderships {
		if s.suspectedSince[l.record.Primary] != 0 {
			found = append(found, l.record.Primary)
		}
	}
	for id := range s.suspectedSince {
		if !slices.Contains(found, id) {
			delete(s.suspectedSince, id)
		}
	}
	return found
}

// removeSuspect records that an instance has answered and reports whether it was
// suspected.
func (s *clusterState) removeSuspect(id proxy.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspectedSince[id] == 0 {
		return false
	}
	delete(s.suspectedSince, id)
	return true
}
