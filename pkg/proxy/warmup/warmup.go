// Package warmup limits what a fleet sends to a cold instance, which has just started and is
// slow at first.
//
// All hosts together may send a cold instance a number of statements in any one second. The
// hosts divide it by what they know of each other: the holders of the instance get fixed parts
// of it, the others nothing; without holders, all hosts get equal parts. Hosts do not learn of
// changes at the same time. A part that grows is therefore used only after the handover time, by
// when every host has seen the change or no longer serves; one that shrinks counts at once. A
// host that starts has no part before.
package warmup

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

const (
	// window is the time in which the statements are counted. It exceeds a second by the time
	// between the decision to send a statement and its sending.
	window = 1100 * time.Millisecond
	// usedPercent is the part of the allowance that is divided. The rest is for statements
	// that hosts issue outside their tables.
	usedPercent = 90
	// standbyPercent is the part of that for the last holder, which takes over from others.
	standbyPercent = 25
	// coldPercent is the part of its share that a host uses when an instance begins to warm
	// up. It grows evenly to the whole share.
	coldPercent = 50
	// registrationTime is how long after its start the entry of an instance may be missing.
	registrationTime = 2 * time.Second
	// forgetTime is how long the part of an instance is kept that is no longer registered.
	forgetTime = time.Minute
	// maxWait is the expected wait where a host has no part at all.
	maxWait = time.Hour
)

// Bounds are the limits that hold for a deployment.
type Bounds struct {
	// Overshoot times an instance's warm-up rate plus Slack is the number of statements that
	// a cold instance may get in one second from all hosts together.
	Overshoot, Slack float64
	// Handover is how long a larger part has to be a host's before it uses it.
	Handover time.Duration
	// Validity is how long after its last confirmation a host uses its part.
	Validity time.Duration
}

// Allowance returns the number of statements that the hosts together send in one second to
// an instance with a warm-up rate.
func (b Bounds) Allowance(rate float64) int {
	return int((rate*b.Overshoot + b.Slack) * usedPercent / 100)
}

// Limited reports whether the instances of a group are limited while they are cold.
func (b Bounds) Limited(g directory.Group) bool {
	return b.Overshoot > 0 && g.WarmupRate > 0 && g.WarmupTime > 0
}

// HolderShare returns the part of an allowance for the holder with an index, or a negative
// one if the host is none. The last of several holders stands by.
func HolderShare(allowance, index, holders int) int {
	standby := allowance * standbyPercent / 100
	switch {
	case index < 0 || index >= holders:
		return 0
	case holders == 1:
		return allowance
	case index == holders-1:
		return standby
	default:
		return (allowance - standby) / (holders - 1)
	}
}

// EqualShare returns the part of an allowance for a host with an index among all hosts in
// order, or a negative one if it is not among them.
func EqualShare(allowance, index, hosts int) int {
	if index < 0 || index >= hosts {
		return 0
	}
	share := allowance / hosts
	if index < allowance%hosts {
		share++
	}
	return share
}

// Member is an instance whose group limits cold instances.
type Member struct {
	ID proxy.InstanceID
	// ColdUntil is until when its entry says that the instance is cold; zero if it is not.
	ColdUntil proxy.Instant
	// Time is the time that the instance takes to warm up.
	Time time.Duration
	// Share is the host's part of the allowance by what it knows now.
	Share int
}

// Table holds a host's parts and what it has sent to instances. Its exported fields are set
// before use. It is safe for concurrent use.
type Table struct {
	Bounds Bounds

	mu          sync.Mutex
	instances   map[proxy.InstanceID]*instance
	confirmedAt proxy.Instant
}

type instance struct {
	Member
	// granted is the part in force, offered the larger one since offeredAt.
	granted, offered int
	offeredAt        proxy.Instant
	// sent holds the newest instants at which statements were sent, oldest first, reserved
	// counts those that are about to be sent.
	sent     []proxy.Instant
	reserved int
	// suspectedAt is when this host last found a sign that the instance has restarted; zero
	// if there is none, or if the instance has not.
	suspectedAt proxy.Instant
	// presentAt is when the instance was last registered.
	presentAt proxy.Instant
}

// Update sets the instances whose groups limit cold instances. Since is when what this host
// knows of the other hosts, from which the parts are computed, last changed.
func (t *Table) Update(now, since proxy.Instant, members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.instances == nil {
		t.instances = make(map[proxy.InstanceID]*instance)
	}
	for _, m := range members {
		i := t.instances[m.ID]
		if i == nil {
			i = &instance{offered: m.Share, offeredAt: since}
			t.instances[m.ID] = i
		}
		i.Member, i.presentAt = m, now
		i.offer(now, m.Share)
	}
	for id, i := range t.instances {
		if now.Sub(i.presentAt) > forgetTime {
			delete(t.instances, id)
		}
	}
}

// offer changes the host's part. A larger one is used after the handover time.
func (i *instance) offer(now proxy.Instant, share int) {
	if share <= i.granted {
		i.granted, i.offered = share, share
	} else if share != i.offered {
		i.offered, i.offeredAt = share, now
	}
}

// Confirm records that the configuration was confirmed as of an instant.
func (t *Table) Confirm(confirmedAt proxy.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmedAt = max(t.confirmedAt, confirmedAt)
}

// ConfirmInstances records that the entries of all instances were confirmed as of an
// instant. An instance that has restarted before would be known to be cold by now.
func (t *Table) ConfirmInstances(confirmedAt proxy.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range t.instances {
		if i.suspectedAt != 0 && confirmedAt.Sub(i.suspectedAt) > registrationTime {
			i.suspectedAt = 0
		}
	}
}

// Suspect records a sign that an instance has restarted: a connection broke, or could not be
// opened. Its entry may not tell yet that it is cold.
func (t *Table) Suspect(now proxy.Instant, id proxy.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.instances[id]; i != nil {
		i.suspectedAt = max(i.suspectedAt, now)
	}
}

// SuspectedFor returns how long ago this host last found a sign that an instance has
// restarted, or zero if there is none.
func (t *Table) SuspectedFor(now proxy.Instant, id proxy.InstanceID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.instances[id]; i != nil && i.suspectedAt != 0 {
		return max(now.Sub(i.suspectedAt), 1)
	}
	return 0
}

// Answered records that an instance has answered a statement, sent at an instant on a
// connection that was opened at another one. If the connection is older than the last sign of
// a restart, the instance has not restarted.
func (t *Table) Answered(id proxy.InstanceID, opened, sent proxy.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.instances[id]; i != nil && i.suspectedAt != 0 && opened < i.suspectedAt && sent > i.suspectedAt {
		i.suspectedAt = 0
	}
}

// cold reports whether the instance is, or may be, cold.
func (i *instance) cold(now proxy.Instant) bool { return now < i.ColdUntil || i.suspectedAt != 0 }

// Cold returns the number of instances that are, or may be, cold.
func (t *Table) Cold(now proxy.Instant) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	cold := 0
	for _, i := range t.instances {
		if i.cold(now) {
			cold++
		}
	}
	return cold
}

// limit returns the number of statements that the host may send to a cold instance in one
// second. It grows as the instance warms up.
func (t *Table) limit(now proxy.Instant, i *instance) int {
	if i.offered > i.granted && now.Sub(i.offeredAt) >= t.Bounds.Handover {
		i.granted = i.offered
	}
	switch {
	case now.Sub(t.confirmedAt) > t.Bounds.Validity:
		return 0
	case now >= i.ColdUntil:
		// The entry has said nothing of a restart yet.
		return i.Share * coldPercent / 100
	}
	left := min(float64(i.ColdUntil.Sub(now))/float64(max(i.Time, 1)), 1)
	part := coldPercent + (100-coldPercent)*(1-left)
	return min(max(int(float64(i.granted)*part/100), 1), i.granted)
}

// inWindow returns how many statements were sent in the window before now.
func (i *instance) inWindow(now proxy.Instant) int {
	n, _ := slices.BinarySearch(i.sent, now.Add(-window)+1)
	return len(i.sent) - n
}

// Reserve reserves a statement to a cold instance, if another one for each open transaction
// there is left. A reservation ends with Send or Cancel.
func (t *Table) Reserve(now proxy.Instant, id proxy.InstanceID, transactions int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.instances[id]
	if i == nil {
		return true
	}
	if i.cold(now) && t.limit(now, i)-i.inWindow(now)-i.reserved <= transactions {
		return false
	}
	i.reserved++
	return true
}

// Cancel ends a reservation without a statement.
func (t *Table) Cancel(id proxy.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.instances[id]; i != nil {
		i.reserved = max(i.reserved-1, 0)
	}
}

// Send records that statements are sent now and returns zero. Reserved reports that one of
// them was reserved. If they are too many for a cold instance, Send returns how long to wait
// before it is called again.
func (t *Table) Send(now proxy.Instant, id proxy.InstanceID, statements int, reserved bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.instances[id]
	if i == nil {
		return 0
	}
	others := i.reserved
	if reserved {
		others = max(others-1, 0)
	}
	limit := i.Share
	if i.cold(now) {
		limit = t.limit(now, i)
		// More than the limit at once would never be sent.
		statements = min(statements, max(limit, 1))
		if i.inWindow(now)+others+statements > limit {
			return t.waitFor(now, i, limit, others+statements)
		}
	}
	i.reserved = others
	if len(i.sent) > 0 {
		// Another goroutine may have read the clock later.
		now = max(now, i.sent[len(i.sent)-1])
	}
	for range statements {
		i.sent = append(i.sent, now)
	}
	// Only the newest matter, also if the instance turns out to be cold later.
	kept := max(limit, i.Share, i.granted) + statements
	i.sent = slices.Delete(i.sent, 0, max(len(i.sent)-kept, 0))
	return 0
}

// waitFor returns when so many of the statements in the window have left it that more fit
// under the limit.
func (t *Table) waitFor(now proxy.Instant, i *instance, limit, more int) time.Duration {
	sent := i.inWindow(now)
	leaving := sent + more - limit
	if limit == 0 || leaving > sent {
		if limit == 0 {
			return maxWait
		}
		return window * time.Duration(1+(leaving-sent)/limit)
	}
	return max(i.sent[len(i.sent)-sent+leaving-1].Add(window).Sub(now), time.Millisecond)
}

// Wait returns how long the last of a number of operations waits for the allowance of a cold
// instance; zero if it does not.
func (t *Table) Wait(now proxy.Instant, id proxy.InstanceID, operations int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.instances[id]
	if i == nil || !i.cold(now) {
		return 0
	}
	limit := t.limit(now, i)
	if i.inWindow(now)+i.reserved+operations <= limit {
		return 0
	}
	return t.waitFor(now, i, limit, i.reserved+operations)
}
