package proxy

import (
	"errors"
	"fmt"
	"time"
)

// RequestID identifies one statement of a client. Empty for statements that the
// host issues itself.
type RequestID string

// Verb tells what a statement does, independent of the wire format.
type Verb uint8

// The verbs of a statement. Reset and below are issued by hosts only.
const (
	Begin Verb = iota + 1
	BeginRead
	Commit
	Rollback
	ReadItem
	WriteItem
	SetValue
	Prepare
	Execute
	Deallocate
	Reset
	Inspect
	StepDown
)

var verbNames = [...]string{
	"", "begin", "begin-read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate",
	"reset", "inspect", "step-down",
}

// String returns the verb's name as it appears in logs.
func (v Verb) String() string {
	if int(v) < len(verbNames) {
		return verbNames[v]
	}
	return fmt.Sprintf("verb-%d", uint8(v))
}

// Statement is one statement of a session.
type Statement struct {
	ID   RequestID
	Verb Verb
	// Name is the session value or the prepared statement that it concerns.
	Name string
	// Writes reports that a Prepare declares a statement that writes.
	Writes bool
	// Text is the statement as the client sent it. It is forwarded unchanged.
	Text string
	// Term is the new term of a StepDown.
	Term Term
}

// TransactionState is the state of a session after a statement.
type TransactionState uint8

// The states of a session.
const (
	// OutsideTransaction is the state between operations.
	OutsideTransaction TransactionState = iota
	// InTransaction accepts further statements.
	InTransaction
	// FailedTransaction accepts only the end of the transaction, which rolls back.
	FailedTransaction
)

// Code classifies a failed statement.
type Code uint8

// The codes of a failure. Those up to Full are promises to the client: nothing
// of its attempt is kept.
const (
	// Busy refuses a statement that has not run.
	Busy Code = iota + 1
	// Aborted ends an attempt of which nothing is kept.
	Aborted
	// Lagging is an instance's answer when its log lacks a position.
	Lagging
	// ReadOnly is an instance's answer to a write when it is not the primary.
	ReadOnly
	// Misrouted is an instance's answer when another one was expected.
	Misrouted
	// Full is an instance's answer when it has no connection left.
	Full
	// InDoubt says that the statement may have taken effect.
	InDoubt
	// TimedOut says that the statement was not answered in time.
	TimedOut
	// Failed says that the statement ran and failed.
	Failed
	// UnknownStatement is an instance's answer to an unknown prepared name.
	UnknownStatement
	// UnknownKey refuses a key that the configuration does not hold.
	UnknownKey
	// UnknownDatabase refuses a database that no route serves.
	UnknownDatabase
	// Malformed refuses a message that cannot be understood here.
	Malformed
	// TooLarge refuses a message above the size limit.
	TooLarge
)

var codeNames = [...]string{
	"", "busy", "aborted", "lagging", "read-only", "misrouted", "full", "in-doubt", "timed-out", "failed",
	"unknown-statement", "unknown-key", "unknown-database", "malformed", "too-large",
}

// String returns the code's name as it appears in logs.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return fmt.Sprintf("code-%d", uint8(c))
}

// NotRun reports whether an instance that answers with c has not run the
// statement.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, Misrouted, Full, UnknownStatement:
		return true
	default:
		return false
	}
}

// Failure is an unsuccessful answer.
type Failure struct {
	Code Code
	Text string
	// RetryAfter tells the client when to come back; zero where waiting does not
	// help.
	RetryAfter time.Duration
}

// Error returns the code and the text.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Text }

// Answer is the complete answer to one statement.
type Answer struct {
	Rows []string
	// Signature is the instance's proof of the run; empty where the host
	// answered itself.
	Signature string
	// Failure is nil for a successful statement.
	Failure *Failure
	State   TransactionState
	// Position is the answering instance's log position; nil where unknown.
	Position *Bookmark
}

// Order is a statement as it is sent to an instance.
type Order struct {
	Statement Statement
	// After makes the instance refuse with Lagging unless its log holds this
	// position; nil for no bound.
	After *Bookmark
}

// Connection is an open connection to an instance. It belongs to one goroutine
// at a time.
type Connection interface {
	// Exchange sends the orders in one write and returns their answers. After
	// an error the connection must be closed; the orders whose answers are
	// missing may have run.
	Exchange(timeout time.Duration, orders ...Order) ([]Answer, error)
	// Close ends the connection, which rolls back its open transaction.
	Close()
}

// Target names an instance and the account for which a connection to it is
// opened. An instance connection serves one account.
type Target struct {
	Group    GroupID
	Instance InstanceID
	Address  string
	Account  AccountID
}

// Dialer opens connections to instances. A *Failure in the error's chain is the
// instance's own refusal.
type Dialer interface {
	Dial(timeout time.Duration, target Target) (Connection, *Bookmark, error)
	// Connect returns a connection that opens its session with the first exchange,
	// whose orders leave together with the request for a session. An exchange that
	// fails because the instance has refused the session returns ErrNotOpened.
	Connect(timeout time.Duration, target Target) (Connection, error)
}

// ErrNotOpened is returned by the first exchange of a connection whose session the
// instance has refused: the orders have not run. Where the connection was reset
// the instance may have run them, and the error has no *Failure in its chain.
var ErrNotOpened = errors.New("instance has not opened a session")

// Condition is an instance's own report of its replication.
type Condition struct {
	Primary bool
	Term    Term
	// Received is the end of the log that the instance holds.
	Received Bookmark
}

// Caller is the client side of a session. Its errors end the session, except
// that a *Failure is answered to the client.
type Caller interface {
	// Next returns the next statement. It gives up after timeout with
	// ErrIdle if no byte has arrived; zero waits without limit.
	Next(timeout time.Duration) (Statement, error)
	// Interrupt makes a call of Next that waits for the first byte return ErrIdle
	// and reports whether there was one. It is safe for concurrent use.
	Interrupt() bool
	// Reply sends the answer to the last statement.
	Reply(Answer) error
	// Buffered reports whether bytes of a further statement have arrived.
	Buffered() bool
}

// ErrIdle is returned by Caller.Next when the client has sent nothing in time.
var ErrIdle = errors.New("client is idle")
