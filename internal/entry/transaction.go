package entry

import (
	"context"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// rollbackTimeout limits the rollback before a connection is released.
const rollbackTimeout = 300 * time.Millisecond

// beginTransaction admits a transaction and answers at once. The transaction is begun
// on an instance in the background, since opening a connection takes several round
// trips and the client needs some time before it sends the first statement.
func (s *session) beginTransaction(st proxy.Statement, arrived proxy.Instant) proxy.Answer {
	op, failure := s.admit(st, arrived)
	if failure != nil {
		return s.failure(failure)
	}
	s.transaction = &transaction{operation: op, readOnly: st.Verb == proxy.BeginRead, opened: make(chan struct{})}
	return s.localAnswer()
}

// startOpening begins a new transaction on an instance. It is called after the client
// has received the answer. Until the transaction is opened, only the opening
// goroutine may use the session's state.
func (s *session) startOpening() {
	t := s.transaction
	if t == nil || t.openingStarted {
		return
	}
	t.openingStarted = true
	go func() {
		defer close(t.opened)
		s.host.contain(s, func() {
			t.refusal = s.openTransaction(s.host.limitDeadline(t.arrived.Add(t.route.Timeout)))
		}, func() {
			s.host.endPrimaryOperation(t)
			t.refusal = &proxy.Failure{Code: proxy.Aborted, Text: "host failed while it began the transaction"}
		})
	}()
}

// awaitOpening waits until the transaction has begun on an instance or has failed to
// begin.
func (s *session) awaitOpening() {
	if s.transaction != nil {
		<-s.transaction.opened
	}
}

// continueTransaction runs a statement of the open transaction.
func (s *session) continueTransaction(st proxy.Statement, arrived proxy.Instant) proxy.Answer {
	t := s.transaction
	switch {
	case st.Verb == proxy.Rollback:
		s.endTransaction()
		return s.localAnswer()
	case t.failed && st.Verb == proxy.Commit:
		s.endTransaction()
		return s.fail(proxy.Aborted, "transaction had failed and is rolled back")
	case t.failed:
		return s.fail(proxy.Malformed, "transaction has failed")
	case st.Verb == proxy.Begin || st.Verb == proxy.BeginRead:
		return s.fail(proxy.Malformed, "a transaction is open")
	}
	if failure := s.checkStillValid(arrived); failure != nil {
		return s.abortTransaction(failure)
	}
	if t.refusal != nil {
		return s.abortTransaction(t.refusal)
	}
	if s.host.refusesStatements() {
		return s.abortTransaction(&proxy.Failure{Code: proxy.Aborted, Text: stopRefusal})
	}
	return s.forward(st, s.host.limitDeadline(arrived.Add(t.route.Timeout)))
}

// checkStillValid checks that the transaction's key is still valid and that its
// primary has not been replaced.
func (s *session) checkStillValid(arrived proxy.Instant) *proxy.Failure {
	c, failure := s.host.confirmedConfiguration(arrived)
	if failure != nil {
		return failure
	}
	t := s.transaction
	if account, ok := c.Keys[s.key]; (!ok || account != t.account) && !t.route.Open {
		return &proxy.Failure{Code: proxy.UnknownKey, Text: "key is not known"}
	}
	if !t.leadershipVersion.IsZero() {
		if stillPrimary, _ := s.host.clusterState.stillPrimary(arrived, t.route.Group, t.leadershipVersion); !stillPrimary {
			return &proxy.Failure{Code: proxy.Aborted, Text: "primary is being replaced"}
		}
	}
	return nil
}

// openTransaction begins the transaction on an instance, with several tries.
func (s *session) openTransaction(deadline proxy.Instant) *proxy.Failure {
	var tries tries
	s.trace.group = s.transaction.route.Group
	primary := !s.transaction.readOnly || s.transaction.route.Consistency == directory.Strict
	failure := &proxy.Failure{Code: proxy.Busy, Text: "no instance has begun the transaction"}
	for !tries.exhausted() && s.host.Clock.Now().Add(minRetryTime) < deadline {
		var retry bool
		if failure, retry = s.tryBegin(&primary, &tries, deadline); !retry {
			return failure
		}
	}
	return failure
}

// tryBegin begins the transaction on one instance. It returns the failure and whether to
// try again.
func (s *session) tryBegin(strict *bool, tries *tries, deadline proxy.Instant) (*proxy.Failure, bool) {
	h, t := s.host, s.transaction
	after, bounded := s.requiredPosition(t.operation)
	primary := *strict || !bounded
	request := tries.request(primary)
	if !primary {
		request.After = &after
	}
	choice, failure := s.choose(t.operation, request, deadline.Add(-acquireMargin))
	if failure != nil {
		return failure, false
	}
	command := proxy.Command{Statement: proxy.Statement{Verb: proxy.Begin}}
	if t.readOnly {
		command.Statement.Verb = proxy.BeginRead
	}
	if primary {
		leadershipVersion, ok := h.clusterState.beginOperation(h.Clock.Now(), t.route.Group, choice.Instance)
		if !ok {
			return &proxy.Failure{Code: proxy.Busy, Text: "primary is not confirmed"}, false
		}
		t.leadershipVersion = leadershipVersion
	} else {
		command.After = &after
	}
	result, held := s.execute(t.operation, choice, command, deadline, true)
	if held != nil {
		if !primary {
			h.balance.MarkReplayed(choice.Instance, request)
		}
		t.connection, t.choice = held, choice
		return nil, false
	}
	h.endPrimaryOperation(t)
	instances := s.instanceCount(t.operation)
	switch {
	case result.Refusal != nil:
		return &result.Refusal.Failure, tries.refused(choice, result.Refusal, primary, instances)
	case result.Unknown != "":
		tries.failed++
		tries.avoidInstance(choice.Instance, instances)
		return &proxy.Failure{Code: proxy.Aborted, Text: "instance did not answer"}, true
	}
	tries.failed++
	code := result.Answer.Failure.Code
	failure = &proxy.Failure{Code: proxy.Busy, Text: "instance refused: " + code.String()}
	switch code {
	case proxy.Lagging:
		h.balance.MarkLagging(h.Clock.Now(), choice.Instance, request)
		tries.avoidInstance(choice.Instance, instances)
		*strict = len(tries.avoid) == 0 // all instances have been tried
		return failure, true
	case proxy.Busy, proxy.ReadOnly:
		tries.refusedBusy(choice.Instance, primary, instances)
		return failure, true
	default:
		return failure, code.NotRun()
	}
}

// forward sends a statement or the commit of the transaction to its instance.
func (s *session) forward(st proxy.Statement, deadline proxy.Instant) proxy.Answer {
	t := s.transaction
	s.trace.group = t.route.Group
	if failure := s.checkPrepared(st); failure != nil {
		return s.abortTransaction(failure)
	}
	t.wrote = t.wrote || s.writes(st)
	command := proxy.Command{Statement: st}
	s.trace.tries++
	sent := s.host.Clock.Now()
	result, released := t.connection.Execute(context.Background(), s.execution(t.operation, t.choice, command, deadline))
	s.recordExecuted(t.choice, command, sent, result)
	if released {
		t.connection = nil
	}
	switch {
	case result.Unknown != "":
		return s.handleBrokenTransaction(st)
	case result.Refusal != nil:
		return s.handleUnsent(st, &result.Refusal.Failure)
	case st.Verb == proxy.Commit:
		return s.handleCommitAnswer(*result.Answer)
	case result.Answer.Failure == nil:
		result.Answer.State = proxy.InTransaction
		return *result.Answer
	}
	return s.abortTransaction(result.Answer.Failure)
}

// handleBrokenTransaction returns the answer after the transaction's connection
// broke. The instance rolls the transaction back, unless it may have received a
// commit.
func (s *session) handleBrokenTransaction(st proxy.Statement) proxy.Answer {
	t := s.transaction
	t.connection = nil
	s.host.endPrimaryOperation(t)
	if st.Verb == proxy.Commit {
		s.transaction = nil
		if t.wrote {
			return s.fail(proxy.InDoubt, "instance did not answer the commit")
		}
		return s.fail(proxy.Aborted, "instance did not answer the commit of a transaction without writes")
	}
	t.failed = true
	return s.fail(proxy.Aborted, "instance did not answer")
}

// handleUnsent ends the transaction's work after a statement was not sent. Its connection
// is closed, which rolls the transaction back.
func (s *session) handleUnsent(st proxy.Statement, failure *proxy.Failure) proxy.Answer {
	t := s.transaction
	t.connection, t.failed = nil, true
	s.host.endPrimaryOperation(t)
	if st.Verb == proxy.Commit {
		s.transaction = nil
	}
	return s.fail(proxy.Aborted, failure.Text)
}

// handleCommitAnswer ends the transaction after an answer to its commit and returns
// the answer for the client.
func (s *session) handleCommitAnswer(answer proxy.Answer) proxy.Answer {
	t := s.transaction
	s.transaction = nil
	defer s.host.endPrimaryOperation(t)
	answer.State = proxy.OutsideTransaction
	if answer.Failure != nil {
		if answer.Failure.Code.NotRun() {
			answer.Failure = &proxy.Failure{Code: proxy.Aborted, Text: "commit refused: " + answer.Failure.Code.String()}
		}
		return answer
	}
	if t.wrote {
		return s.acknowledge(t.operation, t.choice.Instance, t.leadershipVersion, answer)
	}
	return answer
}

// abortTransaction fails the transaction and returns the failure as the answer.
func (s *session) abortTransaction(f *proxy.Failure) proxy.Answer {
	s.failTransaction()
	return s.failure(f)
}

// failTransaction rolls the transaction back. The session remains in the failed state
// until the client ends the transaction.
func (s *session) failTransaction() {
	s.awaitOpening()
	t := s.transaction
	t.failed = true
	if t.connection != nil {
		t.connection.Release()
		t.connection = nil
	}
	s.host.endPrimaryOperation(t)
}

// endTransaction rolls the transaction back and removes it from the session.
func (s *session) endTransaction() {
	s.failTransaction()
	s.transaction = nil
}

// endPrimaryOperation stops counting the transaction among the operations that depend
// on the primary.
func (h *Host) endPrimaryOperation(t *transaction) {
	if !t.leadershipVersion.IsZero() {
		t.leadershipVersion = proxy.StoreVersion{}
		h.clusterState.endOperation(t.route.Group)
	}
}
