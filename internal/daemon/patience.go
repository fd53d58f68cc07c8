package daemon

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxPatience is the longest wait for a token before a request is refused. A
// small account has few tokens on each host, so that even clients that stay
// within the account's rate find a host's bucket empty for a moment.
const maxPatience = 250 * time.Millisecond

// Patience admits a request that needs to wait only briefly after one wait. It
// implements proxy.Limiter.
type Patience struct {
	Limiter proxy.Limiter
	Clock   proxy.Clock
}

// Admit implements proxy.Limiter.
func (p Patience) Admit(now proxy.Instant, account proxy.AccountID) error {
	err := p.Limiter.Admit(now, account)
	if err == nil {
		return nil
	}
	wait := proxy.AsRefusal(err).RetryAfter
	if wait <= 0 || wait > maxPatience {
		return err
	}
	time.Sleep(wait)
	return p.Limiter.Admit(p.Clock.Now(), account)
}
