package queue_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/queue"
)

func item(account proxy.AccountID, weight, priority int) *queue.Item[int] {
	return &queue.Item[int]{Account: account, Weight: weight, Priority: priority}
}

// Guards against an account that is served more often than its weight allows while
// others wait: the service of two waiting accounts, divided by their weights, never
// differs by more than one item of each.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int](queue.Limits{Length: math.MaxInt, Bypass: 4})
		weights := map[proxy.AccountID]int{}
		for _, a := range []proxy.AccountID{"a", "b", "c"} {
			weights[a] = rapid.IntRange(1, 5).Draw(t, "weight")
		}
		backlog := rapid.IntRange(1, 60).Draw(t, "backlog")
		for _, a := range []proxy.AccountID{"a", "b", "c"} {
			for range backlog * weights[a] {
				q.Push(0, item(a, weights[a], 0))
			}
		}
		served := map[proxy.AccountID]int{}
		for range backlog {
			served[q.Pop().Account]++
			for a, wa := range weights {
				for b, wb := range weights {
					difference := float64(served[a])/float64(wa) - float64(served[b])/float64(wb)
					if difference > 1/float64(wa)+1/float64(wb)+1e-9 {
						t.Fatalf("served %v with weights %v", served, weights)
					}
				}
			}
		}
	})
}

// Guards against an idle account that accumulates a claim to service and then
// displaces the others.
func TestIdleAccountSavesNothing(t *testing.T) {
	is := is.New(t)
	q := queue.New[int](queue.Limits{Length: 1000, Bypass: 4})
	for range 200 {
		q.Push(0, item("busy", 1, 0))
	}
	for range 100 {
		q.Pop()
	}
	for range 50 {
		q.Push(0, item("late", 1, 0))
	}
	late := 0
	for range 20 {
		if q.Pop().Account == "late" {
			late++
		}
	}
	is.True(late >= 9 && late <= 11)
}

// Guards against starvation: a waiting priority is served after at most Bypass
// pops of others plus one pop for each other priority.
func TestStarvationIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bypass := rapid.IntRange(1, 8).Draw(t, "bypass")
		q := queue.New[int](queue.Limits{Length: math.MaxInt, Bypass: bypass})
		maxWait := bypass + queue.Priorities - 1
		waited := map[int]int{}
		counts := map[int]int{}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			for range rapid.IntRange(0, 2).Draw(t, "arrivals") {
				p := rapid.IntRange(0, queue.Priorities-1).Draw(t, "priority")
				q.Push(0, item("a", 1, p))
				counts[p]++
			}
			popped := q.Pop()
			if popped == nil {
				continue
			}
			counts[popped.Priority]--
			for p := range queue.Priorities {
				waited[p]++
				if p == popped.Priority || counts[p] == 0 {
					waited[p] = 0
				}
				if waited[p] > maxWait {
					t.Fatalf("priority %d waited for %d pops", p, waited[p])
				}
			}
		}
	})
}

// Guards against a lower priority that is served before a higher one although it has
// not been bypassed often enough.
func TestPriority(t *testing.T) {
	is := is.New(t)
	q := queue.New[int](queue.Limits{Length: 10, Bypass: 2})
	for range 4 {
		q.Push(0, item("a", 1, 9))
	}
	q.Push(0, item("a", 1, 0))
	var order []int
	for x := q.Pop(); x != nil; x = q.Pop() {
		order = append(order, x.Priority)
	}
	is.Equal(order, []int{9, 9, 0, 9, 9})
}

// Guards against a queue longer than its limit and against one account that fills
// the queue and displaces the others.
func TestLengthLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 20).Draw(t, "limit")
		q := queue.New[int](queue.Limits{Length: limit, Bypass: 2})
		for range limit + rapid.IntRange(0, 20).Draw(t, "excess") {
			q.Push(0, item("greedy", 1, rapid.IntRange(0, 9).Draw(t, "priority")))
		}
		evicted := q.Push(0, item("modest", 1, 0))
		if evicted == nil || evicted.Account != "greedy" {
			t.Fatalf("wrong account evicted: %+v", evicted)
		}
		if q.Len() != limit {
			t.Fatalf("%d items, limit %d", q.Len(), limit)
		}
	})
}

// Guards against items that wait longer than the limit and against serving a removed
// item.
func TestExpireAndRemove(t *testing.T) {
	is := is.New(t)
	q := queue.New[int](queue.Limits{Length: 10, MaxWait: time.Second, Bypass: 2})
	old, removed, young := item("a", 1, 0), item("b", 1, 1), item("c", 1, 2)
	q.Push(0, old)
	q.Push(proxy.Instant(time.Second), removed)
	q.Push(proxy.Instant(time.Second), young)
	is.True(q.Remove(removed))
	is.True(!q.Remove(removed))
	is.Equal(q.Expire(proxy.Instant(time.Second)), nil)
	is.Equal(q.Expire(proxy.Instant(time.Second)+1), []*queue.Item[int]{old})
	is.Equal(q.Pop(), young)
	is.Equal(q.Pop(), nil)
}
