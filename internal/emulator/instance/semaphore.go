package instance

import (
	"context"
	"sync"
)

// semaphore limits the statements that run at once. Statements above the limit wait
// in order of arrival.
type semaphore struct {
	mu      sync.Mutex
	limit   int // 0 for none
	used    int
	highest int
	queue   []chan struct{}
}

// setLimit changes the limit.
func (s *semaphore) setLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.admit()
}

// admit gives slots to waiters while there are free slots.
func (s *semaphore) admit() {
	for len(s.queue) > 0 && s.free() {
		close(s.queue[0])
		s.queue = s.queue[1:]
		s.take()
	}
}

func (s *semaphore) free() bool { return s.limit <= 0 || s.used < s.limit }

func (s *semaphore) take() {
	s.used++
	s.highest = max(s.highest, s.used)
}

// acquire takes a slot, also when it returns an error; release follows in any case.
func (s *semaphore) acquire(ctx context.Context) error {
	s.mu.Lock()
	if s.free() && len(s.queue) == 0 {
		s.take()
		s.mu.Unlock()
		return nil
	}
	admitted := make(chan struct{})
	s.queue = append(s.queue, admitted)
	s.mu.Unlock()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
		s.cancel(admitted)
		return context.Cause(ctx)
	}
}

// cancel ends a wait and counts the slot that the following release gives back.
func (s *semaphore) cancel(admitted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range s.queue {
		if c == admitted {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			s.used++
			return
		}
	}
}

// reacquire takes a slot above the limit, for the end of a cancelled statement.
func (s *semaphore) reacquire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used++
}

// release gives a slot back.
func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	s.admit()
}

// counts returns the statements that run and wait, and the highest number that
// ran at once.
func (s *semaphore) counts() (used, waiting, highest int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, len(s.queue), s.highest
}
