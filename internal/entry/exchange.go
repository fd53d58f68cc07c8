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

// borrow lends an open connection for an operation, waiting for one until
// expires. Dial failures are repeated on other instances.
func (s *session) borrow(op operation, primary bool, avoid []proxy.InstanceID, expires proxy.Instant) (*dispatch.Connection, *proxy.Failure) {
	h := s.host
	want := dispatch.Want{
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
		if c.Link != nil {
			return c, nil
		}
		failure = h.openLink(c)
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
func (h *Host) await(want dispatch.Want) (dispatch.Grant, *proxy.Failure) {
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
func (h *Host) openLink(c *dispatch.Connection) *proxy.Failure {
	sent := h.Clock.Now()
	link, position, err := h.Dialer.Dial(dialTimeout, c.Target)
	now := h.Clock.Now()
	if err == nil {
		c.Link = link
		h.Metrics.opened.Inc(1)
		h.answered(c.Instance)
		h.beliefs.record(sent, c.Group, c.Instance, position)
		return nil
	}
	var failure *proxy.Failure
	if errors.As(err, &failure) && failure.Code == proxy.Full {
		h.Metrics.full.Inc(1)
		h.table.Discard(now, c, dispatch.Exhausted)
		return failure
	}
	h.unreachable(c, err)
	h.table.Discard(now, c, dispatch.Unreachable)
	return &proxy.Failure{Code: proxy.Busy, Text: "instance was not reached", RetryAfter: dialTimeout}
}

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
	c.Link.Close()
	h.table.Discard(h.Clock.Now(), c, dispatch.Unreachable)
}

// prepare returns the statements that bring the connection's session state to
// that of the session, as far as st needs it.
func (s *session) prepare(c *dispatch.Connection, st proxy.Statement) []proxy.Order {
	var orders []proxy.Order
	system := func(verb proxy.Verb, text string) {
		orders = append(orders, proxy.Order{Statement: proxy.Statement{Verb: verb, Text: text}})
	}
	if c.Owner != s.id {
		if len(c.Values)+len(c.Prepared) > 0 {
			system(proxy.Reset, "")
		}
		c.Owner, c.Values, c.Prepared = s.id, make(map[string]string), make(map[string]string)
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
func (s *session) exchange(c *dispatch.Connection, timeout time.Duration, last proxy.Order) (proxy.Answer, error) {
	h := s.host
	orders := append(s.prepare(c, last.Statement), last)
	sent := h.Clock.Now()
	s.trace.instance, s.trace.after = c.Instance, last.After
	s.trace.tries++
	answers, err := c.Link.Exchange(max(timeout, minExchange), orders...)
	if err != nil {
		return proxy.Answer{}, fmt.Errorf("exchange with instance: %w", err)
	}
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
