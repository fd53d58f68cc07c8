package frontend

import (
	"context"
	"time"
)

// timer limits the duration of one request. Pointers to timers are compared to
// distinguish requests.
type timer struct{ timer *time.Timer }

// startTimer starts the timeout of the route for the current request.
func (s *session) startTimer() {
	s.started = time.Now()
	timeout := s.grant.route.Timeout
	if timeout <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &timer{}
	t.timer = time.AfterFunc(timeout, func() { s.expire(t) })
	s.timer = t
}

// stopTimer stops the timeout of the current request.
func (s *session) stopTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return
	}
	s.timer.timer.Stop()
	s.timer = nil
}

// expire cancels the running statement. If the request has not ended after
// Limits.Cancel, it closes the acquired connection.
func (s *session) expire(t *timer) {
	ctx, stop := context.WithTimeout(context.Background(), s.server.Limits.Cancel)
	defer stop()
	s.cancel(ctx, t.isCurrent(s))
	<-ctx.Done()
	if t.isCurrent(s)() {
		s.closeAcquired()
	}
}

// isCurrent returns a function that reports whether the timer still belongs to the
// session's current request.
func (t *timer) isCurrent(s *session) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.timer == t
	}
}
