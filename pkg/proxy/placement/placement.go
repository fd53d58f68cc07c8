// Package placement chooses the pool hosts of a database group by rendezvous
// hashing over the live hosts.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// PerZone is the number of pool hosts for each zone of a group's instances.
	// Two keep a pool host near the instances when one host fails.
	PoolHostsPerZone = 2
	// Width is the largest number of pool hosts of a group. More hosts would
	// leave each with too few of the instance's connections.
	MaxPoolHosts = 4
)

// ranked is a host with its rank for a group; higher ranks come first.
type ranked struct {
	host *proxy.HostState
	rank uint64
	// turn counts the hosts of the same zone that rank higher.
	turn int
	// near reports that the host is in a zone of the group's instances.
	near bool
}

// Pools returns the pool hosts of a group, the highest rank first. Hosts in the
// zones of the group's instances are preferred, and among them one of each zone
// before a second one. A host that leaves moves only the groups that it pooled.
func Pools(group *proxy.Group, hosts []proxy.HostState) []proxy.HostState {
	zones := make(map[proxy.Zone]bool)
	for n := range group.Instances {
		zones[group.Instances[n].Zone] = true
	}
	width := min(MaxPoolHosts, PoolHostsPerZone*len(zones))
	chosen := choose(rank(group.ID, zones, hosts), width)
	slices.SortFunc(chosen, higher)
	pools := make([]proxy.HostState, len(chosen))
	for n := range chosen {
		pools[n] = *chosen[n].host
	}
	return pools
}

// choose returns the first width hosts by class and then by rank, given hosts
// ordered by rank.
func choose(all []ranked, width int) []ranked {
	chosen := make([]ranked, 0, width)
	for class := 0; class <= PoolHostsPerZone; class++ {
		for n := range all {
			if len(chosen) == width {
				return chosen
			}
			if all[n].class() == class {
				chosen = append(chosen, all[n])
			}
		}
	}
	return chosen
}

// rank returns the hosts that are not leaving with their ranks for a group.
func rank(group proxy.GroupID, zones map[proxy.Zone]bool, hosts []proxy.HostState) []ranked {
	all := make([]ranked, 0, len(hosts))
	for n := range hosts {
		h := &hosts[n]
		if !h.Leaving {
			all = append(all, ranked{host: h, rank: Rank(string(group), h.ID), near: zones[h.Zone]})
		}
	}
	slices.SortFunc(all, higher)
	turns := make(map[proxy.Zone]int)
	for n := range all {
		zone := all[n].host.Zone
		all[n].turn = turns[zone]
		turns[zone]++
	}
	return all
}

// Rank returns the rank of a host for a key: a hash that is the same on all
// hosts of the fleet.
func Rank(key string, host proxy.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}

// higher orders by rank.
func higher(a, b ranked) int {
	if c := cmp.Compare(b.rank, a.rank); c != 0 {
		return c
	}
	return cmp.Compare(a.host.ID, b.host.ID)
}

// class is the turn of a near host within its zone; all others come after.
func (r *ranked) class() int {
	if r.near && r.turn < PoolHostsPerZone {
		return r.turn
	}
	return PoolHostsPerZone
}
