package limit

import (
	"fmt"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// maxAccounts is the largest number of accounts in one message.
	maxAccounts = 4096
	// maxAmount is the largest rate or burst of a document, in nanorequests.
	maxAmount = int64(max(proxy.MaxRate, proxy.MaxBurst)) * oneRequest
)

// AccountShare is a share of one account that a host requests or a donor grants. Rate is
// in nanorequests per second; Burst, Tokens and Level are in nanorequests.
type AccountShare struct {
	Account proxy.AccountID `cbor:"1,keyasint"`
	Rate    int64           `cbor:"2,keyasint,omitempty"`
	Burst   int64           `cbor:"3,keyasint,omitempty"`
	Tokens  int64           `cbor:"4,keyasint,omitempty"`
	// Level is the number of tokens that the requesting host has. A donor that uses the
	// account itself transfers at most half of the difference.
	Level int64 `cbor:"5,keyasint,omitempty"`
	// RetryAfter is set in a grant without rate although some was requested. It is the
	// time after which the host should request it again.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
}

// ShareRequest asks a host to transfer shares. It contains all accounts for which the
// sender currently requests shares or tokens from that host.
type ShareRequest struct {
	Incarnation proxy.Incarnation `cbor:"1,keyasint"`
	Number      uint64            `cbor:"2,keyasint"`
	Requested   []AccountShare    `cbor:"3,keyasint"`
}

// Validate implements proxy.Message.
func (r *ShareRequest) Validate() error {
	if err := checkShares(r.Requested); err != nil {
		return fmt.Errorf("share request: %w", err)
	}
	return nil
}

// ShareGrant answers a ShareRequest. For each account it replaces the share that an
// earlier grant of the same donor transferred, and adds Tokens.
type ShareGrant struct {
	// Incarnation and Number are copied from the ShareRequest.
	Incarnation proxy.Incarnation `cbor:"1,keyasint"`
	Number      uint64            `cbor:"2,keyasint"`
	// GrantDuration is how long the grant is valid. The receiver applies
	// proxy.HolderTime to it, the donor proxy.GranterTime.
	GrantDuration time.Duration  `cbor:"3,keyasint"`
	Granted       []AccountShare `cbor:"4,keyasint"`
}

// Validate implements proxy.Message.
func (g *ShareGrant) Validate() error {
	if g.GrantDuration <= 0 || g.GrantDuration > time.Minute {
		return fmt.Errorf("share grant: valid for %v: want more than 0 and at most %v", g.GrantDuration, time.Minute)
	}
	if err := checkShares(g.Granted); err != nil {
		return fmt.Errorf("share grant: %w", err)
	}
	return nil
}

func checkShares(shares []AccountShare) error {
	if len(shares) > maxAccounts {
		return fmt.Errorf("%d accounts: at most %d are allowed", len(shares), maxAccounts)
	}
	for i := range shares {
		s := &shares[i]
		if err := proxy.CheckID("account", string(s.Account)); err != nil {
			return err
		}
		if min(s.Rate, s.Burst, s.Tokens, s.Level) < 0 || max(s.Rate, s.Burst, s.Tokens, s.Level) > maxAmount {
			return fmt.Errorf("account %s: rate %d, burst %d, tokens %d, level %d: want 0 to %d",
				s.Account, s.Rate, s.Burst, s.Tokens, s.Level, maxAmount)
		}
		if s.RetryAfter < 0 || s.RetryAfter > time.Minute {
			return fmt.Errorf("account %s: retry after %v: want 0 to %v", s.Account, s.RetryAfter, time.Minute)
		}
	}
	return nil
}
