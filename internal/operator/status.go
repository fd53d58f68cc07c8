package operator

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

type statusCommand struct {
	stageOption
	Wait time.Duration `long:"wait" value-name:"DURATION" default:"0s" description:"how long to wait until every live host applies the document"`
	environmentArgument
}

// Execute implements flags.Commander; the client runs commands itself.
func (*statusCommand) Execute([]string) error { return nil }

type statusResult struct {
	Environment proxy.EnvironmentID   `json:"environment"`
	Stage       proxy.Stage           `json:"stage"`
	Revision    proxy.Revision        `json:"revision"`
	Digest      environment.Digest    `json:"digest"`
	Author      string                `json:"author"`
	Time        time.Time             `json:"time"`
	Progress    *environment.Progress `json:"progress,omitempty"`
}

func (c *statusCommand) run(inv *invocation) error {
	id, err := c.id()
	if err != nil {
		return err
	}
	store, err := inv.store()
	if err != nil {
		return err
	}
	e, _, err := environment.Load(inv.ctx, store, id, proxy.Stage(c.Stage))
	if err != nil {
		return err
	}
	if e == nil {
		return eris.Errorf("the %s stage of %s has no document", c.Stage, id)
	}
	progress, waitErr := inv.waitForHosts(store, e, c.Wait)
	r := statusResult{
		Environment: e.Environment,
		Stage:       e.Stage,
		Revision:    e.Revision,
		Digest:      e.Digest,
		Author:      e.Author,
		Time:        e.Time,
		Progress:    progress,
	}
	if err := inv.printResult(e.String()+"\n"+progressTable(progress), r); err != nil {
		return err
	}
	return waitErr
}

// progressTable formats the hosts as a table, lagging hosts first.
func progressTable(p *environment.Progress) string {
	if p == nil {
		return ""
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tZONE\tREVISION\tCONDITION\tREPORTED")
	for _, lagging := range []bool{true, false} {
		for _, h := range p.Hosts {
			if h.Lagging() != lagging {
				continue
			}
			reported := "never"
			if !h.Reported.IsZero() {
				reported = h.Reported.UTC().Format(time.RFC3339)
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", h.Host, h.Zone, h.Revision, h.Condition, reported)
		}
	}
	_ = w.Flush()
	return b.String() + p.String()
}

type auditCommand struct {
	stageOption
	Limit int `long:"limit" value-name:"COUNT" default:"20" description:"largest number of changes to show"`
	environmentArgument
}

// Execute implements flags.Commander; the client runs commands itself.
func (*auditCommand) Execute([]string) error { return nil }

func (c *auditCommand) run(inv *invocation) error {
	id, err := c.id()
	if err != nil {
		return err
	}
	if c.Limit < 1 {
		return &usageError{fmt.Sprintf("--limit %d: want 1 or more", c.Limit)}
	}
	store, err := inv.store()
	if err != nil {
		return err
	}
	trail, err := environment.ReadTrail(inv.ctx, store, id, proxy.Stage(c.Stage))
	if err != nil {
		return err
	}
	trail.Records = trail.Records[:min(c.Limit, len(trail.Records))]
	return inv.printResult(trailText(trail), trail)
}

func trailText(trail *environment.Trail) string {
	if len(trail.Records) == 0 {
		return "no changes"
	}
	var b strings.Builder
	for _, r := range trail.Records {
		fmt.Fprintf(&b, "revision %d, replaces %d, digest %s, nonce %s, by %s at %s\n",
			r.Revision, r.Replaces, r.Digest.Short(), r.Nonce, r.Author, r.Time.UTC().Format(time.RFC3339))
		for _, line := range r.Summary.Lines {
			fmt.Fprintf(&b, "  %s\n", line)
		}
		if r.Summary.Omitted > 0 {
			fmt.Fprintf(&b, "  and %d more changes\n", r.Summary.Omitted)
		}
	}
	if len(trail.Missing) > 0 {
		fmt.Fprintf(&b, "records are missing for revisions %v\n", trail.Missing)
	}
	return b.String()
}
