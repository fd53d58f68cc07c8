package proxy

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Identifiers of the configured objects, in the format that CheckID accepts, and the
// unit of bandwidths.
type (
	// EnvironmentID names an environment, the unit of configuration.
	EnvironmentID string
	// MegabitsPerSecond is a bandwidth.
	MegabitsPerSecond float64

	// HostID names an entry host. A host that restarts keeps its HostID and
	// gets a new Incarnation.
	HostID string
	// Zone names an availability zone.
	Zone string
	// GroupID names a database group.
	GroupID string
	// InstanceID names an instance within its database group.
	InstanceID string
	// AccountID names a client account.
	AccountID string
	// KeyID names an account key within its environment. Clients send it as
	// the user of the startup message.
	KeyID string
	// RouteID names a route. Clients send it as the database of the startup
	// message.
	RouteID string
)

// Stage is the stage of an environment, which selects its trial or its production
// document.
type Stage string

// The stages of an environment.
const (
	Trial      Stage = "trial"
	Production Stage = "production"
)

// Validate returns an error if the stage is neither trial nor production.
func (s Stage) Validate() error {
	if s != Trial && s != Production {
		return fmt.Errorf("stage %q: want %q or %q", string(s), Trial, Production)
	}
	return nil
}

// Counters that only increase.
type (
	// Term numbers the successive primaries of a database group. Each promotion
	// starts a new term.
	Term uint64
	// Version is the store-wide revision at which an object of the platform
	// was last written. Zero stands for an object that does not exist.
	Version uint64
	// Revision counts the accepted documents of one environment and stage.
	Revision uint64
	// Incarnation distinguishes the runs of a host's process. It is drawn when the
	// process starts and is never zero. A later run has a larger incarnation.
	Incarnation uint64
)

// Instant is a reading of a process's monotonic clock, in nanoseconds since an
// arbitrary origin. Instants of different processes cannot be compared.
type Instant int64

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Clock reads a monotonic clock. The decision logic does not use it: its callers
// read the clock and pass the instant.
type Clock interface {
	Now() Instant
}

// Position is a byte position in an instance's log, PostgreSQL's pg_lsn.
type Position uint64

// String formats p as PostgreSQL does: two hexadecimal halves.
func (p Position) String() string {
	return fmt.Sprintf("%X/%X", uint32(p>>32), uint32(p))
}

// ParsePosition parses the text form of pg_lsn.
func ParsePosition(text string) (Position, error) {
	high, low, ok := strings.Cut(text, "/")
	if !ok {
		return 0, fmt.Errorf("log position %q: want two hexadecimal numbers separated by a slash", text)
	}
	h, err := strconv.ParseUint(high, 16, 32)
	if err != nil {
		return 0, fmt.Errorf("log position %q: %w", text, err)
	}
	l, err := strconv.ParseUint(low, 16, 32)
	if err != nil {
		return 0, fmt.Errorf("log position %q: %w", text, err)
	}
	return Position(h<<32 | l), nil
}

// Bookmark is a position in the log of a database group. The reads of a session
// must not see an older state than the session's bookmark.
type Bookmark struct {
	Term     Term     `cbor:"1,keyasint" json:"term"`
	Position Position `cbor:"2,keyasint" json:"position"`
}

// Before reports whether b is older than other: first by term, then by position.
func (b Bookmark) Before(other Bookmark) bool {
	if b.Term != other.Term {
		return b.Term < other.Term
	}
	return b.Position < other.Position
}

// maxIDLength keeps identifiers within PostgreSQL's limit for names.
const maxIDLength = 63

var idPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// CheckID returns an error if an identifier is empty, is longer than 63 bytes, or
// has other characters than lower-case letters, digits and inner hyphens. The
// error names the kind of the identifier.
func CheckID(kind, id string) error {
	if len(id) > maxIDLength {
		return fmt.Errorf("%s %q is %d bytes long: at most %d are allowed", kind, id, len(id), maxIDLength)
	}
	if !idPattern.MatchString(id) {
		return fmt.Errorf("%s %q: want lower-case letters, digits and inner hyphens", kind, id)
	}
	return nil
}
