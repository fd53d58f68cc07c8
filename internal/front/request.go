package front

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/statement"
)

// requestKind is a kind of message that the instance answers.
type requestKind uint8

const (
	askQuery requestKind = iota + 1
	askParse
	askBind
	askDescribeStatement
	askDescribePortal
	askExecute
	askCloseStatement
	askClosePortal
	askSync
	askFailure // a statement sent to fail the transaction
)

// request is a message that is to be answered by the instance.
type request struct {
	kind requestKind
	// hidden requests were added by the proxy; their replies are not for the client.
	hidden     bool
	name       string
	definition *definition
	// previous is the definition that a Parse or Close has replaced.
	previous *definition
	// parsed is what the connection had under the name before.
	parsed     *definition
	statements []statement.Statement
	done       int // statements that have completed
}

// reply says how a message answers a request.
type reply uint8

const (
	unexpected reply = iota
	partial          // more replies to the request follow
	complete
)

// answers tells whether a message may be a reply to the request. An
// ErrorResponse is examined by the caller.
func (r *request) answers(message pgproto3.BackendMessage) reply {
	switch r.kind {
	case askQuery:
		return answersQuery(message)
	case askExecute:
		return answersExecute(message)
	case askParse:
		if _, ok := message.(*pgproto3.ParseComplete); ok {
			return complete
		}
	case askBind:
		if _, ok := message.(*pgproto3.BindComplete); ok {
			return complete
		}
	case askCloseStatement, askClosePortal:
		if _, ok := message.(*pgproto3.CloseComplete); ok {
			return complete
		}
	case askSync:
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			return complete
		}
	case askDescribeStatement, askDescribePortal:
		return r.answersDescribe(message)
	}
	return unexpected
}

func (r *request) answersDescribe(message pgproto3.BackendMessage) reply {
	switch message.(type) {
	case *pgproto3.ParameterDescription:
		if r.kind == askDescribeStatement {
			return partial
		}
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return complete
	}
	return unexpected
}

func answersQuery(message pgproto3.BackendMessage) reply {
	switch message.(type) {
	case *pgproto3.ReadyForQuery:
		return complete
	case *pgproto3.RowDescription, *pgproto3.PortalSuspended:
		return partial
	}
	if answersExecute(message) != unexpected {
		return partial
	}
	return unexpected
}

func answersExecute(message pgproto3.BackendMessage) reply {
	switch message.(type) {
	case *pgproto3.DataRow, *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyData, *pgproto3.CopyDone:
		return partial
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return complete
	}
	return unexpected
}

// raw is a sequence of encoded messages of a client.
type raw []byte

// Frontend marks raw as sendable to an instance.
func (raw) Frontend() {}

// Decode is not used.
func (raw) Decode([]byte) error { return nil }

// Encode appends the messages as they are.
func (r raw) Encode(dst []byte) ([]byte, error) { return append(dst, r...), nil }
