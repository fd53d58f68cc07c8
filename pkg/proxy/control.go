package proxy

import "time"

// Catalog provides the document in force on a host.
type Catalog interface {
	// Current returns the document in force and its revision, or nil and zero
	// if the host has none yet.
	Current() (*Document, Revision)
}

// Limiter admits requests within the rate and burst of a client account.
type Limiter interface {
	// Admit takes one token from the account's bucket. If the bucket is empty, it
	// returns a Refusal with a RetryAfter.
	Admit(now Instant, account AccountID) error
}

// Leadership is the primary of a database group as a host knows it.
type Leadership struct {
	Term    Term
	Primary InstanceID
	// Start is the log position at which the term began. The log of earlier terms
	// above it is discarded and contains no acknowledged write.
	Start Position
}

// Leaders provides the leadership of database groups.
type Leaders interface {
	// Leader returns the group's leadership as last read from the platform.
	Leader(group GroupID) (Leadership, bool)
	// Acknowledge returns nil if a write that the instance committed at the
	// bookmark may be acknowledged at now, and otherwise a Refusal with outcome
	// Unknown.
	Acknowledge(now Instant, group GroupID, instance InstanceID, bookmark Bookmark) error
}

// Positions keeps the minimum positions of sessions.
type Positions interface {
	// Minimum returns the position that a read of the session must see at least.
	Minimum(now Instant, group GroupID, account AccountID, session string) Bookmark
	// Committed records the position of a write that the session has committed.
	Committed(now Instant, group GroupID, account AccountID, session string, bookmark Bookmark)
}

// InstanceState is the state of an instance as a host measured it.
type InstanceState struct {
	Instance InstanceID
	Zone     Zone
	Primary  bool
	Term     Term
	// Replayed is the log position up to which reads see all commits.
	Replayed Position
	// MeasuredAt is the instant immediately before the host sent the query that
	// measures the state. It is zero if the instance has not been measured yet.
	MeasuredAt Instant
	// CurrentAt is the last instant at which the instance was known to have
	// replayed everything that the primary had committed.
	CurrentAt Instant
	// Busy is the number of statements that this host runs on the instance.
	Busy int
	// RoundTripTime is the moving average of the round trips to the instance.
	RoundTripTime time.Duration
}
