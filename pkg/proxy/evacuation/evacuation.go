// Package evacuation decides which availability zones get no more statements, after the
// operator has evacuated them.
//
// The operator counts from the store's acknowledgement, which a host does not see. A host
// that learns of an evacuation knows an instant at which there was none yet: that of its
// last confirmation before. From there the bound is counted, so that no statement is sent
// too late, however long the news took. A host without a confirmation within the bound
// does not know which zones are evacuated and sends nothing.
//
// Until the bound ends, the zone is evacuating: reads and new transactions use instances
// elsewhere, and only what needs a primary there still runs on it, while another instance
// is promoted in a planned change. Then the zone is closed.
package evacuation

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

const (
	// SendMargin is how long before the end of the bound the last statement may be sent. It
	// covers its way to the instance, beside other traffic of the host, and clock rates that
	// differ by 1%.
	SendMargin = 500 * time.Millisecond
	// unconfirmedRetry and evacuatedRetry are the times after which a client may retry an
	// operation that was refused since the evacuations are not confirmed, and since the zones
	// of all instances that could run it are evacuated.
	unconfirmedRetry = 500 * time.Millisecond
	evacuatedRetry   = time.Second
)

// State is the state of an availability zone.
type State uint8

// The states of a zone.
const (
	// Open zones are used.
	Open State = iota
	// Evacuating zones are used only for what needs a primary there.
	Evacuating
	// Closed zones get no statements.
	Closed
)

var stateNames = [...]string{"open", "evacuating", "closed"}

// String returns the state's name as it appears in logs.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Table holds what a host knows of the evacuations. Its exported fields are set before use.
// It is safe for concurrent use.
type Table struct {
	// Bound is the time after the acknowledgement of an evacuation from which no statement
	// may reach the zone. Zero means that there are no evacuations: all zones are open.
	Bound time.Duration

	mu          sync.Mutex
	zones       map[proxy.Zone]evacuated
	confirmedAt proxy.Instant
}

// evacuated is an evacuation that is in force.
type evacuated struct {
	// learnedAt is when this host learned of it, end the last instant at which a statement
	// may be sent.
	learnedAt, end proxy.Instant
}

// Followed reports whether the deployment has evacuations.
func (t *Table) Followed() bool { return t.Bound > 0 }

// Replace applies all evacuations as of confirmedAt. Their names are those of the zones,
// whatever their content. It reports whether they have changed.
func (t *Table) Replace(now, confirmedAt proxy.Instant, records []proxy.Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[proxy.Zone]bool, len(records))
	changed := false
	for _, record := range records {
		present[proxy.Zone(record.Name)] = true
		changed = t.begin(now, proxy.Zone(record.Name)) || changed
	}
	for zone := range t.zones {
		if !present[zone] {
			delete(t.zones, zone)
			changed = true
		}
	}
	t.confirm(confirmedAt)
	return changed
}

// Apply applies changes of evacuations, after which there were no others as of confirmedAt.
// It reports whether they have changed.
func (t *Table) Apply(now, confirmedAt proxy.Instant, records []proxy.Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, record := range records {
		zone := proxy.Zone(record.Name)
		if record.Deleted {
			_, known := t.zones[zone]
			delete(t.zones, zone)
			changed = changed || known
		} else {
			changed = t.begin(now, zone) || changed
		}
	}
	t.confirm(confirmedAt)
	return changed
}

// begin records an evacuation and reports whether it is new. One that the operator writes
// again keeps its end.
func (t *Table) begin(now proxy.Instant, zone proxy.Zone) bool {
	if _, known := t.zones[zone]; known {
		return false
	}
	if t.zones == nil {
		t.zones = make(map[proxy.Zone]evacuated)
	}
	// Without an earlier confirmation, the evacuation may be of any age.
	e := evacuated{learnedAt: now, end: now}
	if t.confirmedAt != 0 {
		e.end = t.lastSend()
	}
	t.zones[zone] = e
	return true
}

func (t *Table) confirm(confirmedAt proxy.Instant) { t.confirmedAt = max(t.confirmedAt, confirmedAt) }

// lastSend returns the last instant at which a statement may be sent to a zone that was not
// evacuated when the state was last confirmed.
func (t *Table) lastSend() proxy.Instant { return t.confirmedAt.Add(t.Bound - SendMargin) }

// Known reports whether the evacuations have ever been read.
func (t *Table) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.Followed() || t.confirmedAt != 0
}

// Age returns how long ago the evacuations were confirmed.
func (t *Table) Age(now proxy.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.confirmedAt)
}

// Confirmed reports whether the evacuations are known well enough to send statements.
func (t *Table) Confirmed(now proxy.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed(now)
}

func (t *Table) confirmed(now proxy.Instant) bool {
	return !t.Followed() || t.confirmedAt != 0 && now < t.lastSend()
}

// State returns the state of a zone. While the evacuations are not confirmed, all zones are
// closed.
func (t *Table) State(now proxy.Instant, zone proxy.Zone) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(now, zone)
}

func (t *Table) state(now proxy.Instant, zone proxy.Zone) State {
	e, found := t.zones[zone]
	switch {
	case !t.confirmed(now), found && now >= e.end:
		return Closed
	case found:
		return Evacuating
	default:
		return Open
	}
}

// Zones returns the evacuated zones and those of them that are closed, in order.
func (t *Table) Zones(now proxy.Instant) (all, closed []proxy.Zone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for zone, e := range t.zones {
		all = append(all, zone)
		if now >= e.end {
			closed = append(closed, zone)
		}
	}
	slices.Sort(all)
	slices.Sort(closed)
	return all, closed
}

// Evacuated reports whether the zone is evacuated, as far as this host knows.
func (t *Table) Evacuated(zone proxy.Zone) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, found := t.zones[zone]
	return found
}

// MustMove reports whether a primary has to be replaced because its zone is evacuated: if
// another one of the group's instances can take over.
func (t *Table) MustMove(now proxy.Instant, primary directory.Instance, instances []directory.Instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, found := t.zones[primary.Zone]
	return found && t.confirmed(now) && t.hasOpen(now, instances)
}

// hasOpen reports whether one of the instances is in an open zone and stays.
func (t *Table) hasOpen(now proxy.Instant, instances []directory.Instance) bool {
	return slices.ContainsFunc(instances, func(i directory.Instance) bool {
		return !i.Leaving && t.state(now, i.Zone) == Open
	})
}

// Search is an operation for which a host has found no usable instance.
type Search struct {
	// Instances are the registered instances of the group.
	Instances []directory.Instance
	// NeedsPrimary reports that only the primary may run the operation. Primary is the
	// group's primary; nil while it is being replaced or is not registered.
	NeedsPrimary bool
	Primary      *directory.Instance
	// ChangeTime is how long a change of the primary takes.
	ChangeTime time.Duration
}

// Refuse returns the refusal of an operation that waiting does not help because of the
// evacuations, or nil.
func (t *Table) Refuse(now proxy.Instant, s Search) *proxy.Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.confirmed(now) {
		return &proxy.Failure{Code: proxy.Busy, Text: "evacuations are not confirmed", RetryAfter: unconfirmedRetry}
	}
	if len(t.zones) == 0 || len(s.Instances) == 0 {
		return nil
	}
	open := t.hasOpen(now, s.Instances)
	switch {
	case !open && s.usesPrimary(t, now):
		return nil
	case !open:
		return &proxy.Failure{
			Code: proxy.Busy, Text: "zones of all instances are evacuated", RetryAfter: evacuatedRetry,
		}
	case !s.NeedsPrimary || s.Primary == nil || t.state(now, s.Primary.Zone) != Closed:
		return nil
	}
	e := t.zones[s.Primary.Zone]
	if now < max(e.end, e.learnedAt).Add(s.ChangeTime) {
		return nil // the new primary is expected soon
	}
	return &proxy.Failure{Code: proxy.Busy, Text: "zone of the primary is evacuated", RetryAfter: s.ChangeTime}
}

// usesPrimary reports whether the operation runs on a primary whose zone is not closed.
func (s Search) usesPrimary(t *Table, now proxy.Instant) bool {
	return s.NeedsPrimary && s.Primary != nil && t.state(now, s.Primary.Zone) != Closed
}
