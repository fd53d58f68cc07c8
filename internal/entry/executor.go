package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/evacuation"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/pace"
)

const (
	// acquireMargin is reserved for the exchange with the instance when a command
	// waits for a connection.
	acquireMargin = 60 * time.Millisecond
	// minExchangeTimeout is the least time that an instance gets to answer.
	minExchangeTimeout = 20 * time.Millisecond
	// dialTimeout limits the opening of a connection, including the wait for a slot
	// of the instance.
	dialTimeout = 600 * time.Millisecond
	// maxPreparedPerConnection is the number of prepared statements on a connection from
	// which they are dropped, since the sessions that prepared them may have ended.
	maxPreparedPerConnection = 64
)

// ownExecutor runs commands over this host's own connections to instances, for its
// sessions and for other hosts.
type ownExecutor struct{ host *Host }

var _ proxy.Executor = ownExecutor{}

// Execute implements proxy.Executor.
func (x ownExecutor) Execute(ctx context.Context, e proxy.Execution) (proxy.Executed, proxy.HeldConnection) {
	h := x.host
	start := h.Clock.Now()
	r := &execution{host: h, Execution: e, expires: h.limitDeadline(start.Add(e.Expires)), due: start.Add(e.Due)}
	var result proxy.Executed
	var held proxy.HeldConnection
	if after := e.Command.After; after != nil && h.table.Lacks(start, e.Instance, *after) {
		h.Metrics.lagKnown.Inc(1)
		result.Answer = &proxy.Answer{Failure: &proxy.Failure{Code: proxy.Lagging, Text: "replica lacks the position"}}
	} else {
		result, held = r.run(ctx)
	}
	result.Waited = r.waited
	result.Load = h.table.QueueLoad(h.Clock.Now(), e.Instance)
	result.Leaving = h.stopping.Load()
	return result, held
}

// servedExecutor runs commands for other hosts.
type servedExecutor struct{ ownExecutor }

// Execute implements proxy.Executor.
func (x servedExecutor) Execute(ctx context.Context, e proxy.Execution) (proxy.Executed, proxy.HeldConnection) {
	h := x.host
	if h.refusesStatements() {
		return h.unserved(), nil
	}
	arrived := h.Clock.Now()
	if h.warmup != nil && e.SuspectedFor > 0 {
		h.warmup.Suspect(arrived.Add(-e.SuspectedFor), e.Instance)
	}
	result, held := x.ownExecutor.Execute(ctx, e)
	h.recordServed(e, result, arrived)
	if held == nil {
		return result, nil
	}
	return result, &servedHeld{HeldConnection: held, host: h}
}

// unserved returns the result of a command that came too late to be run here.
func (h *Host) unserved() proxy.Executed {
	return proxy.Executed{Leaving: true, Refusal: &proxy.NotExecuted{Cause: proxy.Unserved, Failure: proxy.Failure{
		Code: proxy.Busy, Text: stopRefusal, RetryAfter: retryDelay,
	}}}
}

// servedHeld is a connection that is held for another host.
type servedHeld struct {
	proxy.HeldConnection
	host *Host
}

// Execute implements proxy.HeldConnection.
func (s *servedHeld) Execute(ctx context.Context, e proxy.Execution) (proxy.Executed, bool) {
	if s.host.refusesStatements() {
		s.Release()
		return s.host.unserved(), true
	}
	arrived := s.host.Clock.Now()
	result, released := s.HeldConnection.Execute(ctx, e)
	s.host.recordServed(e, result, arrived)
	return result, released
}

// execution is the state of a command over its tries.
type execution struct {
	proxy.Execution
	host *Host
	due  proxy.Instant
	// expires is the last instant at which an answer is of use.
	expires proxy.Instant
	waited  time.Duration
	// mayHaveRun reports that an earlier try may have run the command, which has no
	// effects then.
	mayHaveRun bool
}

// run runs the command. It tries again where it has not run, or has no effects, because
// of the state of a single connection.
func (r *execution) run(ctx context.Context) (proxy.Executed, proxy.HeldConnection) {
	for tries := 1; ; tries++ {
		c, refusal := r.acquire(ctx)
		if refusal != nil {
			return r.refused(refusal), nil
		}
		result, held, err := r.runOn(c)
		if err == nil {
			return result, held
		}
		var unsent *unsentError
		if errors.As(err, &unsent) && unsent.cause == proxy.Unserved {
			return r.failed(err), nil
		}
		if tries >= maxTries || ctx.Err() != nil || r.host.Clock.Now().Add(minRetryTime) >= r.expires {
			return r.failed(err), nil
		}
	}
}

// refused returns the result of a command that was refused. After a try that may have run
// it, the refusal cannot say that it has not run.
func (r *execution) refused(refusal *proxy.NotExecuted) proxy.Executed {
	if r.mayHaveRun {
		return proxy.Executed{Unknown: refusal.Failure.Text}
	}
	return proxy.Executed{Refusal: refusal}
}

// failed returns the result of a command whose tries have failed with err at last.
func (r *execution) failed(err error) proxy.Executed {
	var unsent *unsentError
	if !errors.As(err, &unsent) {
		return proxy.Executed{Unknown: err.Error()}
	}
	return r.refused(&proxy.NotExecuted{Cause: unsent.cause, Failure: proxy.Failure{
		Code: proxy.Busy, Text: unsent.Error(), RetryAfter: busyRetryDelay,
	}})
}

// acquire returns an open connection of the account and waits for one as long as the
// command allows.
func (r *execution) acquire(ctx context.Context) (*dispatch.Connection, *proxy.NotExecuted) {
	h := r.host
	request := dispatch.Request{
		Instance: r.Instance, Account: r.Account, Priority: r.Priority, Due: r.due,
		Expires: r.expires.Add(-acquireMargin), Patience: r.Patience, Hold: r.Hold,
	}
	for {
		waitStart := h.Clock.Now()
		grant, refusal := h.acquireFromTable(ctx, request)
		r.waited += h.Clock.Now().Sub(waitStart)
		if refusal != nil {
			return nil, refusal
		}
		closeAll(grant.Evicted)
		c := grant.Connection
		if c.Conn != nil {
			if c.Conn.Alive() {
				return c, nil
			}
			h.discard(c, dispatch.Broken)
			continue
		}
		refusal = h.openConnection(c, !r.Writes)
		if refusal == nil {
			return c, nil
		}
		if refusal.Cause != proxy.Exhausted || h.Clock.Now() >= request.Expires {
			return nil, refusal
		}
	}
}

// acquireFromTable acquires a connection from the dispatch table and waits for one until
// the request expires or ctx ends. The connection may still have to be opened.
func (h *Host) acquireFromTable(ctx context.Context, request dispatch.Request) (dispatch.Grant, *proxy.NotExecuted) {
	now := h.Clock.Now()
	grant, waiter, refusal := h.table.Acquire(now, request)
	if refusal != nil || waiter == nil {
		return grant, refusal
	}
	reuse := time.AfterFunc(waiter.ReuseWait(), func() { h.table.ServeInstance(h.Clock.Now(), request.Instance) })
	defer reuse.Stop()
	timer := time.NewTimer(request.Expires.Sub(now))
	defer timer.Stop()
	select {
	case end := <-waiter.Ended():
		return end.Grant, end.Refusal
	case <-timer.C:
	case <-ctx.Done():
	}
	if grant, ok := h.table.Cancel(waiter); ok {
		return grant, nil
	}
	return dispatch.Grant{}, &proxy.NotExecuted{Cause: proxy.Crowded, Failure: proxy.Failure{
		Code: proxy.Busy, Text: "no connection was free in time", RetryAfter: max(request.Due.Sub(now), retryDelay),
	}}
}

// openConnection opens an acquired connection. If that fails, it discards the connection
// and returns the refusal. With deferOpen, the connection requests its session together
// with the first exchange. That saves a round trip, but if the connection breaks, it is
// not known whether the commands ran.
func (h *Host) openConnection(c *dispatch.Connection, deferOpen bool) *proxy.NotExecuted {
	sent := h.Clock.Now()
	timeout := max(h.limitDeadline(sent.Add(dialTimeout)).Sub(sent), minExchangeTimeout)
	var position *proxy.Bookmark
	var err error
	if deferOpen {
		c.Conn, err = h.Dialer.DialDeferred(timeout, c.Target)
	} else {
		c.Conn, position, err = h.Dialer.Dial(timeout, c.Target)
	}
	if err != nil {
		return h.discardUnopened(c, err, false)
	}
	h.Metrics.connectionOpened.Inc(1)
	c.SessionPending = deferOpen
	if !deferOpen {
		c.OpenedAt = h.Clock.Now()
		h.table.Opened(c.OpenedAt, c)
		h.recordReachable(c.Instance)
		h.clusterState.recordPosition(sent, c.Group, c.Instance, position)
	}
	return nil
}

// discardUnopened discards a connection that could not be opened and returns the
// refusal. If deferOpen is set, commands were sent together with the request for a
// session.
func (h *Host) discardUnopened(c *dispatch.Connection, err error, deferOpen bool) *proxy.NotExecuted {
	var failure *proxy.Failure
	refused := errors.As(err, &failure)
	if refused && failure.Code == proxy.Full || deferOpen && !refused {
		// A full instance may refuse a session by a reset if commands have already
		// arrived. The reset is therefore no sign of an unreachable instance.
		h.Metrics.connectionFull.Inc(1)
		h.table.Answered(h.Clock.Now(), c, 0, pace.Broken)
		h.discard(c, dispatch.Exhausted)
		return &proxy.NotExecuted{Cause: proxy.Exhausted, Failure: proxy.Failure{
			Code: proxy.Full, Text: "instance accepts no more connections",
		}}
	}
	h.recordUnreachable(c, err)
	h.discard(c, dispatch.Unreachable)
	return &proxy.NotExecuted{Cause: proxy.Unreachable, Failure: proxy.Failure{
		Code: proxy.Busy, Text: "instance was not reached", RetryAfter: dialTimeout,
	}}
}

// discard closes a connection and removes it from the dispatch table.
func (h *Host) discard(c *dispatch.Connection, reason dispatch.Reason) {
	if c.Conn != nil {
		c.Conn.Close()
	}
	closeAll(h.table.Discard(h.Clock.Now(), c, reason))
}

// recordUnreachable suspects the instance of a failed connection. It logs the error
// within the limit of log lines.
func (h *Host) recordUnreachable(c *dispatch.Connection, err error) {
	now := h.Clock.Now()
	h.clusterState.addSuspect(now, c.Instance)
	if !h.logLimit.allow(now) {
		h.Metrics.unlogged.Inc(1)
		return
	}
	h.Log.Warn().Err(err).Str("instance", string(c.Instance)).Str("group", string(c.Group)).
		Msg("instance did not answer")
}

// recordReachable records that an instance has answered.
func (h *Host) recordReachable(id proxy.InstanceID) {
	if h.clusterState.removeSuspect(id) {
		h.Log.Info().Str("instance", string(id)).Msg("instance answers again")
	}
}

// connectionBroken discards a connection whose exchange failed. A probe will show
// whether the instance answers on a new one.
func (h *Host) connectionBroken(c *dispatch.Connection, err error) {
	h.Metrics.connectionBroken.Inc(1)
	h.recordUnreachable(c, err)
	reason := dispatch.Broken
	if errors.Is(err, os.ErrDeadlineExceeded) {
		reason = dispatch.Silent
	}
	h.discard(c, reason)
}

// releaseConnection releases a connection that is outside any transaction. A
// connection that was never used is closed, so that its session is not opened by a
// later write.
func (h *Host) releaseConnection(c *dispatch.Connection) {
	if c.SessionPending {
		h.discard(c, dispatch.Unneeded)
		return
	}
	closeAll(h.table.Release(h.Clock.Now(), c))
}

// releaseAfter releases a connection after an answer, or closes it if the instance
// has left it in a transaction.
func (h *Host) releaseAfter(c *dispatch.Connection, answer proxy.Answer) {
	if answer.State != proxy.OutsideTransaction {
		h.discard(c, dispatch.Unneeded)
		return
	}
	h.releaseConnection(c)
}

// rollBack rolls back an instance's transaction and releases the connection.
func (h *Host) rollBack(c *dispatch.Connection) {
	now := h.Clock.Now()
	if h.evacuations.State(now, c.Zone) == evacuation.Closed || h.table.Send(now, c, 1) > 0 {
		// Closing the connection rolls back.
		h.discard(c, dispatch.Unneeded)
		return
	}
	answers, err := c.Conn.Exchange(rollbackTimeout, proxy.Command{Statement: proxy.Statement{Verb: proxy.Rollback}})
	if err != nil {
		h.connectionBroken(c, err)
		return
	}
	h.releaseAfter(c, answers[0])
}

// unsentError is the error of a command that has not run, because a connection failed or
// the session values were not restored before it was sent.
type unsentError struct {
	err   error
	cause proxy.Cause
}

func (e *unsentError) Error() string { return "command was not sent: " + e.err.Error() }

func (e *unsentError) Unwrap() error { return e.err }

// runOn runs the command on a connection and releases the connection, or returns it in a
// proxy.HeldConnection. After an error the command may be tried again: it has not run, or
// it has no effects.
func (r *execution) runOn(c *dispatch.Connection) (proxy.Executed, proxy.HeldConnection, error) {
	h := r.host
	ended := false
	defer func() {
		if !ended && h.table.Abandon(h.Clock.Now(), c) {
			// A panic has passed by.
			c.Conn.Close()
		}
	}()
	sent := h.Clock.Now()
	answer, err := h.exchange(c, r.expires.Sub(sent), &r.Execution)
	ended = true
	var unsent *unsentError
	switch {
	case errors.As(err, &unsent):
		return proxy.Executed{}, nil, err
	case errors.Is(err, proxy.ErrNotOpened):
		r.mayHaveRun = true
		return proxy.Executed{}, nil, err
	case err != nil:
		return proxy.Executed{Unknown: err.Error()}, nil, nil
	}
	if lacked := answer.Failure != nil && answer.Failure.Code == proxy.Lagging; lacked || answer.Failure == nil {
		h.table.RecordLag(h.Clock.Now(), sent, c, r.Command, lacked)
	}
	result := r.kept(&answer)
	if r.Hold && answer.Failure == nil {
		h.table.Pause(h.Clock.Now(), c)
		return result, &ownHeld{host: h, c: c}, nil
	}
	if r.Hold && answer.State != proxy.OutsideTransaction {
		h.rollBack(c)
		return result, nil, nil
	}
	h.releaseAfter(c, answer)
	return result, nil, nil
}

// kept returns the result with an answer. A read whose answer was dropped is refused: it
// has no effects. A write has run, and its rows are part of its acknowledgement.
func (r *execution) kept(answer *proxy.Answer) proxy.Executed {
	switch {
	case !answer.Dropped:
		return proxy.Executed{Answer: answer}
	case r.Writes:
		return proxy.Executed{Unknown: answer.Failure.Text}
	default:
		return proxy.Executed{Refusal: answerDropped()}
	}
}

// answerDropped returns the refusal of a read for whose answer there is no memory.
func answerDropped() *proxy.NotExecuted {
	return &proxy.NotExecuted{Cause: proxy.Crowded, Failure: proxy.Failure{
		Code: proxy.Busy, Text: "host has no memory for the answer", RetryAfter: memoryRetry,
	}}
}

// exchange restores the session state on a connection and sends a command. The values
// are confirmed before the command is sent, since an instance that fails to set one runs
// the command all the same. Only a BEGIN, which is followed by other statements, leaves
// together with them. After an error the connection is discarded.
func (h *Host) exchange(c *dispatch.Connection, timeout time.Duration, e *proxy.Execution) (proxy.Answer, error) {
	commands := valueCommands(c, e.Values)
	begins := e.Command.Statement.Verb == proxy.Begin || e.Command.Statement.Verb == proxy.BeginRead
	if len(commands) > 0 && !begins {
		start := h.Clock.Now()
		if err := h.restoreValues(c, timeout, commands, e.Values); err != nil {
			return proxy.Answer{}, err
		}
		timeout -= h.Clock.Now().Sub(start)
		commands = nil
	}
	if e.Preparation != nil && !c.Prepared[e.Preparation.Alias] {
		commands = append(commands, proxy.Command{Statement: *e.Preparation})
	}
	answers, err := h.send(c, timeout, append(commands, e.Command))
	if err != nil {
		return proxy.Answer{}, err
	}
	answer := answers[len(answers)-1]
	if failure := firstFailure(answers[:len(answers)-1]); failure != nil && begins {
		h.discard(c, dispatch.Unneeded)
		return proxy.Answer{}, &unsentError{failure, proxy.Unrestored}
	}
	if begins {
		c.Values = recordedValues(e.Values)
	}
	if e.Preparation != nil {
		recordPrepared(c, e.Preparation.Alias, answer)
	}
	return answer, nil
}

// recordPrepared records that a prepared statement is on a connection, unless the
// instance has answered that it is not: its preparation may have failed.
func recordPrepared(c *dispatch.Connection, alias string, answer proxy.Answer) {
	if answer.Failure != nil && answer.Failure.Code == proxy.UnknownStatement {
		c.Prepared = nil
		return
	}
	if c.Prepared == nil {
		c.Prepared = make(map[string]bool)
	}
	c.Prepared[alias] = true
}

// valueCommands returns the commands that give a connection the session values.
func valueCommands(c *dispatch.Connection, values map[string]string) []proxy.Command {
	var commands []proxy.Command
	present := c.Values
	if hasOtherValues(c, values) || len(c.Prepared) >= maxPreparedPerConnection {
		commands = append(commands, proxy.Command{Statement: proxy.Statement{Verb: proxy.Reset}})
		c.Prepared, present = nil, nil
	}
	for name, text := range values {
		if present[recorded(name)] != recorded(text) {
			commands = append(commands, proxy.Command{Statement: proxy.Statement{Verb: proxy.SetValue, Text: text}})
		}
	}
	return commands
}

// hasOtherValues reports whether a connection has values that are not among those wanted.
func hasOtherValues(c *dispatch.Connection, wanted map[string]string) bool {
	found := 0
	for name := range wanted {
		if _, ok := c.Values[recorded(name)]; ok {
			found++
		}
	}
	return found < len(c.Values)
}

// restoreValues gives a connection the session values. After an error the connection is
// discarded and nothing else was sent.
func (h *Host) restoreValues(
	c *dispatch.Connection, timeout time.Duration, commands []proxy.Command, values map[string]string,
) error {
	answers, err := h.send(c, timeout, commands)
	var unsent *unsentError
	if errors.As(err, &unsent) {
		return err
	}
	if err != nil {
		return &unsentError{err, proxy.Unreachable}
	}
	if failure := firstFailure(answers); failure != nil {
		h.discard(c, dispatch.Unneeded)
		return &unsentError{failure, proxy.Unrestored}
	}
	c.Values = recordedValues(values)
	return nil
}

// maxRecordedText is the length of a text in bytes up to which it is recorded itself.
const maxRecordedText = 64

// recordedValues returns what is kept of the values of a connection. It stays in memory
// when the session has ended.
func recordedValues(values map[string]string) map[string]string {
	if len(values) == 0 {
		return nil
	}
	kept := make(map[string]string, len(values))
	for name, text := range values {
		kept[recorded(name)] = recorded(text)
	}
	return kept
}

// recorded returns a short text, or the digest of a long one, which is longer than any
// short one.
func recorded(text string) string {
	if len(text) <= maxRecordedText {
		return text
	}
	digest := sha256.Sum256([]byte(text))
	return "sha256 of a long text:" + hex.EncodeToString(digest[:])
}

func firstFailure(answers []proxy.Answer) *proxy.Failure {
	for _, answer := range answers {
		if answer.Failure != nil {
			return answer.Failure
		}
	}
	return nil
}

// send sends commands and returns their answers. It records the position in the last
// one. After an error the connection is discarded.
func (h *Host) send(c *dispatch.Connection, timeout time.Duration, commands []proxy.Command) ([]proxy.Answer, error) {
	sent := h.Clock.Now()
	if h.evacuations.State(sent, c.Zone) == evacuation.Closed {
		h.Metrics.evacuated.Inc(1)
		h.discard(c, dispatch.Unneeded)
		return nil, &unsentError{errEvacuated, proxy.Unserved}
	}
	if !h.awaitWarmup(c, timeout, len(commands)) {
		h.discard(c, dispatch.Unneeded)
		return nil, &unsentError{errCold, proxy.Crowded}
	}
	timeout -= h.Clock.Now().Sub(sent)
	sent = h.Clock.Now()
	answers, err := c.Conn.Exchange(max(timeout, minExchangeTimeout), commands...)
	if errors.Is(err, proxy.ErrNotOpened) {
		refusal := h.discardUnopened(c, err, true)
		var failure *proxy.Failure
		if errors.As(err, &failure) {
			return nil, &unsentError{err, refusal.Cause}
		}
		return nil, err
	}
	outcome := outcomeOf(answers, err)
	if outcome == pace.Shed {
		h.Metrics.instancesShed.Inc(1)
	}
	h.table.Answered(h.Clock.Now(), c, sent, outcome)
	if err != nil {
		h.connectionBroken(c, err)
		return nil, fmt.Errorf("exchange with instance: %w", err)
	}
	if c.SessionPending {
		// Only the answer shows that the session is open.
		c.SessionPending, c.OpenedAt = false, h.Clock.Now()
	}
	h.table.Arrived(c, sent)
	h.recordReachable(c.Instance)
	h.clusterState.recordPosition(sent, c.Group, c.Instance, answers[len(answers)-1].Position)
	return answers, nil
}

// outcomeOf returns what the end of an exchange tells about the instance.
func outcomeOf(answers []proxy.Answer, err error) pace.Outcome {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return pace.TimedOut
	case err != nil:
		return pace.Broken
	}
	last := answers[len(answers)-1]
	failure := last.Failure
	if failure == nil || last.Dropped {
		return pace.Succeeded
	}
	switch failure.Code {
	case proxy.Busy:
		return pace.Shed
	case proxy.Failed, proxy.TimedOut:
		return pace.Failed
	default:
		return pace.Ignored
	}
}

// ownHeld is a connection of this host that is held for a transaction.
type ownHeld struct {
	host *Host
	c    *dispatch.Connection
}

var _ proxy.HeldConnection = (*ownHeld)(nil)

// Execute implements proxy.HeldConnection.
func (o *ownHeld) Execute(_ context.Context, e proxy.Execution) (proxy.Executed, bool) {
	h := o.host
	expires := h.limitDeadline(h.Clock.Now().Add(e.Expires))
	h.table.Resume(h.Clock.Now(), o.c)
	answer, err := o.exchange(&e, expires)
	var unsent *unsentError
	switch {
	case errors.As(err, &unsent):
		return proxy.Executed{Refusal: &proxy.NotExecuted{Cause: unsent.cause, Failure: proxy.Failure{
			Code: proxy.Busy, Text: unsent.Error(), RetryAfter: busyRetryDelay,
		}}}, true
	case err != nil:
		return proxy.Executed{Unknown: err.Error()}, true
	}
	if answer.Dropped && !e.Writes && e.Command.Statement.Verb != proxy.Commit {
		h.rollBack(o.c)
		return proxy.Executed{Refusal: answerDropped()}, true
	}
	result := proxy.Executed{Answer: &answer, Leaving: h.stopping.Load()}
	h.table.Pause(h.Clock.Now(), o.c)
	if e.Command.Statement.Verb != proxy.Commit {
		return result, false
	}
	h.releaseAfter(o.c, answer)
	if answer.Dropped {
		return proxy.Executed{Unknown: answer.Failure.Text}, true
	}
	return result, true
}

// exchange sends a command. It sends it again while the instance answers that it is busy
// and the transaction is still open: the command has not run then.
func (o *ownHeld) exchange(e *proxy.Execution, expires proxy.Instant) (proxy.Answer, error) {
	h := o.host
	for tries := 1; ; tries++ {
		answer, err := h.exchange(o.c, expires.Sub(h.Clock.Now()), e)
		if err != nil {
			return answer, err
		}
		busy := answer.Failure != nil && answer.Failure.Code == proxy.Busy && answer.State == proxy.InTransaction
		if !busy || tries >= maxTries || h.Clock.Now().Add(minRetryTime) >= expires {
			return answer, nil
		}
		h.Metrics.retried.Inc(1)
		time.Sleep(busyRetryDelay)
	}
}

// Release implements proxy.HeldConnection.
func (o *ownHeld) Release() { o.host.rollBack(o.c) }
