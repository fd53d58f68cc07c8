package frontend

import (
	"fmt"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/replies"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// replyCopies is how often a long reply other than rows and COPY data is in memory: as it
// was read, and in the buffer of the connection to the client.
const replyCopies = 2

// unread returns the number of bytes of the instance that were received and not read.
func (a *acquiredConn) unread() int {
	n := a.frontend.ReadBufferLen()
	if a.replies != nil {
		n += a.replies.Buffered()
	}
	return n
}

// untrack makes long replies readable as a whole again, for the next user of the connection.
func (a *acquiredConn) untrack() {
	if a.replies != nil {
		a.replies.Untrack()
	}
}

func (s *session) reserveReply(size int) bool {
	// The Frontend keeps the memory of the reply, so that the connection is not used again.
	s.acquired.suspect = true
	if s.connection.reserve(&s.connection.reply, int64(replyCopies*size)) {
		return true
	}
	s.server.metrics.unreserved.Inc(1)
	return false
}

// receiveLong passes a long row or long COPY data to the client in pieces, as fast as the
// client reads it.
func (s *session) receiveLong() error {
	kind, message, err := s.acquired.replies.Long()
	if err != nil {
		return s.handleConnectionLoss(err)
	}
	head := &s.queue[0]
	if head.matchReply(longReply(kind)) == unexpectedReply {
		s.reportViolation("message %T does not answer the oldest request", longReply(kind))
		return s.handleConnectionLoss(errUnexpected)
	}
	if !s.held.empty() {
		if s.held.commit || s.endsBatch() {
			err = s.unconfirmed(proxy.UnknownOutcome(proxy.OutcomeUnknown,
				"the commit is not confirmed before further results of the same query"))
		} else {
			err = s.passHeld()
		}
		if err != nil {
			return err
		}
	}
	if head.hidden || s.discardReplies {
		if _, err := io.Copy(io.Discard, message); err != nil || message.N > 0 {
			return s.handleConnectionLoss(io.ErrUnexpectedEOF)
		}
		return nil
	}
	return s.passPieces(message)
}

func longReply(kind byte) pgproto3.BackendMessage {
	if kind == replies.CopyData {
		return &pgproto3.CopyData{}
	}
	return &pgproto3.DataRow{}
}

// passPieces passes a message to the client. An error inside the message ends the session
// without another message, which the client would take for the message's rest.
func (s *session) passPieces(message *io.LimitedReader) error {
	var piece [4 << 10]byte
	for {
		n, err := message.Read(piece[:])
		if err := s.out.sendRaw(piece[:n]); err != nil {
			return err
		}
		if message.N == 0 {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read a row of the instance: %w", err)
		}
	}
}
