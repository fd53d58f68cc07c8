package entry

import (
	"errors"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/budget"
)

const (
	// messageCopies and answerCopies are the numbers of copies of a large message and of a
	// large answer that exist at once: as read or encoded, as decoded, and, of a message, as
	// encoded for an instance or another host.
	messageCopies = 3
	answerCopies  = 2
	// maxUnkept is the size of an answer in bytes up to which it is not accounted for.
	maxUnkept = 1 << 10
	// maxStateSize limits the values and prepared statements of a session, in bytes.
	// definitionSize is what each of them takes beside its text.
	maxStateSize   = 2 << 20
	definitionSize = 128
	// maxIdleState is the size of a session's values and prepared statements, in bytes, up to
	// which it is not closed in favour of others while it waits for its client's next message.
	maxIdleState = 16 << 10
	// memoryRetry is the time after which a client may retry a statement for which there was
	// no memory.
	memoryRetry = 200 * time.Millisecond
)

// clientMemory accounts for the memory of a client connection.
type clientMemory struct {
	holder *budget.Holder
	clock  proxy.Clock
	// message and state are the reserved bytes for the message or answer at hand and for the
	// session's values and prepared statements.
	message, state int64
	// serving reports that the client waits for this host, or may pause.
	serving bool
	// ended reports that the connection was closed in favour of others.
	ended atomic.Bool
}

var _ proxy.ConnMemory = (*clientMemory)(nil)

// joinMemory accounts for a client connection until the returned function is called.
func (h *Host) joinMemory(conn net.Conn) (*clientMemory, func()) {
	m := &clientMemory{clock: h.Clock}
	m.holder = h.Memory.Join(h.Clock.Now(), func() {
		m.ended.Store(true)
		_ = conn.Close()
	})
	return m, m.holder.Leave
}

// Keep implements proxy.ConnMemory.
func (m *clientMemory) Keep(size int) bool {
	if size > 0 {
		m.setServing(false)
	}
	return m.resize(int64(messageCopies*size), m.state)
}

// setIdle records that the client has accepted an answer and may take any time until its
// next message.
func (m *clientMemory) setIdle() {
	m.Keep(0)
	m.setServing(m.state > 0 && m.state <= maxIdleState)
}

// Progress implements proxy.ConnMemory.
func (m *clientMemory) Progress() { m.holder.Progress(m.clock.Now()) }

func (m *clientMemory) resize(message, state int64) bool {
	if message == m.message && state == m.state {
		return true
	}
	if !m.holder.Resize(m.clock.Now(), message+state) {
		return false
	}
	m.message, m.state = message, state
	return true
}

// setServing records whether the client waits for this host or may pause. Connections without a
// reservation are left out.
func (m *clientMemory) setServing(serving bool) {
	if serving == m.serving || serving && m.message == 0 && m.state == 0 {
		return
	}
	m.serving = serving
	m.holder.SetServing(m.clock.Now(), serving)
}

// keepAnswer accounts for an answer, in place of the statement, until the next message. It
// returns false if there is no memory for it.
func (m *clientMemory) keepAnswer(a proxy.Answer) bool {
	size := 0
	for _, row := range a.Rows {
		size += len(row)
	}
	if size <= maxUnkept {
		size = 0
	}
	return m.resize(int64(answerCopies*size), m.state)
}

// limitAnswer returns the answer, or a failure if there is no memory for the rows of a
// read.
func (s *session) limitAnswer(st proxy.Statement, answer proxy.Answer) proxy.Answer {
	defer s.memory.setServing(false)
	if len(answer.Rows) == 0 || s.memory.keepAnswer(answer) {
		return answer
	}
	s.memory.Keep(0)
	if s.writes(st) {
		// Its outcome must not be withheld.
		return answer
	}
	failure := &proxy.Failure{Code: proxy.Busy, Text: "host has no memory for the answer", RetryAfter: memoryRetry}
	if s.transaction != nil {
		return s.abortTransaction(failure)
	}
	return s.failure(failure)
}

// keepState accounts for the session's values and prepared statements, of the given sizes
// in bytes.
func (s *session) keepState(valuesSize, preparedSize int) *proxy.Failure {
	if valuesSize+preparedSize > maxStateSize {
		return &proxy.Failure{Code: proxy.TooLarge, Text: "session has too many values and prepared statements"}
	}
	if !s.memory.resize(s.memory.message, int64(valuesSize+preparedSize)) {
		return &proxy.Failure{Code: proxy.Busy, Text: "host has no memory for the session", RetryAfter: memoryRetry}
	}
	s.valuesSize, s.preparedSize = valuesSize, preparedSize
	return nil
}

// sizeOfDefinition returns the size of a value or prepared statement, in bytes.
func sizeOfDefinition(text string) int {
	if text == "" {
		return 0
	}
	return len(text) + definitionSize
}

// recordEnd counts and logs the end of a client connection that this host has closed: in
// favour of others, or because the client did not go on with err.
func (s *session) recordEnd(err error, reading bool) {
	reason := ""
	switch {
	case s.memory.ended.Load():
		reason = "memory"
		s.host.Metrics.endedMemory.Inc(1)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return
	case reading:
		reason = "unfinished"
		s.host.Metrics.endedUnfinished.Inc(1)
	default:
		reason = "unread"
		s.host.Metrics.endedUnread.Inc(1)
	}
	if !s.host.logLimit.allow(s.host.Clock.Now()) {
		s.host.Metrics.unlogged.Inc(1)
		return
	}
	s.host.Log.Info().Uint64("session", s.id).Str("database", limited(s.database)).Str("reason", reason).
		Int64("reserved", s.memory.message+s.memory.state).Msg("client connection closed")
}

// limited returns the beginning of a client's text for the log, as a copy that does not
// keep the rest of the text in memory.
func limited(text string) string { return strings.Clone(shorten(text)) }
