package frontend

import (
	"github.com/auburnyoke/auburnyoke/internal/statement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// beginRequest resets the per-request state at the start of a request, unless one is
// active. A request is a Query message, or the extended-query messages up to Sync.
func (s *session) beginRequest() {
	if s.requestActive {
		return
	}
	s.requestActive = true
	s.failed = false
	s.hasBegin = false
	s.flushBeforeNext = false
	s.flushed = false
	s.startTimer()
}

// endRequest resets the per-request state at the end of a request.
func (s *session) endRequest() {
	s.requestActive = false
	s.flushed = false
	s.skipping = false
	s.discardReplies = false
	s.batch.sent = false
	s.stopTimer()
}

// examine returns a refusal if one of the statements must not run in this session. It
// also records whether one of them is BEGIN. It is called before any of them is sent.
func (s *session) examine(statements []statement.Statement) *proxy.Refusal {
	sets, addition := 0, 0
	committed, open := false, false
	for _, stmt := range statements {
		switch stmt.Kind {
		case statement.Refused:
			return proxy.Refuse(proxy.FeatureNotSupported, "%s is not supported through the proxy", stmt.Reason)
		case statement.Set:
			sets++
			addition += changeMemory(stmt)
		case statement.Reset, statement.ResetAll, statement.Discard, statement.Savepoint:
			addition += changeMemory(stmt)
		case statement.Begin:
			s.hasBegin = true
			open = true
		case statement.Commit:
			committed = true
			open = false
		case statement.Rollback:
			open = false
		}
		if refusal := s.examineAccess(stmt); refusal != nil {
			return refusal
		}
	}
	if committed && open {
		return proxy.Refuse(proxy.FeatureNotSupported,
			"COMMIT and the beginning of another transaction in one query are not supported through the proxy: the commit could not be confirmed")
	}
	if sets > 0 && len(s.state.set)+len(s.state.changes)+sets > s.server.Limits.Settings {
		return proxy.Refuse(proxy.ConfigurationLimit, "too many settings: at most %d", s.server.Limits.Settings)
	}
	if addition == 0 {
		return nil
	}
	if s.state.setBytes+s.state.changeBytes+addition > s.server.Limits.SettingsBytes {
		return proxy.Refuse(proxy.ConfigurationLimit,
			"settings and savepoints are too long: at most %d bytes in all", s.server.Limits.SettingsBytes)
	}
	return s.reserveState(addition)
}

// examineAccess refuses statements that would allow writes in a transaction whose
// connection was acquired for reading. The end of such a transaction is confirmed only
// if a command tag or a COPY FROM STDIN indicates a write; a SELECT that calls a writing
// function would not be detected.
func (s *session) examineAccess(stmt statement.Statement) *proxy.Refusal {
	wantsWrite := stmt.ReadWrite
	if stmt.Kind == statement.Set && stmt.Name == readOnlySetting {
		wantsWrite = !statement.IsOn(stmt.Value)
	}
	if !wantsWrite {
		return nil
	}
	if s.grant.route.Access == proxy.Read {
		return proxy.Refuse(proxy.ReadOnlyTransaction, "route %q is read-only", string(s.client.route))
	}
	if s.acquired != nil && s.acquired.access == proxy.Read && s.status != statusIdle {
		return proxy.Refuse(proxy.ReadOnlyTransaction, "the transaction was begun as read-only")
	}
	return nil
}

// admit checks that the account key is still valid and takes one rate token. COMMIT
// and ROLLBACK of a failed transaction need no token: refusing them would keep the
// connection occupied.
func (s *session) admit(statements []statement.Statement) error {
	if refusal := s.authorize(); refusal != nil {
		refusal.State = proxy.InvalidAuthorization
		return &fatalError{refusal}
	}
	account := s.grant.account.ID
	if account == "" || (s.status == statusFailed && onlyEndsTransaction(statements)) {
		return nil
	}
	if err := s.server.Limiter.Admit(s.server.Clock.Now(), account); err != nil {
		refusal := *proxy.AsRefusal(err)
		refusal.Outcome = proxy.NotRun
		return &refusal
	}
	return nil
}

// onlyEndsTransaction reports whether there are statements and all of them are COMMIT
// or ROLLBACK.
func onlyEndsTransaction(statements []statement.Statement) bool {
	for _, stmt := range statements {
		if stmt.Kind != statement.Commit && stmt.Kind != statement.Rollback {
			return false
		}
	}
	return len(statements) > 0
}

// beginsReadOnly reports whether the only statement begins a read-only transaction.
func beginsReadOnly(statements []statement.Statement) bool {
	return len(statements) == 1 && statements[0].Kind == statement.Begin && statements[0].ReadOnly
}
