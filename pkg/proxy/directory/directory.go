// Package directory describes what a host serves on a platform where an operator
// writes the configuration and instances register themselves: routes, accounts,
// groups and instances.
package directory

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Consistency tells which commits a read of a route must see.
type Consistency uint8

// The consistencies of a route.
const (
	// Strict reads see every acknowledged commit; they run on the primary.
	Strict Consistency = iota + 1
	// Bounded reads may miss commits younger than the route's age.
	Bounded
	// OwnWrites reads are bounded too and see the commits of their session.
	OwnWrites
)

// Route declares how statements to one database are served.
type Route struct {
	ID          proxy.RouteID
	Group       proxy.GroupID
	Consistency Consistency
	// Age is the staleness that reads accept.
	Age time.Duration
	// Timeout limits a statement, from its arrival to the end of its answer.
	Timeout time.Duration
	// Goal is the time in which an operation should be answered.
	Goal time.Duration
	// Priority is lower for more urgent operations; 0 is the most urgent.
	Priority int
	// Open routes need no key.
	Open bool
}

// Group is a database group.
type Group struct {
	ID proxy.GroupID
	// Connections is the limit of each instance over all hosts together.
	Connections int
	// Synchronous is the number of replicas that receive a commit before it is
	// acknowledged.
	Synchronous int
}

// Account is a client account.
type Account struct {
	ID proxy.AccountID
	// Rate is in operations a second over all hosts, Burst the operations above.
	Rate  float64
	Burst float64
}

// Configuration is one version of the operator's configuration. It is immutable.
type Configuration struct {
	Revision proxy.Revision
	// TransactionIdle is how long a transaction may wait for its next statement;
	// zero sets no limit.
	TransactionIdle time.Duration
	// Routes are keyed by the database that clients name.
	Routes   map[string]Route
	Groups   map[proxy.GroupID]Group
	Accounts map[proxy.AccountID]Account
	// Keys maps each key to the account that holds it.
	Keys map[string]proxy.AccountID
}

// Validate reports a configuration that cannot be served.
func (c *Configuration) Validate() error {
	if c.TransactionIdle < 0 {
		return eris.Errorf("transaction idle time %v is negative", c.TransactionIdle)
	}
	for database, r := range c.Routes {
		if database == "" {
			return eris.New("route without a database")
		}
		if r.Timeout <= 0 || r.Goal <= 0 || r.Age < 0 {
			return eris.Errorf("route %s: timeout %v, goal %v or age %v out of range", r.ID, r.Timeout, r.Goal, r.Age)
		}
		if _, ok := c.Groups[r.Group]; !ok {
			return eris.Errorf("route %s: unknown group %s", r.ID, r.Group)
		}
	}
	for _, g := range c.Groups {
		if g.Connections < 1 || g.Synchronous < 0 {
			return eris.Errorf("group %s: %d connections, %d synchronous replicas", g.ID, g.Connections, g.Synchronous)
		}
	}
	for _, a := range c.Accounts {
		if a.Rate < 0 || a.Burst < 0 {
			return eris.Errorf("account %s: rate %v or burst %v is negative", a.ID, a.Rate, a.Burst)
		}
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
	// Slots is the number of statements that the instance runs at once.
	Slots int
	// Leaving instances get no new operations.
	Leaving bool
	// Primary reports how the instance sees itself.
	Primary bool
	// Born is the instance's start in Unix milliseconds; zero where unknown.
	Born int64
}

// Validate reports an instance that cannot be used.
func (i Instance) Validate() error {
	if i.ID == "" || i.Group == "" {
		return eris.New("instance without id or group")
	}
	if _, err := netip.ParseAddrPort(i.Address); err != nil {
		return fmt.Errorf("address of instance %s: %w", i.ID, err)
	}
	if i.Slots < 1 {
		return eris.Errorf("instance %s has %d slots", i.ID, i.Slots)
	}
	return nil
}
