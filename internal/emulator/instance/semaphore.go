package instance

import (
	"context"
	"sync"
)

// semaphore limits the statements that run at once. Statements above the limit wait
// in order of arrival.
type semaphore struct {
	mu    sync.Mutex
	limit int // 0 for none
	used  int
	peak  int
	queue []chan struct{}
}

// setLimit changes the limit and grants slots that become free.
func (s *semaphore) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.grantFree()
}

// grantFree grants slots to waiters while there are free slots.
func (s *semaphore) grantFree() {
	for len(s.queue) > 0 && s.hasFree() {
		close(s.queue[0])
		s.queue = s.queue[1:]
		s.takeSlot()
	}
}

func (s *semaphore) hasFree() bool { return s.limit <= 0 || s.used < s.limit }

func (s *semaphore) takeSlot() {
	s.used++
	s.peak = max(s.peak, s.used)
}

// acquire waits for a slot and takes it. It counts a slot as taken also when it
// returns an error, so that the caller calls release in any case.
func (s *semaphore) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.hasFree() && len(s.queue) == 0 {
		s.takeSlot()
		s.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	s.queue = append(s.queue, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(granted)
		return context.Cause(ctx)
	}
}

// cancelWait removes a waiter from the queue and counts a slot as taken for it, because
// the caller of acquire releases one. A waiter that is not in the queue has a slot.
func (s *semaphore) cancelWait(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.queue {
		if c == granted {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			s.used++
			return
		}
	}
}

// acquireAboveLimit takes a slot without waiting, for the end of a cancelled statement.
func (s *semaphore) acquireAboveLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used++
}

// release frees a slot.
func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.grantFree()
}

// counts returns the statements that run and wait, and the highest number that
// ran at once.
func (s *semaphore) counts() (used, waiting, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, len(s.queue), s.peak
}
