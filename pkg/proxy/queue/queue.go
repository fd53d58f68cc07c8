// Package queue orders the requests that wait for an instance. Higher priorities are
// served first, with a limit on the starvation of lower ones. Within a priority,
// requests are ordered by weighted fair queueing between client accounts.
package queue

import (
	"container/heap"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Priorities is the number of priorities; higher ones are served first.
const Priorities = 10

// Limits are the limits of a queue.
type Limits struct {
	// Length is the maximum number of waiting requests.
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
	Value    T

	arrived    proxy.Instant
	finishTime float64
	serial     uint64
	level      int
	index      int
	queued     bool
}

// Queue holds the requests that wait for one instance. It is not safe for concurrent
// use; the caller must hold a lock.
//
// Invariants: size is the number of queued items over all levels; a level's
// virtual time never decreases while the level has items; an account's finish time
// is at least that of each of its queued items.
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
	items items[T]
	// virtualTime is the finish time of the item served last.
	virtualTime float64
	// finishTime is the finish time of each account's newest item.
	finishTime map[proxy.AccountID]float64
	// bypassed counts the items of other levels that were served while this level
	// had waiting items, since the last item of this level was served.
	bypassed int
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	limits.Bypass = max(limits.Bypass, 1)
	q := &Queue[T]{limits: limits, counts: make(map[proxy.AccountID]int)}
	for n := range q.levels {
		q.levels[n].finishTime = make(map[proxy.AccountID]float64)
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
	if q.size >= q.limits.Length {
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
	start := max(l.virtualTime, l.finishTime[item.Account])
	item.finishTime = start + 1/float64(item.Weight)
	l.finishTime[item.Account] = item.finishTime
	item.serial = q.serial
	q.serial++
	item.queued = true
	q.size++
	q.counts[item.Account]++
	heap.Push(&l.items, item)
}

// Pop removes and returns the next item, or nil.
func (q *Queue[T]) Pop() *Item[T] {
	n := q.next()
	if n < 0 {
		return nil
	}
	l := &q.levels[n]
	item := heap.Pop(&l.items).(*Item[T])
	q.countRemoved(item)
	l.virtualTime = max(l.virtualTime, item.finishTime)
	l.bypassed = 0
	if len(l.items) == 0 {
		l.resetEmpty()
	}
	q.countBypassed(n)
	return item
}

// countBypassed counts the service of one level at all other levels that wait.
func (q *Queue[T]) countBypassed(served int) {
	for n := range q.levels {
		if n != served && len(q.levels[n].items) > 0 {
			q.levels[n].bypassed++
		}
	}
}

// next returns the level to serve, or -1 if the queue is empty. It is the most often
// bypassed level if that has reached the limit, and otherwise the highest level with
// waiting items.
func (q *Queue[T]) next() int {
	highest, starved := -1, -1
	for n := Priorities - 1; n >= 0; n-- {
		l := &q.levels[n]
		if len(l.items) == 0 {
			continue
		}
		if highest < 0 {
			highest = n
		}
		if l.bypassed >= q.limits.Bypass && (starved < 0 || l.bypassed > q.levels[starved].bypassed) {
			starved = n
		}
	}
	if starved >= 0 {
		return starved
	}
	return highest
}

// Remove removes an item and reports whether it was waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if !item.queued {
		return false
	}
	l := &q.levels[item.level]
	heap.Remove(&l.items, item.index)
	q.countRemoved(item)
	// Undo the charge for the account's newest item, which will not be served.
	if l.finishTime[item.Account] == item.finishTime {
		l.finishTime[item.Account] = item.finishTime - 1/float64(item.Weight)
	}
	if len(l.items) == 0 {
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
		for _, item := range q.levels[n].items {
			if match(item) {
				matching = append(matching, item)
			}
		}
	}
	for _, item := range matching {
		q.Remove(item)
	}
	return matching
}

func (q *Queue[T]) countRemoved(item *Item[T]) {
	item.queued = false
	q.size--
	q.counts[item.Account]--
	if q.counts[item.Account] == 0 {
		delete(q.counts, item.Account)
	}
}

// resetEmpty resets an empty level to virtual time zero and removes its accounts.
// This is safe because virtual times are compared only between queued items.
func (l *level[T]) resetEmpty() {
	l.virtualTime = 0
	l.bypassed = 0
	clear(l.finishTime)
}
