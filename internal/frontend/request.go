package frontend

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/internal/statement"
)

// requestKind is the kind of a request to the instance.
type requestKind uint8

const (
	requestQuery requestKind = iota + 1
	requestParse
	requestBind
	requestDescribeStatement
	requestDescribePortal
	requestExecute
	requestCloseStatement
	requestClosePortal
	requestSync
	requestAbort // invalid SQL that aborts the transaction
)

// request is a message that the instance will answer.
type request struct {
	kind requestKind
	// hidden is set for requests that the proxy has added. Their replies are not
	// passed to the client.
	hidden     bool
	name       string // of the prepared statement or portal
	definition *definition
	// previous is the session's definition that a Parse or Close has replaced.
	previous *definition
	// parsed is the connection's definition that a Parse or Close has replaced.
	parsed     *definition
	statements []statement.Statement
	completed  int // number of statements that have completed
}

// replyMatch is the relation of a message to a request.
type replyMatch uint8

const (
	unexpectedReply replyMatch = iota
	partialReply               // more replies to the request follow
	finalReply
)

// matchReply reports whether a message may be a reply to the request. The caller
// handles ErrorResponse.
func (r *request) matchReply(message pgproto3.BackendMessage) replyMatch {
	switch r.kind {
	case requestQuery:
		return matchQueryReply(message)
	case requestExecute:
		return matchExecuteReply(message)
	case requestParse:
		if _, ok := message.(*pgproto3.ParseComplete); ok {
			return finalReply
		}
	case requestBind:
		if _, ok := message.(*pgproto3.BindComplete); ok {
			return finalReply
		}
	case requestCloseStatement, requestClosePortal:
		if _, ok := message.(*pgproto3.CloseComplete); ok {
			return finalReply
		}
	case requestSync:
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			return finalReply
		}
	case requestDescribeStatement, requestDescribePortal:
		return r.matchDescribeReply(message)
	}
	return unexpectedReply
}

func (r *request) matchDescribeReply(message pgproto3.BackendMessage) replyMatch {
	switch message.(type) {
	case *pgproto3.ParameterDescription:
		if r.kind == requestDescribeStatement {
			return partialReply
		}
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return finalReply
	}
	return unexpectedReply
}

func matchQueryReply(message pgproto3.BackendMessage) replyMatch {
	switch message.(type) {
	case *pgproto3.ReadyForQuery:
		return finalReply
	case *pgproto3.RowDescription, *pgproto3.PortalSuspended:
		return partialReply
	}
	if matchExecuteReply(message) != unexpectedReply {
		return partialReply
	}
	return unexpectedReply
}

func matchExecuteReply(message pgproto3.BackendMessage) replyMatch {
	switch message.(type) {
	case *pgproto3.DataRow, *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyData, *pgproto3.CopyDone:
		return partialReply
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return finalReply
	}
	return unexpectedReply
}

// encodedMessages is a sequence of encoded messages of a client.
type encodedMessages []byte

// Frontend implements pgproto3.FrontendMessage.
func (encodedMessages) Frontend() {}

// Decode implements pgproto3.Message. It is not used.
func (encodedMessages) Decode([]byte) error { return nil }

// Encode implements pgproto3.Message. It appends the messages as they are.
func (r encodedMessages) Encode(dst []byte) ([]byte, error) { return append(dst, r...), nil }
