// Package admission decides what becomes of an operation for which its host has no token
// of the account's rate: whether it waits for one in the order of arrival, and when the
// caller of a refused one should return.
//
// The load is that of callers within their rate whose tokens are a moment away, because a
// bucket was empty at the host's start or the tokens are on another host, beside accounts
// far above their rate, which must not occupy the host with waiting operations.
package admission

import (
	"math"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// MaxWait is the longest wait for a token.
	MaxWait = 100 * time.Millisecond
	// goalPart is the part of an operation's goal that it may spend waiting for a token.
	goalPart = 4
	// remainingPart is the part of the time left until an operation's deadline that it may
	// spend waiting for a token. The rest is for running it.
	remainingPart = 2
	// maxReturn limits the time after which a refused caller is told to return.
	maxReturn = 5 * time.Second
	// minReturn is the least such time.
	minReturn = time.Millisecond
)

// Expires returns until when an operation may wait for a token: for MaxWait, a part of the
// goal from its arrival, if it has one, and a part of the time until its deadline,
// whichever ends first.
func Expires(now, arrived proxy.Instant, goal time.Duration, deadline proxy.Instant) proxy.Instant {
	expires := min(now.Add(MaxWait), now.Add(deadline.Sub(now)/remainingPart))
	if goal > 0 {
		expires = min(expires, arrived.Add(goal/goalPart))
	}
	return max(expires, now)
}

// Supply is what a host expects of an account's tokens.
type Supply struct {
	// Level is the number of tokens in the host's bucket, Rate the number that it gains in
	// a second.
	Level, Rate float64
	// InFlight is the number of tokens that were requested from other hosts. They arrive
	// within a wait, or the wait is reviewed when they do not.
	InFlight int
}

// Wait returns how long the host's own bucket takes until it holds the token for the
// operation with this number of operations before it. It is negative if the bucket does
// not gain tokens.
func (s Supply) Wait(before int) time.Duration {
	missing := float64(before+1) - s.Level
	switch {
	case missing <= 0:
		return 0
	case s.Rate <= 0:
		return -1
	}
	// Rounded up, so that the token is there after the wait.
	return time.Duration(math.Ceil(min(missing/s.Rate, time.Hour.Seconds()) * float64(time.Second)))
}

// Reaches reports whether an operation with this number of operations before it can get
// a token within a time.
func (s Supply) Reaches(before int, within time.Duration) bool {
	if before < s.InFlight {
		return within > 0
	}
	wait := s.Wait(before - s.InFlight)
	return wait >= 0 && wait <= within
}

// Returns spreads the callers that were refused for one account over the time at which
// it has tokens. The zero value is ready for use.
type Returns struct {
	// latest is the instant at which the caller that was refused last returns.
	latest proxy.Instant
}

// After returns the time after which the caller of a refused operation should return:
// when the next token is expected, and after the callers that were told to return before
// it, of which the account serves rate in a second. When these fill maxReturn, the times
// begin again with the next token, since callers do not all return.
func (r *Returns) After(now proxy.Instant, next time.Duration, rate float64) time.Duration {
	next = max(next, minReturn)
	interval := maxReturn
	if rate > 0 {
		interval = time.Duration(min(float64(time.Second)/rate, float64(maxReturn)))
	}
	at := max(now.Add(next), r.latest.Add(interval))
	if at.Sub(now) > maxReturn {
		at = now.Add(min(next, maxReturn))
	}
	r.latest = at
	return at.Sub(now)
}
