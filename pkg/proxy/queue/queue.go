// Package queue orders the requests that wait for an instance: strict priority
// with bounded starvation between priorities, and weighted fair queueing by
// client account within a priority.
package queue

import (
	"container/heap"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Priorities is the number of priorities; higher ones are served first.
const Priorities = 10

// Limits bound a queue.
type Limits struct {
	// Length is the largest number of waiting requests.
	Length int
	// Age is the longest wait; zero sets no limit.
	Age time.Duration
	// Bypass is the number of requests of other priorities that may be served
	// while a priority waits, at least 1. A waiting priority is served after at
	// most Bypass + Priorities - 1 others, since each of the others that is
	// bypassed too goes first at most once.
	Bypass int
}

// Item is a waiting request. The fields above Value are set by the caller and
// must not change while the item waits.
type Item[T any] struct {
	Account proxy.AccountID
	// Weight is the account's share, at least 1.
	Weight int
	// Priority is 0 to 9; values outside are moved to the nearest bound.
	Priority int
	Value    T

	arrived proxy.Instant
	finish  float64
	serial  uint64
	level   int
	index   int
	queued  bool
}

// Queue holds the requests that wait for one instance. It is not synchronised:
// its owner keeps it under the owner's lock.
//
// Invariants: size is the number of queued items over all levels; a level's
// virtual time never decreases; an account's finish time is at least that of
// each of its queued items.
type Queue[T any] struct {
	limits Limits
	levels [Priorities]level[T]
	size   int
	serial uint64
	// counts is the number of queued items of each account.
	counts map[proxy.AccountID]int
}

// level is the fair queue of one priority.
type level[T any] struct {
	items items[T]
	// virtual is the finish time of the item served last.
	virtual float64
	// finish is the finish time of each account's newest item.
	finish map[proxy.AccountID]float64
	// bypassed counts the items of other levels served since the last one of
	// this level, while this level waited.
	bypassed int
}

// New returns an empty queue.
func New[T any](limits Limits) *Queue[T] {
	limits.Bypass = max(limits.Bypass, 1)
	q := &Queue[T]{limits: limits, counts: make(map[proxy.AccountID]int)}
	for n := range q.levels {
		q.levels[n].finish = make(map[proxy.AccountID]float64)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.size }

// Push adds an item. When the queue is full, the newest item of the account with
// the most waiting requests for its weight gives way, so that one account cannot
// fill the queue. Push returns the item that was left out, which may be the new
// one, or nil.
func (q *Queue[T]) Push(now proxy.Instant, item *Item[T]) (left *Item[T]) {
	item.arrived = now
	item.level = min(max(item.Priority, 0), Priorities-1)
	item.Weight = max(item.Weight, 1)
	if q.size >= q.limits.Length {
		left = q.victim(item)
		if left == item {
			return left
		}
		q.Remove(left)
	}
	q.add(item)
	return left
}

func (q *Queue[T]) add(item *Item[T]) {
	l := &q.levels[item.level]
	start := max(l.virtual, l.finish[item.Account])
	item.finish = start + 1/float64(item.Weight)
	l.finish[item.Account] = item.finish
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
	q.removed(item)
	l.virtual = max(l.virtual, item.finish)
	l.bypassed = 0
	if len(l.items) == 0 {
		l.rest()
	}
	q.bypass(n)
	return item
}

// bypass counts that the level served was preferred to the others that wait.
func (q *Queue[T]) bypass(served int) {
	for n := range q.levels {
		if n != served && len(q.levels[n].items) > 0 {
			q.levels[n].bypassed++
		}
	}
}

// next returns the level to serve, or -1: the one bypassed most often if that
// exceeds the limit, and otherwise the highest that waits.
func (q *Queue[T]) next() int {
	highest, due := -1, -1
	for n := Priorities - 1; n >= 0; n-- {
		l := &q.levels[n]
		if len(l.items) == 0 {
			continue
		}
		if highest < 0 {
			highest = n
		}
		if l.bypassed >= q.limits.Bypass && (due < 0 || l.bypassed > q.levels[due].bypassed) {
			due = n
		}
	}
	if due >= 0 {
		return due
	}
	return highest
}

// Remove takes an item out and reports whether it was waiting.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if !item.queued {
		return false
	}
	l := &q.levels[item.level]
	heap.Remove(&l.items, item.index)
	q.removed(item)
	// The account gets back the service that its newest item will not use.
	if l.finish[item.Account] == item.finish {
		l.finish[item.Account] = item.finish - 1/float64(item.Weight)
	}
	if len(l.items) == 0 {
		l.rest()
	}
	return true
}

// Expire removes and returns the items that waited longer than the limit.
func (q *Queue[T]) Expire(now proxy.Instant) []*Item[T] {
	if q.limits.Age <= 0 {
		return nil
	}
	return q.take(func(item *Item[T]) bool { return now.Sub(item.arrived) > q.limits.Age })
}

// Clear removes and returns all items.
func (q *Queue[T]) Clear() []*Item[T] {
	return q.take(func(*Item[T]) bool { return true })
}

func (q *Queue[T]) take(wanted func(*Item[T]) bool) []*Item[T] {
	var taken []*Item[T]
	for n := range q.levels {
		for _, item := range q.levels[n].items {
			if wanted(item) {
				taken = append(taken, item)
			}
		}
	}
	for _, item := range taken {
		q.Remove(item)
	}
	return taken
}

func (q *Queue[T]) removed(item *Item[T]) {
	item.queued = false
	q.size--
	q.counts[item.Account]--
	if q.counts[item.Account] == 0 {
		delete(q.counts, item.Account)
	}
}

// rest forgets the accounts of an empty level. Virtual times are compared only
// among queued items.
func (l *level[T]) rest() {
	l.virtual = 0
	l.bypassed = 0
	clear(l.finish)
}
