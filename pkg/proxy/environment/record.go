package environment

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Limits on a summary. They keep an audit record below 16 KiB.
const (
	maxSummaryLines  = 40
	maxLineBytes     = 240
	maxRecordBytes   = 16 << 10
	maxSummaryCounts = 32
)

// Summary lists the changed objects of a revision. Its size is bounded.
type Summary struct {
	// Counts is the number of changes by kind and action, for example "route added".
	Counts map[string]int `json:"counts"`
	// Lines describes the first changes, one per line.
	Lines []string `json:"lines"`
	// Omitted is the number of changes that are not in Lines.
	Omitted int `json:"omitted"`
}

// Summarise returns the summary of a difference.
func Summarise(changes Changes) Summary {
	s := Summary{Counts: map[string]int{}}
	for _, change := range changes {
		s.Counts[string(change.Kind)+" "+string(change.Action)]++
		if len(s.Lines) == maxSummaryLines {
			s.Omitted++
			continue
		}
		s.Lines = append(s.Lines, truncateLine(change.String()))
	}
	return s
}

func truncateLine(line string) string {
	if len(line) <= maxLineBytes {
		return line
	}
	return strings.ToValidUTF8(line[:maxLineBytes-len("...")], "") + "..."
}

// Validate checks that a summary is within its limits.
func (s *Summary) Validate() error {
	if len(s.Counts) > maxSummaryCounts || len(s.Lines) > maxSummaryLines || s.Omitted < 0 {
		return eris.Errorf("summary of %d counts, %d lines and %d omitted: want at most %d counts and %d lines",
			len(s.Counts), len(s.Lines), s.Omitted, maxSummaryCounts, maxSummaryLines)
	}
	for _, line := range s.Lines {
		if len(line) > maxLineBytes {
			return eris.Errorf("summary line of %d bytes: want at most %d", len(line), maxLineBytes)
		}
	}
	return nil
}

// Record is the audit record of one accepted revision.
type Record struct {
	Environment proxy.EnvironmentID `json:"environment"`
	Stage       proxy.Stage         `json:"stage"`
	Revision    proxy.Revision      `json:"revision"`
	Replaces    proxy.Revision      `json:"replaces"`
	Digest      Digest              `json:"digest"`
	Author      string              `json:"author"`
	Time        time.Time           `json:"time"`
	Nonce       Nonce               `json:"nonce"`
	Summary     Summary             `json:"summary"`
}

// Record returns the audit record of the envelope's revision.
func (e *Envelope) Record() Record {
	return Record{
		Environment: e.Environment,
		Stage:       e.Stage,
		Revision:    e.Revision,
		Replaces:    e.Replaces,
		Digest:      e.Digest,
		Author:      e.Author,
		Time:        e.Time,
		Nonce:       e.Nonce,
		Summary:     e.Summary,
	}
}

// Validate checks a decoded audit record.
func (r *Record) Validate() error {
	if err := proxy.CheckID("environment", string(r.Environment)); err != nil {
		return fmt.Errorf("audit record: %w", err)
	}
	if err := r.Stage.Validate(); err != nil {
		return fmt.Errorf("audit record: %w", err)
	}
	if r.Revision == 0 || r.Replaces != r.Revision-1 {
		return eris.Errorf("audit record: revision %d replaces %d: want one more than the replaced revision", r.Revision, r.Replaces)
	}
	if err := r.Digest.Validate(); err != nil {
		return fmt.Errorf("audit record: %w", err)
	}
	if err := CheckAuthor(r.Author); err != nil {
		return fmt.Errorf("audit record: %w", err)
	}
	if err := r.Nonce.Validate(); err != nil {
		return fmt.Errorf("audit record: %w", err)
	}
	if err := r.Summary.Validate(); err != nil {
		return fmt.Errorf("audit record: %w", err)
	}
	return nil
}

// DecodeRecord decodes and validates the stored form of an audit record.
func DecodeRecord(value []byte) (*Record, error) {
	if len(value) > maxRecordBytes {
		return nil, eris.Errorf("audit record of %d bytes: want at most %d", len(value), maxRecordBytes)
	}
	r := &Record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, fmt.Errorf("decode audit record: %w", err)
	}
	if err := r.Validate(); err != nil {
		return nil, err
	}
	return r, nil
}
