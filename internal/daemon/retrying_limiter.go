package daemon

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxTokenWait is the longest wait for a token; a request that would have to wait
// longer is refused at once. An account with a low rate has few tokens on each
// host, so that clients within the account's rate may find a host's bucket empty
// for a moment.
const maxTokenWait = 250 * time.Millisecond

// RetryingLimiter wraps a Limiter. If the Limiter refuses a request but would
// admit it within maxTokenWait, it waits and tries once more. It implements
// proxy.Limiter.
type RetryingLimiter struct {
	Limiter proxy.Limiter
	Clock   proxy.Clock
}

// Admit implements proxy.Limiter.
func (l RetryingLimiter) Admit(now proxy.Instant, account proxy.AccountID) error {
	err := l.Limiter.Admit(now, account)
	if err == nil {
		return nil
	}
	wait := proxy.AsRefusal(err).RetryAfter
	if wait <= 0 || wait > maxTokenWait {
		return err
	}
	time.Sleep(wait)
	return l.Limiter.Admit(l.Clock.Now(), account)
}
