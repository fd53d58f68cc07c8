package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// WriteText writes the report as a table, followed by the outcomes and the first
// violations.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s, %s, %d hosts, %s, seed %d, load average %s\n",
		r.User, r.Scenario, r.Hosts, r.Duration, r.Seed, r.Load)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "metric\tvalue\ttarget\tverdict")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", row.Metric, row.Value, row.Target, row.Verdict)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(w, "%6d %s: %s\n", r.Outcomes[name], name, r.Failures[name])
	}
	for _, example := range r.Violations.Examples {
		fmt.Fprintln(w, "violation:", example)
	}
	return nil
}
