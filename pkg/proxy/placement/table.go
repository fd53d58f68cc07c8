package placement

import (
	"slices"
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Order returns the pool hosts in the order in which a front on a host uses
// them: the host itself, then those in its zone, then the others, each by rank.
func Order(pools []proxy.HostState, host proxy.HostID, zone proxy.Zone) []proxy.HostState {
	distance := func(h *proxy.HostState) int {
		switch {
		case h.ID == host:
			return 0
		case h.Zone == zone:
			return 1
		}
		return 2
	}
	ordered := slices.Clone(pools)
	slices.SortStableFunc(ordered, func(a, b proxy.HostState) int { return distance(&a) - distance(&b) })
	return ordered
}

// Table keeps the pool hosts of groups while the live hosts do not change. It is
// safe for concurrent use.
type Table struct {
	host proxy.HostID
	zone proxy.Zone

	mu     sync.Mutex
	hosts  []proxy.HostState
	orders map[proxy.GroupID]entry
}

// entry is the order for one group as a document describes it.
type entry struct {
	group *proxy.Group
	order []proxy.HostState
}

// NewTable returns a table for the fronts of a host.
func NewTable(host proxy.HostID, zone proxy.Zone) *Table {
	return &Table{host: host, zone: zone, orders: make(map[proxy.GroupID]entry)}
}

// SetHosts replaces the live hosts.
func (t *Table) SetHosts(hosts []proxy.HostState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = slices.Clone(hosts)
	clear(t.orders)
}

// Order returns the pool hosts of a group of the document in force, in the order
// in which this host uses them. The caller must not change the result.
func (t *Table) Order(group *proxy.Group) []proxy.HostState {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Documents are immutable, so that the same pointer is the same group.
	if e, ok := t.orders[group.ID]; ok && e.group == group {
		return e.order
	}
	order := Order(Pools(group, t.hosts), t.host, t.zone)
	t.orders[group.ID] = entry{group, order}
	return order
}

// Pooled reports whether this host is a pool host of the group, and among how
// many.
func (t *Table) Pooled(group *proxy.Group) (pooled bool, width int) {
	order := t.Order(group)
	return len(order) > 0 && order[0].ID == t.host, len(order)
}
