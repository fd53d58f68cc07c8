package experiment

import (
	"fmt"
	"strings"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Violations counts broken guarantees. Each number must be 0.
type Violations struct {
	// Missed counts reads that did not return an acknowledged write of their session.
	Missed int `json:"missed"`
	// Lost counts acknowledged writes that the final primary does not have.
	Lost int `json:"lost"`
	// Twice counts writes that the final primary has more than once.
	Twice int `json:"twice"`
	// Invariants counts the invariant violations that hosts logged.
	Invariants int `json:"invariants"`
	// Examples describe the first violations.
	Examples []string `json:"examples,omitempty"`
}

// maxExamples limits the violations that are described in a report.
const maxExamples = 10

// Sum returns the total number of violations.
func (v Violations) Sum() int { return v.Missed + v.Lost + v.Twice + v.Invariants }

func (v *Violations) describe(format string, arguments ...any) {
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, arguments...))
	}
}

// checkRecords compares the records with the rows that the primaries hold after
// the load.
func (n *installation) checkRecords(records []record) Violations {
	v := Violations{Invariants: int(n.invariants.Load())}
	rows := make(map[string]map[string]int)
	for _, group := range n.document.Groups {
		n.countTokens(group.ID, rows)
	}
	for _, r := range records {
		copies := rows[r.session.row][r.token]
		if r.missedWrites > 0 {
			v.Missed++
			v.describe("missed: %s on %s at %v returned %d acknowledged writes too few, from a replica: %v",
				r.session.name, r.session.route.ID, r.sentAt, r.missedWrites, r.fromReplica)
		}
		if r.write && r.outcome == answered && copies == 0 {
			v.Lost++
			v.describe("lost: %s on %s acknowledged at %v", r.token, r.session.route.ID, r.completedAt)
		}
		if copies > 1 {
			v.Twice++
			v.describe("twice: %s on %s sent at %v, %d copies, state %q",
				r.token, r.session.route.ID, r.sentAt, copies, r.outcome)
		}
	}
	return v
}

// countTokens counts how often each row contains each token, on the primary that
// a group has after the load.
func (n *installation) countTokens(group proxy.GroupID, rows map[string]map[string]int) {
	primary := n.primary(group)
	if primary == nil {
		return
	}
	engine := primary.Engine()
	tx := engine.Begin()
	defer engine.Rollback(tx)
	for _, row := range engine.Scan(tx) {
		counts := make(map[string]int)
		for _, token := range tokens(row.Value) {
			counts[token]++
		}
		rows[row.Key] = counts
	}
}

// invariantPrefix is the start of the log messages that report a violated invariant.
const invariantPrefix = "invariant violated"

// isInvariantViolation reports whether a log message reports a violated invariant.
func isInvariantViolation(message string) bool { return strings.HasPrefix(message, invariantPrefix) }
