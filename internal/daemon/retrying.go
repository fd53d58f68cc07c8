package daemon

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxTokenWait is the longest wait for a token before a request is refused. A
// small account has few tokens on each host, so that even clients that stay
// within the account's rate find a host's bucket empty for a moment.
const maxTokenWait = 250 * time.Millisecond

// RetryingLimiter admits a request that needs to wait only briefly after one wait. It
// implements proxy.Limiter.
type RetryingLimiter struct {
	Limiter proxy.Limiter
	Clock   proxy.Clock
}

// Admit implements proxy.Limiter.
func (p RetryingLimiter) Admit(now proxy.Instant, account proxy.AccountID) error {
	err := p.Limiter.Admit(now, account)
	if err == nil {
		return nil
	}
	wait := proxy.AsRefusal(err).RetryAfter
	if wait <= 0 || wait > maxTokenWait {
		return err
	}
	time.Sleep(wait)
	return p.Limiter.Admit(p.Clock.Now(), account)
}
