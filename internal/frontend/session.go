package frontend

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

// Transaction states in ReadyForQuery.
const (
	statusIdle   byte = 'I'
	statusOpen   byte = 'T'
	statusFailed byte = 'E'
)

// errEnded makes run end a session whose endReason is set.
var errEnded = eris.New("session ended by the proxy")

// session is one authenticated client connection. mu guards the group of fields that it
// begins. Of these, only the goroutine in run writes grant and acquired, so it reads them
// without mu. Only that goroutine accesses the last group of fields.
type session struct {
	server     *Server
	connection *client
	conn       net.Conn // connection, or TLS on it
	reader     *messageReader
	client     clientIdentity
	id         uint64
	name       string // hexadecimal id, the session's name in Positions
	process    uint32
	secret     []byte
	ctx        context.Context
	stop       context.CancelFunc

	// cancelMu is held during a cancel request and during a release.
	cancelMu sync.Mutex

	mu            sync.Mutex
	grant         grant
	acquired      *acquiredConn
	endReason     *proxy.Refusal
	finishing     bool
	writeDeadline time.Time
	busy          bool // a request or a transaction is in progress
	inTransaction bool // a transaction is open
	draining      bool
	timer         *timer
	cancelAcquire context.CancelFunc // ends the wait for a connection; nil if none is in progress

	// Only accessed by the goroutine in run.
	status          byte
	out             output
	queue           []request // sent to the instance and not yet answered
	held            held
	batch           batch
	discardReplies  bool // replies are not passed to the client until ReadyForQuery
	skipping        bool // messages are ignored until Sync, after an error
	failed          bool // the current request had an error
	flushBeforeNext bool // the batch must be sent before its next message, see flushIfRequired
	hasBegin        bool // the current request contains BEGIN
	requestActive   bool // a request has begun and has not ended, see beginRequest
	flushed         bool // bytes of the current request were sent to the instance
	started         time.Time
	state           sessionState
	hasReadDeadline bool // on conn
}

// fatalError ends a session. Its refusal is sent to the client as a FATAL error.
type fatalError struct{ refusal *proxy.Refusal }

func (e *fatalError) Error() string { return e.refusal.Error() }

// newSession registers the session of an authenticated client.
func (s *Server) newSession(
	c *client, conn net.Conn, reader *messageReader, client clientIdentity, startup *pgproto3.StartupMessage,
) (*session, error) {
	state, err := newSessionState(startup.Parameters)
	if err != nil {
		return nil, err
	}
	session := &session{
		server: s, connection: c, conn: conn, reader: reader, client: client, status: statusIdle, state: state,
	}
	session.out.conn = session
	reader.wait = session.waitForRest
	reader.reserve = func(bytes int) bool { return c.reserve(&c.message, int64(bytes)) }
	session.secret = newSecret(startup.ProtocolVersion)
	session.ctx, session.stop = context.WithCancel(context.Background())
	if refusal := s.register(session); refusal != nil {
		session.stop()
		return nil, refusal
	}
	// The session is registered before its identity is checked. A revision that comes
	// into force in between is thus applied here or by ReauthorizeSessions.
	if refusal := session.authorize(); refusal != nil {
		session.stop()
		s.unregister(session)
		return nil, refusal
	}
	c.session.Store(session)
	s.metrics.sessions.Update(int64(s.sessionCount()))
	return session, nil
}

// run serves the client until it disconnects or the session is ended.
func (s *session) run() {
	for {
		message, err := s.nextMessage()
		if err == nil {
			err = s.handle(message)
		}
		if err != nil {
			s.finish(err)
			return
		}
	}
}

// nextMessage waits for a message of the client. The message is valid until the next
// call.
func (s *session) nextMessage() (pgproto3.FrontendMessage, error) {
	if err := s.beginWait(); err != nil {
		return nil, err
	}
	s.beginIdle()
	message, err := s.reader.receive()
	s.endIdle()
	if err != nil {
		return nil, s.readError(err)
	}
	s.connection.reserve(&s.connection.batch, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason != nil {
		return nil, errEnded
	}
	s.busy = true
	return message, nil
}

// beginWait prepares the wait for the next message of the client. Outside a
// transaction boundary it sets a read deadline; at a boundary it ends a session that
// is draining.
func (s *session) beginWait() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason != nil {
		return errEnded
	}
	atBoundary := s.acquired == nil && !s.skipping && s.batch.empty()
	if atBoundary && s.draining {
		s.endReason = proxy.Refuse(proxy.AdminShutdown, "the proxy is shutting down")
		return errEnded
	}
	s.busy = !atBoundary
	if !atBoundary {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.server.Limits.IdleInTransactionTimeout))
	} else if s.hasReadDeadline {
		_ = s.conn.SetReadDeadline(time.Time{})
	}
	s.hasReadDeadline = !atBoundary
	return nil
}

// readError converts an error of receiving a client message to the error that ends the
// session.
func (s *session) readError(err error) error {
	if s.hasEnded() {
		return errEnded
	}
	if isTimeout(err) && s.reader.partial {
		s.server.reportEnded(reasonHalfMessage)
		return &fatalError{s.endedRefusal(proxy.ConnectionFailure,
			"the rest of a message did not arrive within %v", s.server.Limits.StallTimeout)}
	}
	if errors.Is(err, errOutOfMemory) {
		s.server.metrics.unreserved.Inc(1)
		return &fatalError{s.endedRefusal(outOfMemory, "%v", err)}
	}
	if isTimeout(err) {
		return &fatalError{proxy.Refuse(proxy.IdleInTransactionLimit,
			"no message for %v inside a transaction", s.server.Limits.IdleInTransactionTimeout)}
	}
	return decodeError(err)
}

// decodeError converts a decoding error to a fatalError. Errors of the connection are
// only wrapped.
func decodeError(err error) error {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.As(err, &netErr) || errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("read from client: %w", err)
	}
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLong) {
		return &fatalError{proxy.Refuse(programLimitExceeded, "message of %d bytes: at most %d are allowed",
			tooLong.ActualBodyLen, tooLong.MaxExpectedBodyLen)}
	}
	return &fatalError{proxy.Refuse(proxy.ProtocolViolation, "malformed message: %v", err)}
}

// handle executes one client message. An error ends the session.
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
		s.beginRequest()
		return s.query(m.String)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		s.beginRequest()
		return s.handleExtended(message)
	case *pgproto3.Flush:
		return s.flushBatch()
	case *pgproto3.FunctionCall:
		return s.refuseQuery(proxy.Refuse(proxy.FeatureNotSupported, "function calls by protocol message are not supported"))
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // the rest of a COPY that has failed
	}
	return &fatalError{proxy.Refuse(proxy.ProtocolViolation, "unexpected message %T", message)}
}

// handleExtended executes an extended-query message that the instance answers.
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

// finish ends the session: it closes the acquired connection, which rolls back an open
// transaction, unregisters the session and sends the reason to the client.
func (s *session) finish(err error) {
	s.stopTimer()
	s.closeAcquired()
	s.clearAcquired()
	s.server.unregister(s)
	s.stop()
	s.server.metrics.sessions.Update(int64(s.server.sessionCount()))
	s.mu.Lock()
	endReason := s.endReason
	s.mu.Unlock()
	refusal := endReason
	var fatalErr *fatalError
	if refusal == nil && errors.As(err, &fatalErr) {
		refusal = fatalErr.refusal
	}
	if refusal == nil {
		return
	}
	final := *refusal
	if endReason != nil && s.flushed {
		final.Outcome = proxy.Unknown
	}
	s.server.metrics.countRefusal(&final)
	s.mu.Lock()
	s.finishing = true
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.server.Limits.FinalWriteTimeout))
	s.mu.Unlock()
	if s.out.send(errorResponse(&final, severityFatal)) == nil {
		_ = s.out.flush()
	}
}

// end ends the session. It is called by other goroutines. Unless immediately is set, a
// busy session ends at its next transaction boundary.
func (s *session) end(refusal *proxy.Refusal, immediately bool) {
	s.mu.Lock()
	s.draining = true
	if s.endReason != nil || (s.busy && !immediately) {
		s.mu.Unlock()
		return
	}
	s.endReason = refusal
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	deadline := time.Now().Add(s.server.Limits.FinalWriteTimeout)
	if s.connection.waitingSince.Load() != 0 {
		deadline = time.Unix(1, 0) // a client that does not read gets no error either
	}
	_ = s.conn.SetWriteDeadline(deadline)
	s.mu.Unlock()
	s.stop()
	s.closeAcquired()
}

// authorize checks the client identity against the document in force and updates the
// session's grant.
func (s *session) authorize() *proxy.Refusal {
	document, revision := s.server.Catalog.Current()
	if document != nil && revision == s.grant.revision && revision != 0 {
		return nil
	}
	granted, refusal := grantFor(document, revision, s.client)
	if refusal != nil {
		return refusal
	}
	s.mu.Lock()
	s.grant = granted
	s.mu.Unlock()
	return nil
}

// statusLine returns the session's entry on the status page.
func (s *session) statusLine() SessionStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return SessionStatus{
		Process:     s.process,
		Address:     s.conn.RemoteAddr().String(),
		Account:     s.grant.account.ID,
		Route:       s.client.route,
		Busy:        s.busy,
		Transaction: s.inTransaction,
	}
}
