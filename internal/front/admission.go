package front

import (
	"github.com/auburnyoke/auburnyoke/internal/statement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// begin starts the accounting of a request: a Query, or the messages up to Sync.
func (s *session) begin() {
	if s.active {
		return
	}
	s.active = true
	s.erred = false
	s.begins = false
	s.splits = false
	s.flushed = false
	s.startTimer()
}

// conclude ends the accounting of a request.
func (s *session) conclude() {
	s.active = false
	s.flushed = false
	s.skipping = false
	s.muted = false
	s.batch.sent = false
	s.stopTimer()
}

// examine refuses statements that may not run on this session. Nothing of them
// has been sent.
func (s *session) examine(statements []statement.Statement) *proxy.Refusal {
	sets := 0
	committed, open := false, false
	for _, one := range statements {
		switch one.Kind {
		case statement.Refused:
			return proxy.Refuse(proxy.FeatureNotSupported, "%s is not supported through the proxy", one.Reason)
		case statement.Set:
			sets++
		case statement.Begin:
			s.begins = true
			open = true
		case statement.Commit:
			committed = true
			open = false
		case statement.Rollback:
			open = false
		}
		if refusal := s.examineAccess(one); refusal != nil {
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
	return nil
}

// examineAccess refuses what would make a transaction on a loan for reading
// write: its end is not confirmed.
func (s *session) examineAccess(one statement.Statement) *proxy.Refusal {
	wantsWrite := one.ReadWrite
	if one.Kind == statement.Set && one.Name == readOnlySetting {
		wantsWrite = !statement.IsOn(one.Value)
	}
	if !wantsWrite {
		return nil
	}
	if s.grant.route.Access == proxy.Read {
		return proxy.Refuse(proxy.ReadOnlyTransaction, "route %q is read-only", string(s.who.route))
	}
	if s.loan != nil && s.loan.access == proxy.Read && s.status != statusIdle {
		return proxy.Refuse(proxy.ReadOnlyTransaction, "the transaction was begun as read-only")
	}
	return nil
}

// admit checks the session's key and takes a token for one statement. The end
// of a failed transaction needs no token: refusing it would hold the connection.
func (s *session) admit(statements []statement.Statement) error {
	if refusal := s.authorize(); refusal != nil {
		refusal.State = proxy.InvalidAuthorization
		return &fatal{refusal}
	}
	account := s.grant.account.ID
	if account == "" || (s.status == statusFailed && endsOnly(statements)) {
		return nil
	}
	if err := s.server.Limiter.Admit(s.server.Clock.Now(), account); err != nil {
		refusal := *proxy.AsRefusal(err)
		refusal.Outcome = proxy.NotRun
		return &refusal
	}
	return nil
}

func endsOnly(statements []statement.Statement) bool {
	for _, one := range statements {
		if one.Kind != statement.Commit && one.Kind != statement.Rollback {
			return false
		}
	}
	return len(statements) > 0
}

// beginsReadOnly reports whether statements do nothing but begin a read-only
// transaction.
func beginsReadOnly(statements []statement.Statement) bool {
	return len(statements) == 1 && statements[0].Kind == statement.Begin && statements[0].ReadOnly
}
