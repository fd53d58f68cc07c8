// Package pace finds from the answers of an instance how many statements it should run at
// once, and which share of its answers fails.
//
// It answers two loads: the one that arrives at once at an instance which has just
// started, recovered or been promoted, and the one that exceeds what an instance can do at
// the moment. It takes no time of its own and sends nothing.
package pace

import (
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// reduction is the factor by which the limit falls.
	reduction = 0.7
	// firstHold and maxHold are the rounds of good answers after which the limit is raised
	// to a level at which the instance has refused statements. The hold doubles each time
	// that this fails.
	firstHold, maxHold = 4, 128
	// firstImmunity and maxImmunity are how long refusals do not reduce the limit after the
	// instance has refused statements that it was sent one at a time. Fewer statements do
	// not help then. The time doubles each time that this recurs.
	firstImmunity, maxImmunity = time.Second, 8 * time.Second
	// slowFactor times the usual duration is the mean duration of recentAnswers from which
	// an instance counts as slow.
	slowFactor = 4
	// recentAnswers is the number of answers over which the recent duration is averaged.
	recentAnswers = 8
	// usualSmoothing is the weight of an answer in the usual duration.
	usualSmoothing = 0.01
)

// Outcome is what became of a statement that was sent to an instance.
type Outcome uint8

// The outcomes of a statement.
const (
	// Ignored says nothing about the instance.
	Ignored Outcome = iota
	// Succeeded means that the instance ran the statement.
	Succeeded
	// Failed means that the instance ran the statement and failed it.
	Failed
	// Shed means that the instance refused the statement because it has too much to do.
	Shed
	// TimedOut means that the instance did not answer in time.
	TimedOut
	// Broken means that the connection ended before the answer.
	Broken
)

// Answer is the end of a statement.
type Answer struct {
	Outcome Outcome
	// Sent is when the statement was sent.
	Sent proxy.Instant
}

// State is what a Limiter does.
type State uint8

// The states of a Limiter.
const (
	// Full means that all slots may be used.
	Full State = iota
	// Rising means that the limit doubles with each round of good answers.
	Rising
	// Reduced means that the limit stays below a level at which the instance refused.
	Reduced
)

var stateNames = [...]string{"full", "rising", "reduced"}

// String returns the state's name as it appears in logs.
func (s State) String() string { return stateNames[s] }

// Limiter limits the statements that run at once on one instance. Its limit is between 1
// and the number of slots. It is not safe for concurrent use.
type Limiter struct {
	slots int
	limit float64
	// ceiling is the lowest limit at which the instance refused statements, zero for none.
	ceiling float64
	// held counts the good answers just below the ceiling; after hold rounds of them the
	// ceiling is tried. trying reports that the limit was raised to a ceiling and has not yet
	// held for as long there.
	held, hold int
	trying     bool
	// changedAt is when the limit last fell. Statements that were sent before were sent
	// under another limit.
	changedAt proxy.Instant
	// Until immuneUntil refusals do not reduce the limit.
	immuneUntil proxy.Instant
	immunity    time.Duration
	// usual and recent are moving averages of the duration of good answers; answers counts
	// those since recent was set.
	usual, recent time.Duration
	answers       int
}

// NewLimiter returns a limiter that allows all slots of an instance.
func NewLimiter(slots int) *Limiter {
	l := &Limiter{slots: max(slots, 1)}
	l.limit = float64(l.slots)
	l.forget()
	return l
}

// forget resets what was learned from refusals.
func (l *Limiter) forget() {
	l.ceiling, l.held, l.hold, l.trying = 0, 0, firstHold, false
}

// Resize sets the number of slots. A limiter that allowed all slots still does.
func (l *Limiter) Resize(slots int) {
	slots = max(slots, 1)
	if l.State() == Full {
		l.limit = float64(slots)
	}
	l.slots = slots
	l.limit = min(l.limit, float64(slots))
}

// Restart begins at one statement again, because the instance has started, recovered or
// become the primary.
func (l *Limiter) Restart(now proxy.Instant) {
	l.limit, l.changedAt = 1, now
	l.immuneUntil, l.immunity = 0, 0
	l.answers, l.usual, l.recent = 0, 0, 0
	l.forget()
}

// Limit returns the number of statements that may run at once.
func (l *Limiter) Limit() int { return int(l.limit) }

// State returns what the limiter does.
func (l *Limiter) State() State {
	switch {
	case l.Limit() >= l.slots:
		return Full
	case l.ceiling > 0:
		return Reduced
	default:
		return Rising
	}
}

// Record adjusts the limit to the end of a statement.
func (l *Limiter) Record(now proxy.Instant, a Answer) {
	switch a.Outcome {
	case Succeeded, Failed:
		if !l.recordDuration(now, now.Sub(a.Sent)) {
			l.rise()
		}
	case Shed, TimedOut:
		if a.Sent >= l.changedAt && now >= l.immuneUntil {
			l.refused(now)
		}
	}
}

// recordDuration records the duration of an answer. It reports whether the instance has
// become slow and reduces the limit then. What is slow now is usual afterwards: if the limit
// is not the reason, it rises again.
func (l *Limiter) recordDuration(now proxy.Instant, took time.Duration) bool {
	if l.usual == 0 {
		l.usual, l.recent = took, took
	}
	l.answers++
	l.recent += (took - l.recent) / recentAnswers
	l.usual += time.Duration(usualSmoothing * float64(took-l.usual))
	if l.answers < 2*recentAnswers || l.recent < slowFactor*l.usual || l.limit <= 1 {
		return false
	}
	l.usual, l.answers = l.recent, 0
	l.limit, l.changedAt = max(l.limit*reduction, 1), now
	return true
}

// rise raises the limit after a good answer: by one, which doubles it with each round, or,
// after a refusal, by one with each round up to the ceiling.
func (l *Limiter) rise() {
	slots := float64(l.slots)
	switch {
	case !l.trying && l.ceiling == 0:
		l.limit = min(l.limit+1, slots)
		return
	case !l.trying && l.limit+1 < l.ceiling:
		l.limit = min(l.limit+1/l.limit, slots)
		return
	}
	if l.held++; l.held < l.hold*l.Limit() {
		return
	}
	l.held = 0
	if l.trying {
		l.trying, l.hold = false, firstHold
		return
	}
	l.limit, l.trying = min(l.ceiling, slots), true
	if l.ceiling++; l.ceiling > slots {
		l.ceiling = 0
	}
}

// refused reduces the limit after a refusal.
func (l *Limiter) refused(now proxy.Instant) {
	if l.Limit() <= 1 {
		if now > l.immuneUntil.Add(maxImmunity) {
			l.immunity = 0
		}
		l.immunity = min(max(2*l.immunity, firstImmunity), maxImmunity)
		l.immuneUntil = now.Add(l.immunity)
		l.forget()
		return
	}
	if l.trying {
		l.hold = min(2*l.hold, maxHold)
	}
	l.ceiling, l.held, l.trying = float64(l.Limit()), 0, false
	l.limit, l.changedAt = max(l.limit*reduction, 1), now
}
