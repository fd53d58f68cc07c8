package frontend

import "time"

// Limits are the limits on sessions and their resources. A zero field takes its
// default.
type Limits struct {
	// Sessions is the maximum number of authenticated client connections, and also
	// of those that are not authenticated yet.
	Sessions int
	// MessageBytes is the maximum length of a client message.
	MessageBytes int
	// PreparedStatements is the maximum number of prepared statements of a session.
	PreparedStatements int
	// PreparedBytes is the maximum total length of the SQL texts of a session's
	// prepared statements. It is checked when a named statement is prepared.
	PreparedBytes int
	// Settings is the maximum number of settings that a session may change.
	Settings int
	// AuthenticationTimeout limits the time from accept to ReadyForQuery.
	AuthenticationTimeout time.Duration
	// IdleInTransactionTimeout limits the wait for the next client message inside a
	// transaction or before the Sync of an extended query.
	IdleInTransactionTimeout time.Duration
	// WaitTimeout limits the wait for a connection on routes without a timeout, and the
	// confirmation of a commit.
	WaitTimeout time.Duration
	// Cancel limits a cancel request to an instance. If a statement that exceeds its
	// route's timeout is still running after this time, its connection is closed.
	Cancel time.Duration
	// Grace is the time that open transactions have to end after Run's context ends.
	Grace time.Duration
	// FinalWriteTimeout limits the write of the last error message to a client.
	FinalWriteTimeout time.Duration
}

const (
	defaultSessions                 = 20_000
	defaultMessageBytes             = 64 << 20
	defaultPreparedStatements       = 1_000
	defaultPreparedBytes            = 16 << 20
	defaultSettings                 = 200
	defaultAuthenticationTimeout    = 10 * time.Second
	defaultIdleInTransactionTimeout = 5 * time.Minute
	defaultWaitTimeout              = 10 * time.Second
	defaultCancel                   = time.Second
	defaultGrace                    = 30 * time.Second
	defaultFinalWriteTimeout        = time.Second
)

// fill sets the zero fields to their defaults.
func (l *Limits) fill() {
	fill(&l.Sessions, defaultSessions)
	fill(&l.MessageBytes, defaultMessageBytes)
	fill(&l.PreparedStatements, defaultPreparedStatements)
	fill(&l.PreparedBytes, defaultPreparedBytes)
	fill(&l.Settings, defaultSettings)
	fill(&l.AuthenticationTimeout, defaultAuthenticationTimeout)
	fill(&l.IdleInTransactionTimeout, defaultIdleInTransactionTimeout)
	fill(&l.WaitTimeout, defaultWaitTimeout)
	fill(&l.Cancel, defaultCancel)
	fill(&l.Grace, defaultGrace)
	fill(&l.FinalWriteTimeout, defaultFinalWriteTimeout)
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
