package environment

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Kind is the kind of object that a change concerns.
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

// Action is what happened to an object.
type Action string

// The actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is what differs in one object. It never holds a verifier.
type Change struct {
	Kind   Kind   `json:"kind"`
	ID     string `json:"id"`
	Action Action `json:"action"`
	// Details lists the fields that changed: "rate 10 -> 20".
	Details []string `json:"details,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	line := fmt.Sprintf("%s %s %s", c.Kind, c.ID, c.Action)
	if len(c.Details) > 0 {
		line += ": " + strings.Join(c.Details, ", ")
	}
	return line
}

// Changes is a structural difference of two documents.
type Changes []Change

// String returns one line for each change.
func (c Changes) String() string {
	lines := make([]string, len(c))
	for i, change := range c {
		lines[i] = change.String()
	}
	return strings.Join(lines, "\n")
}

// item is the part of a document that one line of a difference describes.
type item struct {
	kind   Kind
	id     string
	fields []field
	// secret is compared but never shown.
	secret string
	// follows is the item whose removal includes this one.
	follows string
}

type field struct{ name, value string }

func (i item) key() string { return string(i.kind) + " " + i.id }

// Diff returns what changed from one document to another, ordered by kind as in
// the document and by id. Either document may be nil, which counts as empty.
func Diff(from, to *proxy.Document) Changes {
	before, after := items(from), items(to)
	old, now := byKey(before), byKey(after)
	var changes Changes
	for _, was := range before {
		is, stays := now[was.key()]
		_, owner := now[was.follows]
		switch {
		case stays:
			if details := compare(was, is); len(details) > 0 {
				changes = append(changes, Change{Kind: was.kind, ID: was.id, Action: Changed, Details: details})
			}
		case was.follows == "" || owner:
			changes = append(changes, Change{Kind: was.kind, ID: was.id, Action: Removed})
		}
	}
	for _, is := range after {
		if _, known := old[is.key()]; !known {
			changes = append(changes, Change{Kind: is.kind, ID: is.id, Action: Added, Details: present(is)})
		}
	}
	return changes
}

func byKey(items []item) map[string]item {
	index := make(map[string]item, len(items))
	for _, i := range items {
		index[i.key()] = i
	}
	return index
}

func compare(from, to item) []string {
	var details []string
	for i, old := range from.fields {
		if now := to.fields[i]; old.value != now.value {
			details = append(details, fmt.Sprintf("%s %s -> %s", old.name, old.value, now.value))
		}
	}
	if from.secret != to.secret {
		details = append(details, "verifier replaced")
	}
	return details
}

// present lists the fields of a new object that have a value.
func present(i item) []string {
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
	limit := item{kind: KindLimit, id: "of account " + id, follows: account.key(), fields: []field{
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
	limit := item{kind: KindLimit, id: "of group " + id, follows: group.key(), fields: []field{
		{"connections", strconv.Itoa(g.Connections)},
		{"slots", strconv.Itoa(g.Slots)},
	}}
	all := []item{group, limit}
	for _, i := range g.Instances {
		all = append(all, item{kind: KindInstance, id: id + "/" + string(i.ID), follows: group.key(), fields: []field{
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
