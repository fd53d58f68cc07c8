package environment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxAttempts limits how often a change tries each of its steps.
const maxAttempts = 8

// Proposal is a document that an author wants to put in force.
type Proposal struct {
	Text   []byte
	Author string
	Time   time.Time
	// Nonce is random and must not be used for another proposal.
	Nonce Nonce
	// BaseRevision is the revision that the author edited. If another revision is
	// in force, the change fails with a conflict. If nil, the change replaces
	// whichever revision is in force when it starts.
	BaseRevision *proxy.Revision
	// Pause waits after a failed attempt, counted from 1. If nil, attempts follow
	// each other without a wait.
	Pause func(ctx context.Context, attempt int) error
}

// Accepted is the result of a change.
type Accepted struct {
	Envelope *Envelope
	// Unchanged reports that the document was in force already, through this or
	// another author's change.
	Unchanged bool
	// Superseded reports that a later change has replaced this one.
	Superseded bool
	// RecordPending reports that the audit record could not be copied to its slot.
	// The envelope still contains it, and the next writer or reader copies it.
	RecordPending bool
}

// Try puts a document in force in the trial stage. Its errors include Problems,
// ConflictError and UnresolvedError. After any error but UnresolvedError, nothing was
// changed.
func Try(ctx context.Context, store proxy.Store, p Proposal) (*Accepted, error) {
	c, err := newChange(store, proxy.Trial, p)
	if err != nil {
		return nil, err
	}
	return c.run(ctx)
}

// Promote puts a document in force in production, provided that it is in force in the
// trial stage. It returns the errors of Try, and NotTriedError.
func Promote(ctx context.Context, store proxy.Store, p Proposal) (*Accepted, error) {
	c, err := newChange(store, proxy.Production, p)
	if err != nil {
		return nil, err
	}
	return c.run(ctx)
}

// change is the state of one call of Try or Promote.
type change struct {
	Proposal
	store    proxy.Store
	stage    proxy.Stage
	document *proxy.Document
	digest   Digest
	// replaced is the envelope in force at the start, nil if there is none.
	// version is the version of its object, zero if there is none.
	replaced *Envelope
	version  proxy.Version
	envelope *Envelope
}

func newChange(store proxy.Store, stage proxy.Stage, p Proposal) (*change, error) {
	if err := CheckAuthor(p.Author); err != nil {
		return nil, err
	}
	if err := p.Nonce.Validate(); err != nil {
		return nil, err
	}
	document, err := Decode(p.Text)
	if err != nil {
		return nil, err
	}
	return &change{Proposal: p, store: store, stage: stage, document: document, digest: DigestOf(p.Text)}, nil
}

func (c *change) run(ctx context.Context) (*Accepted, error) {
	if err := c.retry(ctx, c.load); err != nil {
		return nil, err
	}
	if c.BaseRevision != nil && *c.BaseRevision != c.replacedRevision() {
		return nil, c.conflict(c.replaced)
	}
	if c.replaced != nil && c.replaced.Digest == c.digest {
		pending := CopyAuditRecord(ctx, c.store, c.replaced) != nil
		return &Accepted{Envelope: c.replaced, Unchanged: true, RecordPending: pending}, nil
	}
	if err := c.checkTrial(ctx); err != nil {
		return nil, err
	}
	if c.replaced != nil {
		if err := c.retry(ctx, c.copyReplacedRecord); err != nil {
			return nil, err
		}
	}
	c.buildEnvelope()
	return c.submit(ctx)
}

func (c *change) load(ctx context.Context) error {
	var err error
	c.replaced, c.version, err = Load(ctx, c.store, c.document.Environment, c.stage)
	return err
}

func (c *change) copyReplacedRecord(ctx context.Context) error {
	return CopyAuditRecord(ctx, c.store, c.replaced)
}

func (c *change) replacedRevision() proxy.Revision {
	if c.replaced == nil {
		return 0
	}
	return c.replaced.Revision
}

// checkTrial returns an error if the document is meant for production and is not in
// force in the trial stage.
func (c *change) checkTrial(ctx context.Context) error {
	if c.stage != proxy.Production {
		return nil
	}
	var trial *Envelope
	err := c.retry(ctx, func(ctx context.Context) error {
		var err error
		trial, _, err = Load(ctx, c.store, c.document.Environment, proxy.Trial)
		return err
	})
	if err != nil {
		return err
	}
	if trial == nil || trial.Digest != c.digest {
		return &NotTriedError{Environment: c.document.Environment, Digest: c.digest, Trial: trial}
	}
	return nil
}

func (c *change) buildEnvelope() {
	c.envelope = &Envelope{
		Environment: c.document.Environment,
		Stage:       c.stage,
		Revision:    c.replacedRevision() + 1,
		Replaces:    c.replacedRevision(),
		Digest:      c.digest,
		Author:      c.Author,
		Time:        c.Time.UTC().Round(0),
		Nonce:       c.Nonce,
		Summary:     Summarise(c.changesFrom(c.replaced)),
		Text:        string(c.Text),
	}
}

// changesFrom returns the changes from the document in e to the proposed one. A
// document that this version of the program cannot decode is treated as empty.
func (c *change) changesFrom(e *Envelope) Changes {
	if e == nil {
		return Diff(nil, c.document)
	}
	document, err := e.Document()
	if err != nil {
		document = nil
	}
	return Diff(document, c.document)
}

func (c *change) conflict(current *Envelope) error {
	if current == nil {
		return eris.Errorf("the %s stage of %s has no document: want revision %d", c.stage, c.document.Environment, *c.BaseRevision)
	}
	return &ConflictError{Current: *current, Changes: c.changesFrom(current)}
}

// retry repeats a step that only reads or is idempotent.
func (c *change) retry(ctx context.Context, step func(context.Context) error) error {
	var err error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if err = step(ctx); err == nil {
			return nil
		}
		if pauseErr := c.pause(ctx, attempt); pauseErr != nil {
			break
		}
	}
	return fmt.Errorf("nothing was changed: %w", err)
}

func (c *change) pause(ctx context.Context, attempt int) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("pause: %w", err)
	}
	if c.Pause == nil {
		return nil
	}
	return c.Pause(ctx, attempt)
}

// submit writes the envelope and retries until the outcome is known. Repeating the
// write is safe: it is conditional on the replaced version, so at most one attempt
// takes effect.
func (c *change) submit(ctx context.Context) (*Accepted, error) {
	value, err := EncodeEnvelope(c.envelope)
	if err != nil {
		return nil, err
	}
	key := DocumentKey(c.document.Environment, c.stage)
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		_, err = c.store.Put(ctx, key, value, c.version)
		if err == nil {
			return c.accept(ctx), nil
		}
		if errors.Is(err, proxy.ErrTooLarge) {
			return nil, fmt.Errorf("write the %s document: %w", c.stage, err)
		}
		accepted, settled, resolveErr := c.resolve(ctx)
		if settled {
			return accepted, resolveErr
		}
		if resolveErr != nil {
			err = resolveErr
		}
		if c.pause(ctx, attempt) != nil {
			break
		}
	}
	return nil, &UnresolvedError{Stage: c.stage, Revision: c.envelope.Revision, Nonce: c.Nonce, Err: err}
}

func (c *change) accept(ctx context.Context) *Accepted {
	pending := CopyAuditRecord(ctx, c.store, c.envelope) != nil
	return &Accepted{Envelope: c.envelope, RecordPending: pending}
}

// resolve reads the document again to find out whether the change took effect.
// settled is false if that is still open because the write may be delayed.
func (c *change) resolve(ctx context.Context) (accepted *Accepted, settled bool, err error) {
	current, version, err := Load(ctx, c.store, c.document.Environment, c.stage)
	if err != nil {
		return nil, false, err
	}
	submitted := c.envelope
	switch {
	case version == c.version:
		return nil, false, nil
	case current == nil || current.Revision < submitted.Revision:
		return nil, false, eris.Errorf("the %s document went back from revision %d", c.stage, submitted.Replaces)
	case current.Revision == submitted.Revision && current.Nonce == submitted.Nonce:
		return c.accept(ctx), true, nil
	case current.Revision == submitted.Revision && current.Digest == submitted.Digest:
		return &Accepted{Envelope: current, Unchanged: true}, true, nil
	case current.Revision == submitted.Revision:
		return nil, true, c.conflict(current)
	}
	return c.resolveReplaced(ctx, current)
}

// resolveReplaced determines the outcome of a change when a later revision is already
// in force. The audit record of the change's revision is then in its slot, because a
// document is replaced only after its record was copied there.
func (c *change) resolveReplaced(ctx context.Context, current *Envelope) (*Accepted, bool, error) {
	submitted := c.envelope
	record, _, err := readAuditSlot(ctx, c.store, submitted.Environment, submitted.Stage, submitted.Revision)
	if err != nil {
		return nil, false, err
	}
	if record == nil || record.Revision != submitted.Revision {
		return nil, false, eris.Errorf("the audit record of revision %d was replaced", submitted.Revision)
	}
	if record.Nonce != submitted.Nonce {
		return nil, true, c.conflict(current)
	}
	return &Accepted{Envelope: submitted, Superseded: true}, true, nil
}
