package proxy

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what is known about the execution of a failed request.
type Outcome uint8

// The outcomes of a failed request.
const (
	// NotRun means that no part of the request can have been executed.
	NotRun Outcome = iota + 1
	// Unknown means that the request may have been executed.
	Unknown
)

// String returns the text that clients see.
func (o Outcome) String() string {
	if o == NotRun {
		return "not run"
	}
	return "outcome unknown"
}

// SQLState is a five-character error code from appendix A of the PostgreSQL
// documentation.
type SQLState string

// The error codes of refusals.
const (
	ConnectionFailure      SQLState = "08006"
	ConnectionRejected     SQLState = "08004"
	ProtocolViolation      SQLState = "08P01"
	OutcomeUnknown         SQLState = "08007"
	FeatureNotSupported    SQLState = "0A000"
	InvalidPassword        SQLState = "28P01"
	InvalidAuthorization   SQLState = "28000"
	InvalidCatalogName     SQLState = "3D000"
	ReadOnlyTransaction    SQLState = "25006"
	TooManyConnections     SQLState = "53300"
	ConfigurationLimit     SQLState = "53400"
	StatementTooComplex    SQLState = "54001"
	QueryCanceled          SQLState = "57014"
	AdminShutdown          SQLState = "57P01"
	CannotConnectNow       SQLState = "57P03"
	InsufficientPrivilege  SQLState = "42501"
	UndefinedPreparedStmt  SQLState = "26000"
	DuplicatePreparedStmt  SQLState = "42P05"
	InvalidParameterValue  SQLState = "22023"
	InternalInconsistency  SQLState = "XX000"
	SerializationFailure   SQLState = "40001"
	InsufficientResources  SQLState = "53000"
	IdleInTransactionLimit SQLState = "25P03"
)

// Refusal is the error that a client receives instead of an answer.
type Refusal struct {
	State   SQLState `cbor:"1,keyasint"`
	Text    string   `cbor:"2,keyasint"`
	Outcome Outcome  `cbor:"3,keyasint"`
	// RetryAfter is the time after which the client should retry; zero if waiting
	// does not help.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Error returns the text and the outcome.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s)", r.Text, r.Outcome)
}

// Refuse returns a refusal with outcome NotRun.
func Refuse(state SQLState, format string, args ...any) *Refusal {
	return &Refusal{State: state, Text: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// UnknownOutcome returns a refusal with outcome Unknown, for a request that may
// have been executed.
func UnknownOutcome(state SQLState, format string, args ...any) *Refusal {
	return &Refusal{State: state, Text: fmt.Sprintf(format, args...), Outcome: Unknown}
}

// AsRefusal returns the refusal in err's chain. For an error without one it returns
// a refusal with outcome Unknown, because the request may have been executed.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return UnknownOutcome(ConnectionFailure, "%v", err)
}

// Validate checks a refusal that was received from another host.
func (r *Refusal) Validate() error {
	if len(r.State) != 5 {
		return fmt.Errorf("refusal: SQLSTATE %q does not have five characters", string(r.State))
	}
	if r.Outcome != NotRun && r.Outcome != Unknown {
		return fmt.Errorf("refusal: outcome %d is not defined", r.Outcome)
	}
	if r.RetryAfter < 0 {
		return fmt.Errorf("refusal: retry-after %v is negative", r.RetryAfter)
	}
	return nil
}
