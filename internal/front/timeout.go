package front

import (
	"context"
	"time"
)

// timer bounds one request. Its identity tells requests apart.
type timer struct{ timer *time.Timer }

// startTimer bounds the current request by its route's timeout.
func (s *session) startTimer() {
	s.started = time.Now()
	timeout := s.grant.route.Timeout
	if timeout <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	bound := &timer{}
	bound.timer = time.AfterFunc(timeout, func() { s.expire(bound) })
	s.timer = bound
}

// stopTimer ends the bound of the current request.
func (s *session) stopTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer == nil {
		return
	}
	s.timer.timer.Stop()
	s.timer = nil
}

// expire cancels the statement and, where that does not end it, closes its
// connection.
func (s *session) expire(bound *timer) {
	ctx, stop := context.WithTimeout(context.Background(), s.server.Limits.Cancel)
	defer stop()
	s.cancel(ctx, bound.isCurrent(s))
	<-ctx.Done()
	if bound.isCurrent(s)() {
		s.sever()
	}
}

// isCurrent tells whether the timer still bounds the session's request.
func (t *timer) isCurrent(s *session) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.timer == t
	}
}
