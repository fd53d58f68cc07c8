package operator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

// Waits of the client.
const (
	firstPause = 100 * time.Millisecond
	maxPause   = time.Second
	pollPeriod = 300 * time.Millisecond
)

// changeCommand is try or promote.
type changeCommand struct {
	From *uint64       `long:"from" value-name:"REVISION" description:"revision that you edited; another one in force is a conflict"`
	Wait time.Duration `long:"wait" value-name:"DURATION" default:"10s" description:"how long to wait until every live host applies the document"`
	documentArgument
	stage proxy.Stage
}

// Execute implements flags.Commander; the client runs commands itself.
func (*changeCommand) Execute([]string) error { return nil }

type changeResult struct {
	Environment proxy.EnvironmentID   `json:"environment"`
	Stage       proxy.Stage           `json:"stage"`
	Revision    proxy.Revision        `json:"revision"`
	Digest      environment.Digest    `json:"digest"`
	Author      string                `json:"author"`
	Time        time.Time             `json:"time"`
	Unchanged   bool                  `json:"unchanged"`
	Superseded  bool                  `json:"superseded"`
	Pending     bool                  `json:"pending"`
	Summary     environment.Summary   `json:"summary"`
	Progress    *environment.Progress `json:"progress,omitempty"`
}

func (c *changeCommand) run(s *session) error {
	if s.options.Author == "" {
		return &usageError{"no author: set --author or AUBURNYOKE_AUTHOR"}
	}
	if err := environment.CheckAuthor(s.options.Author); err != nil {
		return &usageError{err.Error()}
	}
	if c.Wait < 0 {
		return &usageError{fmt.Sprintf("--wait %v: want 0 or more", c.Wait)}
	}
	text, _, err := readDocument(c.Arguments.File)
	if err != nil {
		return err
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	accepted, err := s.submit(store, c, text)
	if err != nil {
		return err
	}
	r := newChangeResult(accepted)
	s.announce(r)
	progress, waitErr := s.await(store, accepted.Envelope, c.Wait)
	r.Progress = progress
	line := r.headline()
	if progress != nil {
		line = progress.String()
	}
	if err := s.show(line, r); err != nil {
		return err
	}
	return waitErr
}

func (s *session) submit(store proxy.Store, c *changeCommand, text []byte) (*environment.Accepted, error) {
	var random [environment.NonceSize]byte
	if _, err := io.ReadFull(s.Random, random[:]); err != nil {
		return nil, fmt.Errorf("draw a nonce: %w", err)
	}
	p := environment.Proposal{
		Text:   text,
		Author: s.options.Author,
		Time:   s.Now(),
		Nonce:  environment.NewNonce(random),
		From:   (*proxy.Revision)(c.From),
		Pause:  s.pause,
	}
	if c.stage == proxy.Production {
		return environment.Promote(s.ctx, store, p)
	}
	return environment.Try(s.ctx, store, p)
}

// pause doubles the wait with each attempt.
func (s *session) pause(ctx context.Context, attempt int) error {
	return s.Sleep(ctx, min(firstPause<<(attempt-1), maxPause))
}

func newChangeResult(a *environment.Accepted) *changeResult {
	e := a.Envelope
	return &changeResult{
		Environment: e.Environment,
		Stage:       e.Stage,
		Revision:    e.Revision,
		Digest:      e.Digest,
		Author:      e.Author,
		Time:        e.Time,
		Unchanged:   a.Unchanged,
		Superseded:  a.Superseded,
		Pending:     a.RecordPending,
		Summary:     e.Summary,
	}
}

func (r *changeResult) headline() string {
	line := fmt.Sprintf("%s %s revision %d, digest %s", r.Environment, r.Stage, r.Revision, r.Digest.Short())
	if r.Unchanged {
		return fmt.Sprintf("%s: unchanged, accepted %s from %s", line, r.Time.Format(time.RFC3339), r.Author)
	}
	if r.Superseded {
		return line + ": accepted and replaced by a later revision since"
	}
	return line + ": accepted"
}

// announce tells what was accepted before the wait for the hosts.
func (s *session) announce(r *changeResult) {
	lines := []string{r.headline()}
	if !r.Unchanged {
		for _, line := range r.Summary.Lines {
			lines = append(lines, "  "+line)
		}
		if r.Summary.Omitted > 0 {
			lines = append(lines, fmt.Sprintf("  and %d more changes", r.Summary.Omitted))
		}
	}
	if r.Pending {
		lines = append(lines, "the audit record is in the envelope only; the next change or audit copies it to the trail")
	}
	fmt.Fprintln(s.Messages, strings.Join(lines, "\n"))
}

// await shows progress until the envelope's revision is in force everywhere or
// the time is over. It looks at least once.
func (s *session) await(store proxy.Store, e *environment.Envelope, limit time.Duration) (*environment.Progress, error) {
	var latest *environment.Progress
	shown := ""
	for waited := time.Duration(0); ; waited += pollPeriod {
		progress, err := environment.ReadProgress(s.ctx, store, e.Environment, e.Stage, e.Revision, e.Digest)
		if err == nil {
			latest = progress
		}
		if err == nil && progress.Everywhere() {
			return progress, nil
		}
		if err == nil && progress.Live == 0 && e.Stage == proxy.Trial {
			fmt.Fprintln(s.Messages, "no live host serves the trial stage")
			return progress, nil
		}
		if waited >= limit {
			return latest, notInForce(err)
		}
		if line := progressLine(progress, err); line != shown {
			shown = line
			fmt.Fprintln(s.Messages, line)
		}
		if err := s.Sleep(s.ctx, pollPeriod); err != nil {
			return latest, notInForce(err)
		}
	}
}

func progressLine(p *environment.Progress, err error) string {
	if err != nil {
		return "the platform does not answer: " + proxy.Redact(err.Error())
	}
	return p.String()
}

// notInForce keeps the reason for which the hosts could not be asked.
func notInForce(err error) error {
	if err != nil {
		return fmt.Errorf("%w: %w", errNotInForce, err)
	}
	return errNotInForce
}
