package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
)

const (
	fleet  = 520
	groups = 1200
)

var zones = []proxy.Zone{"a1", "a2", "a3", "b1", "b2", "b3"}

func hosts(count int) []proxy.HostState {
	all := make([]proxy.HostState, count)
	for n := range all {
		all[n] = proxy.HostState{ID: proxy.HostID(fmt.Sprintf("host-%d", n)), Zone: zones[n%len(zones)]}
	}
	return all
}

// group returns a group with one instance in each zone of a region.
func group(n int) *proxy.Group {
	g := &proxy.Group{ID: proxy.GroupID(fmt.Sprintf("group-%d", n))}
	for _, zone := range zones[n%2*3 : n%2*3+3] {
		g.Instances = append(g.Instances, proxy.Instance{ID: proxy.InstanceID(zone), Zone: zone})
	}
	return g
}

func ids(pools []proxy.HostState) []proxy.HostID {
	var list []proxy.HostID
	for n := range pools {
		list = append(list, pools[n].ID)
	}
	return list
}

// Guards against a leaving host that changes the pool hosts of groups that it did
// not pool, and against a placement in which the loss of one host moves many groups.
func TestOneHostLeaves(t *testing.T) {
	is := is.New(t)
	all := hosts(fleet)
	gone := all[17]
	rest := slices.Delete(slices.Clone(all), 17, 18)
	moved := 0
	for n := range groups {
		before, after := ids(placement.Pools(group(n), all)), ids(placement.Pools(group(n), rest))
		if slices.Equal(before, after) {
			continue
		}
		moved++
		is.True(slices.Contains(before, gone.ID)) // only groups of the host move
		kept := 0
		for _, id := range before {
			if slices.Contains(after, id) {
				kept++
			}
		}
		is.Equal(kept, placement.MaxPoolHosts-1) // the other pool hosts stay
	}
	mean := groups * placement.MaxPoolHosts / fleet
	t.Logf("%d of %d groups moved, %d pools a host on average", moved, groups, mean)
	is.True(moved <= 3*mean)
}

// Guards against a placement that gives some hosts far more groups than others.
func TestBalance(t *testing.T) {
	is := is.New(t)
	counts := map[proxy.HostID]int{}
	all := hosts(fleet)
	for n := range groups {
		pools := placement.Pools(group(n), all)
		is.Equal(len(pools), placement.MaxPoolHosts)
		for _, id := range ids(pools) {
			counts[id]++
		}
	}
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	mean := groups * placement.MaxPoolHosts / fleet
	t.Logf("at most %d pools on a host, %d on average, %d hosts without", most, mean, fleet-len(counts))
	is.True(most <= 3*mean)
	is.True(len(counts) > fleet*99/100)
}

// Guards against pool hosts outside the instances' zones while enough hosts in these
// zones are live, against an instance zone without a pool host while it has a live
// host, and against an order that does not put the frontend's host and zone first.
func TestZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := hosts(rapid.IntRange(0, 40).Draw(t, "hosts"))
		for n := range all {
			all[n].Leaving = rapid.Bool().Draw(t, "leaving")
		}
		g := group(rapid.IntRange(0, groups).Draw(t, "group"))
		live, liveByZone := 0, map[proxy.Zone]int{}
		for n := range all {
			if all[n].Leaving {
				continue
			}
			live++
			if slices.ContainsFunc(g.Instances, func(i proxy.Instance) bool { return i.Zone == all[n].Zone }) {
				liveByZone[all[n].Zone]++
			}
		}
		pools := placement.Pools(g, all)
		if len(pools) != min(live, placement.MaxPoolHosts) {
			t.Fatalf("%d pools of %d live hosts", len(pools), live)
		}
		counts, outside := map[proxy.Zone]int{}, 0
		for _, h := range pools {
			if h.Leaving {
				t.Fatalf("%s is leaving", h.ID)
			}
			counts[h.Zone]++
			if liveByZone[h.Zone] == 0 {
				outside++
			}
		}
		possible := 0
		for zone, n := range liveByZone {
			possible += min(n, placement.PoolHostsPerZone)
			if counts[zone] == 0 {
				t.Fatalf("no pool in zone %s: %v", zone, pools)
			}
		}
		if outside > 0 && possible >= placement.MaxPoolHosts {
			t.Fatalf("%d pools outside the zones: %v", outside, pools)
		}
		checkOrder(t, pools)
	})
}

func checkOrder(t *rapid.T, pools []proxy.HostState) {
	order := placement.Order(pools, "host-0", "a2")
	last := 0
	for n, h := range order {
		distance := 2
		if h.Zone == "a2" {
			distance = 1
		}
		if h.ID == "host-0" {
			distance = 0
		}
		if distance < last {
			t.Fatalf("host %d of %v comes too late", n, order)
		}
		last = distance
	}
}

// Guards against holders in another zone than the instance's while there are hosts in it,
// and against instances that change their holders although these are still there.
func TestHolders(t *testing.T) {
	is := is.New(t)
	var candidates []placement.Candidate
	for n := range 60 {
		zone := proxy.Zone(fmt.Sprintf("z%d", n%3))
		candidates = append(candidates, placement.Candidate{Host: proxy.HostID(fmt.Sprintf("h%d", n)), Zone: zone, Link: 100})
	}
	zones := make(map[proxy.HostID]proxy.Zone)
	for _, c := range candidates {
		zones[c.Host] = c.Zone
	}
	held := make(map[proxy.HostID]int)
	const gone = 7
	for n := range 600 {
		instance, zone := proxy.InstanceID(fmt.Sprintf("i%d", n)), proxy.Zone(fmt.Sprintf("z%d", n%3))
		holders := placement.Holders(instance, zone, candidates, 2)
		is.Equal(len(holders), 2)
		is.True(holders[0] != holders[1])
		for _, id := range holders {
			is.Equal(zones[id], zone)
		}
		held[holders[0]]++
		without := placement.Holders(instance, zone, slices.Delete(slices.Clone(candidates), gone, gone+1), 2)
		if !slices.Contains(holders, candidates[gone].Host) {
			is.Equal(without, holders)
		} else if holders[0] == candidates[gone].Host {
			is.Equal(without[0], holders[1]) // the standby takes over
		}
	}
	for _, count := range held {
		is.True(count < 30) // 10 on average
	}
	is.Equal(len(placement.Holders("i", "none", candidates, 2)), 2) // a zone without hosts
	is.Equal(len(placement.Holders("i", "z0", candidates[:1], 2)), 1)
	is.Equal(len(placement.Holders("i", "z0", nil, 2)), 0)
}
