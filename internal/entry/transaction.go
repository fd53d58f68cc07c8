package entry

import (
	"errors"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
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
			t.refusal = s.openTransaction(t.arrived.Add(t.route.Timeout))
			if t.connection != nil {
				s.host.table.Pause(s.host.Clock.Now(), t.connection)
			}
		}, func() {
			s.host.endPrimaryOperation(t)
			s.abandonConnection()
			t.connection = nil
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
	deadline := arrived.Add(t.route.Timeout)
	s.host.table.Resume(s.host.Clock.Now(), t.connection)
	answer := s.forward(st, deadline)
	if s.transaction != nil && t.connection != nil {
		s.host.table.Pause(s.host.Clock.Now(), t.connection)
	}
	return answer
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
	if t.leadershipVersion != 0 {
		if stillPrimary, _ := s.host.clusterState.stillPrimary(arrived, t.route.Group, t.leadershipVersion); !stillPrimary {
			return &proxy.Failure{Code: proxy.Aborted, Text: "primary is being replaced"}
		}
	}
	return nil
}

// openTransaction begins the transaction on an instance, with several tries.
func (s *session) openTransaction(deadline proxy.Instant) *proxy.Failure {
	var avoid []proxy.InstanceID
	primary := !s.transaction.readOnly || s.transaction.route.Consistency == directory.Strict
	failure := &proxy.Failure{Code: proxy.Busy, Text: "no instance has begun the transaction"}
	for tries := 0; tries < maxTries; {
		if s.host.Clock.Now().Add(minRetryTime) >= deadline {
			break
		}
		var retry bool
		if avoid, failure, retry = s.tryBegin(primary, avoid, deadline); !retry {
			return failure
		}
		if failure.Code != proxy.Full {
			tries++
		}
		if len(avoid) >= len(s.host.clusterState.groupInstances(s.transaction.route.Group)) {
			primary, avoid = true, nil
		}
	}
	return failure
}

// tryBegin begins the transaction on one instance. It returns the instances to avoid
// in further tries, the failure, and whether to try again.
func (s *session) tryBegin(
	primary bool, avoid []proxy.InstanceID, deadline proxy.Instant,
) ([]proxy.InstanceID, *proxy.Failure, bool) {
	h, t := s.host, s.transaction
	after, bounded := s.requiredPosition(t.operation)
	primary = primary || !bounded
	c, failure := s.acquire(t.operation, primary, true, avoid, deadline.Add(-acquireMargin))
	if failure != nil {
		return avoid, failure, false
	}
	now := h.Clock.Now()
	command := proxy.Command{Statement: proxy.Statement{Verb: proxy.Begin}}
	if t.readOnly {
		command.Statement.Verb = proxy.BeginRead
	}
	if primary {
		leadershipVersion, ok := h.clusterState.beginOperation(now, t.route.Group, c.Instance)
		if !ok {
			h.releaseConnection(c)
			return avoid, &proxy.Failure{Code: proxy.Busy, Text: "primary is not confirmed"}, false
		}
		t.leadershipVersion = leadershipVersion
	} else {
		command.After = &after
	}
	answer, err := s.exchange(c, deadline.Sub(now), command)
	if err == nil && answer.Failure == nil {
		t.connection = c
		return avoid, nil, false
	}
	s.host.endPrimaryOperation(t)
	var unopened *unopenedError
	if errors.As(err, &unopened) {
		if unopened.failure.Code != proxy.Full {
			avoid = append(avoid, c.Instance)
		}
		return avoid, unopened.failure, true
	}
	var unsent *unsentError
	if errors.As(err, &unsent) {
		h.discardUnsent(c, unsent)
		time.Sleep(busyRetryDelay)
		return avoid, &proxy.Failure{Code: proxy.Aborted, Text: unsent.Error()}, true
	}
	if err != nil {
		h.connectionBroken(c, err)
		return append(avoid, c.Instance), &proxy.Failure{Code: proxy.Aborted, Text: "instance did not answer"}, true
	}
	h.releaseUnbegun(c, answer)
	failure = &proxy.Failure{Code: proxy.Busy, Text: "instance refused: " + answer.Failure.Code.String()}
	switch answer.Failure.Code {
	case proxy.Lagging:
		h.table.MarkLagging(h.Clock.Now(), c)
		return append(avoid, c.Instance), failure, true
	case proxy.Busy, proxy.ReadOnly:
		time.Sleep(busyRetryDelay)
		return avoid, failure, true
	default:
		return avoid, failure, answer.Failure.Code.NotRun()
	}
}

// releaseUnbegun releases a connection on which a transaction could not begin.
func (h *Host) releaseUnbegun(c *dispatch.Connection, answer proxy.Answer) {
	if answer.State == proxy.OutsideTransaction {
		h.releaseConnection(c)
		return
	}
	h.rollBack(c)
}

// forward sends a statement or the commit of the transaction to its instance.
func (s *session) forward(st proxy.Statement, deadline proxy.Instant) proxy.Answer {
	h, t := s.host, s.transaction
	writes := s.writes(st)
	t.wrote = t.wrote || writes
	if failure := s.checkPrepared(st); failure != nil {
		return s.abortTransaction(failure)
	}
	var answer proxy.Answer
	for range maxTries {
		var err error
		answer, err = s.exchange(t.connection, deadline.Sub(h.Clock.Now()), proxy.Command{Statement: st})
		var unsent *unsentError
		if errors.As(err, &unsent) {
			return s.handleUnsent(st, unsent)
		}
		if err != nil {
			return s.handleBrokenTransaction(st, err)
		}
		busy := answer.Failure != nil && answer.Failure.Code == proxy.Busy && answer.State == proxy.InTransaction
		if !busy || h.Clock.Now().Add(minRetryTime) >= deadline {
			break
		}
		// The statement has not run and the transaction is still open.
		h.Metrics.retried.Inc(1)
		time.Sleep(busyRetryDelay)
	}
	if st.Verb == proxy.Commit {
		return s.handleCommitAnswer(answer)
	}
	if answer.Failure == nil {
		answer.State = proxy.InTransaction
		return answer
	}
	return s.abortTransaction(answer.Failure)
}

// handleBrokenTransaction returns the answer after the transaction's connection
// broke. The instance rolls the transaction back, unless it may have received a
// commit.
func (s *session) handleBrokenTransaction(st proxy.Statement, err error) proxy.Answer {
	t := s.transaction
	c := t.connection
	t.connection = nil
	s.host.endPrimaryOperation(t)
	s.host.connectionBroken(c, err)
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

// handleUnsent ends the transaction's work after a statement was not sent. Closing the
// connection rolls the transaction back.
func (s *session) handleUnsent(st proxy.Statement, unsent *unsentError) proxy.Answer {
	t := s.transaction
	s.host.discardUnsent(t.connection, unsent)
	t.connection, t.failed = nil, true
	s.host.endPrimaryOperation(t)
	if st.Verb == proxy.Commit {
		s.transaction = nil
	}
	return s.fail(proxy.Aborted, unsent.Error())
}

// handleCommitAnswer ends the transaction after an answer to its commit and returns
// the answer for the client.
func (s *session) handleCommitAnswer(answer proxy.Answer) proxy.Answer {
	h, t := s.host, s.transaction
	c := t.connection
	t.connection = nil
	s.transaction = nil
	defer h.endPrimaryOperation(t)
	h.table.Pause(h.Clock.Now(), c)
	h.releaseAfter(c, answer)
	answer.State = proxy.OutsideTransaction
	if answer.Failure != nil {
		if answer.Failure.Code.NotRun() {
			answer.Failure = &proxy.Failure{Code: proxy.Aborted, Text: "commit refused: " + answer.Failure.Code.String()}
		}
		return answer
	}
	if t.wrote {
		return s.acknowledge(t.operation, c.Instance, t.leadershipVersion, answer)
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
	if c := t.connection; c != nil {
		t.connection = nil
		s.host.rollBack(c)
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
	if t.leadershipVersion != 0 {
		t.leadershipVersion = 0
		h.clusterState.endOperation(t.route.Group)
	}
}

// rollBack rolls back an instance's transaction and releases the connection.
func (h *Host) rollBack(c *dispatch.Connection) {
	answers, err := c.Conn.Exchange(rollbackTimeout, proxy.Command{Statement: proxy.Statement{Verb: proxy.Rollback}})
	if err != nil {
		h.connectionBroken(c, err)
		return
	}
	h.releaseAfter(c, answers[0])
}
