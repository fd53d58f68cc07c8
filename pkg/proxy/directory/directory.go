// Package directory describes what a host serves on a platform where an operator
// writes the configuration and instances register themselves: routes, accounts,
// groups and instances.
package directory

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Consistency determines which commits a read must see.
type Consistency uint8

// The consistencies of a route.
const (
	// Strict reads see every acknowledged commit. They run on the primary.
	Strict Consistency = iota + 1
	// Bounded reads may miss commits that are younger than the route's MaxStaleness.
	Bounded
	// OwnWrites reads are bounded and also see the commits of their own session.
	OwnWrites
)

// Route determines how statements to one database are served.
type Route struct {
	ID          proxy.RouteID
	Group       proxy.GroupID
	Consistency Consistency
	// MaxStaleness is the staleness that bounded reads accept.
	MaxStaleness time.Duration
	// Timeout limits a statement, from its arrival to the end of its answer.
	Timeout time.Duration
	// Goal is the latency within which an operation should be answered.
	Goal time.Duration
	// Priority is lower for more urgent operations; 0 is the most urgent.
	Priority int
	// Open routes accept clients without a key.
	Open bool
}

// Group is a database group.
type Group struct {
	ID proxy.GroupID
	// Connections is the maximum number of connections to each instance, over all
	// hosts together.
	Connections int
	// Synchronous is the number of replicas that receive a commit before it is
	// acknowledged.
	Synchronous int
	// WarmupTime is how long an instance is slow after its start, WarmupRate the number of
	// statements a second that it is good for then; zero for no limit.
	WarmupTime time.Duration
	WarmupRate float64
}

// Account is a client account.
type Account struct {
	ID proxy.AccountID
	// Rate is the number of operations a second over all hosts, Burst the number of
	// operations that may exceed it at once.
	Rate  float64
	Burst float64
}

// Configuration is one version of the operator's configuration. It is immutable.
type Configuration struct {
	Revision proxy.Revision
	// TransactionIdle is how long a transaction may wait for its next statement; zero
	// for no limit.
	TransactionIdle time.Duration
	// Routes are keyed by the database name that clients send.
	Routes   map[string]Route
	Groups   map[proxy.GroupID]Group
	Accounts map[proxy.AccountID]Account
	// Keys maps each client key to its account.
	Keys map[string]proxy.AccountID
	// Problems describes the routes, groups and accounts that were left out because they
	// cannot be read or served.
	Problems []string
}

// Validate reports the first setting that cannot be served.
func (c *Configuration) Validate() error {
	if c.Revision == 0 {
		return eris.New("configuration without a revision")
	}
	if c.TransactionIdle < 0 {
		return eris.Errorf("transaction idle time %v is negative", c.TransactionIdle)
	}
	for database, r := range c.Routes {
		if database == "" {
			return eris.New("route without a database")
		}
		if err := r.Validate(); err != nil {
			return err
		}
		if _, ok := c.Groups[r.Group]; !ok {
			return eris.Errorf("route %s: unknown group %s", r.ID, r.Group)
		}
	}
	for _, g := range c.Groups {
		if err := g.Validate(); err != nil {
			return err
		}
	}
	for _, a := range c.Accounts {
		if err := a.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an error if the route cannot be served.
func (r Route) Validate() error {
	if r.Consistency < Strict || r.Consistency > OwnWrites {
		return eris.Errorf("route %s: unknown consistency %d", r.ID, r.Consistency)
	}
	if r.Timeout <= 0 || r.Goal <= 0 || r.MaxStaleness < 0 {
		return eris.Errorf("route %s: timeout %v, goal %v or maximum staleness %v is out of range", r.ID, r.Timeout, r.Goal, r.MaxStaleness)
	}
	return nil
}

// Validate returns an error if the group cannot be served.
func (g Group) Validate() error {
	if err := validateName(string(g.ID)); err != nil {
		return fmt.Errorf("group: %w", err)
	}
	if g.Connections < 1 || g.Synchronous < 0 {
		return eris.Errorf("group %s: %d connections, %d synchronous replicas", g.ID, g.Connections, g.Synchronous)
	}
	if g.WarmupTime < 0 || !(g.WarmupRate >= 0) {
		return eris.Errorf("group %s: warm-up time %v or rate %v is negative", g.ID, g.WarmupTime, g.WarmupRate)
	}
	return nil
}

// Validate returns an error if the account cannot be served.
func (a Account) Validate() error {
	if err := validateName(string(a.ID)); err != nil {
		return fmt.Errorf("account: %w", err)
	}
	if !(a.Rate >= 0) || !(a.Burst >= 0) {
		return eris.Errorf("account %s: rate %v or burst %v is negative", a.ID, a.Rate, a.Burst)
	}
	return nil
}

// Instance is a registered instance of a database group.
type Instance struct {
	ID    proxy.InstanceID
	Group proxy.GroupID
	// Address is an IPv4 address and port.
	Address string
	Zone    proxy.Zone
	// Slots is the number of statements that the instance runs at the same time.
	Slots int
	// Leaving instances get no new operations.
	Leaving bool
	// Primary reports that the instance registered itself as the primary.
	Primary bool
	// WarmupLeft is how much longer the instance is slow after its start, when it wrote its
	// entry.
	WarmupLeft time.Duration
	// Born is when the instance started, in Unix milliseconds; zero if unknown.
	Born int64
	// Sequence rises each time that the instance writes its entry. It starts anew with the
	// instance.
	Sequence uint64
}

// WrittenAfter reports whether the instance is known to have written this entry after another
// one of its own.
func (i Instance) WrittenAfter(other Instance) bool {
	if i.Born != other.Born {
		return i.Born > other.Born && other.Born != 0
	}
	return i.Born != 0 && i.Sequence > other.Sequence
}

// Limits of an instance's entry. An entry beyond them is not written by an instance.
const (
	// maxNameLength is the largest length of an id or name, in bytes.
	maxNameLength = 255
	maxSlots      = 10_000
)

// Validate returns an error if the instance's entry cannot be used.
func (i Instance) Validate() error {
	for what, name := range map[string]string{"id": string(i.ID), "group": string(i.Group)} {
		if err := validateName(name); err != nil {
			return fmt.Errorf("%s of the instance: %w", what, err)
		}
	}
	address, err := netip.ParseAddrPort(i.Address)
	if err != nil {
		return fmt.Errorf("address of instance %s: %w", i.ID, err)
	}
	if !address.Addr().Is4() || address.Addr().IsUnspecified() || address.Port() == 0 {
		return eris.Errorf("address %s of instance %s is no IPv4 address and port of a host", i.Address, i.ID)
	}
	if i.Slots < 1 || i.Slots > maxSlots {
		return eris.Errorf("instance %s has %d slots: want 1 to %d", i.ID, i.Slots, maxSlots)
	}
	return nil
}

// validateName checks a name that becomes a field of a message to an instance, where a
// blank or a line break would begin another field or message.
func validateName(name string) error {
	if name == "" || len(name) > maxNameLength {
		return eris.Errorf("name %.40q has %d bytes: want 1 to %d", name, len(name), maxNameLength)
	}
	if strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }) {
		return eris.Errorf("name %.40q contains a blank or a control character", name)
	}
	return nil
}
