package configuration

import (
	"github.com/cespare/xxhash/v2"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Serving returns nil if the host may serve clients at now, and a Refusal
// otherwise.
//
// A host that has no document refuses. A host that has heard nothing of the
// platform, directly or through peers, for longer than the document's isolation
// refuses unless it sees most of the known hosts, which points to an outage of
// the platform for all. A partition that leaves the platform with the minority
// looks the same to the majority; the operators' status then names the hosts
// that have not confirmed a newer revision.
func (t *Table) Serving(now proxy.Instant) error {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.current.Document == nil {
		return proxy.Refuse(proxy.CannotConnectNow, "no configuration: neither the platform nor another host has supplied a document yet")
	}
	if t.seesMost() || now.Sub(t.reached) <= t.current.Document.Isolation {
		return nil
	}
	return proxy.Refuse(proxy.CannotConnectNow,
		"host is isolated: neither the platform nor most other hosts reached within %v", t.current.Document.Isolation)
}

// seesMost reports whether this host and the live peers are more than half of
// all known hosts.
func (t *Table) seesMost() bool {
	return 2*(len(t.live)+1) > t.known+1
}

// shouldWatch reports whether the host is one of its zone's watchers: those of
// highest rendezvous rank among the live hosts.
func (t *Table) shouldWatch() bool {
	own := rank(t.Host.ID)
	higher := 0
	for _, peer := range t.live {
		if peer.Zone == t.Host.Zone && !peer.Leaving && rank(peer.ID) > own {
			higher++
		}
	}
	return higher < t.Watchers
}

func rank(host proxy.HostID) uint64 {
	return xxhash.Sum64String(string(host))
}
