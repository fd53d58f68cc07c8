package configuration

import (
	"github.com/cespare/xxhash/v2"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// CheckServing returns nil if the host may serve clients at now, and a Refusal
// otherwise.
//
// A host without a document refuses. A host that has not reached the platform,
// directly or through peers, for longer than the document's isolation period also
// refuses, unless it sees a majority of the expected hosts. In that case the
// platform has probably failed for all hosts, and the host goes on serving. A
// partition in which only the minority reaches the platform looks the same to the
// majority; the operators' status then names the hosts that have not confirmed a
// newer revision.
func (t *Table) CheckServing(now proxy.Instant) error {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.current.Document == nil {
		return proxy.Refuse(proxy.CannotConnectNow, "no configuration: neither the platform nor another host has supplied a document yet")
	}
	if t.seesMajority() || now.Sub(t.reachedAt) <= t.current.Document.Isolation {
		return nil
	}
	return proxy.Refuse(proxy.CannotConnectNow,
		"host is isolated: neither the platform nor most other hosts reached within %v", t.current.Document.Isolation)
}

// seesMajority reports whether this host and its live peers are more than half of
// the expected hosts, this one included.
func (t *Table) seesMajority() bool {
	return 2*(len(t.live)+1) > t.expectedHosts+1
}

// shouldWatch reports whether this host is one of its zone's watchers: the hosts
// with the highest rendezvous rank among the live hosts that are not leaving.
func (t *Table) shouldWatch() bool {
	ownRank := rank(t.Host.ID)
	higher := 0
	for _, peer := range t.live {
		if peer.Zone == t.Host.Zone && !peer.Leaving && rank(peer.ID) > ownRank {
			higher++
		}
	}
	return higher < t.Watchers
}

func rank(host proxy.HostID) uint64 {
	return xxhash.Sum64String(string(host))
}
