package queue

import "github.com/auburnyoke/auburnyoke/pkg/proxy"

// evictionCandidate returns the item to evict from a full queue for the added one.
// It belongs to the account with the most waiting requests relative to its weight, and
// is the item of that account's lowest priority that would be served last. Among
// accounts with as many waiting requests, the least urgent request is evicted. It can be
// the added item itself.
func (q *Queue[T]) evictionCandidate(added *Item[T]) *Item[T] {
	worst := added
	worstLoad := q.load(added.Account, added.Weight, 1)
	for n := range q.levels {
		for _, f := range q.levels[n].flows {
			for _, item := range f.items {
				extra := 0
				if item.Account == added.Account {
					extra = 1
				}
				load := q.load(item.Account, item.Weight, extra)
				if load > worstLoad || load == worstLoad && worst.servedBefore(item) {
					worst, worstLoad = item, load
				}
			}
		}
	}
	return worst
}

func (q *Queue[T]) load(account proxy.AccountID, weight, extra int) float64 {
	return float64(q.counts[account]+extra) / float64(weight)
}

// servedBefore reports whether i is served before another item whose account has as many
// waiting requests. An item that is not in the queue yet comes last among those that are due
// with it.
func (i *Item[T]) servedBefore(other *Item[T]) bool {
	if i.level != other.level {
		return i.level > other.level
	}
	if i.due() != other.due() {
		return i.due() < other.due()
	}
	if !i.queued {
		return false
	}
	return !other.queued || i.serial < other.serial
}
