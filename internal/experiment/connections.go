package experiment

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// sampleInterval is the interval at which the numbers of open connections are read.
const sampleInterval = 10 * time.Millisecond

// connectionCounts holds connection counts of the instances. The emulator's own
// maximum includes the start of the hosts, so the maximum under load is sampled.
type connectionCounts struct {
	refusedBeforeLoad map[proxy.InstanceID]int
	maxSampled        map[proxy.InstanceID]int
}

// sampleConnections records the largest number of connections of each instance until
// ctx ends.
func (n *installation) sampleConnections(ctx context.Context) {
	n.connectionCounts = connectionCounts{make(map[proxy.InstanceID]int), make(map[proxy.InstanceID]int)}
	for id, e := range n.instances {
		n.connectionCounts.refusedBeforeLoad[id] = e.Status().RefusedConnections
	}
	for timing.Sleep(ctx, sampleInterval) {
		for id, e := range n.instances {
			n.connectionCounts.maxSampled[id] = max(n.connectionCounts.maxSampled[id], e.Status().Connections)
		}
	}
}

// addConnections reports the largest numbers of connections of an instance, and the
// connections that instances refused.
func (n *installation) addConnections(r *Report) {
	highest, maxSampled := 0, 0
	var highestInstance, maxSampledInstance proxy.InstanceID
	refusedAtStart, refusedUnderLoad, limit := 0, 0, 0
	for _, id := range slices.Sorted(maps.Keys(n.instances)) {
		status := n.instances[id].Status()
		limit = n.instances[id].Faults().Connections
		refusedAtStart += n.connectionCounts.refusedBeforeLoad[id]
		refusedUnderLoad += status.RefusedConnections - n.connectionCounts.refusedBeforeLoad[id]
		if status.PeakConnections > highest {
			highest, highestInstance = status.PeakConnections, id
		}
		if n.connectionCounts.maxSampled[id] > maxSampled {
			maxSampled, maxSampledInstance = n.connectionCounts.maxSampled[id], id
		}
	}
	target := fmt.Sprintf("at most %d", limit)
	r.add("most connections of an instance, counted",
		fmt.Sprintf("%d (%s)", highest, highestInstance), target, highest <= limit)
	r.add("the same under load, sampled",
		fmt.Sprintf("%d (%s)", maxSampled, maxSampledInstance), target, maxSampled <= limit)
	r.add("connections refused by instances: start, load",
		fmt.Sprintf("%d, %d", refusedAtStart, refusedUnderLoad), "0, 0", refusedAtStart+refusedUnderLoad == 0)
}
