package entry

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/admission"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/balance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
)

// session is a client's connection with its values and prepared statements.
type session struct {
	host       *Host
	id         uint64
	clientConn proxy.ClientConn
	database   string
	key        string
	// values holds the statements that set the session's values, by name of the
	// value.
	values map[string]string
	// prepared holds the definitions of the prepared statements by name. definitions
	// is the number of all that the session has made.
	prepared    map[string]proxy.Statement
	definitions int
	// committed is the log position of the session's last commit.
	committed *proxy.Bookmark
	// transaction is the open transaction; nil if there is none.
	transaction *transaction
	// position is the log position in the last answer of an instance.
	position *proxy.Bookmark
	// trace is what the log line of the current statement reports.
	trace trace
	// expectedUntil is until when a token borrowed for the next operation can be used.
	expectedUntil proxy.Instant
	// valuesSize and preparedSize are the sizes of the values and of the prepared
	// statements, in bytes.
	valuesSize, preparedSize int
	memory                   *clientMemory

	mu sync.Mutex
	// serving reports that a statement is being processed, interruptSent that a
	// graceful stop has ended the wait for the next one.
	serving, interruptSent bool
}

// trace records how a statement was processed.
type trace struct {
	request proxy.RequestID
	// account is the account whose allowance was used; empty for none.
	account proxy.AccountID
	// group is the database group of the statement.
	group proxy.GroupID
	// instance is the last instance that the statement was sent to, via the host whose
	// connection was used, tries the number of times that it was sent.
	instance proxy.InstanceID
	via      proxy.HostID
	tries    int
	// tokenWait is how long the operation waited for a token of its account, refused why
	// it got none; zero if it got one.
	tokenWait time.Duration
	refused   allowance.Reason
	// waited is how long the statement waited for connections.
	waited time.Duration
	// after is the log position that the instance had to have applied; nil for none.
	after *proxy.Bookmark
}

// operation is an admitted transaction, or an admitted statement outside a
// transaction.
type operation struct {
	route   directory.Route
	account proxy.AccountID
	// arrived is when the first statement arrived.
	arrived proxy.Instant
	// id is the request ID of the first statement.
	id proxy.RequestID
}

// transaction is an open transaction.
type transaction struct {
	operation
	readOnly bool
	failed   bool
	// wrote reports that a writing statement was sent.
	wrote bool
	// openingStarted reports that startOpening has run.
	openingStarted bool
	// opened is closed when the transaction has begun on connection, or could not
	// begin because of refusal.
	opened     chan struct{}
	connection proxy.HeldConnection
	refusal    *proxy.Failure
	// choice is the instance of the connection and the host that holds it.
	choice balance.Choice
	// leadershipVersion is the version of the leadership record under which the
	// transaction uses the primary; zero if it does not depend on the primary.
	leadershipVersion proxy.StoreVersion
}

// sessionSet holds the open sessions, for a graceful stop.
type sessionSet struct {
	mu       sync.Mutex
	sessions map[*session]struct{}
}

func (s *sessionSet) add(opened *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[opened] = struct{}{}
}

func (s *sessionSet) remove(ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, ended)
}

func (s *sessionSet) list() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.sessions))
}

// serveClient serves one client connection.
func (h *Host) serveClient(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	memory, leaveMemory := h.joinMemory(conn)
	defer leaveMemory()
	s := &session{
		memory: memory,
		host:   h, id: h.lastSessionID.Add(1), values: make(map[string]string), prepared: make(map[string]proxy.Statement),
	}
	h.contain(s, func() { h.serveSession(s, conn) }, s.endAfterPanic)
}

// serveSession opens the session of a client connection and serves it.
func (h *Host) serveSession(s *session, conn net.Conn) {
	client := h.Client(conn)
	client.SetMemory(s.memory)
	database, key, err := client.Startup()
	// A stopping host waits for the session until it is listed as open.
	h.opening.Add(1)
	opened := sync.OnceFunc(func() { h.opening.Add(-1) })
	defer opened()
	if err == nil {
		err = h.admitSession(database, key)
	}
	s.database = limited(database)
	if err != nil {
		s.recordEnd(err, true)
		var failure *proxy.Failure
		if errors.As(err, &failure) {
			h.Metrics.countSessionRefusal(failure.Code)
			h.Log.Info().Str("database", s.database).Str("code", failure.Code.String()).Str("text", failure.Text).
				Msg("session refused")
			_ = client.Reject(failure)
		}
		return
	}
	// What is kept of a valid startup message is short.
	s.memory.Keep(0)
	if client.Accept() != nil {
		return
	}
	s.clientConn, s.database, s.key = client, strings.Clone(database), strings.Clone(key)
	h.open.add(s)
	defer h.open.remove(s)
	opened()
	s.run()
	s.release()
}

// startupHold is how long after the start of the process sessions wait for the first
// configuration. It usually arrives within some round trips, sooner than a refused client
// returns, and is well below the time that clients give a session to open.
const startupHold = 200 * time.Millisecond

// awaitFirstConfiguration waits for the first configuration, at most until startupHold
// after the start of the process.
func (h *Host) awaitFirstConfiguration() {
	timer := time.NewTimer(h.startedAt.Add(startupHold).Sub(h.Clock.Now()))
	defer timer.Stop()
	cs := h.clusterState
	for {
		cs.mu.Lock()
		known, changed := cs.configuration != nil, cs.routesChanged
		cs.mu.Unlock()
		if known {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// admitSession checks the database and key that a client sends at startup.
func (h *Host) admitSession(database, key string) error {
	h.awaitFirstConfiguration()
	c, failure := h.confirmedConfiguration(h.Clock.Now())
	if failure != nil {
		return failure
	}
	if _, _, failure = identify(c, database, key); failure != nil {
		return failure
	}
	return nil
}

// identify returns the route of a database and the account of a key. The account is
// empty if the route is open and the key is not known.
func identify(c *directory.Configuration, database, key string) (directory.Route, proxy.AccountID, *proxy.Failure) {
	route, ok := c.Routes[database]
	if !ok {
		return route, "", &proxy.Failure{Code: proxy.UnknownDatabase, Text: "no route has this name"}
	}
	account, ok := c.Keys[key]
	if !ok && !route.Open {
		return route, "", &proxy.Failure{Code: proxy.UnknownKey, Text: "key is not known"}
	}
	return route, account, nil
}

// run answers statements until the session ends.
func (s *session) run() {
	for {
		ending := s.beginWait()
		waitTimeout := s.waitTimeout()
		if ending {
			waitTimeout = finalReadTimeout
		}
		statement, err := s.clientConn.Next(waitTimeout)
		arrived := s.host.Clock.Now()
		if errors.Is(err, proxy.ErrIdle) {
			switch {
			case ending:
				return
			case !s.interrupted():
				s.endIdleTransaction()
			}
			continue
		}
		var failure *proxy.Failure
		if err != nil && !errors.As(err, &failure) {
			s.recordEnd(err, true)
			return
		}
		s.memory.setServing(true)
		s.startServing()
		s.awaitOpening()
		s.trace = trace{request: proxy.RequestID(limited(string(statement.ID)))}
		var answer proxy.Answer
		if failure != nil {
			answer = s.failure(failure)
		} else {
			answer = s.answer(statement, arrived)
		}
		answer = s.limitAnswer(statement, answer)
		s.host.recordAnswer(s, statement, answer, arrived)
		err = s.clientConn.Reply(answer)
		s.memory.setIdle()
		s.startOpening()
		if err != nil {
			s.recordEnd(err, false)
		}
		if err != nil || s.stopServing(answer) {
			return
		}
	}
}

// startServing marks the session as busy.
func (s *session) startServing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving, s.interruptSent = true, false
}

// stopServing marks the session as waiting and reports whether it must end.
func (s *session) stopServing(answer proxy.Answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving = false
	if answer.Failure != nil && answer.Failure.Code == proxy.TooLarge {
		return true
	}
	return s.transaction == nil && s.host.closing.Load() && !s.clientConn.Buffered()
}

// interrupted reports whether a graceful stop has ended the last wait for a statement.
func (s *session) interrupted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interruptSent
}

// beginWait reports whether the next wait for a statement is the session's last. A last
// wait is not interrupted.
func (s *session) beginWait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ending := s.transaction == nil && s.host.closing.Load() || s.host.refusesStatements()
	s.interruptSent = s.interruptSent || ending
	return ending
}

// waitTimeout returns how long the session waits for its next statement; zero for no
// limit.
func (s *session) waitTimeout() time.Duration {
	if s.transaction == nil || s.transaction.failed {
		return 0
	}
	c, _ := s.host.clusterState.currentConfiguration()
	if c == nil {
		return 0
	}
	return c.TransactionIdle
}

// endIdleTransaction rolls back a transaction that has been idle for too long. The
// client is notified by the failure of its next statement.
func (s *session) endIdleTransaction() {
	if s.transaction == nil || s.transaction.failed {
		return
	}
	s.host.Log.Info().Uint64("session", s.id).Str("request", string(s.transaction.id)).
		Msg("idle transaction ended")
	s.failTransaction()
}

// answer runs one statement and returns its answer.
func (s *session) answer(st proxy.Statement, arrived proxy.Instant) proxy.Answer {
	switch st.Verb {
	case proxy.SetValue, proxy.Prepare, proxy.Deallocate:
		return s.define(st)
	}
	if s.transaction != nil {
		return s.continueTransaction(st, arrived)
	}
	switch st.Verb {
	case proxy.Rollback:
		return s.localAnswer()
	case proxy.Commit:
		return s.fail(proxy.Malformed, "no transaction is open")
	case proxy.Begin, proxy.BeginRead:
		return s.beginTransaction(st, arrived)
	}
	op, failure := s.admit(st, arrived)
	if failure != nil {
		return s.failure(failure)
	}
	return s.runSingle(op, st)
}

// maxDefinitions limits the number of values and prepared statements of a session.
const maxDefinitions = 1000

// define changes the session's values and prepared statements. They are sent to an
// instance with the next statement that needs them.
func (s *session) define(st proxy.Statement) proxy.Answer {
	if s.transaction != nil && s.transaction.failed {
		return s.fail(proxy.Malformed, "transaction has failed")
	}
	if st.Verb != proxy.Deallocate && len(s.values)+len(s.prepared) >= maxDefinitions {
		return s.fail(proxy.TooLarge, "session has too many values and prepared statements")
	}
	valuesSize, preparedSize := s.valuesSize, s.preparedSize
	switch st.Verb {
	case proxy.SetValue:
		valuesSize += sizeOfDefinition(st.Text) - sizeOfDefinition(s.values[st.Name])
	case proxy.Prepare:
		preparedSize += sizeOfDefinition(st.Text) - sizeOfDefinition(s.prepared[st.Name].Text)
	default:
		preparedSize -= sizeOfDefinition(s.prepared[st.Name].Text)
	}
	if failure := s.keepState(valuesSize, preparedSize); failure != nil {
		return s.failure(failure)
	}
	switch st.Verb {
	case proxy.SetValue:
		s.values[st.Name] = st.Text
	case proxy.Prepare:
		s.definitions++
		st.Alias = fmt.Sprintf("s%x-%d-%d", uint64(s.host.incarnation), s.id, s.definitions)
		s.prepared[st.Name] = st
	default:
		delete(s.prepared, st.Name)
	}
	s.expectOperation()
	return s.localAnswer()
}

// expectOperation borrows a token for the operation that usually follows a definition,
// unless one was borrowed for it already. The client needs a round trip to send it.
func (s *session) expectOperation() {
	h := s.host
	now := h.Clock.Now()
	c, _ := h.clusterState.currentConfiguration()
	if s.transaction != nil || c == nil || now < s.expectedUntil {
		return
	}
	account, ok := c.Keys[s.key]
	if !ok {
		return
	}
	s.expectedUntil = now.Add(allowance.LoanDuration)
	if h.allowances.Expect(now, account) {
		h.peerEndpoint.RequestLoans()
	}
}

// admit checks whether an operation may run. It needs a confirmed configuration, a
// route, a valid key unless the route is open, and a token of the account's rate.
func (s *session) admit(st proxy.Statement, arrived proxy.Instant) (operation, *proxy.Failure) {
	op := operation{arrived: arrived, id: proxy.RequestID(limited(string(st.ID)))}
	if s.host.refusesStatements() {
		return op, &proxy.Failure{Code: proxy.Busy, Text: stopRefusal}
	}
	c, failure := s.host.confirmedConfiguration(arrived)
	if failure != nil {
		return op, failure
	}
	op.route, op.account, failure = identify(c, s.database, s.key)
	if _, known := c.Keys[s.key]; failure != nil || !known {
		return op, failure
	}
	s.trace.account, s.expectedUntil = op.account, 0
	return op, s.takeToken(op)
}

// takeToken takes a token of the rate of an operation's account. If this host has none
// left, the operation waits for the next one, or for one of another host, as long as it
// has time for that.
func (s *session) takeToken(op operation) *proxy.Failure {
	h := s.host
	now := h.Clock.Now()
	expires := admission.Expires(now, op.arrived, op.route.Goal, h.limitDeadline(op.arrived.Add(op.route.Timeout)))
	refusal := h.peerEndpoint.Acquire(now, op.account, expires)
	s.trace.tokenWait = h.Clock.Now().Sub(now)
	h.Metrics.countToken(s.trace.tokenWait, refusal)
	if refusal == nil {
		return nil
	}
	s.trace.refused = refusal.Reason
	return &refusal.Failure
}

// confirmedConfiguration returns the configuration if it is confirmed as of an
// instant recent enough for a statement that arrived at arrived.
func (h *Host) confirmedConfiguration(arrived proxy.Instant) (*directory.Configuration, *proxy.Failure) {
	c, confirmedAt := h.clusterState.currentConfiguration()
	if c == nil || arrived.Sub(confirmedAt) > h.Settings.Withdrawal-confirmationMargin {
		return nil, &proxy.Failure{
			Code: proxy.Busy, Text: "configuration is not confirmed", RetryAfter: confirmationWait,
		}
	}
	return c, nil
}

// failure returns the answer to a failed statement. Each Busy failure gets a time
// after which the client may retry.
func (s *session) failure(f *proxy.Failure) proxy.Answer {
	if f.Code == proxy.Busy && f.RetryAfter <= 0 {
		f.RetryAfter = retryDelay
	}
	return proxy.Answer{Failure: f, State: s.state(), Position: s.position}
}

func (s *session) fail(code proxy.Code, text string) proxy.Answer {
	return s.failure(&proxy.Failure{Code: code, Text: text})
}

// localAnswer returns the answer to a statement that the host processes itself.
func (s *session) localAnswer() proxy.Answer {
	return proxy.Answer{State: s.state(), Position: s.position}
}

func (s *session) state() proxy.TransactionState {
	switch {
	case s.transaction == nil:
		return proxy.OutsideTransaction
	case s.transaction.failed:
		return proxy.FailedTransaction
	default:
		return proxy.InTransaction
	}
}

// release rolls back the open transaction when the client has disconnected.
func (s *session) release() {
	if s.transaction != nil {
		s.endTransaction()
	}
}
