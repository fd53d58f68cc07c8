package entry

import (
	"errors"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
)

// rollbackTimeout limits the rollback that precedes the return of a connection.
const rollbackTimeout = 300 * time.Millisecond

// beginTransaction admits a transaction and answers at once. The transaction
// begins on an instance meanwhile: its client pauses before its first statement,
// and opening a connection takes several round trips.
func (s *session) beginTransaction(st proxy.Statement, arrived proxy.Instant) proxy.Answer {
	op, failure := s.admit(st, arrived)
	if failure != nil {
		return s.failure(failure)
	}
	s.transaction = &transaction{operation: op, readOnly: st.Verb == proxy.BeginRead, opened: make(chan struct{})}
	return s.done()
}

// startOpening begins a new transaction on an instance. It is called once the
// client has its answer; until the transaction is opened, the session's state
// belongs to the opening.
func (s *session) startOpening() {
	t := s.transaction
	if t == nil || t.started {
		return
	}
	t.started = true
	go func() {
		defer close(t.opened)
		t.refusal = s.openTransaction(t.arrived.Add(t.route.Timeout))
		if t.connection != nil {
			s.host.table.Pause(s.host.Clock.Now(), t.connection)
		}
	}()
}

// awaitOpening waits until the transaction has begun on an instance, or could
// not.
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
		return s.done()
	case t.failed && st.Verb == proxy.Commit:
		s.endTransaction()
		return s.fail(proxy.Aborted, "transaction had failed and is rolled back")
	case t.failed:
		return s.fail(proxy.Malformed, "transaction has failed")
	case st.Verb == proxy.Begin || st.Verb == proxy.BeginRead:
		return s.fail(proxy.Malformed, "a transaction is open")
	}
	if failure := s.stillPermitted(arrived); failure != nil {
		return s.abort(failure)
	}
	if t.refusal != nil {
		return s.abort(t.refusal)
	}
	deadline := arrived.Add(t.route.Timeout)
	s.host.table.Resume(s.host.Clock.Now(), t.connection)
	answer := s.forward(st, deadline)
	if s.transaction != nil && t.connection != nil {
		s.host.table.Pause(s.host.Clock.Now(), t.connection)
	}
	return answer
}

// stillPermitted checks that the transaction's key is still valid and that its
// primary has not been replaced.
func (s *session) stillPermitted(arrived proxy.Instant) *proxy.Failure {
	c, failure := s.host.permit(arrived)
	if failure != nil {
		return failure
	}
	t := s.transaction
	if account, ok := c.Keys[s.key]; (!ok || account != t.account) && !t.route.Open {
		return &proxy.Failure{Code: proxy.UnknownKey, Text: "key is not known"}
	}
	if t.version != 0 {
		if holds, _ := s.host.beliefs.holds(arrived, t.route.Group, t.version); !holds {
			return &proxy.Failure{Code: proxy.Aborted, Text: "primary is being replaced"}
		}
	}
	return nil
}

// openTransaction begins the transaction on an instance.
func (s *session) openTransaction(deadline proxy.Instant) *proxy.Failure {
	var avoid []proxy.InstanceID
	primary := !s.transaction.readOnly || s.transaction.route.Consistency == directory.Strict
	failure := &proxy.Failure{Code: proxy.Busy, Text: "no instance has begun the transaction"}
	for tries := 0; tries < maxTries; {
		if s.host.Clock.Now().Add(retryMargin) >= deadline {
			break
		}
		var again bool
		if avoid, failure, again = s.tryOpen(primary, avoid, deadline); !again {
			return failure
		}
		if failure.Code != proxy.Full {
			tries++
		}
		if len(avoid) >= len(s.host.beliefs.groupInstances(s.transaction.route.Group)) {
			primary, avoid = true, nil
		}
	}
	return failure
}

// tryOpen begins the transaction on one instance. It reports whether another
// one may be tried.
func (s *session) tryOpen(primary bool, avoid []proxy.InstanceID, deadline proxy.Instant) ([]proxy.InstanceID, *proxy.Failure, bool) {
	h, t := s.host, s.transaction
	after, bounded := s.minimum(t.operation)
	primary = primary || !bounded
	c, failure := s.borrow(t.operation, primary, true, avoid, deadline.Add(-offerMargin))
	if failure != nil {
		return avoid, failure, false
	}
	now := h.Clock.Now()
	order := proxy.Command{Statement: proxy.Statement{Verb: proxy.Begin}}
	if t.readOnly {
		order.Statement.Verb = proxy.BeginRead
	}
	if primary {
		version, ok := h.beliefs.enter(now, t.route.Group, c.Instance)
		if !ok {
			h.giveBack(c)
			return avoid, &proxy.Failure{Code: proxy.Busy, Text: "primary is not confirmed"}, false
		}
		t.version = version
	} else {
		order.After = &after
	}
	answer, err := s.exchange(c, deadline.Sub(now), order)
	if err == nil && answer.Failure == nil {
		t.connection = c
		return avoid, nil, false
	}
	s.host.leavePrimary(t)
	var unopened *unopenedError
	if errors.As(err, &unopened) {
		if unopened.failure.Code != proxy.Full {
			avoid = append(avoid, c.Instance)
		}
		return avoid, unopened.failure, true
	}
	if err != nil {
		h.broken(c, err)
		return append(avoid, c.Instance), &proxy.Failure{Code: proxy.Aborted, Text: "instance did not answer"}, true
	}
	h.discardFailed(c, answer)
	failure = &proxy.Failure{Code: proxy.Busy, Text: "instance refused: " + answer.Failure.Code.String()}
	switch answer.Failure.Code {
	case proxy.Lagging:
		h.table.MarkLagging(h.Clock.Now(), c)
		return append(avoid, c.Instance), failure, true
	case proxy.Busy, proxy.ReadOnly:
		time.Sleep(busyPause)
		return avoid, failure, true
	default:
		return avoid, failure, answer.Failure.Code.NotRun()
	}
}

// discardFailed gives back a connection on which a transaction did not begin.
func (h *Host) discardFailed(c *dispatch.Connection, answer proxy.Answer) {
	if answer.State == proxy.OutsideTransaction {
		h.giveBack(c)
		return
	}
	h.rollBack(c)
}

// forward sends a statement of the transaction, or its commit.
func (s *session) forward(st proxy.Statement, deadline proxy.Instant) proxy.Answer {
	h, t := s.host, s.transaction
	writes := s.writes(st)
	t.wrote = t.wrote || writes
	if failure := s.checkPrepared(st); failure != nil {
		return s.abort(failure)
	}
	var answer proxy.Answer
	for range maxTries {
		var err error
		answer, err = s.exchange(t.connection, deadline.Sub(h.Clock.Now()), proxy.Command{Statement: st})
		if err != nil {
			return s.interruptedTransaction(st, err)
		}
		busy := answer.Failure != nil && answer.Failure.Code == proxy.Busy && answer.State == proxy.InTransaction
		if !busy || h.Clock.Now().Add(retryMargin) >= deadline {
			break
		}
		// The statement has not run and the transaction is still open.
		h.Metrics.retried.Inc(1)
		time.Sleep(busyPause)
	}
	if st.Verb == proxy.Commit {
		return s.committedTransaction(answer)
	}
	if answer.Failure == nil {
		answer.State = proxy.InTransaction
		return answer
	}
	return s.abort(answer.Failure)
}

// interruptedTransaction decides on a transaction whose connection broke. The
// instance rolls it back, unless a commit may have reached it.
func (s *session) interruptedTransaction(st proxy.Statement, err error) proxy.Answer {
	t := s.transaction
	c := t.connection
	t.connection = nil
	s.host.leavePrimary(t)
	s.host.broken(c, err)
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

// committedTransaction passes on the answer to a commit.
func (s *session) committedTransaction(answer proxy.Answer) proxy.Answer {
	h, t := s.host, s.transaction
	c := t.connection
	t.connection = nil
	s.transaction = nil
	defer h.leavePrimary(t)
	h.table.Pause(h.Clock.Now(), c)
	h.giveBackFrom(c, answer)
	answer.State = proxy.OutsideTransaction
	if answer.Failure != nil {
		if answer.Failure.Code.NotRun() {
			answer.Failure = &proxy.Failure{Code: proxy.Aborted, Text: "commit refused: " + answer.Failure.Code.String()}
		}
		return answer
	}
	if t.wrote {
		return s.acknowledge(t.operation, c.Instance, t.version, answer)
	}
	return answer
}

// abort fails the transaction and answers with the failure.
func (s *session) abort(f *proxy.Failure) proxy.Answer {
	s.failTransaction()
	return s.failure(f)
}

// failTransaction rolls the transaction back. The session stays in the failed
// state until the client ends the transaction.
func (s *session) failTransaction() {
	s.awaitOpening()
	t := s.transaction
	t.failed = true
	if c := t.connection; c != nil {
		t.connection = nil
		s.host.rollBack(c)
	}
	s.host.leavePrimary(t)
}

// endTransaction rolls back and leaves the transaction.
func (s *session) endTransaction() {
	s.failTransaction()
	s.transaction = nil
}

// leavePrimary ends the transaction's count among the operations that may write.
func (h *Host) leavePrimary(t *transaction) {
	if t.version != 0 {
		t.version = 0
		h.beliefs.leave(t.route.Group)
	}
}

// rollBack ends an instance's transaction and returns the connection.
func (h *Host) rollBack(c *dispatch.Connection) {
	answers, err := c.Conn.Exchange(rollbackTimeout, proxy.Command{Statement: proxy.Statement{Verb: proxy.Rollback}})
	if err != nil {
		h.broken(c, err)
		return
	}
	h.giveBackFrom(c, answers[0])
}
