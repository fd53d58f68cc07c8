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

// The pauses between attempts of a change start at firstRetryPause and double up to
// maxRetryPause. Hosts are polled every progressPollPeriod.
const (
	firstRetryPause    = 100 * time.Millisecond
	maxRetryPause      = time.Second
	progressPollPeriod = 300 * time.Millisecond
)

// changeCommand is the try or the promote command, depending on its stage.
type changeCommand struct {
	BaseRevision *uint64       `long:"from" value-name:"REVISION" description:"revision that you edited; another one in force is a conflict"`
	Wait         time.Duration `long:"wait" value-name:"DURATION" default:"10s" description:"how long to wait until every live host applies the document"`
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

func (c *changeCommand) run(inv *invocation) error {
	if inv.options.Author == "" {
		return &usageError{"no author: set --author or AUBURNYOKE_AUTHOR"}
	}
	if err := environment.CheckAuthor(inv.options.Author); err != nil {
		return &usageError{err.Error()}
	}
	if c.Wait < 0 {
		return &usageError{fmt.Sprintf("--wait %v: want 0 or more", c.Wait)}
	}
	text, _, err := readDocument(c.Arguments.File)
	if err != nil {
		return err
	}
	store, err := inv.store()
	if err != nil {
		return err
	}
	accepted, err := inv.submit(store, c, text)
	if err != nil {
		return err
	}
	r := newChangeResult(accepted)
	inv.printAccepted(r)
	progress, waitErr := inv.waitForHosts(store, accepted.Envelope, c.Wait)
	r.Progress = progress
	line := r.headline()
	if progress != nil {
		line = progress.String()
	}
	if err := inv.printResult(line, r); err != nil {
		return err
	}
	return waitErr
}

func (inv *invocation) submit(store proxy.Store, c *changeCommand, text []byte) (*environment.Accepted, error) {
	var random [environment.NonceSize]byte
	if _, err := io.ReadFull(inv.Random, random[:]); err != nil {
		return nil, fmt.Errorf("draw a nonce: %w", err)
	}
	p := environment.Proposal{
		Text:         text,
		Author:       inv.options.Author,
		Time:         inv.Now(),
		Nonce:        environment.NewNonce(random),
		BaseRevision: (*proxy.Revision)(c.BaseRevision),
		Pause:        inv.pause,
	}
	if c.stage == proxy.Production {
		return environment.Promote(inv.ctx, store, p)
	}
	return environment.Try(inv.ctx, store, p)
}

// pause waits after a failed attempt, counted from 1. The wait doubles with each attempt
// up to maxRetryPause.
func (inv *invocation) pause(ctx context.Context, attempt int) error {
	return inv.Sleep(ctx, min(firstRetryPause<<(attempt-1), maxRetryPause))
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

// printAccepted prints the accepted change before the command waits for the hosts.
func (inv *invocation) printAccepted(r *changeResult) {
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
	fmt.Fprintln(inv.Messages, strings.Join(lines, "\n"))
}

// waitForHosts polls and prints the progress until the envelope's revision is in force on
// every live host or timeout has passed. It polls at least once. It does not wait for a
// trial stage without live hosts.
func (inv *invocation) waitForHosts(store proxy.Store, e *environment.Envelope, timeout time.Duration) (*environment.Progress, error) {
	var latest *environment.Progress
	printed := ""
	for waited := time.Duration(0); ; waited += progressPollPeriod {
		progress, err := environment.ReadProgress(inv.ctx, store, e.Environment, e.Stage, e.Revision, e.Digest)
		if err == nil {
			latest = progress
		}
		if err == nil && progress.AllReady() {
			return progress, nil
		}
		if err == nil && progress.Live == 0 && e.Stage == proxy.Trial {
			fmt.Fprintln(inv.Messages, "no live host serves the trial stage")
			return progress, nil
		}
		if waited >= timeout {
			return latest, wrapNotInForce(err)
		}
		if line := progressLine(progress, err); line != printed {
			printed = line
			fmt.Fprintln(inv.Messages, line)
		}
		if err := inv.Sleep(inv.ctx, progressPollPeriod); err != nil {
			return latest, wrapNotInForce(err)
		}
	}
}

func progressLine(p *environment.Progress, err error) string {
	if err != nil {
		return "the platform does not answer: " + proxy.Redact(err.Error())
	}
	return p.String()
}

// wrapNotInForce returns an error that wraps errNotInForce and, if it is not nil, err.
func wrapNotInForce(err error) error {
	if err != nil {
		return fmt.Errorf("%w: %w", errNotInForce, err)
	}
	return errNotInForce
}
