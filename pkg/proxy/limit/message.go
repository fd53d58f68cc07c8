package limit

import (
	"fmt"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Bounds of a message.
const (
	// maxParts bounds the accounts in one message.
	maxParts = 4096
	// maxAmount is the largest rate or burst of a document, in nanorequests.
	maxAmount = int64(max(proxy.MaxRate, proxy.MaxBurst)) * unit
)

// Want is what a host asks of a peer for one account. Amounts are in
// nanorequests, the rate in nanorequests a second.
type Want struct {
	Account proxy.AccountID `cbor:"1,keyasint"`
	Rate    int64           `cbor:"2,keyasint,omitempty"`
	Burst   int64           `cbor:"3,keyasint,omitempty"`
	Tokens  int64           `cbor:"4,keyasint,omitempty"`
	// Level is the number of tokens that an asking host has. A giver that uses
	// the account itself gives at most half of the difference.
	Level int64 `cbor:"5,keyasint,omitempty"`
	// Again is, in a grant that cedes no rate although some was asked, the time
	// after which it is worth asking again.
	Again time.Duration `cbor:"6,keyasint,omitempty"`
}

// Ask asks a host to cede parts of its shares. It holds all accounts for which
// the sender wants something of that host.
type Ask struct {
	Incarnation proxy.Incarnation `cbor:"1,keyasint"`
	Number      uint64            `cbor:"2,keyasint"`
	Wants       []Want            `cbor:"3,keyasint"`
}

// Validate implements proxy.Message.
func (a *Ask) Validate() error {
	if err := checkWants(a.Wants); err != nil {
		return fmt.Errorf("ask for shares: %w", err)
	}
	return nil
}

// Grant answers an Ask. For each account it replaces the part that an earlier
// grant of the same giver ceded, and adds Tokens.
type Grant struct {
	// Incarnation and Number are those of the Ask.
	Incarnation proxy.Incarnation `cbor:"1,keyasint"`
	Number      uint64            `cbor:"2,keyasint"`
	// Valid is the duration of the grant; the receiver applies
	// proxy.HolderTime to it, the giver proxy.GranterTime.
	Valid time.Duration `cbor:"3,keyasint"`
	Parts []Want        `cbor:"4,keyasint"`
}

// Validate implements proxy.Message.
func (g *Grant) Validate() error {
	if g.Valid <= 0 || g.Valid > time.Minute {
		return fmt.Errorf("grant of shares: valid for %v: want more than 0 and at most %v", g.Valid, time.Minute)
	}
	if err := checkWants(g.Parts); err != nil {
		return fmt.Errorf("grant of shares: %w", err)
	}
	return nil
}

func checkWants(wants []Want) error {
	if len(wants) > maxParts {
		return fmt.Errorf("%d accounts: at most %d are allowed", len(wants), maxParts)
	}
	for i := range wants {
		w := &wants[i]
		if err := proxy.CheckID("account", string(w.Account)); err != nil {
			return err
		}
		if min(w.Rate, w.Burst, w.Tokens, w.Level) < 0 || max(w.Rate, w.Burst, w.Tokens, w.Level) > maxAmount {
			return fmt.Errorf("account %s: rate %d, burst %d, tokens %d, level %d: want 0 to %d",
				w.Account, w.Rate, w.Burst, w.Tokens, w.Level, maxAmount)
		}
		if w.Again < 0 || w.Again > time.Minute {
			return fmt.Errorf("account %s: ask again after %v: want 0 to %v", w.Account, w.Again, time.Minute)
		}
	}
	return nil
}
