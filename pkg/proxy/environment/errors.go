package environment

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// ConflictError reports that another author's change came first. The refused change
// had no effect.
type ConflictError struct {
	// Current is the envelope in force.
	Current Envelope
	// Changes lead from the document in force to the refused one.
	Changes Changes
}

// Error describes the change that came first and the difference to its document.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("conflict with %s", e.Current)
	if len(e.Changes) == 0 {
		return text
	}
	return text + "; the refused document differs in:\n" + e.Changes.String()
}

// Unwrap returns proxy.ErrConflict.
func (e *ConflictError) Unwrap() error { return proxy.ErrConflict }

// NotTriedError reports that a document is not in force in the trial stage and can
// therefore not be promoted.
type NotTriedError struct {
	Environment proxy.EnvironmentID
	Digest      Digest
	// Trial is the envelope in force in the trial stage, nil if there is none.
	Trial *Envelope
}

// Error describes the refused document and the one in the trial stage by their
// digests.
func (e *NotTriedError) Error() string {
	if e.Trial == nil {
		return fmt.Sprintf("document %s of %s was not tried: the trial stage has no document", e.Digest.Short(), e.Environment)
	}
	return fmt.Sprintf("document %s is not the one in the trial stage: %s", e.Digest.Short(), *e.Trial)
}

// UnresolvedError reports that a change may or may not have taken effect: the platform
// did not confirm the write, and reading the document afterwards failed or did not show
// the outcome. The author finds out by looking for the nonce in the audit trail.
type UnresolvedError struct {
	Stage    proxy.Stage
	Revision proxy.Revision
	Nonce    Nonce
	Err      error
}

// Error describes how to find out whether the change took effect.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("outcome unknown: look in the audit trail of the %s stage for revision %d with nonce %s: %v",
		e.Stage, e.Revision, e.Nonce, e.Err)
}

// Unwrap returns the last error of the platform.
func (e *UnresolvedError) Unwrap() error { return e.Err }
