package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Transaction states of ReadyForQuery.
const (
	statusIdle   byte = 'I'
	statusOpen   byte = 'T'
	statusFailed byte = 'E'
)

// errEnded ends a session for the reason in its field ending.
var errEnded = eris.New("session ended by the proxy")

// session is one authenticated client connection. The goroutine that runs it
// owns the fields below "owned"; mu guards those below it.
type session struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend
	who     identity
	id      uint64
	name    string // the session's name in Positions
	process uint32
	secret  []byte
	ctx     context.Context
	stop    context.CancelFunc

	// cancelling is held while a cancel request or a release is under way.
	cancelling sync.Mutex

	mu       sync.Mutex
	grant    grant
	loan     *borrowed
	ending   *proxy.Refusal
	busy     bool // a request or a transaction is under way
	open     bool // a transaction is open
	draining bool
	timer    *timer
	unlend   context.CancelFunc // ends the wait for a loan; nil while there is none

	// owned
	status   byte
	out      output
	queue    []request // sent to the instance and not yet answered
	held     held
	batch    batch
	muted    bool // replies are not for the client until ReadyForQuery
	skipping bool // until Sync, after an error
	erred    bool // the current request or batch had an error
	splits   bool // what follows in the batch must wait; see split
	begins   bool // the current request or batch contains BEGIN
	active   bool // a request or batch has begun
	flushed  bool // bytes of the current request or batch were sent
	started  time.Time
	state    sessionState
	waiting  bool // a read deadline is set
}

// fatal is an error that the client is told before the connection closes.
type fatal struct{ refusal *proxy.Refusal }

func (f *fatal) Error() string { return f.refusal.Error() }

func (s *Server) newSession(conn net.Conn, backend *pgproto3.Backend, who identity, startup *pgproto3.StartupMessage) (*session, error) {
	state, err := newSessionState(startup.Parameters)
	if err != nil {
		return nil, err
	}
	session := &session{server: s, conn: conn, backend: backend, who: who, status: statusIdle, state: state}
	session.out.conn = conn
	session.secret = newSecret(startup.ProtocolVersion)
	session.ctx, session.stop = context.WithCancel(context.Background())
	if refusal := s.register(session); refusal != nil {
		session.stop()
		return nil, refusal
	}
	// The session is registered first, so that a revision which comes into
	// force meanwhile is seen either here or by Recheck.
	if refusal := session.authorize(); refusal != nil {
		session.stop()
		s.unregister(session)
		return nil, refusal
	}
	s.metrics.sessions.Update(int64(s.count()))
	return session, nil
}

// run serves the client until it leaves or the session is ended.
func (s *session) run() {
	for {
		message, err := s.next()
		if err == nil {
			err = s.handle(message)
		}
		if err != nil {
			s.finish(err)
			return
		}
	}
}

// next waits for a message of the client. The message is valid until the next call.
func (s *session) next() (pgproto3.FrontendMessage, error) {
	if err := s.rest(); err != nil {
		return nil, err
	}
	message, err := s.backend.Receive()
	if err != nil {
		return nil, s.readError(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending != nil {
		return nil, errEnded
	}
	s.busy = true
	return message, nil
}

// rest notes that the session waits for its client.
func (s *session) rest() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending != nil {
		return errEnded
	}
	boundary := s.loan == nil && !s.skipping && s.batch.empty()
	if boundary && s.draining {
		s.ending = proxy.Refuse(proxy.AdminShutdown, "the proxy is shutting down")
		return errEnded
	}
	s.busy = !boundary
	if !boundary {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.server.Limits.Idle))
	} else if s.waiting {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
	s.waiting = !boundary
	return nil
}

// readError explains a failure to receive a message of the client.
func (s *session) readError(err error) error {
	s.mu.Lock()
	ended := s.ending != nil
	s.mu.Unlock()
	if ended {
		return errEnded
	}
	if isTimeout(err) {
		return &fatal{proxy.Refuse(proxy.IdleInTransactionLimit,
			"no message for %v inside a transaction", s.server.Limits.Idle)}
	}
	return malformed(err)
}

// malformed turns a decoding error into a refusal and leaves errors of the
// connection as they are.
func malformed(err error) error {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) || errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("read from client: %w", err)
	}
	var long *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &long) {
		return &fatal{proxy.Refuse(programLimit, "message of %d bytes: at most %d are allowed",
			long.ActualBodyLen, long.MaxExpectedBodyLen)}
	}
	return &fatal{proxy.Refuse(proxy.ProtocolViolation, "malformed message: %v", err)}
}

// handle carries out one message. An error ends the session.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	switch message.(type) {
	case *pgproto3.Terminate:
		return io.EOF
	case *pgproto3.Sync:
		return s.sync()
	}
	if s.skipping {
		return nil
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		s.begin()
		return s.query(m.String)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		s.begin()
		return s.handleExtended(message)
	case *pgproto3.Flush:
		return s.flushBatch()
	case *pgproto3.FunctionCall:
		return s.refuseQuery(proxy.Refuse(proxy.FeatureNotSupported, "function calls by protocol message are not supported"))
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // the rest of a COPY that has failed
	}
	return &fatal{proxy.Refuse(proxy.ProtocolViolation, "unexpected message %T", message)}
}

// handleExtended carries out a message of the extended protocol that the
// instance is to answer.
func (s *session) handleExtended(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describe(m)
	case *pgproto3.Execute:
		return s.execute(m)
	case *pgproto3.Close:
		return s.closeObject(m)
	}
	return nil
}

// finish tells the client why the session ends, rolls back an open transaction
// and forgets the session.
func (s *session) finish(err error) {
	s.stopTimer()
	s.sever()
	s.drop()
	s.server.unregister(s)
	s.stop()
	s.server.metrics.sessions.Update(int64(s.server.count()))
	s.mu.Lock()
	ending := s.ending
	s.mu.Unlock()
	refusal := ending
	var last *fatal
	if refusal == nil && errors.As(err, &last) {
		refusal = last.refusal
	}
	if refusal == nil {
		return
	}
	told := *refusal
	if ending != nil && s.flushed {
		told.Outcome = proxy.Unknown
	}
	s.server.metrics.refused(&told)
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.server.Limits.FinalWrite))
	if s.out.send(response(&told, severityFatal)) == nil {
		_ = s.out.flush()
	}
}

// end ends the session from another goroutine: at once, or at the next
// transaction boundary if it is only to drain.
func (s *session) end(refusal *proxy.Refusal, now bool) {
	s.mu.Lock()
	s.draining = true
	if s.ending != nil || (s.busy && !now) {
		s.mu.Unlock()
		return
	}
	s.ending = refusal
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.server.Limits.FinalWrite))
	s.mu.Unlock()
	s.stop()
	s.sever()
}

// authorize checks the session's identity against the document in force.
func (s *session) authorize() *proxy.Refusal {
	document, revision := s.server.Catalog.Current()
	if document != nil && revision == s.grant.revision && revision != 0 {
		return nil
	}
	granted, refusal := permit(document, revision, s.who)
	if refusal != nil {
		return refusal
	}
	s.mu.Lock()
	s.grant = granted
	s.mu.Unlock()
	return nil
}

// describeState returns the session's line on the status page.
func (s *session) describeState() SessionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SessionState{
		Process:     s.process,
		Address:     s.conn.RemoteAddr().String(),
		Account:     s.grant.account.ID,
		Route:       s.who.route,
		Busy:        s.busy,
		Transaction: s.open,
	}
}
