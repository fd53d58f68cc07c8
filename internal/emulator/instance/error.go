package instance

import (
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// SQLSTATEs that package proxy does not declare, from appendix A of
// PostgreSQL's manual.
const (
	stateNotNull            proxy.SQLState = "23502"
	stateUnique             proxy.SQLState = "23505"
	stateInvalidText        proxy.SQLState = "22P02"
	stateInvalidBinary      proxy.SQLState = "22P03"
	stateInvalidCopy        proxy.SQLState = "22P04"
	stateOutOfRange         proxy.SQLState = "22003"
	stateDivisionByZero     proxy.SQLState = "22012"
	stateCharacter          proxy.SQLState = "22021"
	stateActiveTransaction  proxy.SQLState = "25001"
	stateNoTransaction      proxy.SQLState = "25P01"
	stateFailedTransaction  proxy.SQLState = "25P02"
	stateUndefinedPortal    proxy.SQLState = "34000"
	stateInvalidSavepoint   proxy.SQLState = "3B001"
	stateDeadlock           proxy.SQLState = "40P01"
	stateSyntax             proxy.SQLState = "42601"
	stateUndefinedColumn    proxy.SQLState = "42703"
	stateUndefinedObject    proxy.SQLState = "42704"
	stateDatatypeMismatch   proxy.SQLState = "42804"
	stateGrouping           proxy.SQLState = "42803"
	stateUndefinedFunction  proxy.SQLState = "42883"
	stateUndefinedTable     proxy.SQLState = "42P01"
	stateUndefinedParameter proxy.SQLState = "42P02"
	stateDuplicatePortal    proxy.SQLState = "42P03"
	stateNotInPrerequisite  proxy.SQLState = "55000"
	stateCannotChange       proxy.SQLState = "55P02"
)

// Error is an error that a client receives as an ErrorResponse.
type Error struct {
	State proxy.SQLState
	Text  string
}

// Error returns the text and the SQLSTATE.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (SQLSTATE %s)", e.Text, e.State)
}

func errorf(state proxy.SQLState, format string, args ...any) *Error {
	return &Error{State: state, Text: fmt.Sprintf(format, args...)}
}

// errorResponse converts err to a message of the given severity.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	e := errorf(proxy.InternalInconsistency, "%v", err)
	errors.As(err, &e)
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(e.State),
		Message:             e.Text,
	}
}

// Errors of reading the log for a replica.
var (
	errCut = errors.New("replication is cut")
	// errDiverged, also an answer to replicas: the log does not contain the end of the reader's log.
	errDiverged = errors.New("the log does not continue the reader's")
)
