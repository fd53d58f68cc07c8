// Package budget limits the memory that connections of a host occupy together.
//
// A process that exceeds its memory limit ends with all its sessions. Each connection
// therefore reserves the bytes that it reads, queues, remembers and waits to write from
// one budget. When the budget is spent, connections whose other end makes no progress are
// ended in favour of the others; if that frees too little, the reservation is refused.
package budget

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// HeapShare is the share of a process's memory that the garbage collector is told to
	// keep to. The rest is for what it doesn't count, and for the moments between a
	// reservation and the collection of what it replaces.
	HeapShare = 0.7
	// baseMemory is what a process needs without large messages, in bytes: code, state of
	// the fleet, logs, and the stacks and small buffers of idle connections.
	baseMemory = 24 << 20
	// heapPerReserved is the number of bytes of heap for each reserved one. A heap that is
	// half garbage is collected without taking much processor time.
	heapPerReserved = 2
	// minLimit is the least limit in bytes, with which a few messages of the largest size
	// are served.
	minLimit = 8 << 20

	freeSize    = 4 << 10
	keptShare   = 4
	keptSize    = 64 << 10
	stallTime   = time.Second
	reclaimTime = 100 * time.Millisecond
)

// New returns the budget of a process whose memory is limited to a number of bytes; zero
// for no limit.
func New(memory int64) *Budget {
	b := &Budget{Free: freeSize, KeptSize: keptSize, StallTime: stallTime, ReclaimTime: reclaimTime}
	if memory > 0 {
		heap := int64(float64(memory) * HeapShare)
		b.Limit = max((heap-baseMemory)/heapPerReserved, minLimit)
		b.Kept = b.Limit / keptShare
	}
	return b
}

// Budget is the memory that connections share. Its exported fields are set before use. It
// is safe for concurrent use.
type Budget struct {
	// Limit is the number of bytes that may be reserved at once; zero for no limit.
	Limit int64
	// Free is the size in bytes up to which a connection reserves nothing, so that small
	// messages of many connections cost no lock.
	Free int64
	// Kept is the part of Limit, in bytes, that only connections of at most KeptSize bytes
	// may use, so that large messages don't keep ordinary ones out.
	Kept, KeptSize int64
	// StallTime is how long a connection may make no progress before it can be ended in
	// favour of others.
	StallTime time.Duration
	// ReclaimTime is how long a reservation waits for the memory of connections that have
	// been ended; zero not to wait.
	ReclaimTime time.Duration

	mu      sync.Mutex
	used    int64
	holders map[*Holder]struct{}
	// freeing is what connections that have been ended still hold, awaited what
	// reservations wait for.
	freeing, awaited int64
	// freed is closed and replaced when memory becomes free.
	freed          chan struct{}
	ended, refused int64
}

// Holder is a connection that reserves memory from a budget. Its Resize isn't called
// concurrently.
type Holder struct {
	budget *Budget
	// end ends the connection. It must not block and must not call the budget.
	end func()
	// size is changed under the budget's lock.
	size atomic.Int64
	// progress is the proxy.Instant of the last progress.
	progress atomic.Int64
	// serving reports that the other end waits for this host.
	serving atomic.Bool
	ended   bool
}

// Join adds a connection. The budget calls end, at most once and without waiting for the
// connection, when the connection's memory is needed for others; end must not block and must
// not call the budget. The caller must call Leave.
func (b *Budget) Join(now proxy.Instant, end func()) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Holder{budget: b, end: end}
	h.Progress(now)
	if b.holders == nil {
		b.holders = make(map[*Holder]struct{})
		b.freed = make(chan struct{})
	}
	b.holders[h] = struct{}{}
	return h
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Counts returns the numbers of connections that were ended in favour of others and of
// reservations that were refused.
func (b *Budget) Counts() (ended, refused int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended, b.refused
}

// Resize sets the number of bytes that the connection has reserved. It returns false, and
// changes nothing, if the budget does not suffice or the connection has been ended; a
// reservation can always shrink. It waits at most ReclaimTime, and only for memory of
// connections that have been ended.
func (h *Holder) Resize(now proxy.Instant, size int64) bool {
	b := h.budget
	if size <= b.Free {
		size = 0
		if h.size.Load() == 0 {
			return true
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if size <= h.size.Load() {
		b.setSize(h, size)
		return true
	}
	if !b.reserve(now, h, size) {
		b.refused++
		return false
	}
	return true
}

// Progress records that the connection's other end has sent or received bytes.
func (h *Holder) Progress(now proxy.Instant) { h.progress.Store(int64(now)) }

// SetServing records whether the connection's other end waits for this host. A connection
// isn't ended in favour of others while it does. Either change counts as progress.
func (h *Holder) SetServing(now proxy.Instant, serving bool) {
	h.Progress(now)
	h.serving.Store(serving)
}

// Leave removes the connection and its reservation. It may be called repeatedly.
func (h *Holder) Leave() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.holders[h]; !ok {
		return
	}
	b.setSize(h, 0)
	delete(b.holders, h)
	h.ended = true
}

// reserve enlarges a reservation, if necessary after ending others.
func (b *Budget) reserve(now proxy.Instant, h *Holder, size int64) bool {
	if h.ended {
		return false
	}
	if h.size.Load() == 0 {
		h.Progress(now)
	}
	if b.fits(h, size) {
		b.setSize(h, size)
		return true
	}
	grown := size - h.size.Load()
	if !b.reclaim(now, h, b.used-b.freeing+b.awaited+grown-b.limit(size)) || b.ReclaimTime <= 0 {
		return false
	}
	b.awaited += grown
	defer func() { b.awaited -= grown }()
	timer := time.NewTimer(b.ReclaimTime)
	defer timer.Stop()
	for {
		freed := b.freed
		b.mu.Unlock()
		expired := false
		select {
		case <-freed:
		case <-timer.C:
			expired = true
		}
		b.mu.Lock()
		if h.ended {
			return false
		}
		if b.fits(h, size) {
			b.setSize(h, size)
			return true
		}
		if expired {
			return false
		}
	}
}

// limit returns the limit that a reservation of the given size must keep.
func (b *Budget) limit(size int64) int64 {
	if size <= b.KeptSize {
		return b.Limit
	}
	return b.Limit - b.Kept
}

func (b *Budget) fits(h *Holder, size int64) bool {
	return b.Limit <= 0 || b.used+size-h.size.Load() <= b.limit(size)
}

// setSize sets a reservation and wakes those that wait for memory if it shrinks.
func (b *Budget) setSize(h *Holder, size int64) {
	grown := size - h.size.Load()
	h.size.Store(size)
	b.used += grown
	if h.ended {
		b.freeing += grown
	}
	if grown < 0 && b.awaited > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// reclaim ends stalled connections, the largest first, until they hold at least the needed
// bytes. It reports whether they do, and ends none if all of them hold less. The bytes
// become free when the connections leave.
func (b *Budget) reclaim(now proxy.Instant, except *Holder, needed int64) bool {
	if needed <= 0 {
		return true
	}
	var stalled []*Holder
	var sum int64
	for h := range b.holders {
		waiting := !h.serving.Load() && now.Sub(proxy.Instant(h.progress.Load())) >= b.StallTime
		if h != except && !h.ended && waiting && h.size.Load() > 0 {
			stalled = append(stalled, h)
			sum += h.size.Load()
		}
	}
	if sum < needed {
		return false
	}
	slices.SortFunc(stalled, func(a, b *Holder) int { return cmp.Compare(b.size.Load(), a.size.Load()) })
	for _, h := range stalled {
		if needed <= 0 {
			break
		}
		needed -= h.size.Load()
		b.freeing += h.size.Load()
		b.ended++
		h.ended = true
		h.end()
	}
	return true
}
