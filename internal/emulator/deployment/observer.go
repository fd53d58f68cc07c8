package deployment

import "time"

// Run describes a statement that an instance has run.
type Run struct {
	At       time.Time
	Instance string
	Account  string
	// Request is the request id of the statement.
	Request string
	// Verb is READ, WRITE or COMMIT.
	Verb string
	// Shape is the query shape of a prepared statement, empty for other statements.
	Shape string
	// Values are the session values that were in force, as "NAME VALUE" by name, joined by
	// commas.
	Values string
	// Row is the value that a read returned.
	Row string
	// Signature is the unique value in the answer to the statement.
	Signature string
	// Transaction reports that the statement is part of a transaction.
	Transaction bool
	// Committed lists the request ids whose writes took effect with this statement. A
	// commit that writes includes its own id.
	Committed []string
	// Superseded reports that another instance was the primary of a newer term.
	Superseded bool
}

// Observer receives what instances do. The lock of the group is held during the calls.
type Observer interface {
	// Ran is called for each statement that has run.
	Ran(Run)
	// Discarded is called for each committed write that is rolled back after a
	// promotion.
	Discarded(item, data string)
}

// Arrival is a client's statement that an instance has received. Statements that hosts issue
// themselves are not reported.
type Arrival struct {
	At                      time.Time
	Instance, Zone, Request string
	// Cold reports that the instance warms up.
	Cold bool
}

// ObserveArrivals sets the function that receives the arrivals of all groups. The lock of
// the group is held during the calls.
func (d *Deployment) ObserveArrivals(arrived func(Arrival)) {
	for _, g := range d.Groups {
		g.mu.Lock()
		g.arrived = arrived
		g.mu.Unlock()
	}
}

// Observe sets the observer of all groups.
func (d *Deployment) Observe(o Observer) {
	for _, g := range d.Groups {
		g.mu.Lock()
		g.observer = o
		g.mu.Unlock()
	}
}
