package frontend

import "time"

// Limits are the limits on sessions and their resources. A zero field takes its
// default.
type Limits struct {
	// Sessions is the maximum number of authenticated client connections.
	Sessions int
	// Starting is the maximum number of client connections that are not authenticated yet;
	// by default it is Sessions.
	Starting int
	// MessageBytes is the maximum length of a client message. It is at most what the
	// budget can hold.
	MessageBytes int
	// PreparedStatements is the maximum number of prepared statements of a session.
	PreparedStatements int
	// PreparedBytes is the maximum total length of the SQL texts of a session's
	// prepared statements. It is checked when a named statement is prepared.
	PreparedBytes int
	// PortalBytes is the maximum memory of the portals of a transaction.
	PortalBytes int
	// Settings is the maximum number of settings that a session may change.
	Settings int
	// SettingsBytes is the maximum memory of these settings, and of the savepoints of a
	// transaction.
	SettingsBytes int
	// AuthenticationTimeout limits the time from accept to ReadyForQuery.
	AuthenticationTimeout time.Duration
	// IdleInTransactionTimeout limits the wait for the next client message inside a
	// transaction or before the Sync of an extended query.
	IdleInTransactionTimeout time.Duration
	// StallTimeout limits the time in which a client sends the rest of a message, or
	// takes replies; each progressSize bytes begin it anew.
	StallTimeout time.Duration
	// StallTime is how long a client may make the host wait in the middle of a message or of
	// an answer before it can be ended in favour of others. StartupStallTime is the same for
	// clients that are not authenticated yet.
	StallTime        time.Duration
	StartupStallTime time.Duration
	// TransactionStallTime is how long a client may send nothing inside a transaction before
	// it can be ended in favour of clients that wait for a connection to the same group.
	TransactionStallTime time.Duration
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
	defaultPortalBytes              = 4 << 20
	defaultSettings                 = 200
	defaultSettingsBytes            = 4 << 20
	defaultStallTimeout             = 30 * time.Second
	defaultStallTime                = 5 * time.Second
	defaultStartupStallTime         = 250 * time.Millisecond
	defaultTransactionStallTime     = 10 * time.Second
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
	fill(&l.Starting, l.Sessions)
	fill(&l.MessageBytes, defaultMessageBytes)
	fill(&l.PreparedStatements, defaultPreparedStatements)
	fill(&l.PreparedBytes, defaultPreparedBytes)
	fill(&l.PortalBytes, defaultPortalBytes)
	fill(&l.Settings, defaultSettings)
	fill(&l.SettingsBytes, defaultSettingsBytes)
	fill(&l.StallTimeout, defaultStallTimeout)
	fill(&l.StallTime, defaultStallTime)
	fill(&l.StartupStallTime, defaultStartupStallTime)
	fill(&l.TransactionStallTime, defaultTransactionStallTime)
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
