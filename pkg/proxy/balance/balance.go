// Package balance chooses the instance for an operation, and the host whose connection to
// that instance runs it.
//
// Where hosts share the few connections that an instance accepts, each instance has
// holders: hosts that keep connections to it and let its operations wait in one queue.
// The others send their operations to a holder. A holder that does not answer is left out
// for some time and the next one is used; if none is left, the host uses connections of
// its own.
//
// A host sees little of the load of an instance that many hosts use. It knows what its own
// operations met a short time ago, and accepts only a short wait at the first instance as
// long as another one may serve the operation sooner.
package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

const (
	// initialService is the assumed time of an operation on an instance, without waits,
	// until one has been measured.
	initialService = 15 * time.Millisecond
	// crossZoneDelay is added to that for an instance in another availability zone. It is
	// a round trip with 4.5 ms in each direction.
	crossZoneDelay = 9 * time.Millisecond
	// primaryReadPenalty is added for reads on the primary. It directs reads that a
	// replica can serve away from the primary, the only instance that serves writes.
	primaryReadPenalty = 15 * time.Millisecond
	// serviceSmoothing is the weight of a new measurement in the moving average.
	serviceSmoothing = 0.15
	// loadValidity is how long a reported wait counts. It loses weight evenly until then.
	loadValidity = 300 * time.Millisecond
	// minPatience is the least wait that is accepted at any instance.
	minPatience = 15 * time.Millisecond
	// jitter is the range of the random part of an estimate, which spreads the operations
	// of many hosts over instances that look alike.
	jitter = 4 * time.Millisecond
	// lagExclusionTime is how long a replica gets no reads of a position after it answered
	// that it has not replayed that position. It doubles up to maxLagExclusionTime while
	// no read of it succeeds and another instance can serve them.
	lagExclusionTime    = 300 * time.Millisecond
	maxLagExclusionTime = 2400 * time.Millisecond
	// exclusionTime is how long a host, or an instance as seen from a host, is left out
	// after a failure. It doubles on repeated failures up to maxExclusionTime.
	exclusionTime    = 200 * time.Millisecond
	maxExclusionTime = 2 * time.Second
	// healthValidity is how long a report on an instance's answers counts. It loses weight
	// evenly until then.
	healthValidity = 2 * time.Second
	// failureCost is what a failed statement costs its caller: its own time, and that of the
	// next try.
	failureCost = 100 * time.Millisecond
	// failingMargin is the share of failures above that of the group's best instance, and
	// slowFactor the multiple of the duration of the fastest replica, up to which instances
	// count as alike.
	failingMargin = 0.1
	slowFactor    = 3
	// unansweredTime is how much longer a host is left out that has not answered a check.
	unansweredTime = 500 * time.Millisecond
	// leavingTime is how long a host that is about to stop is left out.
	leavingTime = 4 * time.Second
)

// Member is an instance in use.
type Member struct {
	directory.Instance
	// Holders are the hosts that hold connections to the instance, in the order in which
	// they are preferred. Without holders, each host uses connections of its own.
	Holders []proxy.HostID
	// Evacuated instances get only operations that need a primary.
	Evacuated bool
}

// Request describes an operation.
type Request struct {
	Group proxy.GroupID
	// Primary restricts the choice to the group's primary.
	Primary bool
	// After is the position that a read needs; nil if that is not known or needed.
	After *proxy.Bookmark
	// Avoid lists instances on which this operation has failed.
	Avoid []proxy.InstanceID
	// Insistent accepts any wait: the operation was refused at the other instances.
	Insistent bool
}

// Choice is an instance and the host whose connection is used.
type Choice struct {
	Instance proxy.InstanceID
	Zone     proxy.Zone
	Host     proxy.HostID
	// Patience is the longest wait that the operation accepts; zero for no limit.
	Patience time.Duration
}

// Table holds what this host knows of the instances and the other hosts. Its exported
// fields are set before use. It is safe for concurrent use.
type Table struct {
	Self proxy.HostID
	Zone proxy.Zone
	// Random returns a random number from 0 to below 1.
	Random func() float64

	mu        sync.Mutex
	instances map[proxy.InstanceID]*instance
	groups    map[proxy.GroupID][]*instance
	hosts     map[proxy.HostID]*exclusion
	primaries map[proxy.GroupID]proxy.InstanceID
}

type instance struct {
	Member
	// service is the moving average of the time of an operation without its wait.
	service time.Duration
	// wait is the wait that was reported at reportedAt.
	wait       time.Duration
	reportedAt proxy.Instant
	// failing and reported are the share of failures and the duration of a statement that
	// were reported at healthAt.
	failing  float64
	reported time.Duration
	healthAt proxy.Instant
	// notReached is the exclusion from reads after no holder has reached the instance.
	notReached exclusion
	// outstanding counts this host's operations on the instance.
	outstanding int
	// From laggedAt to laggingUntil the instance gets no reads that need lacked or a later
	// position. lagged counts the exclusions without a success in between.
	laggedAt     proxy.Instant
	laggingUntil proxy.Instant
	lacked       proxy.Bookmark
	lagged       int
	// unreachable are the hosts from which the instance was not reached.
	unreachable map[proxy.HostID]*exclusion
}

// exclusion is the time for which something is left out after failures.
type exclusion struct {
	until    proxy.Instant
	failures int
}

func (e *exclusion) fail(now proxy.Instant) {
	e.until = now.Add(min(exclusionTime<<min(e.failures, 4), maxExclusionTime))
	e.failures++
}

// Update sets the instances in use.
func (t *Table) Update(members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[proxy.InstanceID]*instance, len(members))
	t.groups = make(map[proxy.GroupID][]*instance)
	for _, m := range members {
		i := t.instances[m.ID]
		if i == nil || i.Address != m.Address || i.Born != m.Born || i.Group != m.Group {
			i = &instance{service: initialService, unreachable: make(map[proxy.HostID]*exclusion)}
			if m.Zone != t.Zone {
				i.service += crossZoneDelay
			}
		}
		i.Member = m
		known[m.ID] = i
		t.groups[m.Group] = append(t.groups[m.Group], i)
	}
	t.instances = known
}

// SetPrimary sets the primary of a group; empty while it has none.
func (t *Table) SetPrimary(id proxy.GroupID, primary proxy.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.primaries == nil {
		t.primaries = make(map[proxy.GroupID]proxy.InstanceID)
	}
	t.primaries[id] = primary
}

// Choose returns the instance with the lowest expected delay and the host to use. It
// returns false if no instance is usable.
func (t *Table) Choose(now proxy.Instant, request Request) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(now, &request)
	normal := t.normalHealth(now, candidates)
	var best, second *instance
	var lowest, next time.Duration
	for _, i := range candidates {
		delay := t.expectedDelay(now, i, &request) + t.healthDelay(now, i, normal)
		switch {
		case best == nil || delay < lowest:
			second, next = best, lowest
			best, lowest = i, delay
		case second == nil || delay < next:
			second, next = i, delay
		}
	}
	if best == nil {
		return Choice{}, false
	}
	choice := Choice{Instance: best.ID, Zone: best.Zone, Host: t.host(now, best)}
	// If all fail alike, no other one is better.
	alike := best.failing > failingMargin && best.weight(now)*best.failing-normal.failing <= failingMargin
	if second != nil && !request.Insistent && !alike {
		choice.Patience = max(next-lowest+best.expectedWait(now), minPatience)
	}
	return choice, true
}

// candidates returns the instances that may serve an operation. Those that lagged several
// times, or were not reached lately, are left out of reads as long as there are others.
func (t *Table) candidates(now proxy.Instant, request *Request) []*instance {
	var reached, lagged, all []*instance
	for _, i := range t.groups[request.Group] {
		if !t.usable(now, i, request) {
			continue
		}
		all = append(all, i)
		if !request.Primary && now < i.notReached.until {
			continue
		}
		lagged = append(lagged, i)
		if request.Primary || !i.lacks(now, request.After, i.laggingUntil) {
			reached = append(reached, i)
		}
	}
	switch {
	case len(reached) > 0:
		return reached
	case len(lagged) > 0:
		return lagged
	default:
		return all
	}
}

// weight returns the weight of what was reported of an instance's answers; zero for none.
func (i *instance) weight(now proxy.Instant) float64 {
	if i.healthAt == 0 {
		return 0
	}
	return max(1-float64(now.Sub(i.healthAt))/float64(healthValidity), 0)
}

// health is how the best instances of a group answer.
type health struct {
	failing float64
	service time.Duration
}

// normalHealth returns the least share of failures among instances, and the duration of a
// statement on the fastest replica. Primaries are not compared, since they run other
// statements.
func (t *Table) normalHealth(now proxy.Instant, instances []*instance) health {
	normal := health{failing: 1}
	for _, i := range instances {
		weight := i.weight(now)
		normal.failing = min(normal.failing, weight*i.failing)
		if weight > 0 && i.ID != t.primaries[i.Group] && (normal.service == 0 || i.reported < normal.service) {
			normal.service = i.reported
		}
	}
	return normal
}

// healthDelay returns what the failures and the slowness of an instance are expected to cost
// an operation, compared with those of the best ones.
func (t *Table) healthDelay(now proxy.Instant, i *instance, normal health) time.Duration {
	weight := i.weight(now)
	var delay time.Duration
	if share := weight*i.failing - normal.failing; share > failingMargin {
		delay = time.Duration(share / (1 - share) * float64(failureCost))
	}
	if normal.service > 0 && i.ID != t.primaries[i.Group] {
		delay += time.Duration(weight * float64(max(i.reported-slowFactor*normal.service, 0)))
	}
	return delay
}

func (t *Table) usable(now proxy.Instant, i *instance, request *Request) bool {
	if request.Primary {
		return i.ID == t.primaries[i.Group]
	}
	return !i.Leaving && !i.Evacuated && !i.lacks(now, request.After, i.laggedAt.Add(lagExclusionTime)) &&
		!slices.Contains(request.Avoid, i.ID)
}

// lacks reports whether the instance is assumed until an instant to lack a position, since it
// has answered that.
func (i *instance) lacks(now proxy.Instant, position *proxy.Bookmark, until proxy.Instant) bool {
	return i.lagged > 0 && now < until && (position == nil || !position.Before(i.lacked))
}

// expectedDelay estimates how long an operation takes on an instance.
func (t *Table) expectedDelay(now proxy.Instant, i *instance, request *Request) time.Duration {
	delay := i.service + i.expectedWait(now) + time.Duration(t.Random()*float64(jitter))
	if i.ID == t.primaries[i.Group] && !request.Primary {
		delay += primaryReadPenalty
	}
	return delay
}

// expectedWait estimates how long an operation waits for others: those of which a holder
// has reported, and the own ones that have no answer yet.
func (i *instance) expectedWait(now proxy.Instant) time.Duration {
	wait := i.service * time.Duration(max(i.outstanding-i.Slots+1, 0)) / time.Duration(max(i.Slots, 1))
	if age := now.Sub(i.reportedAt); i.reportedAt != 0 && age < loadValidity {
		wait = max(wait, time.Duration(float64(i.wait)*(1-float64(age)/float64(loadValidity))))
	}
	return wait
}

// host returns the host whose connection to an instance is used.
func (t *Table) host(now proxy.Instant, i *instance) proxy.HostID {
	for _, id := range i.Holders {
		if id == t.Self {
			return id
		}
		down, unreachable := t.hosts[id], i.unreachable[id]
		if (down == nil || now >= down.until) && (unreachable == nil || now >= unreachable.until) {
			return id
		}
	}
	return t.Self
}

// PrimaryHost returns the host whose connection to the primary of a group is used, or an
// empty ID if the group has no primary.
func (t *Table) PrimaryHost(now proxy.Instant, id proxy.GroupID) proxy.HostID {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.instances[t.primaries[id]]; i != nil {
		return t.host(now, i)
	}
	return ""
}

// Start records that an operation is sent.
func (t *Table) Start(choice Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.instances[choice.Instance]; i != nil {
		i.outstanding++
	}
}

// Finish records the result of an operation that Start has recorded. It took the given
// time, including its wait.
func (t *Table) Finish(now proxy.Instant, choice Choice, result proxy.Executed, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.instances[choice.Instance]
	if i != nil {
		i.outstanding = max(i.outstanding-1, 0)
		i.recordLoad(now, result)
	}
	remote := choice.Host != t.Self
	switch {
	case result.Answer != nil:
		if i != nil {
			i.notReached = exclusion{}
			// A refusal takes less time than a statement.
			if result.Answer.Failure == nil {
				i.service += time.Duration(serviceSmoothing * float64(took-result.Waited-i.service))
			}
			delete(i.unreachable, choice.Host)
		}
		if e := t.hosts[choice.Host]; e != nil && !result.Leaving && now >= e.until {
			delete(t.hosts, choice.Host)
		}
	case result.Unknown != "" && result.Lost, result.Refusal != nil && result.Refusal.Cause == proxy.Disconnected:
		t.hostExclusion(choice.Host).fail(now)
	case result.Refusal != nil && remote && i != nil &&
		(result.Refusal.Cause == proxy.Unreachable || result.Refusal.Cause == proxy.Unserved):
		i.hostExclusion(choice.Host).fail(now)
	}
	if i != nil && result.Refusal != nil && result.Refusal.Cause == proxy.Unreachable {
		t.recordNotReached(now, i, choice.Host)
	}
	if remote && result.Leaving {
		t.hostExclusion(choice.Host).until = now.Add(leavingTime)
	}
}

// recordNotReached excludes an instance from reads if it was not reached by the last of its
// holders, or by this host.
func (t *Table) recordNotReached(now proxy.Instant, i *instance, from proxy.HostID) {
	if now >= i.notReached.until && (from == t.Self || t.host(now, i) == t.Self) {
		i.notReached.fail(now)
	}
}

// recordLoad records the wait and the health that a holder reports.
func (i *instance) recordLoad(now proxy.Instant, result proxy.Executed) {
	if result.Load.Service > 0 {
		i.failing, i.reported, i.healthAt = float64(result.Load.Failing)/1000, result.Load.Service, now
	}
	if result.Answer == nil && (result.Refusal == nil || result.Refusal.Cause != proxy.Crowded) {
		return
	}
	i.wait, i.reportedAt = result.Load.Wait, now
}

func (t *Table) hostExclusion(id proxy.HostID) *exclusion {
	if t.hosts == nil {
		t.hosts = make(map[proxy.HostID]*exclusion)
	}
	if t.hosts[id] == nil {
		t.hosts[id] = &exclusion{}
	}
	return t.hosts[id]
}

func (i *instance) hostExclusion(id proxy.HostID) *exclusion {
	if i.unreachable[id] == nil {
		i.unreachable[id] = &exclusion{}
	}
	return i.unreachable[id]
}

// MarkSilent records that a host does not answer, although an operation that it was sent
// has not ended.
func (t *Table) MarkSilent(now proxy.Instant, id proxy.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.hostExclusion(id); now >= e.until {
		e.fail(now)
	}
}

// ExcludedHosts returns the hosts that are left out because they have not answered, for the
// caller to check. A host is used again only after it has answered a check.
func (t *Table) ExcludedHosts(now proxy.Instant) []proxy.HostID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []proxy.HostID
	for id, e := range t.hosts {
		if e.failures > 0 && now < e.until {
			ids = append(ids, id)
		}
	}
	return ids
}

// RecordCheck records whether a host that is left out has answered a check.
func (t *Table) RecordCheck(now proxy.Instant, id proxy.HostID, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.hosts[id]; e != nil && !answered {
		e.until = max(e.until, now.Add(unansweredTime))
	}
}

// MarkLagging records that a replica has not replayed the position that a read needed.
func (t *Table) MarkLagging(now proxy.Instant, id proxy.InstanceID, request Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.instances[id]
	if i == nil {
		return
	}
	var position proxy.Bookmark
	if request.After != nil {
		position = *request.After
	}
	if now < i.laggingUntil {
		// Another read was sent before the exclusion, needs an earlier position, or had no other
		// instance.
		if position.Before(i.lacked) {
			i.lacked = position
		}
		if now >= i.laggedAt.Add(lagExclusionTime) {
			i.laggedAt = now
		}
		return
	}
	i.lacked, i.laggedAt = position, now
	i.laggingUntil = now.Add(min(lagExclusionTime<<min(i.lagged, 4), maxLagExclusionTime))
	i.lagged++
}

// MarkReplayed records that a replica has replayed the position that a read needed.
func (t *Table) MarkReplayed(id proxy.InstanceID, request Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.instances[id]
	if i == nil || request.After == nil {
		return
	}
	if !request.After.Before(i.lacked) {
		i.laggedAt, i.laggingUntil, i.lagged, i.lacked = 0, 0, 0, proxy.Bookmark{}
	}
}
