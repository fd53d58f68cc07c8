package experiment

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// sampleInterval is the time between two readings of the open connections.
const sampleInterval = 10 * time.Millisecond

// connections are the instances' connection counts. The emulator counts the
// highest number since its start, which includes the start of the hosts, so
// that the number under load is sampled.
type connections struct {
	refusedBefore map[proxy.InstanceID]int
	sampled       map[proxy.InstanceID]int
}

// sample reads the counts until ctx ends.
func (n *installation) sample(ctx context.Context) {
	n.connections = connections{make(map[proxy.InstanceID]int), make(map[proxy.InstanceID]int)}
	for id, e := range n.instances {
		n.connections.refusedBefore[id] = e.Status().RefusedConnections
	}
	for timing.Sleep(ctx, sampleInterval) {
		for id, e := range n.instances {
			n.connections.sampled[id] = max(n.connections.sampled[id], e.Status().Connections)
		}
	}
}

// addConnections reports the instances with the most connections.
func (n *installation) addConnections(r *Report) {
	highest, sampled := 0, 0
	var highestAt, sampledAt proxy.InstanceID
	before, during, limit := 0, 0, 0
	for _, id := range slices.Sorted(maps.Keys(n.instances)) {
		status := n.instances[id].Status()
		limit = n.instances[id].Faults().Connections
		before += n.connections.refusedBefore[id]
		during += status.RefusedConnections - n.connections.refusedBefore[id]
		if status.PeakConnections > highest {
			highest, highestAt = status.PeakConnections, id
		}
		if n.connections.sampled[id] > sampled {
			sampled, sampledAt = n.connections.sampled[id], id
		}
	}
	target := fmt.Sprintf("at most %d", limit)
	r.add("most connections of an instance, counted", fmt.Sprintf("%d (%s)", highest, highestAt), target, highest <= limit)
	r.add("the same under load, sampled", fmt.Sprintf("%d (%s)", sampled, sampledAt), target, sampled <= limit)
	r.add("connections refused by instances: start, load", fmt.Sprintf("%d, %d", before, during), "0, 0", before+during == 0)
}

// invariantPrefix starts the log messages of broken invariants.
const invariantPrefix = "invariant violated"

// isInvariant recognises the log message of a broken invariant.
func isInvariant(message string) bool { return strings.HasPrefix(message, invariantPrefix) }
