package entry

import (
	"context"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// positionTimeout is how long a read waits for a log position of the group's primary
	// from another host. Without one, it has to run on the primary.
	positionTimeout = 30 * time.Millisecond
	// positionPause is the least time between two queries for the position of a group.
	positionPause = 50 * time.Millisecond
	// settledPart is the part of the staleness that a read accepts by which a queried position
	// may be old. Replicas have replayed it by then.
	settledPart = 4
)

// positionQueries are the queries for log positions that are under way. A host that sends
// a group few statements seldom learns the position of its primary from their answers;
// without it, reads that any replica could serve would run on the primary. The host that
// holds the connections to the primary knows it.
type positionQueries struct {
	mu sync.Mutex
	// running holds the queries by group. The channel is closed when the query ends.
	running map[proxy.GroupID]chan struct{}
	// lastEnd is when the last query for a group ended.
	lastEnd map[proxy.GroupID]proxy.Instant
}

// requestPosition queries the position of a group from the host that holds the primary's
// connections, unless that is this host. It returns a channel that is closed when the
// query ends, or nil if there is none.
func (h *Host) requestPosition(group proxy.GroupID, maxStaleness time.Duration) <-chan struct{} {
	holder := h.balance.PrimaryHost(h.Clock.Now(), group)
	if holder == "" || holder == h.Settings.Host {
		return nil
	}
	q := &h.positions
	q.mu.Lock()
	defer q.mu.Unlock()
	if running := q.running[group]; running != nil {
		return running
	}
	if last := q.lastEnd[group]; last != 0 && h.Clock.Now().Sub(last) < positionPause {
		return nil
	}
	if q.running == nil {
		q.running = make(map[proxy.GroupID]chan struct{})
		q.lastEnd = make(map[proxy.GroupID]proxy.Instant)
	}
	ended := make(chan struct{})
	q.running[group] = ended
	go func() {
		defer close(ended)
		h.queryPosition(group, holder, maxStaleness/settledPart)
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.running, group)
		q.lastEnd[group] = h.Clock.Now()
	}()
	return ended
}

// queryPosition asks a host for the position of a group and records the answer. The age in
// the answer counts from before the query was sent, so that the position is never taken
// for newer than it is.
func (h *Host) queryPosition(group proxy.GroupID, holder proxy.HostID, within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), positionTimeout)
	defer cancel()
	sent := h.Clock.Now()
	if p, ok := h.peerEndpoint.QueryPositionWithin(ctx, holder, group, within); ok {
		h.clusterState.recordPosition(sent.Add(-p.Age), group, p.Primary, &p.Bookmark)
	}
}

// peerPosition returns what this host answers to queries for the position of a group.
func (h *Host) peerPosition(group proxy.GroupID, within time.Duration) (peering.Position, bool) {
	return h.clusterState.positionWithin(h.Clock.Now(), group, within)
}

// positionSince returns the lowest position that contains every commit acknowledged before
// the instant since. If this host does not know one, it queries another host. Well before
// the newest one is too old, the next one is queried.
func (h *Host) positionSince(group proxy.GroupID, since proxy.Instant, maxStaleness time.Duration) (proxy.Bookmark, bool) {
	position, ok := h.clusterState.minimumPosition(group, since)
	if !ok {
		if ended := h.requestPosition(group, maxStaleness); ended != nil {
			<-ended
			position, ok = h.clusterState.minimumPosition(group, since)
		}
		return position, ok
	}
	if _, fresh := h.clusterState.minimumPosition(group, since.Add(maxStaleness/2)); !fresh {
		h.requestPosition(group, maxStaleness)
	}
	return position, ok
}
