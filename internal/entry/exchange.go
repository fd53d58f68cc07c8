package entry

import (
	"errors"
	"fmt"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
)

// Limits of one statement's way to an instance.
const (
	// offerMargin is the part of a statement's time that is kept for the instance
	// when the statement waits for a connection.
	offerMargin = 60 * time.Millisecond
	// minExchange is the least time that an instance gets to answer.
	minExchange = 20 * time.Millisecond
	// dialTimeout limits the opening of a connection, including the wait for a
	// slot of the instance.
	dialTimeout = 600 * time.Millisecond
)

// borrow lends a connection for an operation, waiting for one until expires. Dial
// failures are repeated on other instances. With early, a new connection opens its
// session together with the first exchange, which saves a round trip but leaves
// open whether the orders ran if the connection breaks.
func (s *session) borrow(
	op operation, primary, early bool, avoid []proxy.InstanceID, expires proxy.Instant,
) (*dispatch.Connection, *proxy.Failure) {
	h := s.host
	want := dispatch.Request{
		Group: op.route.Group, Account: op.account, Primary: primary, Avoid: avoid,
		Priority: op.route.Priority, Due: op.arrived.Add(op.route.Goal), Expires: expires,
	}
	for {
		asked := h.Clock.Now()
		grant, failure := h.await(want)
		s.trace.waited += h.Clock.Now().Sub(asked)
		if failure != nil {
			return nil, failure
		}
		closeAll(grant.Evicted)
		c := grant.Connection
		if c.Conn != nil {
			return c, nil
		}
		failure = h.openLink(c, early)
		if failure == nil {
			return c, nil
		}
		if h.Clock.Now() >= expires {
			return nil, failure
		}
		if !primary && failure.Code != proxy.Full {
			want.Avoid = append(want.Avoid, c.Instance)
		}
	}
}

// await acquires a connection from the table.
func (h *Host) await(want dispatch.Request) (dispatch.Grant, *proxy.Failure) {
	now := h.Clock.Now()
	grant, waiter, failure := h.table.Acquire(now, want)
	if failure != nil || waiter == nil {
		return grant, failure
	}
	timer := time.NewTimer(want.Expires.Sub(now))
	defer timer.Stop()
	select {
	case grant = <-waiter.Granted():
		return grant, nil
	case <-timer.C:
	}
	if grant, ok := h.table.Cancel(want.Group, waiter); ok {
		return grant, nil
	}
	return dispatch.Grant{}, &proxy.Failure{
		Code: proxy.Busy, Text: "no connection was free in time", RetryAfter: max(want.Due.Sub(now), retryTime),
	}
}

// openLink opens a lent connection, or discards it and returns why.
func (h *Host) openLink(c *dispatch.Connection, early bool) *proxy.Failure {
	sent := h.Clock.Now()
	var position *proxy.Bookmark
	var err error
	if early {
		c.Conn, err = h.Dialer.DialDeferred(dialTimeout, c.Target)
	} else {
		c.Conn, position, err = h.Dialer.Dial(dialTimeout, c.Target)
	}
	if err != nil {
		return h.notOpened(c, err, false)
	}
	h.Metrics.opened.Inc(1)
	c.SessionPending = early
	if !early {
		h.answered(c.Instance)
		h.beliefs.record(sent, c.Group, c.Instance, position)
	}
	return nil
}

// notOpened discards a connection that could not be opened and returns why. Early
// reports that orders were sent with the request for a session.
func (h *Host) notOpened(c *dispatch.Connection, err error, early bool) *proxy.Failure {
	if c.Conn != nil {
		c.Conn.Close()
	}
	var failure *proxy.Failure
	refused := errors.As(err, &failure)
	switch {
	case refused && failure.Code == proxy.Full:
	case early && !refused:
		// A reset before the session is how a full instance refuses one whose orders
		// have arrived already. It shows nothing against the instance.
		failure = &proxy.Failure{Code: proxy.Full, Text: "instance has reset the connection"}
	default:
		h.unreachable(c, err)
		h.table.Discard(h.Clock.Now(), c, dispatch.Unreachable)
		return &proxy.Failure{Code: proxy.Busy, Text: "instance was not reached", RetryAfter: dialTimeout}
	}
	h.Metrics.full.Inc(1)
	h.table.Discard(h.Clock.Now(), c, dispatch.Exhausted)
	return failure
}

// unopenedError is the error of an exchange whose connection could not be opened.
// The connection is discarded.
type unopenedError struct {
	failure *proxy.Failure
	// ran reports that the orders may have run.
	ran bool
}

func (e *unopenedError) Error() string { return "connection was not opened: " + e.failure.Error() }

func (h *Host) unreachable(c *dispatch.Connection, err error) {
	now := h.Clock.Now()
	h.beliefs.suspect(now, c.Instance)
	if !h.budget.take(now) {
		h.Metrics.unlogged.Inc(1)
		return
	}
	h.Log.Warn().Err(err).Str("instance", string(c.Instance)).Str("group", string(c.Group)).
		Msg("instance did not answer")
}

// answered notes that an instance has answered.
func (h *Host) answered(id proxy.InstanceID) {
	if h.beliefs.trust(id) {
		h.Log.Info().Str("instance", string(id)).Msg("instance answers again")
	}
}

// broken discards a connection whose exchange failed.
func (h *Host) broken(c *dispatch.Connection, err error) {
	h.Metrics.broken.Inc(1)
	h.unreachable(c, err)
	c.Conn.Close()
	h.table.Discard(h.Clock.Now(), c, dispatch.Unreachable)
}

// prepare returns the statements that bring the connection's session state to
// that of the session, as far as st needs it.
func (s *session) prepare(c *dispatch.Connection, st proxy.Statement) []proxy.Command {
	var orders []proxy.Command
	system := func(verb proxy.Verb, text string) {
		orders = append(orders, proxy.Command{Statement: proxy.Statement{Verb: verb, Text: text}})
	}
	if c.SessionID != s.id {
		if len(c.Values)+len(c.Prepared) > 0 {
			system(proxy.Reset, "")
		}
		c.SessionID, c.Values, c.Prepared = s.id, make(map[string]string), make(map[string]string)
	}
	for name, text := range s.values {
		if c.Values[name] != text {
			system(proxy.SetValue, text)
			c.Values[name] = text
		}
	}
	if st.Verb != proxy.Execute {
		return orders
	}
	definition, ok := s.prepared[st.Name]
	if ok && c.Prepared[st.Name] != definition.Text {
		system(proxy.Prepare, definition.Text)
		c.Prepared[st.Name] = definition.Text
	}
	return orders
}

// exchange sends a statement with what it needs and returns its answer. After
// an error the connection must be discarded.
func (s *session) exchange(c *dispatch.Connection, timeout time.Duration, last proxy.Command) (proxy.Answer, error) {
	h := s.host
	orders := append(s.prepare(c, last.Statement), last)
	sent := h.Clock.Now()
	s.trace.instance, s.trace.after = c.Instance, last.After
	s.trace.tries++
	answers, err := c.Conn.Exchange(max(timeout, minExchange), orders...)
	if errors.Is(err, proxy.ErrNotOpened) {
		var refusal *proxy.Failure
		ran := !errors.As(err, &refusal)
		return proxy.Answer{}, &unopenedError{failure: h.notOpened(c, err, true), ran: ran}
	}
	if err != nil {
		return proxy.Answer{}, fmt.Errorf("exchange with instance: %w", err)
	}
	c.SessionPending = false
	for _, earlier := range answers[:len(answers)-1] {
		if earlier.Failure != nil {
			return proxy.Answer{}, fmt.Errorf("restore session state: %w", earlier.Failure)
		}
	}
	answer := answers[len(answers)-1]
	h.answered(c.Instance)
	h.beliefs.record(sent, c.Group, c.Instance, answer.Position)
	if answer.Failure != nil && answer.Failure.Code == proxy.UnknownStatement {
		c.Prepared = make(map[string]string)
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
