package frontend

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/statement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/budget"
)

// What a connection reserves for its stack and buffers, in bytes. It is half of what they
// occupy, since a budget allows as many bytes of garbage as are reserved.
const (
	connectionMemory = 8 << 10
	encryptionMemory = 16 << 10
)

// Memory that the parts of a session's state reserve beside their texts, in bytes.
const (
	definitionMemory = 256
	portalMemory     = 128
	settingMemory    = 128
	statementMemory  = 128
)

// rememberedMemory is the state in bytes above which an idle session can be ended in favour
// of others.
const rememberedMemory = 64 << 10

// client is a client connection and what it reserves from the server's budget. Only the
// goroutine that serves the connection accesses the sizes.
type client struct {
	net.Conn
	server  *Server
	holder  *budget.Holder
	session atomic.Pointer[session] // nil before authentication
	// waitingSince is the proxy.Instant since which a read before authentication, or the
	// rest of a message, or a write waits for the other end; zero if none does.
	waitingSince atomic.Int64
	// idleSince is the proxy.Instant since which the client has sent nothing inside a
	// transaction; zero outside one and while a request runs.
	idleSince atomic.Int64

	base       int64
	message    int64
	remembered int64
	batch      int64
	unsent     int64
	reply      int64
}

// newClient joins a connection to the budget. The caller must call leave.
func (s *Server) newClient(conn net.Conn) (c *client, leave func(), ok bool) {
	c = &client{Conn: conn, server: s}
	c.holder = s.Budget.Join(s.Clock.Now(), c.end)
	c.holder.SetServing(s.Clock.Now(), true)
	size := int64(connectionMemory)
	if s.TLS != nil {
		size += encryptionMemory
	}
	return c, c.holder.Leave, c.reserve(&c.base, size)
}

// reserve sets what a part of the connection reserves. It returns false and changes
// nothing if the budget does not suffice.
func (c *client) reserve(part *int64, size int64) bool {
	previous := *part
	if size == previous {
		return true
	}
	*part = size
	if c.holder.Resize(c.server.Clock.Now(), c.base+c.message+c.remembered+c.batch+c.unsent+c.reply) {
		return true
	}
	*part = previous
	return false
}

// keepUnsent keeps what is reserved for a long message that waits in the batch for the next
// messages, in place of what was reserved for reading it.
func (c *client) keepUnsent(size int64) {
	if size <= maxBatchBytes {
		size = 0
	}
	c.message -= min(c.message, max(size-c.unsent, 0))
	c.reserve(&c.unsent, size)
}

// setWaiting records whether the host waits for the other end of the connection.
func (c *client) setWaiting(waiting bool) {
	now := c.server.Clock.Now()
	since := proxy.Instant(0)
	if waiting {
		since = max(now, 1)
	}
	c.waitingSince.Store(int64(since))
	c.holder.SetServing(now, !waiting)
}

// stalled reports whether the connection has made the host wait for at least the limit.
func (c *client) stalled(now proxy.Instant, limit time.Duration) bool {
	since := c.waitingSince.Load()
	return since != 0 && now.Sub(proxy.Instant(since)) >= limit
}

// Read reads before authentication, when any wait for the client counts.
func (c *client) Read(p []byte) (int, error) {
	if c.session.Load() != nil {
		return c.Conn.Read(p)
	}
	c.setWaiting(true)
	defer c.setWaiting(false)
	return c.Conn.Read(p)
}

// end ends the connection in favour of others. It is called by the budget.
func (c *client) end() {
	go c.server.reportEnded(reasonMemory)
	c.close(proxy.Refuse(outOfMemory, "session ended: the host's memory is needed for other clients"))
}

// close ends the connection without waiting for it.
func (c *client) close(refusal *proxy.Refusal) {
	if s := c.session.Load(); s != nil {
		go s.end(refusal, true)
		return
	}
	_ = c.SetDeadline(time.Unix(1, 0))
}

// waitForRest is called before and after a read that waits for the rest of a message.
func (s *session) waitForRest(begins bool) {
	s.connection.setWaiting(begins)
	if !begins {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason == nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.server.Limits.StallTimeout))
		s.hasReadDeadline = true
	}
}

// Write writes to the client. It fails if the client does not take progressSize bytes
// within Limits.StallTimeout.
func (s *session) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := s.beginWrite(); err != nil {
			return written, err
		}
		s.connection.setWaiting(true)
		n, err := s.conn.Write(p[written:min(len(p), written+progressSize)])
		s.connection.setWaiting(false)
		written += n
		if err != nil {
			if isTimeout(err) && !s.hasEnded() {
				s.server.reportEnded(reasonNotReading)
			}
			return written, err
		}
	}
	return written, nil
}

func (s *session) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endReason != nil || s.finishing
}

// beginWrite sets the deadline of a write. A deadline of which more than half is left
// stays, so that a short reply needs none of its own.
func (s *session) beginWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endReason != nil || s.finishing {
		return nil // end or finish has set the deadline
	}
	now := time.Now()
	if s.writeDeadline.Sub(now) > s.server.Limits.StallTimeout/2 {
		return nil
	}
	s.writeDeadline = now.Add(s.server.Limits.StallTimeout)
	return s.conn.SetWriteDeadline(s.writeDeadline)
}

// endStalled ends the sessions for which reason returns one. It does nothing if it was called
// less than stallScanInterval ago.
func (s *Server) endStalled(reason func(*session, proxy.Instant) endReason) {
	now := s.Clock.Now()
	last := s.lastStallScan.Load()
	if now.Sub(proxy.Instant(last)) < stallScanInterval || !s.lastStallScan.CompareAndSwap(last, int64(now)) {
		return
	}
	for _, session := range s.allSessions() {
		switch r := reason(session, now); r {
		case reasonStalled:
			s.reportEnded(r)
			session.connection.close(proxy.Refuse(proxy.ConnectionFailure,
				"session ended: the client has stopped in the middle of a message or of an answer"))
		case reasonTransaction:
			s.reportEnded(r)
			session.connection.close(proxy.Refuse(proxy.IdleInTransactionLimit,
				"no message for %v inside a transaction whose connection others wait for", s.Limits.TransactionStallTime))
		}
	}
}

// stallReason returns reasonStalled if the client has made the host wait for StallTime.
func (s *session) stallReason(now proxy.Instant) endReason {
	if s.connection.stalled(now, s.server.Limits.StallTime) {
		return reasonStalled
	}
	return ""
}

// endStalledDuring calls endStalled at each StallTime until the returned function is called.
func (s *Server) endStalledDuring(reason func(*session, proxy.Instant) endReason) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(s.Limits.StallTime, func() {
		s.endStalled(reason)
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer.Reset(s.Limits.StallTime)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// evictStarting ends a connection that is not authenticated and has made the host wait. The
// caller holds s.mu.
func (s *Server) evictStarting() bool {
	now := s.Clock.Now()
	for c := range s.starting {
		if c.stalled(now, s.Limits.StartupStallTime) {
			s.reportEnded(reasonStalled)
			delete(s.starting, c)
			_ = c.SetDeadline(time.Unix(1, 0))
			return true
		}
	}
	return false
}

// evictIdle ends an idle session of an account key that has more than half of the sessions,
// in favour of a session of another key. The caller holds s.mu.
func (s *Server) evictIdle(inFavourOf *session) bool {
	counts := make(map[proxy.KeyID]int)
	for _, session := range s.sessions {
		counts[session.client.key]++
	}
	refusal := proxy.Refuse(proxy.TooManyConnections,
		"session ended: this account key has more than half of the host's client connections")
	for _, session := range s.sessions {
		key := session.client.key
		if counts[key] > s.Limits.Sessions/2 && key != inFavourOf.client.key && session.endIfIdle(refusal) {
			s.reportEnded(reasonShare)
			return true
		}
	}
	return false
}

// endIfIdle ends the session if it is waiting for the next request of its client, and not
// in a transaction.
func (s *session) endIfIdle(refusal *proxy.Refusal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.endReason != nil {
		return false
	}
	s.endReason = refusal
	_ = s.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// stallScanInterval limits how often all sessions are examined.
const stallScanInterval = 100 * time.Millisecond

// freeStatements is the number of statements in a text that are not reserved for.
const freeStatements = 32

// classify classifies the statements of a text. There can be one for each two bytes.
func (s *session) classify(text string) ([]statement.Statement, *proxy.Refusal) {
	most := strings.Count(text, ";")
	if most > freeStatements && !s.connection.reserve(&s.connection.batch, int64(statementMemory*most)) {
		s.server.metrics.unreserved.Inc(1)
		return nil, proxy.Refuse(outOfMemory, "out of memory for a text of about %d statements", most)
	}
	return statement.Classify(text), nil
}

// beginIdle and endIdle surround the wait for the next message. Meanwhile a session with
// much state, or with a long message that it has not sent yet, can be ended in favour of
// others.
func (s *session) beginIdle() {
	s.connection.keepUnsent(int64(len(s.batch.messages)))
	s.connection.reserve(&s.connection.remembered, int64(s.state.memory()))
	if s.acquired != nil {
		s.connection.idleSince.Store(max(1, int64(s.server.Clock.Now())))
	}
	if s.connection.remembered+s.connection.unsent > rememberedMemory {
		s.connection.holder.SetServing(s.server.Clock.Now(), false)
	}
}

func (s *session) endIdle() {
	s.connection.idleSince.Store(0)
	if s.connection.remembered+s.connection.unsent > rememberedMemory {
		s.connection.holder.SetServing(s.server.Clock.Now(), true)
	}
}

// reserveState reserves memory for an addition to the session's state.
func (s *session) reserveState(addition int) *proxy.Refusal {
	if s.connection.reserve(&s.connection.remembered, int64(s.state.memory()+addition)) {
		return nil
	}
	s.server.metrics.unreserved.Inc(1)
	return proxy.Refuse(outOfMemory, "out of memory for the state of the session")
}

// endedRefusal returns the refusal that ends a session. The outcome is unknown if a part of
// the current request was sent to the instance.
func (s *session) endedRefusal(state proxy.SQLState, format string, args ...any) *proxy.Refusal {
	if s.flushed {
		return proxy.UnknownOutcome(state, format, args...)
	}
	return proxy.Refuse(state, format, args...)
}

// fit lowers MessageBytes to what the budget holds, also of a prepared statement, whose
// text is remembered.
func (l *Limits) fit(b *budget.Budget) {
	if b.Limit > 0 {
		l.MessageBytes = min(l.MessageBytes, int(b.Limit-b.Kept)/(messageCopies+1)-connectionMemory-encryptionMemory)
	}
}

// endReason names why a connection was ended, in metrics and logs.
type endReason string

const (
	reasonMemory      endReason = "memory"
	reasonStalled     endReason = "stalled"
	reasonNotReading  endReason = "unread"
	reasonHalfMessage endReason = "unsent"
	reasonShare       endReason = "share"
	reasonTransaction endReason = "transaction"
)

// endedLogBurst is the number of ended connections that are logged within a second.
const endedLogBurst = 5

// reportEnded counts and logs a connection that is ended because of its client.
func (s *Server) reportEnded(reason endReason) {
	s.metrics.ended[reason].Inc(1)
	s.endedLog.Warn().Str("reason", string(reason)).Int64("reserved", s.Budget.Used()).Msg("client connection ended")
}
