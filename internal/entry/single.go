package entry

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/balance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

const (
	// maxTries limits the number of times that one statement is sent.
	maxTries = 5
	// busyRetryDelay is the pause after a refusal by an instance whose queue is full
	// or that is just becoming the primary.
	busyRetryDelay = 15 * time.Millisecond
	// minRetryTime is the least time left in which a statement is tried again.
	minRetryTime = 50 * time.Millisecond
	// unreachableRetryDelay is the pause before the primary is tried again that no host has
	// reached.
	unreachableRetryDelay = 50 * time.Millisecond
	// maxDetours is the number of tries that fail because of a host, not of the instance.
	maxDetours = 20
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
	primary bool
	tries   tries
	// mayHaveRun reports that an instance may have run the statement.
	mayHaveRun bool
}

// deadline returns until when the host tries to run the statement.
func (h *Host) deadline(t *singleStatement) proxy.Instant {
	return h.limitDeadline(t.arrived.Add(t.route.Timeout))
}

// runSingle runs a statement outside a transaction.
func (s *session) runSingle(op operation, st proxy.Statement) proxy.Answer {
	if failure := s.checkPrepared(st); failure != nil {
		return s.failure(failure)
	}
	t := &singleStatement{operation: op, statement: st, writes: s.writes(st)}
	t.primary = t.writes || op.route.Consistency == directory.Strict
	s.trace.group = op.route.Group
	for {
		answer, retry := s.tryOnce(t)
		if !retry || t.tries.exhausted() || s.host.Clock.Now().Add(minRetryTime) >= s.host.deadline(t) {
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
	request := t.tries.request(primary)
	if !primary {
		request.After = &after
	}
	choice, failure := s.choose(t.operation, request, h.deadline(t).Add(-acquireMargin))
	if failure != nil {
		return s.failure(failure), false
	}
	command := proxy.Command{Statement: t.statement}
	var version proxy.StoreVersion
	if primary {
		var ok bool
		if version, ok = h.clusterState.beginOperation(h.Clock.Now(), t.route.Group, choice.Instance); !ok {
			return s.fail(proxy.Busy, "primary is not confirmed"), false
		}
		defer h.clusterState.endOperation(t.route.Group)
	} else {
		command.After = &after
	}
	result, _ := s.execute(t.operation, choice, command, h.deadline(t), false)
	switch {
	case result.Refusal != nil:
		retry := t.tries.refused(choice, result.Refusal, primary, s.instanceCount(t.operation))
		return s.failure(&result.Refusal.Failure), retry
	case result.Unknown != "":
		return s.broken(t, choice, result.Unknown)
	case result.Answer.Failure != nil:
		return s.refused(t, choice, request, *result.Answer)
	case t.writes:
		return s.acknowledge(t.operation, choice.Instance, version, *result.Answer), false
	default:
		if !primary {
			h.balance.MarkReplayed(choice.Instance, request)
		}
		return *result.Answer, false
	}
}

// tries counts the failed tries of an operation and holds what the next one avoids.
type tries struct {
	avoid []proxy.InstanceID
	// failed counts the tries that failed at an instance, detours those that failed on the
	// way to one, crowded those that would have waited for too long.
	failed, detours, crowded int
}

func (t *tries) exhausted() bool { return t.failed >= maxTries || t.detours >= maxDetours }

// request returns the request for the next try.
func (t *tries) request(primary bool) balance.Request {
	return balance.Request{Primary: primary, Avoid: t.avoid, Insistent: t.crowded >= maxPatientTries}
}

// avoidInstance excludes an instance from further tries. If all instances, of which there
// are so many, are excluded, all may be tried again.
func (t *tries) avoidInstance(id proxy.InstanceID, instances int) {
	if t.avoid = append(t.avoid, id); len(t.avoid) >= instances {
		t.avoid = nil
	}
}

// refusedBusy prepares the next try after an instance has refused a statement because it is
// busy: at another instance, or after a pause if there is none.
func (t *tries) refusedBusy(id proxy.InstanceID, primary bool, instances int) {
	if !primary {
		t.avoidInstance(id, instances)
	}
	if primary || len(t.avoid) == 0 {
		time.Sleep(busyRetryDelay)
	}
}

// refused decides whether to try again after a command was not run, and pauses before
// that where another try would meet the same. The caller limits the time of the tries.
func (t *tries) refused(choice balance.Choice, refusal *proxy.NotExecuted, primary bool, instances int) bool {
	switch refusal.Cause {
	case proxy.Crowded:
		t.crowded++
		// Without a limit of the wait, no other instance was expected to be faster.
		return choice.Patience > 0
	case proxy.Unrestored, proxy.Exhausted:
		t.failed++
		if !primary {
			t.avoidInstance(choice.Instance, instances)
			return true
		}
		time.Sleep(busyRetryDelay)
		return true
	case proxy.Unreachable:
		t.detours++
		if !primary {
			t.avoidInstance(choice.Instance, instances)
			return true
		}
		time.Sleep(unreachableRetryDelay)
		return true
	default:
		t.detours++
		return true
	}
}

// requiredPosition returns the minimum position for a read of the operation. It
// returns false if only the primary is known to be fresh enough.
func (s *session) requiredPosition(op operation) (proxy.Bookmark, bool) {
	if op.route.Consistency == directory.Strict {
		return proxy.Bookmark{}, false
	}
	minimumPosition, ok := s.host.positionSince(
		op.route.Group, op.arrived.Add(-op.route.MaxStaleness), op.route.MaxStaleness)
	if !ok {
		return proxy.Bookmark{}, false
	}
	if op.route.Consistency == directory.OwnWrites && s.committed != nil &&
		minimumPosition.Before(*s.committed) {
		minimumPosition = *s.committed
	}
	return minimumPosition, true
}

// broken decides whether to try again after it became unknown whether the statement has
// run. A read has no effect and may run again; a write may have taken effect.
func (s *session) broken(t *singleStatement, choice balance.Choice, reason string) (proxy.Answer, bool) {
	if t.writes {
		return s.fail(proxy.InDoubt, "instance did not answer: "+reason), false
	}
	t.mayHaveRun = true
	t.tries.failed++
	if !t.primary {
		t.tries.avoidInstance(choice.Instance, s.instanceCount(t.operation))
	}
	return s.fail(proxy.Aborted, "instance did not answer"), true
}

// instanceCount returns the number of instances of the operation's group.
func (s *session) instanceCount(op operation) int {
	return len(s.host.clusterState.groupInstances(op.route.Group))
}

// refused decides whether to try again after an instance refused the statement.
func (s *session) refused(
	t *singleStatement, choice balance.Choice, request balance.Request, answer proxy.Answer,
) (proxy.Answer, bool) {
	answer.State = s.state()
	t.tries.failed++
	if answer.Failure.Code == proxy.Failed && !t.writes {
		// The instance may fail only some statements.
		t.mayHaveRun = true
		if t.primary {
			return answer, true
		}
		t.tries.avoidInstance(choice.Instance, s.instanceCount(t.operation))
		return answer, len(t.tries.avoid) > 0 // not all instances have failed it
	}
	if !answer.Failure.Code.NotRun() {
		return answer, false
	}
	s.host.Metrics.countInstanceRefusal(answer.Failure.Code)
	switch answer.Failure.Code {
	case proxy.Lagging:
		s.host.balance.MarkLagging(s.host.Clock.Now(), choice.Instance, request)
		t.tries.avoidInstance(choice.Instance, s.instanceCount(t.operation))
		t.primary = len(t.tries.avoid) == 0 // all instances have been tried
	case proxy.Busy, proxy.ReadOnly:
		t.tries.refusedBusy(choice.Instance, t.primary, s.instanceCount(t.operation))
	}
	return s.fail(proxy.Busy, "instance refused: "+answer.Failure.Code.String()), true
}

// acknowledge returns the successful answer to a write if the instance was still the
// primary afterwards; otherwise the write is in doubt.
func (s *session) acknowledge(
	op operation, instance proxy.InstanceID, version proxy.StoreVersion, answer proxy.Answer,
) proxy.Answer {
	if !s.host.leadershipHolds(op.route.Group, version) {
		s.host.Log.Warn().Str("request", string(op.id)).Str("group", string(op.route.Group)).
			Str("instance", string(instance)).Uint64("version", uint64(version.Version)).
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
func (h *Host) leadershipHolds(group proxy.GroupID, version proxy.StoreVersion) bool {
	start := h.Clock.Now()
	for {
		now := h.Clock.Now()
		stillPrimary, known := h.clusterState.stillPrimary(now, group, version)
		if known || !stillPrimary {
			return stillPrimary
		}
		if now >= h.limitDeadline(start.Add(confirmationWait)) {
			return false
		}
		time.Sleep(leadershipPollInterval)
	}
}
