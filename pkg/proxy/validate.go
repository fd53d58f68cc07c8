package proxy

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"
	"unicode"
)

// Limits of the values in a document.
const (
	MaxRate        = 1_000_000
	MaxBurst       = 1_000_000
	MaxWeight      = 1000
	MaxConnections = 10_000
	MaxPriority    = 9
	MaxAge         = 24 * time.Hour
	MinTimeout     = 10 * time.Millisecond
	MaxTimeout     = time.Hour
	MinIsolation   = time.Second
	MaxIsolation   = time.Hour
)

// Validate returns all violations as Violations, or nil.
func (d *Document) Validate() error {
	c := &checker{
		accounts:  map[string]string{},
		groups:    map[string]string{},
		routes:    map[string]string{},
		keys:      map[string]string{},
		addresses: map[string]string{},
	}
	c.id("environment", string(d.Environment))
	c.duration("isolation", d.Isolation, MinIsolation, MaxIsolation)
	for i := range d.Accounts {
		c.account(fmt.Sprintf("accounts[%d]", i), &d.Accounts[i])
	}
	for i := range d.Groups {
		c.group(fmt.Sprintf("groups[%d]", i), &d.Groups[i])
	}
	for i := range d.Routes {
		c.route(fmt.Sprintf("routes[%d]", i), &d.Routes[i])
	}
	if len(c.found) > 0 {
		return c.found
	}
	return nil
}

// checker collects violations. Each of its maps holds the path at which an
// identifier or address was first used.
type checker struct {
	found     Violations
	accounts  map[string]string
	groups    map[string]string
	routes    map[string]string
	keys      map[string]string
	addresses map[string]string
}

func (c *checker) add(path, value, format string, args ...any) {
	c.found = append(c.found, Violation{Path: path, Value: value, Want: fmt.Sprintf(format, args...)})
}

func (c *checker) id(path, id string) bool {
	if CheckID("", id) == nil {
		return true
	}
	c.add(path, QuoteRedacted(id), "1 to %d lower-case letters, digits and inner hyphens", maxIDLength)
	return false
}

// unique checks an identifier and that table does not contain it yet, and adds it.
func (c *checker) unique(path, id string, table map[string]string) {
	if !c.id(path, id) {
		return
	}
	if first, ok := table[id]; ok {
		c.add(path, QuoteRedacted(id), "an identifier other than that of %s", first)
		return
	}
	table[id] = path
}

func (c *checker) number(path string, value, low, high int) {
	if value < low || value > high {
		c.add(path, strconv.Itoa(value), "%d to %d", low, high)
	}
}

func (c *checker) duration(path string, value, low, high time.Duration) {
	if value < low || value > high {
		c.add(path, value.String(), "%v to %v", low, high)
	}
}

func (c *checker) account(path string, a *Account) {
	c.unique(path+".id", string(a.ID), c.accounts)
	if !(a.Rate > 0 && a.Rate <= MaxRate) || math.IsNaN(a.Rate) {
		c.add(path+".rate", strconv.FormatFloat(a.Rate, 'g', -1, 64), "more than 0 and at most %d requests a second", MaxRate)
	}
	c.number(path+".burst", a.Burst, 1, MaxBurst)
	c.number(path+".weight", a.Weight, 1, MaxWeight)
	for i, key := range a.Keys {
		keyPath := fmt.Sprintf("%s.keys[%d]", path, i)
		c.unique(keyPath+".id", string(key.ID), c.keys)
		if _, err := ParseVerifier(key.Verifier); err != nil {
			c.add(keyPath+".verifier", err.Error(), "%s", VerifierFormat)
		}
	}
}

func (c *checker) group(path string, g *Group) {
	c.unique(path+".id", string(g.ID), c.groups)
	c.number(path+".connections", g.Connections, 1, MaxConnections)
	if g.Connections >= 1 {
		c.number(path+".slots", g.Slots, 1, g.Connections)
	}
	if !validDatabase(g.Database) {
		c.add(path+".database", QuoteRedacted(g.Database), "1 to %d printable bytes", maxIDLength)
	}
	ids := map[string]string{}
	primary := ""
	for i := range g.Instances {
		instancePath := fmt.Sprintf("%s.instances[%d]", path, i)
		instance := &g.Instances[i]
		c.instance(instancePath, instance, ids)
		if instance.Primary && primary != "" {
			c.add(instancePath+".primary", "true", "one primary in the group; %s is one", primary)
		} else if instance.Primary {
			primary = instancePath
		}
	}
	if primary == "" {
		c.add(path+".instances", "no primary", "primary: true at exactly one instance")
	}
}

func validDatabase(name string) bool {
	if name == "" || len(name) > maxIDLength {
		return false
	}
	for _, r := range name {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}

func (c *checker) instance(path string, i *Instance, ids map[string]string) {
	c.unique(path+".id", string(i.ID), ids)
	c.id(path+".zone", string(i.Zone))
	c.address(path+".address", i.Address)
	c.address(path+".trial", i.Trial)
}

// address checks an address and that it is not used twice. An instance in two
// groups would exceed its connection limit, and a trial address that is also a
// production address would run trial requests on production data.
func (c *checker) address(path, text string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		c.add(path, QuoteRedacted(text), "host:port with an IP number and a port from 1 to 65535")
		return
	}
	canonical := netip.AddrPortFrom(address.Addr().Unmap(), address.Port()).String()
	if first, ok := c.addresses[canonical]; ok {
		c.add(path, QuoteRedacted(text), "an address other than that of %s", first)
		return
	}
	c.addresses[canonical] = path
}

func (c *checker) route(path string, r *Route) {
	c.unique(path+".id", string(r.ID), c.routes)
	if _, ok := c.groups[string(r.Group)]; !ok {
		c.add(path+".group", QuoteRedacted(string(r.Group)), "the id of a group of this document")
	}
	c.routeAccounts(path+".accounts", r)
	if r.Access != Read && r.Access != Write {
		c.add(path+".access", QuoteRedacted(string(r.Access)), "%q or %q", Read, Write)
	}
	c.duration(path+".age", r.MaxStaleness, 0, MaxAge)
	c.number(path+".priority", r.Priority, 0, MaxPriority)
	c.duration(path+".timeout", r.Timeout, MinTimeout, MaxTimeout)
}

func (c *checker) routeAccounts(path string, r *Route) {
	if r.Open && len(r.Accounts) > 0 {
		c.add(path, fmt.Sprintf("%d accounts", len(r.Accounts)), "no accounts at an open route")
	}
	if !r.Open && len(r.Accounts) == 0 {
		c.add(path, "no accounts", "at least one account, or open: true")
	}
	seen := map[AccountID]bool{}
	for i, account := range r.Accounts {
		accountPath := fmt.Sprintf("%s[%d]", path, i)
		if _, ok := c.accounts[string(account)]; !ok {
			c.add(accountPath, QuoteRedacted(string(account)), "the id of an account of this document")
		} else if seen[account] {
			c.add(accountPath, QuoteRedacted(string(account)), "each account once")
		}
		seen[account] = true
	}
}
