package proxy

import "time"

// Document describes one environment. It is immutable once decoded. Package
// environment decodes and checks it.
type Document struct {
	Environment EnvironmentID `yaml:"environment" json:"environment"`
	Accounts    []Account     `yaml:"accounts" json:"accounts"`
	Groups      []Group       `yaml:"groups" json:"groups"`
	Routes      []Route       `yaml:"routes" json:"routes"`
	// Isolation is how long a host that reaches neither the platform nor a
	// peer keeps serving; see docs/documents.md.
	Isolation time.Duration `yaml:"isolation" json:"isolation"`
}

// Group returns the database group with an id, or nil.
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

// Account is a client account.
type Account struct {
	ID AccountID `yaml:"id" json:"id"`
	// Rate is the sustained number of requests a second over all hosts.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst is the number of requests above the rate over all hosts.
	Burst int `yaml:"burst" json:"burst"`
	// Weight is the share at a contended instance, at least 1.
	Weight int          `yaml:"weight" json:"weight"`
	Keys   []AccountKey `yaml:"keys" json:"keys"`
}

// AccountKey is one key of a client account. Only the verifier is stored.
type AccountKey struct {
	ID KeyID `yaml:"id" json:"id"`
	// Verifier is a SCRAM-SHA-256 verifier in PostgreSQL's text form,
	// SCRAM-SHA-256$iterations:salt$stored:server.
	Verifier  string `yaml:"verifier" json:"verifier"`
	Withdrawn bool   `yaml:"withdrawn" json:"withdrawn"`
}

// Group is a database group: one primary and its replicas.
type Group struct {
	ID        GroupID    `yaml:"id" json:"id"`
	Instances []Instance `yaml:"instances" json:"instances"`
	// Connections is the limit for each instance over all hosts together.
	Connections int `yaml:"connections" json:"connections"`
	// Slots is the number of statements that an instance runs well at once.
	Slots int `yaml:"slots" json:"slots"`
	// Database is the name of the database on the instances.
	Database string `yaml:"database" json:"database"`
}

// Instance is one back end of a database group.
type Instance struct {
	ID   InstanceID `yaml:"id" json:"id"`
	Zone Zone       `yaml:"zone" json:"zone"`
	// Address is host:port in the production stage.
	Address string `yaml:"address" json:"address"`
	// Trial is host:port in the trial stage.
	Trial string `yaml:"trial" json:"trial"`
	// Primary marks the instance that leads before the first promotion.
	Primary bool `yaml:"primary" json:"primary"`
	// Leaving instances get no new work.
	Leaving bool `yaml:"leaving" json:"leaving"`
}

// AddressIn returns the instance's address in a stage.
func (i Instance) AddressIn(stage Stage) string {
	if stage == Trial {
		return i.Trial
	}
	return i.Address
}

// Route declares what the requests of a database name may do.
type Route struct {
	ID       RouteID     `yaml:"id" json:"id"`
	Group    GroupID     `yaml:"group" json:"group"`
	Accounts []AccountID `yaml:"accounts" json:"accounts"`
	// Open routes need no key.
	Open bool `yaml:"open" json:"open"`
	// Access is Write unless declared.
	Access Access `yaml:"access" json:"access"`
	// Age is the staleness that reads accept; zero means read-your-writes.
	Age        time.Duration `yaml:"age" json:"age"`
	Idempotent bool          `yaml:"idempotent" json:"idempotent"`
	// Priority is higher for more urgent requests, 0 to 9.
	Priority int `yaml:"priority" json:"priority"`
	// Timeout limits a statement, from its arrival to the end of its answer.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
}
