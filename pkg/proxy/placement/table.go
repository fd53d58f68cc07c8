package placement

import (
	"slices"
	"sync"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Order returns the pool hosts in the order in which the frontend of a host uses
// them: the host itself, the hosts in its zone, and the others. Within each of these
// the order of pools remains.
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

// Table caches the order of the pool hosts for each group until the live hosts
// change. It is safe for concurrent use.
type Table struct {
	host proxy.HostID
	zone proxy.Zone

	mu     sync.Mutex
	hosts  []proxy.HostState
	orders map[proxy.GroupID]cachedOrder
}

// cachedOrder is the order of the pool hosts of a group.
type cachedOrder struct {
	group *proxy.Group
	order []proxy.HostState
}

// NewTable returns a table for the frontend of a host.
func NewTable(host proxy.HostID, zone proxy.Zone) *Table {
	return &Table{host: host, zone: zone, orders: make(map[proxy.GroupID]cachedOrder)}
}

// SetHosts replaces the live hosts.
func (t *Table) SetHosts(hosts []proxy.HostState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = slices.Clone(hosts)
	clear(t.orders)
}

// Order returns the pool hosts of a group of the document in force, in the order in
// which this host uses them. The caller must not modify the result.
func (t *Table) Order(group *proxy.Group) []proxy.HostState {
	t.mu.Lock()
	defer t.mu.Unlock()
	// Documents are immutable, so an equal pointer means an unchanged group.
	if e, ok := t.orders[group.ID]; ok && e.group == group {
		return e.order
	}
	order := Order(Pools(group, t.hosts), t.host, t.zone)
	t.orders[group.ID] = cachedOrder{group, order}
	return order
}

// Pooled reports whether this host is a pool host of the group, and returns the
// number of the group's pool hosts as width.
func (t *Table) Pooled(group *proxy.Group) (pooled bool, width int) {
	order := t.Order(group)
	return len(order) > 0 && order[0].ID == t.host, len(order)
}
