package entry

import (
	"errors"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
)

// Limits of the attempts within one statement.
const (
	// maxTries bounds the instances that one statement is sent to.
	maxTries = 5
	// busyPause follows an instance's refusal while its queue is full or its
	// leadership begins.
	busyPause = 15 * time.Millisecond
	// retryMargin is the least time left for another attempt.
	retryMargin = 50 * time.Millisecond
	// proofPause is the pause between two looks at whether a leadership holds.
	proofPause = 10 * time.Millisecond
)

// try is the progress of a statement outside a transaction.
type try struct {
	operation
	statement proxy.Statement
	writes    bool
	// primary restricts the choice to the primary.
	primary bool
	avoid   []proxy.InstanceID
	count   int
	// ran reports that an instance may have run the statement.
	ran bool
}

func (t *try) deadline() proxy.Instant { return t.arrived.Add(t.route.Timeout) }

// single runs a statement outside a transaction.
func (s *session) single(op operation, st proxy.Statement) proxy.Answer {
	if failure := s.checkPrepared(st); failure != nil {
		return s.failure(failure)
	}
	t := &try{operation: op, statement: st, writes: s.writes(st)}
	t.primary = t.writes || op.route.Consistency == directory.Strict
	for {
		answer, again := s.attempt(t)
		t.count++
		if !again || t.count >= maxTries || s.host.Clock.Now().Add(retryMargin) >= t.deadline() {
			return t.truthful(answer)
		}
		s.host.Metrics.retried.Inc(1)
		s.host.noteRetry(s, t, answer)
	}
}

// truthful replaces a refusal that says "not run" where an earlier attempt may
// have run. Nothing of a read is kept in either case.
func (t *try) truthful(answer proxy.Answer) proxy.Answer {
	if t.ran && answer.Failure != nil && (answer.Failure.Code == proxy.Busy || answer.Failure.Code == proxy.Full) {
		answer.Failure = &proxy.Failure{
			Code: proxy.Aborted, Text: answer.Failure.Text, RetryAfter: answer.Failure.RetryAfter,
		}
	}
	return answer
}

// attempt sends the statement to one instance. It returns the answer and
// whether another attempt is allowed.
func (s *session) attempt(t *try) (proxy.Answer, bool) {
	h := s.host
	after, bounded := s.minimum(t.operation)
	primary := t.primary || !bounded
	c, failure := s.borrow(t.operation, primary, !t.writes, t.avoid, t.deadline().Add(-offerMargin))
	if failure != nil {
		return s.failure(failure), false
	}
	now := h.Clock.Now()
	order := proxy.Command{Statement: t.statement}
	var version proxy.Version
	if primary {
		var ok bool
		if version, ok = h.beliefs.enter(now, t.route.Group, c.Instance); !ok {
			h.giveBack(c)
			return s.fail(proxy.Busy, "primary is not confirmed"), false
		}
		defer h.beliefs.leave(t.route.Group)
	} else {
		order.After = &after
	}
	answer, err := s.exchange(c, t.deadline().Sub(now), order)
	var unopened *unopenedError
	if errors.As(err, &unopened) {
		return s.unopened(t, c, unopened)
	}
	if err != nil {
		h.broken(c, err)
		return s.interrupted(t, c, err)
	}
	h.giveBackFrom(c, answer)
	if answer.Failure != nil {
		return s.refused(t, c, answer)
	}
	if t.writes {
		return s.acknowledge(t.operation, c.Instance, version, answer), false
	}
	return answer, false
}

// minimum returns the position that a read of the operation must see, and false
// where only the primary is known to be fresh enough.
func (s *session) minimum(op operation) (proxy.Bookmark, bool) {
	if op.route.Consistency == directory.Strict {
		return proxy.Bookmark{}, false
	}
	bound, ok := s.host.beliefs.bound(op.route.Group, op.arrived.Add(-op.route.Age))
	if !ok {
		return proxy.Bookmark{}, false
	}
	if op.route.Consistency == directory.OwnWrites && s.committed != nil && bound.Before(*s.committed) {
		bound = *s.committed
	}
	return bound, true
}

// interrupted decides on a statement whose connection broke. A read has no
// effect and may run again; a write may have taken effect.
func (s *session) interrupted(t *try, c *dispatch.Connection, err error) (proxy.Answer, bool) {
	if t.writes {
		return s.fail(proxy.InDoubt, "instance did not answer: "+err.Error()), false
	}
	t.ran = true
	t.elsewhere(c)
	if len(t.avoid) >= s.instances(t) {
		t.avoid = nil
	}
	return s.fail(proxy.Aborted, "instance did not answer"), true
}

// unopened decides on a statement whose connection could not be opened. Such an
// attempt does not count: the next one waits until the instance has room.
func (s *session) unopened(t *try, c *dispatch.Connection, err *unopenedError) (proxy.Answer, bool) {
	if t.writes && err.ran {
		return s.fail(proxy.InDoubt, "instance did not answer: "+err.Error()), false
	}
	t.ran = t.ran || err.ran
	t.count--
	if err.failure.Code != proxy.Full {
		t.elsewhere(c)
		if len(t.avoid) >= s.instances(t) {
			t.avoid = nil
		}
	}
	return s.failure(err.failure), true
}

// elsewhere excludes an instance from further attempts, unless only the primary
// will do.
func (t *try) elsewhere(c *dispatch.Connection) {
	if !t.primary {
		t.avoid = append(t.avoid, c.Instance)
	}
}

// instances returns the number of instances that may run the statement.
func (s *session) instances(t *try) int {
	return len(s.host.beliefs.groupInstances(t.route.Group))
}

// refused decides on a statement that an instance refused.
func (s *session) refused(t *try, c *dispatch.Connection, answer proxy.Answer) (proxy.Answer, bool) {
	answer.State = s.state()
	if answer.Failure.Code == proxy.Failed && !t.writes {
		// The instance may fail only part of its statements.
		t.ran = true
		t.elsewhere(c)
		return answer, len(t.avoid) < s.instances(t)
	}
	if !answer.Failure.Code.NotRun() {
		return answer, false
	}
	s.host.Metrics.rejected(answer.Failure.Code)
	switch answer.Failure.Code {
	case proxy.Lagging:
		s.host.table.MarkLagging(s.host.Clock.Now(), c)
		t.elsewhere(c)
		if len(t.avoid) >= s.instances(t) {
			t.primary, t.avoid = true, nil
		}
	case proxy.Busy, proxy.ReadOnly:
		time.Sleep(busyPause)
	}
	return s.fail(proxy.Busy, "instance refused: "+answer.Failure.Code.String()), true
}

// acknowledge passes on the success of a write if the instance still led its
// group afterwards.
func (s *session) acknowledge(op operation, instance proxy.InstanceID, version proxy.Version, answer proxy.Answer) proxy.Answer {
	if !s.host.awaitLeadership(op.route.Group, version) {
		s.host.Log.Warn().Str("request", string(op.id)).Str("group", string(op.route.Group)).
			Str("instance", string(instance)).Uint64("version", uint64(version)).
			Msg("write not acknowledged: primary was replaced meanwhile")
		return s.fail(proxy.InDoubt, "primary was replaced meanwhile")
	}
	if answer.Position != nil {
		s.committed = answer.Position
	}
	return answer
}

// awaitLeadership reports whether a leadership still holds. While that is not
// known it waits for the store, for as long as a watch takes to bring a proof.
func (h *Host) awaitLeadership(group proxy.GroupID, version proxy.Version) bool {
	start := h.Clock.Now()
	for now := start; now.Sub(start) < proofWait; now = h.Clock.Now() {
		holds, known := h.beliefs.holds(now, group, version)
		if known || !holds {
			return holds
		}
		time.Sleep(proofPause)
	}
	return false
}

// giveBack returns a connection that is outside any transaction. One that was not
// used is closed, so that no write opens a session.
func (h *Host) giveBack(c *dispatch.Connection) {
	if c.SessionPending {
		h.discard(c)
		return
	}
	closeAll(h.table.Release(h.Clock.Now(), c))
}

// giveBackFrom returns a connection after an answer, or closes it if the
// instance has left it inside a transaction.
func (h *Host) giveBackFrom(c *dispatch.Connection, answer proxy.Answer) {
	if answer.State != proxy.OutsideTransaction {
		h.discard(c)
		return
	}
	h.giveBack(c)
}

// discard closes a connection whose instance has not failed.
func (h *Host) discard(c *dispatch.Connection) {
	c.Conn.Close()
	h.table.Discard(h.Clock.Now(), c, dispatch.Unneeded)
}
