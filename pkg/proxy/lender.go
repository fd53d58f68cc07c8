package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Access tells what a request may do to the database.
type Access string

// The kinds of access that a route declares.
const (
	// Read allows a replica.
	Read Access = "read"
	// Write needs the primary. It is the default.
	Write Access = "write"
)

// Ask asks for a connection to an instance of a database group.
type Ask struct {
	Group   GroupID   `cbor:"1,keyasint"`
	Route   RouteID   `cbor:"2,keyasint"`
	Account AccountID `cbor:"3,keyasint"`
	Access  Access    `cbor:"4,keyasint"`
	// After is the oldest history that a read may see.
	After Bookmark `cbor:"5,keyasint"`
	// Covered reports that After covers every write of the session, so that the
	// pool need not look for a newer bound.
	Covered bool `cbor:"12,keyasint,omitempty"`
	// Age is the staleness that a read accepts on top of After; zero accepts none.
	Age time.Duration `cbor:"6,keyasint"`
	// Priority is higher for more urgent requests; zero is the default.
	Priority int `cbor:"7,keyasint"`
	// Weight is the account's share where requests compete; at least 1.
	Weight int `cbor:"8,keyasint"`
	// Patience limits the wait for a connection.
	Patience time.Duration `cbor:"9,keyasint"`
	// Session identifies the caller's session on its front. A connection that
	// the same session used last needs no reset.
	Session uint64 `cbor:"10,keyasint"`
	// Revision is the document's revision at the front.
	Revision Revision `cbor:"11,keyasint"`
}

// Validate checks an ask that came from another host.
func (a *Ask) Validate() error {
	if err := CheckID("group", string(a.Group)); err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	if a.Access != Read && a.Access != Write {
		return fmt.Errorf("ask: access %q: want %q or %q", string(a.Access), Read, Write)
	}
	if a.Weight < 1 {
		return fmt.Errorf("ask: weight %d: want at least 1", a.Weight)
	}
	if a.Age < 0 || a.Patience < 0 {
		return fmt.Errorf("ask: age %v and patience %v must not be negative", a.Age, a.Patience)
	}
	return nil
}

// Lent describes a lent connection.
type Lent struct {
	Instance InstanceID `cbor:"1,keyasint"`
	Primary  bool       `cbor:"2,keyasint"`
	Term     Term       `cbor:"3,keyasint"`
	// Same reports that the connection was last used by the asking session and
	// still has the state that the session left on it.
	Same bool `cbor:"4,keyasint"`
	// Connection is a random number drawn when the connection was opened. It
	// tells a session which of the states that it left is on the connection;
	// zero where it is not known.
	Connection uint64 `cbor:"5,keyasint,omitempty"`
}

// Return tells the pool in which state a connection comes back.
type Return struct {
	// Broken connections are closed: the protocol state is not known to be idle.
	Broken bool `cbor:"1,keyasint"`
	// Wrote reports that the loan may have written.
	Wrote bool `cbor:"2,keyasint"`
}

// Loan is the exclusive use of one instance connection until Release. It
// belongs to one goroutine at a time, except that another goroutine may call
// Cancel, or Release with Broken; the latter makes a Receive, Flush or Confirm
// that is in progress return an error.
type Loan interface {
	// Lent describes the connection.
	Lent() Lent
	// Frontend speaks the PostgreSQL protocol with the instance.
	Frontend() *pgproto3.Frontend
	// Confirm returns the bookmark that covers everything the loan has
	// committed, or an error if the instance may no longer be the group's
	// primary in the loan's term. The front calls it immediately before it
	// acknowledges a write, so that a pause of the front comes before the check.
	Confirm(ctx context.Context) (Bookmark, error)
	// Cancel asks the instance to cancel the statement that runs on the loan.
	Cancel(ctx context.Context) error
	// Release gives the connection back. The loan must not be used afterwards.
	Release(r Return)
}

// Lender lends connections to instances. Its errors carry a Refusal.
type Lender interface {
	Lend(ctx context.Context, ask Ask) (Loan, error)
}
