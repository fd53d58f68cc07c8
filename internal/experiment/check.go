package experiment

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Violations counts broken guarantees; each must be 0.
type Violations struct {
	// Missed counts reads without an acknowledged write of their session.
	Missed int `json:"missed"`
	// Lost counts acknowledged writes that the final primary does not have.
	Lost int `json:"lost"`
	// Twice counts writes that the final primary has more than once.
	Twice int `json:"twice"`
	// Invariants counts the invariants that hosts reported as broken.
	Invariants int `json:"invariants"`
	// Examples describe the first violations.
	Examples []string `json:"examples,omitempty"`
}

// maxExamples bounds the described violations.
const maxExamples = 10

// Sum returns the number of all violations.
func (v Violations) Sum() int { return v.Missed + v.Lost + v.Twice + v.Invariants }

func (v *Violations) describe(format string, arguments ...any) {
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, arguments...))
	}
}

// check compares the records with the rows of the final primaries.
func (n *installation) check(records []record) Violations {
	v := Violations{Invariants: int(n.invariants.Load())}
	rows := make(map[string]map[string]int)
	for _, group := range n.document.Groups {
		n.collect(group.ID, rows)
	}
	for _, r := range records {
		copies := rows[r.session.row][r.token]
		if r.missed > 0 {
			v.Missed++
			v.describe("missed: %s on %s at %v returned %d acknowledged writes too few, from a replica: %v",
				r.session.name, r.session.route.ID, r.sent, r.missed, r.replica)
		}
		if r.write && r.state == answered && copies == 0 {
			v.Lost++
			v.describe("lost: %s on %s acknowledged at %v", r.token, r.session.route.ID, r.done)
		}
		if copies > 1 {
			v.Twice++
			v.describe("twice: %s on %s sent at %v, %d copies, state %q", r.token, r.session.route.ID, r.sent, copies, r.state)
		}
	}
	return v
}

// collect counts the tokens of each row on a group's final primary.
func (n *installation) collect(group proxy.GroupID, rows map[string]map[string]int) {
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
