package proxy

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Execution is a command to run on an instance, on a connection of the account that the
// executing host holds.
type Execution struct {
	Group    GroupID    `cbor:"1,keyasint"`
	Instance InstanceID `cbor:"2,keyasint"`
	Account  AccountID  `cbor:"3,keyasint,omitempty"`
	// Priority is lower for more urgent operations.
	Priority int `cbor:"4,keyasint,omitempty"`
	// Due is the time left until the operation should be answered; it is negative for a
	// late one. Expires is the time left in which an answer is of use.
	Due     time.Duration `cbor:"5,keyasint"`
	Expires time.Duration `cbor:"6,keyasint"`
	// Patience is the longest expected wait for a connection at which the command is
	// accepted; zero for no limit but Expires. With a limit, another instance can be tried.
	Patience time.Duration `cbor:"7,keyasint,omitempty"`
	// Values are the session values under which the command runs, as the texts of the
	// statements that set them, by name.
	Values map[string]string `cbor:"8,keyasint,omitempty"`
	// Preparation is the definition of the prepared statement that the command executes,
	// nil for none.
	Preparation *Statement `cbor:"9,keyasint,omitempty"`
	Command     Command    `cbor:"10,keyasint"`
	// Writes reports that the command changes data, so that it must not be sent before it
	// is certain that the instance has opened the connection's session.
	Writes bool `cbor:"11,keyasint,omitempty"`
	// Hold keeps the connection for further commands, if the command succeeds.
	Hold bool `cbor:"12,keyasint,omitempty"`
	// SuspectedFor is how long ago the asking host found a sign that the instance has
	// restarted and may be cold; zero for none.
	SuspectedFor time.Duration `cbor:"13,keyasint,omitempty"`
}

// Validate implements Message.
func (e *Execution) Validate() error {
	if e.Group == "" || e.Instance == "" {
		return eris.New("execution without a group or an instance")
	}
	if e.Expires < 0 || e.Patience < 0 || e.SuspectedFor < 0 {
		return eris.Errorf("execution expires in %v with patience for %v: want no negative times", e.Expires, e.Patience)
	}
	if e.Command.Statement.Verb < Begin || e.Command.Statement.Verb > Execute {
		return eris.Errorf("execution of %s: hosts run no such command for others", e.Command.Statement.Verb)
	}
	return nil
}

// Cause is the reason why a command was not run.
type Cause uint8

// The causes of a refusal.
const (
	// Crowded means that the wait for a connection was or would have been too long.
	Crowded Cause = iota + 1
	// Unreachable means that the instance was not reached.
	Unreachable
	// Exhausted means that the instance accepts no more connections.
	Exhausted
	// Unrestored means that the instance has not confirmed the session values.
	Unrestored
	// Unserved means that the host does not use the instance, or is about to stop.
	Unserved
	// Disconnected means that the executing host was not reached.
	Disconnected
)

var causeNames = [...]string{"", "crowded", "unreachable", "exhausted", "unrestored", "unserved", "disconnected"}

// String returns the cause's name as it appears in logs.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "unknown"
}

// NotExecuted is the refusal of a command that has not run.
type NotExecuted struct {
	Cause   Cause   `cbor:"1,keyasint"`
	Failure Failure `cbor:"2,keyasint"`
}

// QueueLoad is the load of a host's queue for an instance, and how the instance answers.
type QueueLoad struct {
	// Waiting is the number of operations that wait, Wait the time that another one would.
	Waiting int           `cbor:"1,keyasint,omitempty"`
	Wait    time.Duration `cbor:"2,keyasint,omitempty"`
	// Failing is the share of recent statements that ended without a result, in thousandths.
	Failing int `cbor:"3,keyasint,omitempty"`
	// Service is the usual duration of a statement lately.
	Service time.Duration `cbor:"4,keyasint,omitempty"`
}

// Executed is the result of an execution. One of Answer, Refusal and Unknown is set.
type Executed struct {
	// Answer is the instance's answer.
	Answer *Answer `cbor:"1,keyasint,omitempty"`
	// Refusal is set if the command has not run.
	Refusal *NotExecuted `cbor:"2,keyasint,omitempty"`
	// Unknown says why it is not known whether the command has run.
	Unknown string `cbor:"3,keyasint,omitempty"`
	// Waited is how long the command waited for a connection.
	Waited time.Duration `cbor:"4,keyasint,omitempty"`
	Load   QueueLoad     `cbor:"5,keyasint"`
	// Leaving reports that the executing host is about to stop.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Lost reports that the executing host has not answered. It is set by the host that
	// asked.
	Lost bool `cbor:"-"`
}

// Validate implements Message.
func (e *Executed) Validate() error {
	results := 0
	for _, set := range []bool{e.Answer != nil, e.Refusal != nil, e.Unknown != ""} {
		if set {
			results++
		}
	}
	if results != 1 {
		return eris.Errorf("execution with %d results: want one", results)
	}
	if e.Answer != nil && int(e.Answer.State) > int(FailedTransaction) {
		return eris.Errorf("answer with the unknown state %d", e.Answer.State)
	}
	if e.Load.Failing < 0 || e.Load.Failing > 1000 || e.Load.Service < 0 {
		return eris.Errorf("load with %d thousandths failing and statements of %v: out of range", e.Load.Failing, e.Load.Service)
	}
	return nil
}

// Executor runs commands on instances.
type Executor interface {
	// Execute runs a command. If e.Hold is set and the answer is a success, the result is
	// returned with the connection that was kept; otherwise that is nil.
	Execute(ctx context.Context, e Execution) (Executed, HeldConnection)
}

// HeldConnection is an instance connection that is kept for a transaction. Only one
// goroutine may use it at a time.
type HeldConnection interface {
	// Execute runs a further command. The connection is released after an answer outside
	// any transaction, or without an answer; then released is true.
	Execute(ctx context.Context, e Execution) (result Executed, released bool)
	// Release rolls back the open transaction and releases the connection.
	Release()
}
