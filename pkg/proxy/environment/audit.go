package environment

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Order of the writes: a change first replaces the document, whose envelope contains
// the revision's audit record, and then copies the record to its slot. No change
// replaces a document before the document's record is in its slot. The record of a
// revision is therefore always in the envelope, in the slot or in both. If a client
// ends between the two writes, the next writer or reader copies the record.

// Load returns the envelope in force in a stage and the version of its object, or nil
// and zero if there is none.
func Load(ctx context.Context, store proxy.Store, environment proxy.EnvironmentID, stage proxy.Stage) (*Envelope, proxy.Version, error) {
	object, err := store.Get(ctx, DocumentKey(environment, stage))
	if errors.Is(err, proxy.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read the %s document of %s: %w", stage, environment, err)
	}
	envelope, err := DecodeEnvelope(object.Value)
	if err != nil {
		return nil, 0, fmt.Errorf("%s document of %s: %w", stage, environment, err)
	}
	if envelope.Environment != environment || envelope.Stage != stage {
		return nil, 0, eris.Errorf("object %s holds the %s document of %s", object.Key, envelope.Stage, envelope.Environment)
	}
	return envelope, object.Version, nil
}

// maxCopyAttempts limits how often CopyAuditRecord tries to read and write the slot.
const maxCopyAttempts = 4

// CopyAuditRecord copies the envelope's audit record to its slot, unless the slot
// already contains that record or a later one.
func CopyAuditRecord(ctx context.Context, store proxy.Store, envelope *Envelope) error {
	record := envelope.Record()
	value, err := encode(record)
	if err != nil {
		return fmt.Errorf("encode audit record: %w", err)
	}
	if len(value) > maxRecordBytes {
		return eris.Errorf("audit record of %d bytes: want at most %d", len(value), maxRecordBytes)
	}
	for range maxCopyAttempts {
		slot, version, readErr := readAuditSlot(ctx, store, envelope.Environment, envelope.Stage, envelope.Revision)
		if readErr != nil {
			err = readErr
			continue
		}
		if slot != nil && slot.Revision >= record.Revision {
			return nil
		}
		key := AuditKey(envelope.Environment, envelope.Stage, envelope.Revision)
		if _, err = store.Put(ctx, key, value, version); err == nil {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return fmt.Errorf("write audit record of revision %d: %w", envelope.Revision, err)
}

// readAuditSlot returns the record in a revision's slot. It may belong to an older or
// newer revision. It is nil if the slot is empty or its record does not decode.
func readAuditSlot(ctx context.Context, store proxy.Store, environment proxy.EnvironmentID, stage proxy.Stage, revision proxy.Revision) (*Record, proxy.Version, error) {
	object, err := store.Get(ctx, AuditKey(environment, stage, revision))
	if errors.Is(err, proxy.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read audit record of revision %d: %w", revision, err)
	}
	record, err := DecodeRecord(object.Value)
	if err != nil {
		return nil, object.Version, nil
	}
	return record, object.Version, nil
}

// Trail is the audit trail of a stage.
type Trail struct {
	// Records are ordered from the newest revision to the oldest.
	Records []Record `json:"records"`
	// Missing are those of the last AuditSlots revisions that have no record. There
	// are none unless another program changed the objects.
	Missing []proxy.Revision `json:"missing,omitempty"`
}

// ReadTrail returns the audit trail of a stage. It first copies the record of the
// revision in force to its slot if the slot lacks it.
func ReadTrail(ctx context.Context, store proxy.Store, environment proxy.EnvironmentID, stage proxy.Stage) (*Trail, error) {
	envelope, _, err := Load(ctx, store, environment, stage)
	if err != nil {
		return nil, err
	}
	if envelope == nil {
		return &Trail{}, nil
	}
	// If the copy fails, nothing is lost: the record is in the envelope.
	_ = CopyAuditRecord(ctx, store, envelope)
	objects, err := store.List(ctx, AuditPrefix(environment, stage))
	if err != nil {
		return nil, fmt.Errorf("list audit records: %w", err)
	}
	records := map[proxy.Revision]Record{envelope.Revision: envelope.Record()}
	newest := envelope.Revision
	for _, object := range objects {
		record, err := DecodeRecord(object.Value)
		if err != nil {
			continue
		}
		records[record.Revision] = *record
		newest = max(newest, record.Revision)
	}
	return newTrail(records, newest), nil
}

func newTrail(records map[proxy.Revision]Record, newest proxy.Revision) *Trail {
	trail := &Trail{}
	for _, record := range records {
		trail.Records = append(trail.Records, record)
	}
	slices.SortFunc(trail.Records, func(a, b Record) int { return cmp.Compare(b.Revision, a.Revision) })
	oldest := proxy.Revision(1)
	if newest > AuditSlots {
		oldest = newest - AuditSlots + 1
	}
	for revision := oldest; revision <= newest; revision++ {
		if _, ok := records[revision]; !ok {
			trail.Missing = append(trail.Missing, revision)
		}
	}
	return trail
}
