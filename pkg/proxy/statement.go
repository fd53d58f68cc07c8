package proxy

import (
	"errors"
	"fmt"
	"time"
)

// RequestID identifies one statement of a client. It is empty for statements that
// the host issues itself.
type RequestID string

// Verb is the operation of a statement, independent of the wire format.
type Verb uint8

// The verbs of a statement. Reset, Inspect and StepDown are issued only by hosts.
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
	ID   RequestID `cbor:"1,keyasint,omitempty"`
	Verb Verb      `cbor:"2,keyasint"`
	// Name is the name of the session value or prepared statement that the
	// statement sets or uses.
	Name string `cbor:"3,keyasint,omitempty"`
	// Writes reports, for a Prepare, that the prepared statement writes.
	Writes bool `cbor:"4,keyasint,omitempty"`
	// Text is the statement as the client sent it. It is forwarded unchanged, except
	// that Alias replaces Name.
	Text string `cbor:"5,keyasint,omitempty"`
	// Alias is the name under which instances know a prepared statement; empty to use
	// Name. Sessions share connections and choose the same names, so each definition
	// has an alias of its own.
	Alias string `cbor:"6,keyasint,omitempty"`
	// Term is the new term of a StepDown.
	Term Term `cbor:"7,keyasint,omitempty"`
}

// TransactionState is the transaction state of a session after a statement.
type TransactionState uint8

// The transaction states of a session.
const (
	// OutsideTransaction means that no transaction is open.
	OutsideTransaction TransactionState = iota
	// InTransaction means that a transaction is open and accepts statements.
	InTransaction
	// FailedTransaction means that the open transaction accepts only its end, which
	// rolls it back.
	FailedTransaction
)

// Code classifies a failed statement.
type Code uint8

// The codes of a failure. Those up to Full guarantee to the client that its attempt
// has had no lasting effect.
const (
	// Busy means that the statement was refused and has not run.
	Busy Code = iota + 1
	// Aborted means that the attempt has ended without any lasting effect.
	Aborted
	// Lagging is an instance's answer if it has not replayed the required position.
	Lagging
	// ReadOnly is an instance's answer to a write if it is not the primary.
	ReadOnly
	// Misrouted is an instance's answer if the request was meant for another
	// instance.
	Misrouted
	// Full is an instance's answer if it accepts no more connections.
	Full
	// InDoubt means that the statement may have taken effect.
	InDoubt
	// TimedOut means that the statement was not answered in time.
	TimedOut
	// Failed means that the statement ran and failed.
	Failed
	// UnknownStatement is an instance's answer to the name of a prepared statement
	// that it does not have.
	UnknownStatement
	// UnknownKey means that the configuration has no such key.
	UnknownKey
	// UnknownDatabase means that no route serves the database.
	UnknownDatabase
	// Malformed means that the message is invalid, or not allowed at this point.
	Malformed
	// TooLarge means that the message exceeds the size limit.
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

// NotRun reports whether a statement that an instance answered with c has not run.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, Misrouted, Full, UnknownStatement:
		return true
	default:
		return false
	}
}

// Failure is the error of a failed or refused statement.
type Failure struct {
	Code Code   `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the time after which the client should retry; zero if waiting
	// does not help.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Error returns the code and the text.
func (f *Failure) Error() string { return f.Code.String() + ": " + f.Text }

// Answer is the complete answer to one statement.
type Answer struct {
	Rows []string `cbor:"1,keyasint,omitempty"`
	// Signature proves that the instance ran the statement. It is empty if the host
	// answered the statement itself.
	Signature string `cbor:"2,keyasint,omitempty"`
	// Failure is nil for a successful statement.
	Failure *Failure         `cbor:"3,keyasint,omitempty"`
	State   TransactionState `cbor:"4,keyasint,omitempty"`
	// Position is the log position of the instance that answered, or nil if it is
	// not known.
	Position *Bookmark `cbor:"5,keyasint,omitempty"`
	// Dropped reports that this host had no memory for the rows. Failure is set then.
	Dropped bool `cbor:"-"`
}

// Command is a statement as it is sent to an instance.
type Command struct {
	Statement Statement `cbor:"1,keyasint"`
	// After is the minimum position: the instance refuses the statement with Lagging
	// if its log does not contain it. Nil sets no minimum.
	After *Bookmark `cbor:"2,keyasint,omitempty"`
}

// Connection is a connection to an instance. Only one goroutine may use it at a
// time.
type Connection interface {
	// Exchange sends the commands in one write and returns their answers. After
	// an error the connection must be closed, and the commands without an answer
	// may have run.
	Exchange(timeout time.Duration, commands ...Command) ([]Answer, error)
	// Alive reports whether the instance has neither closed the idle connection nor sent
	// anything on it, as far as this host has been told.
	Alive() bool
	// Close closes the connection, which rolls back its open transaction.
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

// Dialer opens connections to instances. An error whose chain has a *Failure means
// that the instance refused the session with that failure.
type Dialer interface {
	// Dial returns a connection with an open session and the log position that the
	// instance reported when it opened the session.
	Dial(timeout time.Duration, target Target) (Connection, *Bookmark, error)
	// DialDeferred returns a connection that opens its session with the first
	// exchange: the commands are sent together with the startup message. If the
	// instance refuses the session, that exchange returns ErrNotOpened.
	DialDeferred(timeout time.Duration, target Target) (Connection, error)
}

// ErrNotOpened is returned by the first exchange of a connection if the instance
// refused the session and the commands have not run. It is also returned if the
// connection was reset or closed before the answer arrived. The commands may then
// have run, and the error has no *Failure in its chain.
var ErrNotOpened = errors.New("instance has not opened a session")

// ReplicationStatus is the replication status that an instance reports of itself.
type ReplicationStatus struct {
	Primary bool
	Term    Term
	// Received is the end of the log that the instance has received.
	Received Bookmark
}

// ClientConn is the connection of a client. Its errors end the session, except that
// a *Failure is sent to the client as the answer.
type ClientConn interface {
	// Next returns the next statement. It returns ErrIdle if no byte of a statement
	// arrives within timeout; zero waits without limit.
	Next(timeout time.Duration) (Statement, error)
	// Interrupt makes a call of Next that waits for the first byte of a statement
	// return ErrIdle, and reports whether there was such a call. It is safe for
	// concurrent use.
	Interrupt() bool
	// Reply sends the answer to the last statement.
	Reply(Answer) error
	// Buffered reports whether bytes of a further statement have arrived.
	Buffered() bool
}

// ConnMemory accounts for the memory of a connection, which shares a budget with others.
type ConnMemory interface {
	// Keep sets the number of bytes that the connection keeps of the message that it reads.
	// It returns false if the host has no memory for them.
	Keep(size int) bool
	// Progress records that the other end has sent or accepted a fair number of bytes.
	Progress()
}

// ErrIdle is returned by ClientConn.Next if the client sends nothing in time.
var ErrIdle = errors.New("client is idle")
