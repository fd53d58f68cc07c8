package peering

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

// message is a request for loans or shares, a position query, a state query or the answer
// to one of them. A request with neither loans, shares nor a group is a state query.
type message struct {
	// Request is the random number by which the requesting host identifies the request.
	Request uint64 `cbor:"1,keyasint"`
	Answer  bool   `cbor:"2,keyasint,omitempty"`
	Loans   []loan `cbor:"3,keyasint,omitempty"`
	// Revision is the configuration revision of the limits under which tokens are
	// requested or lent.
	Revision proxy.Revision `cbor:"6,keyasint,omitempty"`
	// State is the answer to a state query.
	State *State `cbor:"4,keyasint,omitempty"`
	// Announcement is an optional addition to a state query.
	Announcement *Announcement `cbor:"5,keyasint,omitempty"`
	// PositionOf is the group whose log position is queried. Position is the answer to
	// such a query, nil if the host knows none.
	PositionOf proxy.GroupID `cbor:"7,keyasint,omitempty"`
	Position   *Position     `cbor:"8,keyasint,omitempty"`
	// Shares are the requested or lent shares of accounts, From the host that requests
	// them.
	Shares []share      `cbor:"9,keyasint,omitempty"`
	From   proxy.HostID `cbor:"10,keyasint,omitempty"`
	// Within is the age that the queried position may have; zero for the newest one.
	Within time.Duration `cbor:"20,keyasint,omitempty"`
}

// Position is a log position that the primary of a group has reported.
type Position struct {
	Primary proxy.InstanceID `cbor:"1,keyasint"`
	// Age is the time since the position was sampled: every commit that was acknowledged
	// before that is at or below it.
	Age      time.Duration  `cbor:"2,keyasint"`
	Bookmark proxy.Bookmark `cbor:"3,keyasint"`
}

// Announcement contains a version of a group's leadership record that the store has
// acknowledged. It informs hosts that may be unable to reach the store.
type Announcement struct {
	Group   proxy.GroupID      `cbor:"1,keyasint"`
	Version proxy.StoreVersion `cbor:"2,keyasint"`
	Record  failover.Record    `cbor:"3,keyasint"`
}

// State is the state that a host reports to others.
type State struct {
	Host proxy.HostID `cbor:"1,keyasint"`
	// Accepted are the failovers whose old primaries the host no longer uses.
	Accepted []Acceptance `cbor:"2,keyasint,omitempty"`
	// Suspects are the primaries that the host cannot reach.
	Suspects []proxy.InstanceID `cbor:"3,keyasint,omitempty"`
	// Coordinating are the failovers on which the host is working.
	Coordinating []Acceptance `cbor:"4,keyasint,omitempty"`
	// Era is the newest era of the store that the host knows, EraAge for how long it has known
	// it.
	Era    proxy.Era     `cbor:"5,keyasint,omitempty"`
	EraAge time.Duration `cbor:"6,keyasint,omitempty"`
}

// Acceptance identifies the version of a group's leadership record that a host has
// accepted.
type Acceptance struct {
	Group   proxy.GroupID      `cbor:"1,keyasint"`
	Version proxy.StoreVersion `cbor:"2,keyasint"`
}

// loan is a request for tokens of an account, or the answer to it.
type loan struct {
	Account proxy.AccountID `cbor:"1,keyasint"`
	// Tokens is the number of requested or lent tokens.
	Tokens int `cbor:"2,keyasint"`
	// Brief is the number of requested tokens that are needed for waiting operations.
	Brief int `cbor:"4,keyasint,omitempty"`
	// Remaining is the number of tokens that the lender could lend in addition.
	Remaining int `cbor:"3,keyasint,omitempty"`
}

// share is a request for an owner host's share of an account, or the answer to it.
type share struct {
	Account proxy.AccountID `cbor:"1,keyasint"`
	// Parts is the number of thousandths of a token that move with the share, Lent the
	// number of tokens that its owner host has lent to others.
	Parts int `cbor:"2,keyasint,omitempty"`
	Lent  int `cbor:"3,keyasint,omitempty"`
}

// Validate checks a message that was received from another host.
func (m *message) Validate() error {
	if m.Request == 0 || len(m.Loans) > allowance.MaxAccounts {
		return eris.Errorf("message number %d with %d loans: the number is zero or there are too many loans", m.Request, len(m.Loans))
	}
	if len(m.Shares) > allowance.MaxAccounts {
		return eris.Errorf("message with %d shares: at most %d are allowed", len(m.Shares), allowance.MaxAccounts)
	}
	for _, s := range m.Shares {
		if s.Parts < 0 || s.Lent < 0 {
			return eris.Errorf("share with %d parts of a token and %d lent: negative numbers are not allowed", s.Parts, s.Lent)
		}
	}
	if m.Announcement != nil {
		if err := m.Announcement.Record.Validate(); err != nil {
			return fmt.Errorf("announcement: %w", err)
		}
		if written, announced := m.Announcement.Record.Era, m.Announcement.Version.Era; written != announced {
			return eris.Errorf("announcement in era %d of a record of era %d", announced, written)
		}
	}
	if m.Position != nil && m.Position.Age < 0 {
		return eris.Errorf("position with the age %v: negative ages are not allowed", m.Position.Age)
	}
	if m.State != nil && m.State.EraAge < 0 {
		return eris.Errorf("state in an era known for %v: negative ages are not allowed", m.State.EraAge)
	}
	if m.Within < 0 {
		return eris.Errorf("query for a position within %v: negative ages are not allowed", m.Within)
	}
	for _, l := range m.Loans {
		if l.Tokens < 0 || l.Brief < 0 || l.Remaining < 0 {
			return eris.Errorf("loan of %d tokens, %d brief, with %d remaining: negative numbers are not allowed", l.Tokens, l.Brief, l.Remaining)
		}
	}
	return nil
}
