package entry

import (
	"errors"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
)

const (
	// maxTries limits the number of times that one statement is sent.
	maxTries = 5
	// busyRetryDelay is the pause after a refusal by an instance whose queue is full
	// or that is just becoming the primary.
	busyRetryDelay = 15 * time.Millisecond
	// minRetryTime is the least time left in which a statement is tried again.
	minRetryTime = 50 * time.Millisecond
	// leadershipPollInterval is the pause between two checks whether a leadership
	// record is still in force.
	leadershipPollInterval = 10 * time.Millisecond
)

// singleStatement is the state of a statement outside a transaction over its tries.
type singleStatement struct {
	operation
	statement proxy.Statement
	writes    bool
	// primary reports that only the primary may run the statement.
	primary  bool
	avoid    []proxy.InstanceID
	attempts int
	// mayHaveRun reports that an instance may have run the statement.
	mayHaveRun bool
}

func (t *singleStatement) deadline() proxy.Instant { return t.arrived.Add(t.route.Timeout) }

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(op operation, st proxy.Statement) proxy.Answer {
	if failure := s.checkPrepared(st); failure != nil {
		return s.failure(failure)
	}
	t := &singleStatement{operation: op, statement: st, writes: s.writes(st)}
	t.primary = t.writes || op.route.Consistency == directory.Strict
	for {
		answer, retry := s.tryOnce(t)
		t.attempts++
		if !retry || t.attempts >= maxTries || s.host.Clock.Now().Add(minRetryTime) >= t.deadline() {
			return t.correctRefusal(answer)
		}
		s.host.Metrics.retried.Inc(1)
		s.host.logRetry(s, t, answer)
	}
}

// correctRefusal replaces a refusal that means "not run" by Aborted if an earlier try
// may have run the statement. Only reads are tried again after that, so nothing has
// been written in either case.
func (t *singleStatement) correctRefusal(answer proxy.Answer) proxy.Answer {
	if t.mayHaveRun && answer.Failure != nil &&
		(answer.Failure.Code == proxy.Busy || answer.Failure.Code == proxy.Full) {
		answer.Failure = &proxy.Failure{
			Code: proxy.Aborted, Text: answer.Failure.Text, RetryAfter: answer.Failure.RetryAfter,
		}
	}
	return answer
}

// tryOnce sends the statement to one instance. It returns the answer and whether the
// statement may be tried again.
func (s *session) tryOnce(t *singleStatement) (proxy.Answer, bool) {
	h := s.host
	after, bounded := s.requiredPosition(t.operation)
	primary := t.primary || !bounded
	c, failure := s.acquire(t.operation, primary, !t.writes, t.avoid, t.deadline().Add(-acquireMargin))
	if failure != nil {
		return s.failure(failure), false
	}
	now := h.Clock.Now()
	command := proxy.Command{Statement: t.statement}
	var version proxy.Version
	if primary {
		var ok bool
		if version, ok = h.clusterState.beginOperation(now, t.route.Group, c.Instance); !ok {
			h.releaseConnection(c)
			return s.fail(proxy.Busy, "primary is not confirmed"), false
		}
		defer h.clusterState.endOperation(t.route.Group)
	} else {
		command.After = &after
	}
	answer, err := s.exchange(c, t.deadline().Sub(now), command)
	var unopened *unopenedError
	if errors.As(err, &unopened) {
		return s.unopened(t, c, unopened)
	}
	var unsent *unsentError
	if errors.As(err, &unsent) {
		h.discardUnsent(c, unsent)
		return s.unsent(t, c, unsent)
	}
	if err != nil {
		h.connectionBroken(c, err)
		return s.broken(t, c, err)
	}
	h.releaseAfter(c, answer)
	if answer.Failure != nil {
		return s.refused(t, c, answer)
	}
	if t.writes {
		return s.acknowledge(t.operation, c.Instance, version, answer), false
	}
	return answer, false
}

// requiredPosition returns the minimum position for a read of the operation. It
// returns false if only the primary is known to be fresh enough.
func (s *session) requiredPosition(op operation) (proxy.Bookmark, bool) {
	if op.route.Consistency == directory.Strict {
		return proxy.Bookmark{}, false
	}
	minimumPosition, ok := s.host.clusterState.minimumPosition(
		op.route.Group, op.arrived.Add(-op.route.MaxStaleness))
	if !ok {
		return proxy.Bookmark{}, false
	}
	if op.route.Consistency == directory.OwnWrites && s.committed != nil &&
		minimumPosition.Before(*s.committed) {
		minimumPosition = *s.committed
	}
	return minimumPosition, true
}

// broken decides whether to try again after the connection broke. A read has no
// effect and may run again; a write may have taken effect.
func (s *session) broken(t *singleStatement, c *dispatch.Connection, err error) (proxy.Answer, bool) {
	if t.writes {
		return s.fail(proxy.InDoubt, "instance did not answer: "+err.Error()), false
	}
	t.mayHaveRun = true
	t.avoidInstance(c)
	if len(t.avoid) >= s.instanceCount(t) {
		t.avoid = nil
	}
	return s.fail(proxy.Aborted, "instance did not answer"), true
}

// unopened decides whether to try again after the connection could not be opened.
// Such a try does not count towards maxTries, since the next one waits until an
// instance has room.
func (s *session) unopened(t *singleStatement, c *dispatch.Connection, err *unopenedError) (proxy.Answer, bool) {
	if t.writes && err.mayHaveRun {
		return s.fail(proxy.InDoubt, "instance did not answer: "+err.Error()), false
	}
	t.mayHaveRun = t.mayHaveRun || err.mayHaveRun
	t.attempts--
	if err.failure.Code != proxy.Full {
		t.avoidInstance(c)
		if len(t.avoid) >= s.instanceCount(t) {
			t.avoid = nil
		}
	}
	return s.failure(err.failure), true
}

// unsent decides whether to try again after the statement was not sent because the
// session values were not restored.
func (s *session) unsent(t *singleStatement, c *dispatch.Connection, unsent *unsentError) (proxy.Answer, bool) {
	t.avoidInstance(c)
	if len(t.avoid) >= s.instanceCount(t) {
		t.avoid = nil
	}
	time.Sleep(busyRetryDelay)
	return s.fail(proxy.Busy, unsent.Error()), true
}

// avoidInstance excludes an instance from further tries, unless the statement needs
// the primary.
func (t *singleStatement) avoidInstance(c *dispatch.Connection) {
	if !t.primary {
		t.avoid = append(t.avoid, c.Instance)
	}
}

// instanceCount returns the number of instances that may run the statement.
func (s *session) instanceCount(t *singleStatement) int {
	return len(s.host.clusterState.groupInstances(t.route.Group))
}

// refused decides whether to try again after an instance refused the statement.
func (s *session) refused(t *singleStatement, c *dispatch.Connection, answer proxy.Answer) (proxy.Answer, bool) {
	answer.State = s.state()
	if answer.Failure.Code == proxy.Failed && !t.writes {
		// The instance may fail only some statements.
		t.mayHaveRun = true
		t.avoidInstance(c)
		return answer, len(t.avoid) < s.instanceCount(t)
	}
	if !answer.Failure.Code.NotRun() {
		return answer, false
	}
	s.host.Metrics.countInstanceRefusal(answer.Failure.Code)
	switch answer.Failure.Code {
	case proxy.Lagging:
		s.host.table.MarkLagging(s.host.Clock.Now(), c)
		t.avoidInstance(c)
		if len(t.avoid) >= s.instanceCount(t) {
			t.primary, t.avoid = true, nil
		}
	case proxy.Busy, proxy.ReadOnly:
		time.Sleep(busyRetryDelay)
	}
	return s.fail(proxy.Busy, "instance refused: "+answer.Failure.Code.String()), true
}

// acknowledge returns the successful answer to a write if the instance was still the
// primary afterwards; otherwise the write is in doubt.
func (s *session) acknowledge(
	op operation, instance proxy.InstanceID, version proxy.Version, answer proxy.Answer,
) proxy.Answer {
	if !s.host.leadershipHolds(op.route.Group, version) {
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

// leadershipHolds reports whether the version of a group's leadership record under
// which an operation began is still in force. While that is not known, it waits for a
// confirmation from the store, for at most the wait of a watch.
func (h *Host) leadershipHolds(group proxy.GroupID, version proxy.Version) bool {
	start := h.Clock.Now()
	for now := start; now.Sub(start) < confirmationWait; now = h.Clock.Now() {
		stillPrimary, known := h.clusterState.stillPrimary(now, group, version)
		if known || !stillPrimary {
			return stillPrimary
		}
		time.Sleep(leadershipPollInterval)
	}
	return false
}

// releaseConnection releases a connection that is outside any transaction. A
// connection that was never used is closed, so that its session is not opened by a
// later write.
func (h *Host) releaseConnection(c *dispatch.Connection) {
	if c.SessionPending {
		h.discardUnneeded(c)
		return
	}
	closeAll(h.table.Release(h.Clock.Now(), c))
}

// releaseAfter releases a connection after an answer, or closes it if the instance
// has left it in a transaction.
func (h *Host) releaseAfter(c *dispatch.Connection, answer proxy.Answer) {
	if answer.State != proxy.OutsideTransaction {
		h.discardUnneeded(c)
		return
	}
	h.releaseConnection(c)
}

// discardUnneeded closes a connection that cannot be reused although its instance has
// not failed.
func (h *Host) discardUnneeded(c *dispatch.Connection) {
	c.Conn.Close()
	h.table.Discard(h.Clock.Now(), c, dispatch.Unneeded)
}
