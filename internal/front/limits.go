package front

import "time"

// Limits bound what one client can hold. A zero field takes its default.
type Limits struct {
	// Sessions is the number of client connections.
	Sessions int
	// Message is the length of a client message in bytes.
	Message int
	// Statements is the number of prepared statements of a session.
	Statements int
	// Prepared is the length of the named prepared statements of a session in
	// bytes, all together.
	Prepared int
	// Settings is the number of settings that a session has changed.
	Settings int
	// Authentication limits the time from accept to ReadyForQuery.
	Authentication time.Duration
	// Idle limits the wait for the next message inside a transaction.
	Idle time.Duration
	// WaitTimeout limits the wait for a loan on routes without a timeout.
	WaitTimeout time.Duration
	// Cancel limits a cancel request to an instance. After it, the connection
	// of a statement that exceeds its route's timeout is closed.
	Cancel time.Duration
	// Grace is how long running transactions may take after Run's context ends.
	Grace time.Duration
	// FinalWrite limits the writing of a last error message to a client.
	FinalWrite time.Duration
}

const (
	defaultSessions       = 20_000
	defaultMessage        = 64 << 20 // bytes
	defaultStatements     = 1_000
	defaultPrepared       = 16 << 20 // bytes
	defaultSettings       = 200
	defaultAuthentication = 10 * time.Second
	defaultIdle           = 5 * time.Minute
	defaultPatience       = 10 * time.Second
	defaultCancel         = time.Second
	defaultGrace          = 30 * time.Second
	defaultFinalWrite     = time.Second
)

func (l *Limits) fill() {
	fill(&l.Sessions, defaultSessions)
	fill(&l.Message, defaultMessage)
	fill(&l.Statements, defaultStatements)
	fill(&l.Prepared, defaultPrepared)
	fill(&l.Settings, defaultSettings)
	fill(&l.Authentication, defaultAuthentication)
	fill(&l.Idle, defaultIdle)
	fill(&l.WaitTimeout, defaultPatience)
	fill(&l.Cancel, defaultCancel)
	fill(&l.Grace, defaultGrace)
	fill(&l.FinalWrite, defaultFinalWrite)
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
