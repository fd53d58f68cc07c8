package environment

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// ConflictError reports that another change came first. Nothing was changed.
type ConflictError struct {
	// Current is the envelope in force.
	Current Envelope
	// Changes lead from the document in force to the one that was refused.
	Changes Changes
}

// Error names the change that came first and shows the difference to it.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("conflict with %s", e.Current)
	if len(e.Changes) == 0 {
		return text
	}
	return text + "; the refused document differs in:\n" + e.Changes.String()
}

// Unwrap makes a conflict recognisable as proxy.ErrConflict.
func (e *ConflictError) Unwrap() error { return proxy.ErrConflict }

// NotTriedError reports a document that is not in force in the trial stage.
type NotTriedError struct {
	Environment proxy.EnvironmentID
	Digest      Digest
	// Trial is the envelope in force in the trial stage, nil where there is none.
	Trial *Envelope
}

// Error names both digests.
func (e *NotTriedError) Error() string {
	if e.Trial == nil {
		return fmt.Sprintf("document %s of %s was not tried: the trial stage has no document", e.Digest.Short(), e.Environment)
	}
	return fmt.Sprintf("document %s is not the one in the trial stage: %s", e.Digest.Short(), *e.Trial)
}

// UnresolvedError reports that the platform could not be asked whether a change
// took effect. The author finds out by looking for the nonce in the audit trail.
type UnresolvedError struct {
	Stage    proxy.Stage
	Revision proxy.Revision
	Nonce    Nonce
	Err      error
}

// Error tells how to find out.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("outcome unknown: look in the audit trail of the %s stage for revision %d with nonce %s: %v",
		e.Stage, e.Revision, e.Nonce, e.Err)
}

// Unwrap returns the last error of the platform.
func (e *UnresolvedError) Unwrap() error { return e.Err }
