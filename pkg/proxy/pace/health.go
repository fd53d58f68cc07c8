package pace

import (
	"math"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// halfLife is the time after which an answer counts half as much.
	halfLife = 2 * time.Second
	// priorAnswers is the number of assumed good answers, so that a few failures are no
	// large share.
	priorAnswers = 4
	// failingShare is the share of failures from which an instance gets trial work only, as
	// long as another one can serve the statements.
	failingShare = 0.3
	// trialInterval is the least time between two statements on trial.
	trialInterval = 100 * time.Millisecond
)

// Health is the share of an instance's recent answers that left the caller without a
// result. The zero value is that of an instance without answers. It is not safe for
// concurrent use.
type Health struct {
	good, bad float64
	at        proxy.Instant
	// trialAt is when the last statement on trial was allowed.
	trialAt proxy.Instant
}

// Record records the end of a statement.
func (h *Health) Record(now proxy.Instant, o Outcome) {
	if o == Ignored {
		return
	}
	h.decay(now)
	if o == Succeeded {
		h.good++
	} else {
		h.bad++
	}
}

// Failing returns the share of recent answers that left the caller without a result, from 0
// to below 1.
func (h *Health) Failing(now proxy.Instant) float64 {
	h.decay(now)
	return h.bad / (h.good + h.bad + priorAnswers)
}

// OnTrial reports whether so many statements fail that the instance gets trial work only.
func (h *Health) OnTrial(now proxy.Instant) bool { return h.Failing(now) >= failingShare }

// Refuses reports whether a statement that another instance can serve should go there. It
// returns false once in each trial interval, so that the instance can show that it works.
func (h *Health) Refuses(now proxy.Instant) bool {
	if !h.OnTrial(now) {
		return false
	}
	if now.Sub(h.trialAt) < trialInterval {
		return true
	}
	h.trialAt = now
	return false
}

func (h *Health) decay(now proxy.Instant) {
	if now <= h.at || h.good+h.bad == 0 {
		h.at = max(now, h.at)
		return
	}
	factor := math.Exp2(-float64(now.Sub(h.at)) / float64(halfLife))
	h.good, h.bad, h.at = h.good*factor, h.bad*factor, now
}
