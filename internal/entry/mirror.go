package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Limits of the changes that a mirror keeps for its followers: their number, and the
// size of their objects in bytes.
const (
	maxChanges     = 1024
	maxChangesSize = 4 << 20
)

// A relay collects the changes of a kind for this time before it answers, since each
// answer wakes up every follower. Changes of leadership are sent at once, since a
// group without a primary waits for them.
const (
	configurationBatchDelay = 20 * time.Millisecond
	instanceBatchDelay      = 80 * time.Millisecond
	// memberBatchDelay is long, since hundreds of hosts register when a fleet starts,
	// and a new host waits for joinWait anyway.
	memberBatchDelay = 400 * time.Millisecond
)

// mirror is a host's copy of all objects of a kind in the store. The host also serves
// it to its followers.
type mirror struct {
	// batchDelay is how long changes are collected before they are sent to followers.
	batchDelay time.Duration
	log        zerolog.Logger

	mu sync.Mutex
	// records are the objects by name, as of the store's version.
	records map[string]proxy.Record
	version proxy.StoreVersion
	// changes are the newest changes: all after compactedVersion.
	changes          []loggedChange
	compactedVersion proxy.StoreVersion
	// changesSize is the size of the objects in changes, in bytes.
	changesSize int
	// hops is the number of relays between the mirror and the store.
	hops int
	// failing reports that the mirror's own source does not answer.
	failing bool
	// confirmedAt is the instant as of which the mirror was confirmed to be complete.
	confirmedAt proxy.Instant
	// updated is closed and replaced when the mirror or its confirmation changes.
	updated chan struct{}
	// compressor compresses the objects that are sent to followers.
	compressor changeCompressor
}

// loggedChange is a change and the version of the listing that contained it.
type loggedChange struct {
	record         proxy.Record
	listingVersion proxy.StoreVersion
}

func newMirror(batchDelay time.Duration, log zerolog.Logger) *mirror {
	return &mirror{
		batchDelay: batchDelay, log: log, records: make(map[string]proxy.Record),
		updated: make(chan struct{}),
	}
}

// applySnapshot applies a complete listing. It records only the differences to the
// mirror as changes, so that followers need no snapshot.
func (m *mirror) applySnapshot(confirmedAt proxy.Instant, listing proxy.Listing, hops int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if listing.Version.Era != m.version.Era || m.version.IsZero() {
		m.beginEra(listing.Version)
	}
	present := make(map[string]bool, len(listing.Records))
	for _, record := range listing.Records {
		present[record.Name] = true
		if m.records[record.Name].Version != record.Version {
			m.applyRecord(record, listing.Version)
		}
	}
	for name, record := range m.records {
		if !present[name] {
			record.Deleted = true
			m.applyRecord(record, listing.Version)
		}
	}
	m.confirm(confirmedAt, listing.Version, hops)
}

// beginEra drops the changes of the era before, so that followers with a version of that era
// get a snapshot.
func (m *mirror) beginEra(version proxy.StoreVersion) {
	m.version, m.compactedVersion = version, version
	m.changes, m.changesSize = nil, 0
}

// applyChanges applies single changes.
func (m *mirror) applyChanges(confirmedAt proxy.Instant, listing proxy.Listing, hops int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range listing.Records {
		m.applyRecord(record, listing.Version)
	}
	m.confirm(confirmedAt, listing.Version, hops)
}

// applyRecord applies one change and drops the oldest changes that exceed the limits.
func (m *mirror) applyRecord(record proxy.Record, listingVersion proxy.StoreVersion) {
	if record.Deleted {
		delete(m.records, record.Name)
	} else {
		m.records[record.Name] = record
	}
	m.changes = append(m.changes, loggedChange{record, listingVersion})
	m.changesSize += len(record.Spec)
	dropped := 0
	for dropped < len(m.changes)-1 && (len(m.changes)-dropped > maxChanges || m.changesSize > maxChangesSize) {
		m.changesSize -= len(m.changes[dropped].record.Spec)
		m.compactedVersion = m.changes[dropped].listingVersion
		dropped++
	}
	m.changes = slices.Delete(m.changes, 0, dropped)
}

// markFailing makes the followers look for another source.
func (m *mirror) markFailing() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failing = true
	m.notifyFollowers()
}

// confirm records a confirmation of the mirror and notifies the followers.
func (m *mirror) confirm(confirmedAt proxy.Instant, version proxy.StoreVersion, hops int) {
	m.hops = hops
	if version.After(m.version) {
		m.version = version
	}
	m.confirmedAt = max(m.confirmedAt, confirmedAt)
	m.failing = false
	m.notifyFollowers()
}

func (m *mirror) notifyFollowers() {
	close(m.updated)
	m.updated = make(chan struct{})
}

// changesSince returns the records that are newer than followerVersion, the version
// that a follower has, and as bases the follower's versions of these objects as far
// as they are in changes. The result snapshot reports that the records are all
// objects. The caller holds m.mu.
func (m *mirror) changesSince(
	followerVersion proxy.StoreVersion,
) (records []proxy.Record, bases map[string]proxy.Record, snapshot bool) {
	if followerVersion.Era != m.version.Era || m.compactedVersion.After(followerVersion) || followerVersion.Version == 0 {
		for _, record := range m.records {
			records = append(records, record)
		}
		return records, nil, true
	}
	bases = make(map[string]proxy.Record)
	newest := make(map[string]int)
	for n, l := range m.changes {
		if !l.listingVersion.After(followerVersion) {
			bases[l.record.Name] = l.record
		} else {
			newest[l.record.Name] = n
		}
	}
	for n, l := range m.changes {
		if index, ok := newest[l.record.Name]; ok && index == n {
			records = append(records, l.record)
		}
	}
	return records, bases, false
}

// awaitChanges returns the changes after followerVersion, the version that a follower
// has. If there are none, it waits for a change or a newer confirmation, for at most
// wait. It returns false while the mirror has no source.
func (m *mirror) awaitChanges(
	clock proxy.Clock, followerVersion proxy.StoreVersion, wait time.Duration,
) (RelayResponse, bool) {
	arrived := clock.Now()
	m.mu.Lock()
	if !m.failing && (m.confirmedAt == 0 || !m.version.After(followerVersion)) {
		updated := m.updated
		m.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-updated:
		case <-timer.C:
		}
		timer.Stop()
		time.Sleep(m.batchDelay)
		m.mu.Lock()
	}
	if m.confirmedAt == 0 || m.failing {
		m.mu.Unlock()
		return RelayResponse{}, false
	}
	r := RelayResponse{Version: m.version, ConfirmationOffset: m.confirmedAt.Sub(arrived), Hops: m.hops}
	var records []proxy.Record
	var bases map[string]proxy.Record
	records, bases, r.Snapshot = m.changesSince(followerVersion)
	m.mu.Unlock()
	for _, record := range records {
		c, err := m.compressor.compress(record, bases[record.Name])
		if err != nil {
			m.log.Warn().Err(err).Msg("object is sent uncompressed")
		}
		r.Changes = append(r.Changes, c)
	}
	return r, true
}

// decode returns the records after the changes that a relay has sent.
func (m *mirror) decode(changes []Change) ([]proxy.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := make([]proxy.Record, 0, len(changes))
	for _, c := range changes {
		record, err := c.Decode(m.records[c.Name])
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
