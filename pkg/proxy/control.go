package proxy

import "time"

// Catalog gives the document in force on a host.
type Catalog interface {
	// Current returns the document in force and its revision, or nil and zero
	// where the host has none yet.
	Current() (*Document, Revision)
}

// Limiter admits requests within the rate and burst of a client account.
type Limiter interface {
	// Admit takes one token of the account. It returns a Refusal with a
	// RetryAfter when there is none.
	Admit(now Instant, account AccountID) error
}

// Leadership is what a host knows of a database group's primary.
type Leadership struct {
	Term    Term
	Primary InstanceID
	// Start is the log position at which the term began. History of earlier
	// terms above it is lost to no acknowledged write.
	Start Position
}

// Leaders knows the primaries of database groups.
type Leaders interface {
	// Leader returns the group's leadership as last read from the platform.
	Leader(group GroupID) (Leadership, bool)
	// Acknowledge returns nil if a write that the instance committed at
	// position in term may be acknowledged at now, and a Refusal with outcome
	// Unknown otherwise.
	Acknowledge(now Instant, group GroupID, instance InstanceID, at Bookmark) error
}

// Positions keeps the minimum positions of sessions and accounts.
type Positions interface {
	// Minimum returns the oldest history that a read of the session may see.
	Minimum(now Instant, group GroupID, account AccountID, session string) Bookmark
	// Committed records what a write of the session has committed.
	Committed(now Instant, group GroupID, account AccountID, session string, at Bookmark)
}

// InstanceState is what a host measured of an instance.
type InstanceState struct {
	Instance InstanceID
	Zone     Zone
	Primary  bool
	Term     Term
	// Replayed is the log position up to which reads see all commits.
	Replayed Position
	// Seen is the instant before the measurement was sent.
	Seen Instant
	// Current is the last instant at which the instance was known to have
	// replayed everything that the primary had committed.
	Current Instant
	// Busy is the number of statements that run on the instance for this host.
	Busy int
	// Delay is the usual time of a round trip to the instance.
	Delay time.Duration
}
