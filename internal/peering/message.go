package peering

import (
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

// message is a request for loans or the answer to one.
type message struct {
	// Request is a number that the requesting host has drawn.
	Request uint64 `cbor:"1,keyasint"`
	Answer  bool   `cbor:"2,keyasint,omitempty"`
	Loans   []loan `cbor:"3,keyasint,omitempty"`
	// Revision is that of the limits under which tokens are wanted or lent.
	Revision proxy.Revision `cbor:"6,keyasint,omitempty"`
	// State is the answer to a request without loans.
	State *State `cbor:"4,keyasint,omitempty"`
	// Notice comes with such a request.
	Notice *Notice `cbor:"5,keyasint,omitempty"`
}

// Notice tells a host of a version of a group's record that the store has
// acknowledged, since the host may not reach the store.
type Notice struct {
	Group   proxy.GroupID   `cbor:"1,keyasint"`
	Version proxy.Version   `cbor:"2,keyasint"`
	Record  failover.Record `cbor:"3,keyasint"`
}

// State is what a host tells others of itself.
type State struct {
	Host proxy.HostID `cbor:"1,keyasint"`
	// Accepted are the replacements whose old primaries it no longer uses.
	Accepted []Acceptance `cbor:"2,keyasint,omitempty"`
	// Suspects are primaries that it cannot reach.
	Suspects []proxy.InstanceID `cbor:"3,keyasint,omitempty"`
}

// Acceptance names a version of a group's record.
type Acceptance struct {
	Group   proxy.GroupID `cbor:"1,keyasint"`
	Version proxy.Version `cbor:"2,keyasint"`
}

type loan struct {
	Account proxy.AccountID `cbor:"1,keyasint"`
	// Tokens are wanted in a request and lent in an answer.
	Tokens int `cbor:"2,keyasint"`
	// Left is what the lender could still lend.
	Left int `cbor:"3,keyasint,omitempty"`
}

// Validate checks a message that came from another host.
func (m *message) Validate() error {
	if m.Request == 0 || len(m.Loans) > allowance.MaxNeeds {
		return eris.Errorf("message %d with %d loans", m.Request, len(m.Loans))
	}
	if m.Notice != nil {
		if err := m.Notice.Record.Validate(); err != nil {
			return fmt.Errorf("notice: %w", err)
		}
	}
	for _, l := range m.Loans {
		if l.Tokens < 0 || l.Left < 0 {
			return eris.Errorf("loan of %d tokens, %d left", l.Tokens, l.Left)
		}
	}
	return nil
}
