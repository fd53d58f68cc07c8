package entry

import (
	"errors"
	"fmt"
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

// stateCommands returns the commands that bring the session state on a connection to
// that of this session, as far as st needs it.
func (s *session) stateCommands(c *dispatch.Connection, st proxy.Statement) []proxy.Command {
	var commands []proxy.Command
	if s.hasOtherValues(c) || len(c.Prepared) >= maxPreparedPerConnection {
		commands = append(commands, proxy.Command{Statement: proxy.Statement{Verb: proxy.Reset}})
		c.Values, c.Prepared = nil, nil
	}
	if c.Values == nil {
		c.Values, c.Prepared = make(map[string]string), make(map[string]bool)
	}
	for name, text := range s.values {
		if c.Values[name] != text {
			commands = append(commands, proxy.Command{Statement: proxy.Statement{Verb: proxy.SetValue, Text: text}})
			c.Values[name] = text
		}
	}
	definition, ok := s.prepared[st.Name]
	if st.Verb == proxy.Execute && ok && !c.Prepared[definition.Alias] {
		commands = append(commands, proxy.Command{Statement: proxy.Statement{
			Verb: proxy.Prepare, Name: definition.Name, Text: definition.Text, Alias: definition.Alias,
		}})
		c.Prepared[definition.Alias] = true
	}
	return commands
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

// exchange sends a command, preceded by those that restore the session state, and
// returns its answer. After an error, the connection must be discarded.
func (s *session) exchange(
	c *dispatch.Connection, timeout time.Duration, command proxy.Command,
) (proxy.Answer, error) {
	h := s.host
	if command.Statement.Verb == proxy.Execute {
		command.Statement.Alias = s.prepared[command.Statement.Name].Alias
	}
	commands := append(s.stateCommands(c, command.Statement), command)
	sent := h.Clock.Now()
	s.trace.instance, s.trace.after = c.Instance, command.After
	s.trace.tries++
	answers, err := c.Conn.Exchange(max(timeout, minExchangeTimeout), commands...)
	if errors.Is(err, proxy.ErrNotOpened) {
		var refusal *proxy.Failure
		mayHaveRun := !errors.As(err, &refusal)
		return proxy.Answer{}, &unopenedError{failure: h.discardUnopened(c, err, true), mayHaveRun: mayHaveRun}
	}
	if err != nil {
		return proxy.Answer{}, fmt.Errorf("exchange with instance: %w", err)
	}
	c.SessionPending = false
	answer := answers[len(answers)-1]
	unknown := answer.Failure != nil && answer.Failure.Code == proxy.UnknownStatement
	for n, earlier := range answers[:len(answers)-1] {
		// A statement whose preparation failed has not run.
		if earlier.Failure != nil && !(unknown && commands[n].Statement.Verb == proxy.Prepare) {
			return proxy.Answer{}, fmt.Errorf("restore session state: %w", earlier.Failure)
		}
	}
	h.recordReachable(c.Instance)
	h.clusterState.recordPosition(sent, c.Group, c.Instance, answer.Position)
	if unknown {
		c.Prepared = make(map[string]bool)
	}
	s.position = answer.Position
	return answer, nil
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
