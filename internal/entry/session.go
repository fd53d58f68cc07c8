package entry

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
)

// session is a client's connection with its values and prepared statements.
type session struct {
	host     *Host
	id       uint64
	caller   proxy.ClientConn
	database string
	key      string
	// values are the texts that set them, by name.
	values   map[string]string
	prepared map[string]proxy.Statement
	// committed is the position of the session's last commit.
	committed *proxy.Bookmark
	// transaction is nil outside one.
	transaction *transaction
	// position is that of the last answer of an instance.
	position *proxy.Bookmark
	// trace tells the log how the current statement was decided.
	trace trace

	mu sync.Mutex
	// serving reports that a statement is being answered, woken that a stop
	// has ended the wait for the next one.
	serving, woken bool
}

// trace is what decided a statement.
type trace struct {
	// account is whose allowance was asked for; empty for none.
	account proxy.AccountID
	// instance is the last one that the statement was sent to, tries the number
	// of those.
	instance proxy.InstanceID
	tries    int
	// waited is how long the statement waited for connections.
	waited time.Duration
	// after is the position that the instance had to hold; nil for none.
	after *proxy.Bookmark
}

// operation is one admitted statement or transaction.
type operation struct {
	route   directory.Route
	account proxy.AccountID
	// arrived is when its first statement arrived.
	arrived proxy.Instant
	// id is that of its first statement.
	id proxy.RequestID
}

// transaction is an open transaction.
type transaction struct {
	operation
	readOnly bool
	failed   bool
	// wrote reports that a statement that writes was sent.
	wrote bool
	// started reports that the opening has begun.
	started bool
	// opened is closed when the transaction has begun on connection, or when it
	// could not begin because of refusal.
	opened     chan struct{}
	connection *dispatch.Connection
	refusal    *proxy.Failure
	// version is that of the record that names the primary; zero for a
	// transaction that does not depend on it.
	version proxy.Version
}

// sessionSet holds the open sessions, for a graceful stop.
type sessionSet struct {
	mu       sync.Mutex
	sessions map[*session]struct{}
}

func (s *sessionSet) add(member *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sessions[member] = struct{}{}
}

func (s *sessionSet) remove(member *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, member)
}

func (s *sessionSet) all() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.sessions))
}

// serveClient serves one client connection.
func (h *Host) serveClient(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	client := h.Client(conn)
	database, key, err := client.Startup()
	if err == nil {
		err = h.admitSession(database, key)
	}
	if err != nil {
		var failure *proxy.Failure
		if errors.As(err, &failure) {
			h.Metrics.refused(failure.Code)
			h.Log.Info().Str("database", database).Str("code", failure.Code.String()).Str("text", failure.Text).
				Msg("session refused")
			_ = client.Reject(failure)
		}
		return
	}
	if client.Accept() != nil {
		return
	}
	s := &session{
		host: h, id: h.sessions.Add(1), caller: client, database: database, key: key,
		values: make(map[string]string), prepared: make(map[string]proxy.Statement),
	}
	h.open.add(s)
	defer h.open.remove(s)
	defer s.release()
	s.run()
}

// admitSession checks what a client names at startup.
func (h *Host) admitSession(database, key string) error {
	c, failure := h.permit(h.Clock.Now())
	if failure != nil {
		return failure
	}
	if _, _, failure = identify(c, database, key); failure != nil {
		return failure
	}
	return nil
}

// identify returns the route of a database and the account of a key, which is
// empty where the route is open and the key is not known.
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
		leaving := s.transaction == nil && s.host.stopping.Load()
		patience := s.patience()
		if leaving {
			patience = lastLook
		}
		statement, err := s.caller.Next(patience)
		arrived := s.host.Clock.Now()
		if errors.Is(err, proxy.ErrIdle) {
			if leaving {
				return
			}
			s.expire()
			continue
		}
		var failure *proxy.Failure
		if err != nil && !errors.As(err, &failure) {
			return
		}
		s.begin()
		s.awaitOpening()
		s.trace = trace{}
		var answer proxy.Answer
		if failure != nil {
			answer = s.failure(failure)
		} else {
			answer = s.answer(statement, arrived)
		}
		s.host.note(s, statement, answer, arrived)
		err = s.caller.Reply(answer)
		s.startOpening()
		if err != nil || s.finish(answer) {
			return
		}
	}
}

// begin marks the session as busy.
func (s *session) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving, s.woken = true, false
}

// finish marks the session as waiting and reports whether it must end.
func (s *session) finish(answer proxy.Answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving = false
	if answer.Failure != nil && answer.Failure.Code == proxy.TooLarge {
		return true
	}
	return s.transaction == nil && s.host.stopping.Load() && !s.caller.Buffered()
}

// patience returns how long the session waits for its next statement, zero for
// no limit.
func (s *session) patience() time.Duration {
	if s.transaction == nil || s.transaction.failed {
		return 0
	}
	c, _ := s.host.beliefs.current()
	if c == nil {
		return 0
	}
	return c.TransactionIdle
}

// expire ends a transaction that has been idle for too long. The client learns
// of it with its next statement.
func (s *session) expire() {
	if s.transaction == nil || s.transaction.failed {
		return
	}
	s.host.Log.Info().Uint64("session", s.id).Str("request", string(s.transaction.id)).
		Msg("idle transaction ended")
	s.failTransaction()
}

// answer runs one statement.
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
		return s.done()
	case proxy.Commit:
		return s.fail(proxy.Malformed, "no transaction is open")
	case proxy.Begin, proxy.BeginRead:
		return s.beginTransaction(st, arrived)
	}
	op, failure := s.admit(st, arrived)
	if failure != nil {
		return s.failure(failure)
	}
	return s.single(op, st)
}

// maxDefinitions bounds the values and prepared statements of a session.
const maxDefinitions = 1000

// define changes the session's values and prepared statements. They reach an
// instance with the next statement that needs them.
func (s *session) define(st proxy.Statement) proxy.Answer {
	if s.transaction != nil && s.transaction.failed {
		return s.fail(proxy.Malformed, "transaction has failed")
	}
	if st.Verb != proxy.Deallocate && len(s.values)+len(s.prepared) >= maxDefinitions {
		return s.fail(proxy.TooLarge, "session has too many values and prepared statements")
	}
	switch st.Verb {
	case proxy.SetValue:
		s.values[st.Name] = st.Text
	case proxy.Prepare:
		s.prepared[st.Name] = st
	default:
		delete(s.prepared, st.Name)
	}
	return s.done()
}

// admit checks that an operation may run: a current configuration, its route,
// the key's account and the account's allowance.
func (s *session) admit(st proxy.Statement, arrived proxy.Instant) (operation, *proxy.Failure) {
	op := operation{arrived: arrived, id: st.ID}
	c, failure := s.host.permit(arrived)
	if failure != nil {
		return op, failure
	}
	op.route, op.account, failure = identify(c, s.database, s.key)
	if _, known := c.Keys[s.key]; failure != nil || !known {
		return op, failure
	}
	s.trace.account = op.account
	return op, s.host.allow(arrived, op.account)
}

// loanWait is how long an operation waits for borrowed allowance: a home that does
// not answer and one of another availability zone that does.
const loanWait = 35 * time.Millisecond

// allow takes a token of an account's rate, borrowing from other hosts where
// this one has none.
func (h *Host) allow(now proxy.Instant, id proxy.AccountID) *proxy.Failure {
	if h.allowances.Admit(now, id) == nil {
		return nil
	}
	defer h.allowances.Await(id)()
	ctx, cancel := context.WithTimeout(context.Background(), loanWait)
	defer cancel()
	return h.lender.Await(ctx, func() *proxy.Failure { return h.allowances.Retry(h.Clock.Now(), id) })
}

// permit returns the configuration if it is proved to be recent enough for a
// statement that arrived at an instant.
func (h *Host) permit(arrived proxy.Instant) (*directory.Configuration, *proxy.Failure) {
	c, configured := h.beliefs.current()
	if c == nil || arrived.Sub(configured) > h.Settings.Withdrawal-proofMargin {
		return nil, &proxy.Failure{
			Code: proxy.Busy, Text: "configuration is not confirmed", RetryAfter: proofWait,
		}
	}
	return c, nil
}

// failure builds the answer to a failed statement. Every refusal of a statement
// that has not run tells when to come back.
func (s *session) failure(f *proxy.Failure) proxy.Answer {
	if f.Code == proxy.Busy && f.RetryAfter <= 0 {
		f.RetryAfter = retryTime
	}
	return proxy.Answer{Failure: f, State: s.state(), Position: s.position}
}

func (s *session) fail(code proxy.Code, text string) proxy.Answer {
	return s.failure(&proxy.Failure{Code: code, Text: text})
}

// done is the answer to a statement that the host answers itself.
func (s *session) done() proxy.Answer {
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

// release ends what the session holds when its client leaves.
func (s *session) release() {
	if s.transaction != nil {
		s.endTransaction()
	}
}
