// Package queue orders the requests that wait for an instance. Higher priorities are
// served first, with a limit on the starvation of lower ones. Within a priority, requests
// that can still be answered in time come before those that cannot, accounts share the
// instance by weighted fair queueing, and those of one round of all accounts are ordered by
// the instants at which they are due.
package queue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Priorities is the number of priorities; higher ones are served first.
const Priorities = 10

// Limits are the limits of a queue.
type Limits struct {
	// Length is the maximum number of waiting requests; zero sets no limit.
	Length int
	// MaxWait limits the time that a request waits; zero sets no limit.
	MaxWait time.Duration
	// Bypass is the number of requests of other priorities that may be served while
	// a priority waits, at least 1. Several priorities can reach this limit at once,
	// and each of the others may then be served once before. A waiting priority is
	// therefore served after at most Bypass + Priorities - 1 requests of others.
	Bypass int
}

// Item is a waiting request. Its exported fields are set by the caller, and all
// except Value must not change while the item waits.
type Item[T any] struct {
	Account proxy.AccountID
	// Weight is the account's relative share, at least 1.
	Weight int
	// Priority is 0 to 9; values outside this range are clamped.
	Priority int
	// Due is the instant by which the request should be answered; zero for none.
	Due   proxy.Instant
	Value T

	arrived proxy.Instant
	serial  uint64
	level   int
	queued  bool
}

// Queue holds the requests that wait for one instance. It is not safe for concurrent
// use; the caller must hold a lock.
//
// Invariants: size is the number of queued items over all levels; a level's
// virtual time never decreases while the level has items.
type Queue[T any] struct {
	limits Limits
	levels [Priorities]level[T]
	size   int
	serial uint64
	// counts is the number of queued items of each account.
	counts map[proxy.AccountID]int
}

// level is the weighted fair queue of one priority.
type level[T any] struct {
	// size is the number of items in all flows.
	size  int
	flows map[proxy.AccountID]*flow[T]
	// virtualTime is the finish time of the item served last.
	virtualTime float64
	// bypassed counts the items of other levels that were served while this level
	// had waiting items, since the last item of this level was served.
	bypassed int
}

// flow holds the items of one account within a level.
type flow[T any] struct {
	// items are ordered by the instants at which they are due, then by arrival.
	items []*Item[T]
	// finishTime is the virtual time at which the flow's next item starts.
	finishTime float64
}

// Waiting reports whether the item is in the queue.
func (i *Item[T]) Waiting() bool { return i.queued }

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	limits.Bypass = max(limits.Bypass, 1)
	q := &Queue[T]{limits: limits, counts: make(map[proxy.AccountID]int)}
	for n := range q.levels {
		q.levels[n].flows = make(map[proxy.AccountID]*flow[T])
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.size }

// Push adds an item. If the queue is full, it evicts an item of the account with the
// most waiting requests relative to its weight, so that one account cannot fill the
// queue. Push returns the evicted item, which may be the new one, or nil.
func (q *Queue[T]) Push(now proxy.Instant, item *Item[T]) (evicted *Item[T]) {
	item.arrived = now
	item.level = min(max(item.Priority, 0), Priorities-1)
	item.Weight = max(item.Weight, 1)
	if q.limits.Length > 0 && q.size >= q.limits.Length {
		evicted = q.evictionCandidate(item)
		if evicted == item {
			return evicted
		}
		q.Remove(evicted)
	}
	q.add(item)
	return evicted
}

func (q *Queue[T]) add(item *Item[T]) {
	l := &q.levels[item.level]
	f := l.flows[item.Account]
	if f == nil {
		f = &flow[T]{}
		l.flows[item.Account] = f
	}
	if len(f.items) == 0 {
		f.finishTime = max(f.finishTime, l.virtualTime)
	}
	item.serial = q.serial
	q.serial++
	item.queued = true
	n, _ := slices.BinarySearchFunc(f.items, item, compareWithinFlow)
	f.items = slices.Insert(f.items, n, item)
	l.size++
	q.size++
	q.counts[item.Account]++
}

// Pop removes and returns the next item, or nil.
func (q *Queue[T]) Pop() *Item[T] {
	for _, n := range q.order() {
		item := q.levels[n].first(0)
		q.serve(n, item)
		return item
	}
	return nil
}

// PopFirst removes and returns the first item in the order of service that accept returns
// true for, or nil. An item that is served at now is assumed to be answered after service.
// Accounts whose items are rejected meanwhile keep their turn in one round.
func (q *Queue[T]) PopFirst(now proxy.Instant, service time.Duration, accept func(*Item[T]) bool) *Item[T] {
	for _, n := range q.order() {
		l := &q.levels[n]
		items := l.ordered(now.Add(service))
		for place, item := range items {
			if accept(item) {
				q.serve(n, item)
				for _, rejected := range items[:place] {
					f := l.flows[rejected.Account]
					f.finishTime = max(f.finishTime, l.virtualTime-1)
				}
				return item
			}
		}
	}
	return nil
}

// serve removes an item that is served.
func (q *Queue[T]) serve(n int, item *Item[T]) {
	l := &q.levels[n]
	f := l.flows[item.Account]
	f.finishTime += 1 / float64(item.Weight)
	l.virtualTime = max(l.virtualTime, f.finishTime)
	l.bypassed = 0
	q.Remove(item)
	for other := range q.levels {
		if other != n && q.levels[other].size > 0 {
			q.levels[other].bypassed++
		}
	}
}

// order returns the levels with waiting items in the order in which they are served: first
// those that have been bypassed as often as the limit allows, the most often bypassed one
// first, then the others from the highest priority to the lowest.
func (q *Queue[T]) order() []int {
	var levels []int
	for n := Priorities - 1; n >= 0; n-- {
		if q.levels[n].size > 0 {
			levels = append(levels, n)
		}
	}
	urgency := func(n int) int {
		if bypassed := q.levels[n].bypassed; bypassed >= q.limits.Bypass {
			return bypassed
		}
		return 0
	}
	slices.SortStableFunc(levels, func(a, b int) int { return cmp.Compare(urgency(b), urgency(a)) })
	return levels
}

// Ordered returns the waiting items in the order in which they are served if all of them
// are accepted. An item that is served at now is assumed to be answered after service.
func (q *Queue[T]) Ordered(now proxy.Instant, service time.Duration) []*Item[T] {
	var rest [Priorities][]*Item[T]
	var bypassed [Priorities]int
	for n := range q.levels {
		rest[n] = q.levels[n].ordered(now.Add(service))
		bypassed[n] = q.levels[n].bypassed
	}
	ordered := make([]*Item[T], 0, q.size)
	for len(ordered) < q.size {
		next := -1
		for n := Priorities - 1; n >= 0; n-- {
			if len(rest[n]) > 0 && (next < 0 || bypassed[n] >= q.limits.Bypass && bypassed[n] > max(bypassed[next], q.limits.Bypass-1)) {
				next = n
			}
		}
		ordered = append(ordered, rest[next][0])
		rest[next] = rest[next][1:]
		for n := range rest {
			if n == next {
				bypassed[n] = 0
			} else if len(rest[n]) > 0 {
				bypassed[n]++
			}
		}
	}
	return ordered
}

// Remove removes an item and reports whether it was waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if !item.queued {
		return false
	}
	l := &q.levels[item.level]
	f := l.flows[item.Account]
	f.items = slices.DeleteFunc(f.items, func(other *Item[T]) bool { return other == item })
	item.queued = false
	l.size--
	q.size--
	if q.counts[item.Account]--; q.counts[item.Account] == 0 {
		delete(q.counts, item.Account)
	}
	if l.size == 0 {
		l.resetEmpty()
	}
	return true
}

// Expire removes and returns the items that waited longer than the limit.
func (q *Queue[T]) Expire(now proxy.Instant) []*Item[T] {
	if q.limits.MaxWait <= 0 {
		return nil
	}
	return q.removeMatching(func(item *Item[T]) bool { return now.Sub(item.arrived) > q.limits.MaxWait })
}

// Clear removes and returns all items.
func (q *Queue[T]) Clear() []*Item[T] {
	return q.removeMatching(func(*Item[T]) bool { return true })
}

func (q *Queue[T]) removeMatching(match func(*Item[T]) bool) []*Item[T] {
	var matching []*Item[T]
	for n := range q.levels {
		for _, f := range q.levels[n].flows {
			for _, item := range f.items {
				if match(item) {
					matching = append(matching, item)
				}
			}
		}
	}
	for _, item := range matching {
		q.Remove(item)
	}
	return matching
}

// resetEmpty resets an empty level to virtual time zero and removes its accounts.
// This is safe because virtual times are compared only between queued items.
func (l *level[T]) resetEmpty() {
	l.virtualTime = 0
	l.bypassed = 0
	clear(l.flows)
}

// candidate is an item with its place in the order of a level.
type candidate[T any] struct {
	item *Item[T]
	// late reports that the item cannot be answered in time.
	late bool
	// finish is the virtual time at which the item's service ends.
	finish float64
}

// roundingError is the largest error of a sum of shares of a round.
const roundingError = 1e-9

// round returns the round of the accounts' turns to which a candidate belongs. In a round,
// each account is served as often as its weight.
func (c candidate[T]) round() float64 { return math.Ceil(c.finish - roundingError) }

func (c candidate[T]) compare(other candidate[T]) int {
	if c.late != other.late {
		if other.late {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(c.round(), other.round()), cmp.Compare(c.item.due(), other.item.due()),
		cmp.Compare(c.finish, other.finish), cmp.Compare(c.item.serial, other.item.serial),
	)
}

// first returns the item that is served next. Items that are due before answered are late.
func (l *level[T]) first(answered proxy.Instant) *Item[T] {
	var best candidate[T]
	for _, f := range l.flows {
		if len(f.items) == 0 {
			continue
		}
		item := f.items[f.firstInTime(answered)%len(f.items)]
		c := candidate[T]{item, item.due() < answered, f.finishTime + 1/float64(item.Weight)}
		if best.item == nil || c.compare(best) < 0 {
			best = c
		}
	}
	return best.item
}

// ordered returns the items of a level in the order of service. Items that are due before
// answered are late.
func (l *level[T]) ordered(answered proxy.Instant) []*Item[T] {
	all := make([]candidate[T], 0, l.size)
	for _, f := range l.flows {
		finish := f.finishTime
		first := f.firstInTime(answered)
		for n := range f.items {
			item := f.items[(first+n)%len(f.items)]
			finish += 1 / float64(item.Weight)
			all = append(all, candidate[T]{item, item.due() < answered, finish})
		}
	}
	slices.SortFunc(all, candidate[T].compare)
	items := make([]*Item[T], len(all))
	for n, c := range all {
		items[n] = c.item
	}
	return items
}

// firstInTime returns the index of the first item that can be answered in time, or the
// number of items. The late items before it are served after the others.
func (f *flow[T]) firstInTime(answered proxy.Instant) int {
	n, _ := slices.BinarySearchFunc(f.items, answered, func(item *Item[T], at proxy.Instant) int {
		return cmp.Compare(item.due(), at)
	})
	return n
}

// due returns when an item is due; an item without such an instant is due last.
func (i *Item[T]) due() proxy.Instant {
	if i.Due == 0 {
		return math.MaxInt64
	}
	return i.Due
}

func compareWithinFlow[T any](a, b *Item[T]) int {
	return cmp.Or(cmp.Compare(a.due(), b.due()), cmp.Compare(a.serial, b.serial))
}
