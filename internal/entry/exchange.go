package entry

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
)

const (
	// acquireMargin is reserved for the exchange with the instance when a statement
	// waits for a connection.
	acquireMargin = 60 * time.Millisecond
	// minExchangeTimeout is the least time that an instance gets to answer.
	minExchangeTimeout = 20 * time.Millisecond
	// dialTimeout limits the opening of a connection, including the wait for a slot
	// of the instance.
	dialTimeout = 600 * time.Millisecond
)

// acquire returns an open connection for an operation and waits for one until
// expires. If an instance cannot be reached, it tries other instances. With
// deferOpen, a new connection requests its session together with the first exchange.
// That saves a round trip, but if the connection breaks, it is not known whether the
// commands ran.
func (s *session) acquire(
	op operation, primary, deferOpen bool, avoid []proxy.InstanceID, expires proxy.Instant,
) (*dispatch.Connection, *proxy.Failure) {
	h := s.host
	request := dispatch.Request{
		Group: op.route.Group, Account: op.account, Primary: primary, Avoid: avoid,
		Priority: op.route.Priority, Due: op.arrived.Add(op.route.Goal), Expires: expires,
	}
	for {
		waitStart := h.Clock.Now()
		grant, failure := h.acquireFromTable(request)
		s.trace.waited += h.Clock.Now().Sub(waitStart)
		if failure != nil {
			return nil, failure
		}
		closeAll(grant.Evicted)
		c := grant.Connection
		s.acquired = c
		if c.Conn != nil {
			return c, nil
		}
		failure = h.openConnection(c, deferOpen)
		if failure == nil {
			return c, nil
		}
		if h.Clock.Now() >= expires {
			return nil, failure
		}
		if !primary && failure.Code != proxy.Full {
			request.Avoid = append(request.Avoid, c.Instance)
		}
	}
}

// acquireFromTable acquires a connection from the dispatch table and waits for one
// until the request expires. The connection may still have to be opened.
func (h *Host) acquireFromTable(request dispatch.Request) (dispatch.Grant, *proxy.Failure) {
	now := h.Clock.Now()
	grant, waiter, failure := h.table.Acquire(now, request)
	if failure != nil || waiter == nil {
		return grant, failure
	}
	timer := time.NewTimer(request.Expires.Sub(now))
	defer timer.Stop()
	select {
	case grant = <-waiter.Granted():
		return grant, nil
	case <-timer.C:
	}
	if grant, ok := h.table.Cancel(request.Group, waiter); ok {
		return grant, nil
	}
	return dispatch.Grant{}, &proxy.Failure{
		Code: proxy.Busy, Text: "no connection was free in time", RetryAfter: max(request.Due.Sub(now), retryDelay),
	}
}

// openConnection opens an acquired connection. If that fails, it discards the
// connection and returns the failure.
func (h *Host) openConnection(c *dispatch.Connection, deferOpen bool) *proxy.Failure {
	sent := h.Clock.Now()
	var position *proxy.Bookmark
	var err error
	if deferOpen {
		c.Conn, err = h.Dialer.DialDeferred(dialTimeout, c.Target)
	} else {
		c.Conn, position, err = h.Dialer.Dial(dialTimeout, c.Target)
	}
	if err != nil {
		return h.discardUnopened(c, err, false)
	}
	h.Metrics.connectionOpened.Inc(1)
	c.SessionPending = deferOpen
	if !deferOpen {
		h.recordReachable(c.Instance)
		h.clusterState.recordPosition(sent, c.Group, c.Instance, position)
	}
	return nil
}

// discardUnopened discards a connection that could not be opened and returns the
// failure. If deferOpen is set, commands were sent together with the
// request for a session.
func (h *Host) discardUnopened(c *dispatch.Connection, err error, deferOpen bool) *proxy.Failure {
	if c.Conn != nil {
		c.Conn.Close()
	}
	var failure *proxy.Failure
	refused := errors.As(err, &failure)
	switch {
	case refused && failure.Code == proxy.Full:
	case deferOpen && !refused:
		// A full instance may refuse a session by a reset if commands have already
		// arrived. The reset is therefore no sign of an unreachable instance.
		failure = &proxy.Failure{Code: proxy.Full, Text: "instance has reset the connection"}
	default:
		h.recordUnreachable(c, err)
		h.table.Discard(h.Clock.Now(), c, dispatch.Unreachable)
		return &proxy.Failure{Code: proxy.Busy, Text: "instance was not reached", RetryAfter: dialTimeout}
	}
	h.Metrics.connectionFull.Inc(1)
	h.table.Discard(h.Clock.Now(), c, dispatch.Exhausted)
	return failure
}

// unopenedError is the error of an exchange on a connection that could not be opened.
// The connection is already discarded.
type unopenedError struct {
	failure *proxy.Failure
	// mayHaveRun reports that the commands may have run.
	mayHaveRun bool
}

func (e *unopenedError) Error() string { return "connection was not opened: " + e.failure.Error() }

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

// connectionBroken discards a connection whose exchange failed and suspects its
// instance.
func (h *Host) connectionBroken(c *dispatch.Connection, err error) {
	h.Metrics.connectionBroken.Inc(1)
	h.recordUnreachable(c, err)
	c.Conn.Close()
	h.table.Discard(h.Clock.Now(), c, dispatch.Unreachable)
}

// maxPreparedPerConnection is the number of prepared statements on a connection from
// which they are dropped, since the sessions that prepared them may have ended.
const maxPreparedPerConnection = 64

// valueCommands returns the commands that bring the session values on a connection to
// those of this session, and the values that the connection then has.
func (s *session) valueCommands(c *dispatch.Connection) ([]proxy.Command, map[string]string) {
	var commands []proxy.Command
	values := c.Values
	if s.hasOtherValues(c) || len(c.Prepared) >= maxPreparedPerConnection {
		commands = append(commands, proxy.Command{Statement: proxy.Statement{Verb: proxy.Reset}})
		c.Prepared, values = nil, nil
	}
	for name, text := range s.values {
		if values[name] != text {
			commands = append(commands, proxy.Command{Statement: proxy.Statement{Verb: proxy.SetValue, Text: text}})
		}
	}
	return commands, maps.Clone(s.values)
}

// hasOtherValues reports whether a connection has values that this session has not set.
func (s *session) hasOtherValues(c *dispatch.Connection) bool {
	for name := range c.Values {
		if _, ok := s.values[name]; !ok {
			return true
		}
	}
	return false
}

// preparation returns the command that prepares the statement that st executes, unless
// the connection has it, as a slice of at most one.
func (s *session) preparation(c *dispatch.Connection, st proxy.Statement) []proxy.Command {
	definition, ok := s.prepared[st.Name]
	if st.Verb != proxy.Execute || !ok || c.Prepared[definition.Alias] {
		return nil
	}
	if c.Prepared == nil {
		c.Prepared = make(map[string]bool)
	}
	c.Prepared[definition.Alias] = true
	return []proxy.Command{{Statement: proxy.Statement{
		Verb: proxy.Prepare, Name: definition.Name, Text: definition.Text, Alias: definition.Alias,
	}}}
}

// unsentError is the error of an exchange that ended before the statement was sent, or
// after a BEGIN whose session values were not restored. The connection must be
// discarded. Refused reports that the instance has refused to restore the values.
type unsentError struct {
	err     error
	refused bool
}

func (e *unsentError) Error() string { return "session values were not restored: " + e.err.Error() }

func (e *unsentError) Unwrap() error { return e.err }

// restoreValues brings the session values on a connection to those of this session.
func (s *session) restoreValues(
	c *dispatch.Connection, timeout time.Duration, commands []proxy.Command, values map[string]string,
) error {
	answers, err := s.send(c, timeout, commands)
	var unopened *unopenedError
	switch {
	case errors.As(err, &unopened):
		unopened.mayHaveRun = false
		return unopened
	case err != nil:
		return &unsentError{err: err}
	}
	if failure := firstFailure(answers); failure != nil {
		return &unsentError{err: failure, refused: true}
	}
	c.Values = values
	return nil
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
// one.
func (s *session) send(
	c *dispatch.Connection, timeout time.Duration, commands []proxy.Command,
) ([]proxy.Answer, error) {
	h := s.host
	sent := h.Clock.Now()
	answers, err := c.Conn.Exchange(max(timeout, minExchangeTimeout), commands...)
	if errors.Is(err, proxy.ErrNotOpened) {
		var refusal *proxy.Failure
		mayHaveRun := !errors.As(err, &refusal)
		return nil, &unopenedError{failure: h.discardUnopened(c, err, true), mayHaveRun: mayHaveRun}
	}
	if err != nil {
		return nil, fmt.Errorf("exchange with instance: %w", err)
	}
	c.SessionPending = false
	h.recordReachable(c.Instance)
	h.clusterState.recordPosition(sent, c.Group, c.Instance, answers[len(answers)-1].Position)
	return answers, nil
}

// exchange sends a command and returns its answer. Before that, it restores the values
// of the session. A statement is sent only after the instance has confirmed them, since
// an instance that fails to set one runs the statement all the same. Only a BEGIN, which
// is followed by other statements, leaves together with them. After an error, the
// connection must be discarded.
func (s *session) exchange(
	c *dispatch.Connection, timeout time.Duration, command proxy.Command,
) (proxy.Answer, error) {
	s.trace.instance, s.trace.after = c.Instance, command.After
	s.trace.tries++
	commands, values := s.valueCommands(c)
	begins := command.Statement.Verb == proxy.Begin || command.Statement.Verb == proxy.BeginRead
	if len(commands) > 0 && !begins {
		start := s.host.Clock.Now()
		if err := s.restoreValues(c, timeout, commands, values); err != nil {
			return proxy.Answer{}, err
		}
		timeout -= s.host.Clock.Now().Sub(start)
		commands = nil
	}
	if command.Statement.Verb == proxy.Execute {
		commands = s.preparation(c, command.Statement)
		command.Statement.Alias = s.prepared[command.Statement.Name].Alias
	}
	answers, err := s.send(c, timeout, append(commands, command))
	if err != nil {
		return proxy.Answer{}, err
	}
	answer := answers[len(answers)-1]
	if failure := firstFailure(answers[:len(answers)-1]); failure != nil && begins {
		return proxy.Answer{}, &unsentError{err: failure, refused: true}
	}
	if begins {
		c.Values = values
	}
	if answer.Failure != nil && answer.Failure.Code == proxy.UnknownStatement {
		// The preparation may have failed or be lost.
		c.Prepared = nil
	}
	s.position = answer.Position
	return answer, nil
}

// discardUnsent discards a connection on which a statement was not sent.
func (h *Host) discardUnsent(c *dispatch.Connection, unsent *unsentError) {
	if unsent.refused {
		h.discardUnneeded(c)
		return
	}
	h.connectionBroken(c, unsent)
}

// checkPrepared refuses the execution of a statement that the session has not
// prepared.
func (s *session) checkPrepared(st proxy.Statement) *proxy.Failure {
	if _, ok := s.prepared[st.Name]; st.Verb == proxy.Execute && !ok {
		return &proxy.Failure{Code: proxy.UnknownStatement, Text: "no prepared statement has this name"}
	}
	return nil
}

// writes reports whether a statement writes.
func (s *session) writes(st proxy.Statement) bool {
	return st.Verb == proxy.WriteItem || st.Verb == proxy.Execute && s.prepared[st.Name].Writes
}
