package queue

import "github.com/auburnyoke/auburnyoke/pkg/proxy"

// evictionCandidate returns the item to evict from a full queue for the added one.
// It belongs to the account with the most waiting requests relative to its weight,
// and is the item of that account's lowest priority that would be served last. It
// can be the added item itself.
func (q *Queue[T]) evictionCandidate(added *Item[T]) *Item[T] {
	worst := added
	worstLoad := q.load(added.Account, added.Weight, 1)
	for n := range q.levels {
		for _, item := range q.levels[n].items {
			extra := 0
			if item.Account == added.Account {
				extra = 1
			}
			load := q.load(item.Account, item.Weight, extra)
			if load > worstLoad || load == worstLoad && item.Account == worst.Account && worst.servedBefore(item) {
				worst, worstLoad = item, load
			}
		}
	}
	return worst
}

func (q *Queue[T]) load(account proxy.AccountID, weight, extra int) float64 {
	return float64(q.counts[account]+extra) / float64(weight)
}

// servedBefore reports whether i is served before another item of the same account.
// An item that is not in the queue yet comes last within its priority.
func (i *Item[T]) servedBefore(other *Item[T]) bool {
	if i.level != other.level {
		return i.level > other.level
	}
	if !i.queued {
		return false
	}
	return !other.queued || i.serial < other.serial
}

// items is a heap ordered by finish time, then by order of arrival.
type items[T any] []*Item[T]

// Len implements sort.Interface.
func (s items[T]) Len() int { return len(s) }

// Less implements sort.Interface.
func (s items[T]) Less(i, j int) bool {
	if s[i].finishTime != s[j].finishTime {
		return s[i].finishTime < s[j].finishTime
	}
	return s[i].serial < s[j].serial
}

// Swap implements sort.Interface.
func (s items[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index = i
	s[j].index = j
}

// Push implements heap.Interface.
func (s *items[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*s)
	*s = append(*s, item)
}

// Pop implements heap.Interface.
func (s *items[T]) Pop() any {
	last := len(*s) - 1
	item := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	return item
}
