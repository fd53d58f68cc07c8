package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Access is what a request may do to the database.
type Access string

// The kinds of access that a route declares.
const (
	// Read may run on a replica.
	Read Access = "read"
	// Write must run on the primary. It is the default.
	Write Access = "write"
)

// ConnectionRequest requests a connection to an instance of a database group.
type ConnectionRequest struct {
	Group   GroupID   `cbor:"1,keyasint"`
	Route   RouteID   `cbor:"2,keyasint"`
	Account AccountID `cbor:"3,keyasint"`
	Access  Access    `cbor:"4,keyasint"`
	// After is the minimum position of a read: the instance must have replayed
	// the log up to it.
	After Bookmark `cbor:"5,keyasint"`
	// AfterCoversWrites reports that After covers every write of the session, so
	// that the pool need not get a newer minimum position from the primary.
	AfterCoversWrites bool `cbor:"12,keyasint,omitempty"`
	// MaxStaleness is the staleness that a read accepts for writes above After; zero
	// accepts none.
	MaxStaleness time.Duration `cbor:"6,keyasint"`
	// Priority is higher for more urgent requests; zero is the default.
	Priority int `cbor:"7,keyasint"`
	// Weight is the account's relative share while requests compete for
	// connections; at least 1.
	Weight int `cbor:"8,keyasint"`
	// WaitTimeout limits the wait for a connection; zero selects the default of the pool.
	WaitTimeout time.Duration `cbor:"9,keyasint"`
	// Session identifies the client's session on its frontend. A connection that
	// the same session used last needs no reset.
	Session uint64 `cbor:"10,keyasint"`
	// Revision is the revision of the document that the frontend uses.
	Revision Revision `cbor:"11,keyasint"`
}

// Validate checks a request that was received from another host. Its error texts
// can reach clients as part of a refusal.
func (r *ConnectionRequest) Validate() error {
	if err := CheckID("group", string(r.Group)); err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	if r.Access != Read && r.Access != Write {
		return fmt.Errorf("ask: access %q: want %q or %q", string(r.Access), Read, Write)
	}
	if r.Weight < 1 {
		return fmt.Errorf("ask: weight %d: want at least 1", r.Weight)
	}
	if r.MaxStaleness < 0 || r.WaitTimeout < 0 {
		return fmt.Errorf("ask: age %v and patience %v must not be negative", r.MaxStaleness, r.WaitTimeout)
	}
	return nil
}

// ConnectionInfo describes an acquired connection.
type ConnectionInfo struct {
	Instance InstanceID `cbor:"1,keyasint"`
	Primary  bool       `cbor:"2,keyasint"`
	Term     Term       `cbor:"3,keyasint"`
	// SameSession reports that the requesting session was the last to use the
	// connection, and that the connection still has that session's state.
	SameSession bool `cbor:"4,keyasint"`
	// Connection is a random number drawn when the connection was opened, or zero
	// if it is not known. A session that has left different states on several
	// connections identifies the state of this one by it.
	Connection uint64 `cbor:"5,keyasint,omitempty"`
}

// ReleaseState is the state in which a connection is released to its pool.
type ReleaseState struct {
	// Broken reports that the protocol state is not known to be idle. The pool
	// closes the connection.
	Broken bool `cbor:"1,keyasint"`
	// Wrote reports that statements on the connection may have written since it
	// was acquired.
	Wrote bool `cbor:"2,keyasint"`
}

// AcquiredConnection is the exclusive use of one instance connection until
// Release. Only one goroutine may use it at a time, except that another goroutine
// may call Cancel, or Release with Broken set. That Release makes a Receive, Flush
// or Confirm in progress return an error.
type AcquiredConnection interface {
	// ConnectionInfo describes the connection.
	ConnectionInfo() ConnectionInfo
	// Frontend speaks the PostgreSQL protocol with the instance.
	Frontend() *pgproto3.Frontend
	// Confirm returns a bookmark that covers everything committed through the
	// acquired connection. It returns an error if the instance may no longer be the
	// group's primary in the term in which the connection was acquired. The frontend
	// calls Confirm immediately before it acknowledges a write: if the frontend's
	// process pauses, the check then still runs after the pause.
	Confirm(ctx context.Context) (Bookmark, error)
	// Cancel asks the instance to cancel the statement that runs on the connection.
	Cancel(ctx context.Context) error
	// Release returns the connection to its pool. The AcquiredConnection must not be
	// used afterwards.
	Release(r ReleaseState)
}

// Acquirer acquires connections to instances. Its errors wrap a Refusal.
type Acquirer interface {
	Acquire(ctx context.Context, request ConnectionRequest) (AcquiredConnection, error)
}
