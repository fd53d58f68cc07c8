package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Candidate is a host that can hold connections to instances.
type Candidate struct {
	Host proxy.HostID
	Zone proxy.Zone
	// Link is the bandwidth of the host's network link; zero if it is not known.
	Link proxy.MegabitsPerSecond
}

// Limits of the bandwidth by which hosts are weighted. Beyond them the processor binds,
// not the link.
const (
	minLinkWeight = 10
	maxLinkWeight = 100
)

// Holders returns the hosts that hold connections to an instance, the preferred one
// first, at most count. It prefers hosts in the instance's availability zone, from which
// a connection opens without a round trip between zones, and hosts with wide links. When
// a host comes or goes, only the instances that it holds change.
func Holders(instance proxy.InstanceID, zone proxy.Zone, candidates []Candidate, count int) []proxy.HostID {
	chosen := make([]scored, 0, count+1)
	for _, local := range []bool{true, false} {
		first := len(chosen)
		for _, c := range candidates {
			if (c.Zone == zone) == local {
				chosen = insert(chosen, first, scored{c.Host, c.score(instance)}, count)
			}
		}
		if len(chosen) == count {
			break
		}
	}
	holders := make([]proxy.HostID, 0, len(chosen))
	for _, s := range chosen {
		holders = append(holders, s.host)
	}
	return holders
}

type scored struct {
	host  proxy.HostID
	score float64
}

// insert inserts a candidate into the part of chosen from the index first on, which is in
// descending order of scores, and limits the length of chosen to count.
func insert(chosen []scored, first int, candidate scored, count int) []scored {
	n, _ := slices.BinarySearchFunc(chosen[first:], candidate, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host, b.host))
	})
	if first+n == count {
		return chosen
	}
	chosen = slices.Insert(chosen, first+n, candidate)
	return chosen[:min(len(chosen), count)]
}

// score returns the weighted rank of a candidate for an instance: the candidate with the
// highest score of several is chosen with a probability proportional to its weight.
func (c Candidate) score(instance proxy.InstanceID) float64 {
	weight := min(max(float64(c.Link), minLinkWeight), maxLinkWeight)
	if c.Link == 0 {
		weight = maxLinkWeight
	}
	// The rank becomes a number between 0 and 1, excluding both.
	uniform := (float64(Rank(string(instance), c.Host)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
