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
	// PoolHostsPerZone is the number of pool hosts that a group gets for each zone of
	// its instances, up to MaxPoolHosts in total. With two, one remains in the zone
	// when a host fails.
	PoolHostsPerZone = 2
	// MaxPoolHosts is the maximum number of pool hosts of a group. With more, each
	// would get too few of the connections that an instance accepts.
	MaxPoolHosts = 4
)

// ranked is a host with its rank for a group. Hosts with higher ranks are preferred.
type ranked struct {
	host *proxy.HostState
	rank uint64
	// zoneIndex is the number of hosts in the same zone that rank higher.
	zoneIndex int
	// local reports that the host is in a zone of the group's instances.
	local bool
}

// Pools returns the pool hosts of a group, the highest rank first. It prefers hosts
// in the zones of the group's instances, and selects one host of each such zone
// before a second one. When a host leaves, only the groups that it pooled get a
// different set of pool hosts.
func Pools(group *proxy.Group, hosts []proxy.HostState) []proxy.HostState {
	zones := make(map[proxy.Zone]bool)
	for n := range group.Instances {
		zones[group.Instances[n].Zone] = true
	}
	width := min(MaxPoolHosts, PoolHostsPerZone*len(zones))
	chosen := selectHosts(rank(group.ID, zones, hosts), width)
	slices.SortFunc(chosen, compareRanks)
	pools := make([]proxy.HostState, len(chosen))
	for n := range chosen {
		pools[n] = *chosen[n].host
	}
	return pools
}

// selectHosts returns the first width hosts by class and then by rank. The hosts in
// all must be ordered by rank.
func selectHosts(all []ranked, width int) []ranked {
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

// rank returns the hosts that are not leaving, ordered by their rank for a group.
func rank(group proxy.GroupID, zones map[proxy.Zone]bool, hosts []proxy.HostState) []ranked {
	all := make([]ranked, 0, len(hosts))
	for n := range hosts {
		h := &hosts[n]
		if !h.Leaving {
			all = append(all, ranked{host: h, rank: Rank(string(group), h.ID), local: zones[h.Zone]})
		}
	}
	slices.SortFunc(all, compareRanks)
	nextIndex := make(map[proxy.Zone]int)
	for n := range all {
		zone := all[n].host.Zone
		all[n].zoneIndex = nextIndex[zone]
		nextIndex[zone]++
	}
	return all
}

// Rank returns the rank of a host for a key. It is a hash, so that all hosts of the
// fleet compute the same rank.
func Rank(key string, host proxy.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(host))
	return d.Sum64()
}

// compareRanks orders hosts by descending rank, and hosts of equal rank by ID.
func compareRanks(a, b ranked) int {
	if c := cmp.Compare(b.rank, a.rank); c != 0 {
		return c
	}
	return cmp.Compare(a.host.ID, b.host.ID)
}

// class returns the order in which hosts are selected, lower first: the zone index
// for the first hosts of the instances' zones, and PoolHostsPerZone for all others.
func (r *ranked) class() int {
	if r.local && r.zoneIndex < PoolHostsPerZone {
		return r.zoneIndex
	}
	return PoolHostsPerZone
}
