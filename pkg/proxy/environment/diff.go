package environment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Kind is the kind of object that a change affects.
type Kind string

// The kinds of objects in a difference. Limits are the rate, burst and weight
// of an account and the connections and slots of a group.
const (
	KindEnvironment Kind = "environment"
	KindAccount     Kind = "account"
	KindKey         Kind = "key"
	KindLimit       Kind = "limit"
	KindGroup       Kind = "group"
	KindInstance    Kind = "instance"
	KindRoute       Kind = "route"
)

// Action says whether an object was added, removed or changed.
type Action string

// The actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is the difference in one object. It never contains a verifier.
type Change struct {
	Kind   Kind   `json:"kind"`
	ID     string `json:"id"`
	Action Action `json:"action"`
	// Details lists the changed fields, for example "rate 10 -> 20".
	Details []string `json:"details,omitempty"`
}

// String describes the change in one line.
func (c Change) String() string {
	line := fmt.Sprintf("%s %s %s", c.Kind, c.ID, c.Action)
	if len(c.Details) > 0 {
		line += ": " + strings.Join(c.Details, ", ")
	}
	return line
}

// Changes is the structural difference between two documents.
type Changes []Change

// String describes each change in one line.
func (c Changes) String() string {
	lines := make([]string, len(c))
	for i, change := range c {
		lines[i] = change.String()
	}
	return strings.Join(lines, "\n")
}

// item is an object of a document that a Change can describe.
type item struct {
	kind   Kind
	id     string
	fields []field
	// secret is compared but never printed.
	secret string
	// parent is the key of the item whose removal includes this one, empty if there
	// is none.
	parent string
}

type field struct{ name, value string }

func (i item) key() string { return string(i.kind) + " " + i.id }

// Diff returns the changes that lead from one document to another: first the changed
// and removed objects in the order of the old document, then the added ones in the
// order of the new document. A nil document is treated as empty.
func Diff(from, to *proxy.Document) Changes {
	before, after := items(from), items(to)
	beforeByKey, afterByKey := indexByKey(before), indexByKey(after)
	var changes Changes
	for _, oldItem := range before {
		newItem, kept := afterByKey[oldItem.key()]
		_, parentKept := afterByKey[oldItem.parent]
		switch {
		case kept:
			if details := changedDetails(oldItem, newItem); len(details) > 0 {
				changes = append(changes, Change{Kind: oldItem.kind, ID: oldItem.id, Action: Changed, Details: details})
			}
		case oldItem.parent == "" || parentKept:
			changes = append(changes, Change{Kind: oldItem.kind, ID: oldItem.id, Action: Removed})
		}
	}
	for _, newItem := range after {
		if _, known := beforeByKey[newItem.key()]; !known {
			changes = append(changes, Change{Kind: newItem.kind, ID: newItem.id, Action: Added, Details: addedDetails(newItem)})
		}
	}
	return changes
}

func indexByKey(items []item) map[string]item {
	index := make(map[string]item, len(items))
	for _, i := range items {
		index[i.key()] = i
	}
	return index
}

func changedDetails(from, to item) []string {
	var details []string
	for i, oldField := range from.fields {
		if newField := to.fields[i]; oldField.value != newField.value {
			details = append(details, fmt.Sprintf("%s %s -> %s", oldField.name, oldField.value, newField.value))
		}
	}
	if from.secret != to.secret {
		details = append(details, "verifier replaced")
	}
	return details
}

// addedDetails lists the fields of an added object that have a value.
func addedDetails(i item) []string {
	var details []string
	for _, f := range i.fields {
		if f.value != "" && f.value != "none" && f.value != "false" {
			details = append(details, f.name+" "+f.value)
		}
	}
	return details
}

func items(d *proxy.Document) []item {
	if d == nil {
		return nil
	}
	all := []item{{kind: KindEnvironment, id: string(d.Environment), fields: []field{{"isolation", d.Isolation.String()}}}}
	for _, account := range d.Accounts {
		all = append(all, accountItems(account)...)
	}
	for _, group := range d.Groups {
		all = append(all, groupItems(group)...)
	}
	for _, route := range d.Routes {
		all = append(all, routeItem(route))
	}
	return all
}

func accountItems(a proxy.Account) []item {
	id := string(a.ID)
	account := item{kind: KindAccount, id: id}
	limit := item{kind: KindLimit, id: "of account " + id, parent: account.key(), fields: []field{
		{"rate", strconv.FormatFloat(a.Rate, 'g', -1, 64)},
		{"burst", strconv.Itoa(a.Burst)},
		{"weight", strconv.Itoa(a.Weight)},
	}}
	all := []item{account, limit}
	for _, key := range a.Keys {
		all = append(all, item{kind: KindKey, id: string(key.ID), secret: key.Verifier, fields: []field{
			{"account", id},
			{"withdrawn", strconv.FormatBool(key.Withdrawn)},
		}})
	}
	return all
}

func groupItems(g proxy.Group) []item {
	id := string(g.ID)
	group := item{kind: KindGroup, id: id, fields: []field{{"database", proxy.QuoteRedacted(g.Database)}}}
	limit := item{kind: KindLimit, id: "of group " + id, parent: group.key(), fields: []field{
		{"connections", strconv.Itoa(g.Connections)},
		{"slots", strconv.Itoa(g.Slots)},
	}}
	all := []item{group, limit}
	for _, i := range g.Instances {
		all = append(all, item{kind: KindInstance, id: id + "/" + string(i.ID), parent: group.key(), fields: []field{
			{"zone", string(i.Zone)},
			{"address", i.Address},
			{"trial", i.Trial},
			{"primary", strconv.FormatBool(i.Primary)},
			{"leaving", strconv.FormatBool(i.Leaving)},
		}})
	}
	return all
}

func routeItem(r proxy.Route) item {
	accounts := make([]string, len(r.Accounts))
	for i, account := range r.Accounts {
		accounts[i] = string(account)
	}
	slices.Sort(accounts)
	list := "none"
	if len(accounts) > 0 {
		list = strings.Join(accounts, " ")
	}
	age := "none"
	if r.MaxStaleness != 0 {
		age = r.MaxStaleness.String()
	}
	return item{kind: KindRoute, id: string(r.ID), fields: []field{
		{"group", string(r.Group)},
		{"accounts", list},
		{"open", strconv.FormatBool(r.Open)},
		{"access", string(r.Access)},
		{"age", age},
		{"idempotent", strconv.FormatBool(r.Idempotent)},
		{"priority", strconv.Itoa(r.Priority)},
		{"timeout", r.Timeout.String()},
	}}
}
