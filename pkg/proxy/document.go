package proxy

import "time"

// Document is the configuration of one environment. It is immutable once decoded.
// Package environment decodes and checks it.
type Document struct {
	Environment EnvironmentID `yaml:"environment" json:"environment"`
	Accounts    []Account     `yaml:"accounts" json:"accounts"`
	Groups      []Group       `yaml:"groups" json:"groups"`
	Routes      []Route       `yaml:"routes" json:"routes"`
	// Isolation is how long a host that reaches neither the platform nor a
	// peer continues to serve requests; see docs/documents.md.
	Isolation time.Duration `yaml:"isolation" json:"isolation"`
}

// Group returns the database group with the given id, or nil if there is none.
func (d *Document) Group(id GroupID) *Group {
	if d == nil {
		return nil
	}
	for i := range d.Groups {
		if d.Groups[i].ID == id {
			return &d.Groups[i]
		}
	}
	return nil
}

// Account is a client account with its rate limit and keys.
type Account struct {
	ID AccountID `yaml:"id" json:"id"`
	// Rate is the sustained number of requests per second over all hosts.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst is the number of requests over all hosts that may exceed the rate at once.
	Burst int `yaml:"burst" json:"burst"`
	// Weight is the relative share at a contended instance, at least 1.
	Weight int          `yaml:"weight" json:"weight"`
	Keys   []AccountKey `yaml:"keys" json:"keys"`
}

// AccountKey is a key of a client account. Only its verifier is stored, not the key
// itself.
type AccountKey struct {
	ID KeyID `yaml:"id" json:"id"`
	// Verifier is a SCRAM-SHA-256 verifier in PostgreSQL's text form,
	// SCRAM-SHA-256$iterations:salt$stored:server.
	Verifier  string `yaml:"verifier" json:"verifier"`
	Withdrawn bool   `yaml:"withdrawn" json:"withdrawn"`
}

// Group is a database group: a primary and its replicas.
type Group struct {
	ID        GroupID    `yaml:"id" json:"id"`
	Instances []Instance `yaml:"instances" json:"instances"`
	// Connections is the maximum number of connections to each instance over all
	// hosts together.
	Connections int `yaml:"connections" json:"connections"`
	// Slots is the number of statements that an instance can run at once without
	// slowing down.
	Slots int `yaml:"slots" json:"slots"`
	// Database is the name of the database on the instances.
	Database string `yaml:"database" json:"database"`
}

// Instance is a database server of a group.
type Instance struct {
	ID   InstanceID `yaml:"id" json:"id"`
	Zone Zone       `yaml:"zone" json:"zone"`
	// Address is host:port in the production stage.
	Address string `yaml:"address" json:"address"`
	// Trial is host:port in the trial stage.
	Trial string `yaml:"trial" json:"trial"`
	// Primary marks the instance that is the primary before the first promotion.
	Primary bool `yaml:"primary" json:"primary"`
	// Leaving reports that the instance gets no new work.
	Leaving bool `yaml:"leaving" json:"leaving"`
}

// AddressIn returns the instance's address in the given stage.
func (i Instance) AddressIn(stage Stage) string {
	if stage == Trial {
		return i.Trial
	}
	return i.Address
}

// Route maps a database name that clients connect to onto a group, and declares
// what requests to it may do.
type Route struct {
	ID       RouteID     `yaml:"id" json:"id"`
	Group    GroupID     `yaml:"group" json:"group"`
	Accounts []AccountID `yaml:"accounts" json:"accounts"`
	// Open reports that clients of the route need no key.
	Open bool `yaml:"open" json:"open"`
	// Access is Write by default.
	Access Access `yaml:"access" json:"access"`
	// MaxStaleness is the staleness that reads accept; zero means read-your-writes.
	MaxStaleness time.Duration `yaml:"age" json:"age"`
	Idempotent   bool          `yaml:"idempotent" json:"idempotent"`
	// Priority is higher for more urgent requests, 0 to 9.
	Priority int `yaml:"priority" json:"priority"`
	// Timeout limits the time from a statement's arrival to the end of its answer.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
}
