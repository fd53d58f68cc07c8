package soak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
)

// Outcome is what a client knows about the effect of a statement.
type Outcome uint8

// Outcomes of statements.
const (
	// Unknown covers lost connections, timeouts and in-doubt statements.
	Unknown Outcome = iota
	// Succeeded means that the statement was acknowledged.
	Succeeded
	// NoEffect means that the statement was refused with a code of noEffectCodes, or
	// that its transaction did not commit.
	NoEffect
)

// noEffectCodes are the error codes which guarantee that the statement has no effect.
var noEffectCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"}

// Statement is a client's statement with its answer. Its times are from the clock of
// the soak process.
type Statement struct {
	Request  string
	Session  string
	Database string
	Key      string
	// Values are the session values that were acknowledged to the client, in the form of
	// deployment.Run.Values.
	Values string
	Verb   string
	// Shape is the query shape of a prepared statement, empty for other statements.
	Shape string
	Item  string
	// Value is the value that a write stores or that a read returned.
	Value     int
	Signature string
	Outcome   Outcome
	// Began is a time before the statement or, in a transaction, before its BEGIN was
	// sent. Sent is a time just before the statement itself was sent, and Answered one
	// just after its answer arrived.
	Began, Sent, Answered time.Time
}

// consistency returns the consistency of the statement's route.
func (s Statement) consistency() string {
	_, consistency, _ := strings.Cut(s.Database, "-")
	return consistency
}

// Ledger records what clients and instances observe, and finds violations of the
// system's guarantees. It is safe for concurrent use.
type Ledger struct {
	// Synchronous reports that replicas receive each commit before it is acknowledged. It is
	// set before use.
	Synchronous bool

	mu            sync.Mutex
	statements    []Statement
	runsByRequest map[string][]deployment.Run
	runsInOrder   []deployment.Run
	discarded     map[string]map[int]bool
	// leaving holds the periods in which instances announced that they leave.
	leaving map[string][]leavingPeriod
	// withdrawnAt is when the store acknowledged the withdrawal of a key.
	withdrawnAt map[string]time.Time
	limits      map[string]deployment.Account
	// arrivals are the statements that instances have received. evacuated holds the periods
	// for which zones were evacuated.
	arrivals  []deployment.Arrival
	evacuated map[string][]leavingPeriod
	// violations are those that were found while the soak was running.
	violations []string
}

// leavingPeriod is the time from the acknowledgement of an instance's announcement, or of a
// zone's evacuation, to its end.
type leavingPeriod struct{ from, until time.Time }

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runsByRequest: make(map[string][]deployment.Run), discarded: make(map[string]map[int]bool),
		leaving: make(map[string][]leavingPeriod), withdrawnAt: make(map[string]time.Time), limits: make(map[string]deployment.Account),
		evacuated: make(map[string][]leavingPeriod),
	}
}

// Ran implements deployment.Observer.
func (l *Ledger) Ran(run deployment.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runsByRequest[run.Request] = append(l.runsByRequest[run.Request], run)
	l.runsInOrder = append(l.runsInOrder, run)
}

// Discarded implements deployment.Observer.
func (l *Ledger) Discarded(item, data string) {
	value, err := strconv.Atoi(data)
	if err != nil {
		l.report("MIXED", "instance holds the value %q of %s, which no caller has written", data, item)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.discarded[item] == nil {
		l.discarded[item] = make(map[int]bool)
	}
	l.discarded[item][value] = true
}

// Arrived records a statement that an instance has received.
func (l *Ledger) Arrived(a deployment.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// countArrivals returns the numbers of statements that instances have received, of those at
// cold instances, and of those in evacuated zones.
func (l *Ledger) countArrivals() (all, cold, evacuated int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.arrivals {
		if a.Cold {
			cold++
		}
		for _, p := range l.evacuated[a.Zone] {
			if a.At.After(p.from) && a.At.Before(p.until) {
				evacuated++
			}
		}
	}
	return len(l.arrivals), cold, evacuated
}

// RecordEvacuation records that a zone was evacuated from the store's acknowledgement until it
// was taken back.
func (l *Ledger) RecordEvacuation(zone string, from, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evacuated[zone] = append(l.evacuated[zone], leavingPeriod{from, until})
}

// Record adds a statement and its runs on instances.
func (l *Ledger) Record(s Statement, runs ...deployment.Run) {
	l.answered(s)
	for _, run := range runs {
		l.Ran(run)
	}
}

// answered adds a statement that its client has received an answer for or has given
// up on.
func (l *Ledger) answered(s Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statements = append(l.statements, s)
}

// RecordWithdrawal records when the store acknowledged the withdrawal of a key.
func (l *Ledger) RecordWithdrawal(key string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawnAt[key] = at
}

// RecordLeaving records that an instance announced at from that it leaves, and left at
// until, if all hosts could see it meanwhile.
func (l *Ledger) RecordLeaving(instance string, from, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[instance] = append(l.leaving[instance], leavingPeriod{from, until})
}

// RecordLimits records the limits of a client account.
func (l *Ledger) RecordLimits(t deployment.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits[t.Name] = t
}

// report adds a violation that is found while the soak is running. guarantee is its
// name, or SOAK for a failure of the soak itself.
func (l *Ledger) report(guarantee, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, guarantee+": "+fmt.Sprintf(format, values...))
}

// hasRun reports whether an instance has run a request.
func (l *Ledger) hasRun(request string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runsByRequest[request]) > 0
}

// Check returns all violations. It is called once clients and instances have stopped.
func (l *Ledger) Check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := slices.Clone(l.violations)
	add := func(guarantee, format string, values ...any) {
		found = append(found, guarantee+": "+fmt.Sprintf(format, values...))
	}
	l.checkEffects(add)
	l.checkReads(add)
	l.checkKeys(add)
	l.checkRates(add)
	l.checkLeaving(add)
	l.checkEvacuations(add)
	l.checkColdInstances(add)
	l.checkDiscarded(add)
	return found
}

// checkDiscarded finds acknowledged writes that a promotion has rolled back, although replicas
// had to receive them before.
func (l *Ledger) checkDiscarded(add reportFunc) {
	if !l.Synchronous {
		return
	}
	for _, s := range l.statements {
		if s.Verb == "WRITE" && s.Outcome == Succeeded && l.discarded[s.Item][s.Value] {
			add("LOST", "%s, which had written %d to %s, was acknowledged and rolled back", s.Request, s.Value, s.Item)
		}
	}
}

// reportFunc adds a violation of a guarantee.
type reportFunc func(guarantee, format string, values ...any)

// checkEffects compares the answers that clients received with the statements that
// took effect.
func (l *Ledger) checkEffects(add reportFunc) {
	byRequest := make(map[string]Statement, len(l.statements))
	for _, s := range l.statements {
		byRequest[s.Request] = s
	}
	committed := make(map[string][]deployment.Run)
	for _, run := range l.runsInOrder {
		for _, request := range run.Committed {
			committed[request] = append(committed[request], run)
		}
		s, ok := byRequest[run.Request]
		switch {
		case run.Request == servingRequest:
		case !ok:
			add("UNASKED", "%s ran %s, which no caller has sent", run.Instance, run.Request)
		case s.Shape != run.Shape || s.Verb != run.Verb:
			add("PINNED", "%s ran as %s %q, sent as %s %q", run.Request, run.Verb, run.Shape, s.Verb, s.Shape)
		case s.Values != run.Values:
			add("PINNED", "%s ran with the session values %q, acknowledged were %q", run.Request, run.Values, s.Values)
		}
	}
	for _, s := range l.statements {
		effects := committed[s.Request]
		if len(effects) > 1 {
			add("TWICE", "%s took effect %d times", s.Request, len(effects))
		}
		if s.Outcome == NoEffect && len(effects) > 0 {
			add("REFUSED",
				"%s took effect at %s though its caller was told that nothing is kept", s.Request, effects[0].Instance)
		}
		if s.Outcome != Succeeded {
			continue
		}
		for _, run := range effects {
			if run.Superseded {
				add("ONE", "%s was committed at %s, which had been replaced, and acknowledged", s.Request, run.Instance)
			}
		}
		if !slices.ContainsFunc(l.runsByRequest[s.Request], func(r deployment.Run) bool {
			return r.Signature == s.Signature
		}) {
			add("MIXED", "%s was answered with the signature %q, which no run of it gave", s.Request, s.Signature)
		}
	}
}

// checkReads finds reads that miss a commit which the consistency of their route
// requires them to see.
func (l *Ledger) checkReads(add reportFunc) {
	writes := make(map[string][]Statement)
	for _, s := range l.statements {
		if s.Verb == "WRITE" && s.Outcome == Succeeded && !l.discarded[s.Item][s.Value] {
			writes[s.Item] = append(writes[s.Item], s)
		}
	}
	for _, read := range l.statements {
		if read.Verb != "READ" || read.Outcome != Succeeded {
			continue
		}
		for _, write := range writes[read.Item] {
			since := read.Began
			ownWrite := read.consistency() == "own" && write.Session == read.Session
			if read.consistency() != "strict" && !ownWrite {
				since = since.Add(-deployment.MaxStaleness)
			}
			if write.Answered.Before(since) && read.Value < write.Value {
				add("STALE", "%s (%s) returned %d of %s, where %s had written %d, acknowledged %v before",
					read.Request, read.Database, read.Value, read.Item, write.Request, write.Value,
					read.Began.Sub(write.Answered).Round(time.Millisecond))
				break
			}
		}
	}
}

// checkKeys finds statements that ran later than maxRevokeTime after their key was
// withdrawn.
func (l *Ledger) checkKeys(add reportFunc) {
	for _, s := range l.statements {
		end, withdrawn := l.withdrawnAt[s.Key]
		if withdrawn && s.Sent.Sub(end) > maxRevokeTime && len(l.runsByRequest[s.Request]) > 0 {
			add("CONFIG", "%s ran %v after its key %s was withdrawn",
				s.Request, s.Sent.Sub(end).Round(time.Millisecond), s.Key)
		}
	}
}

// checkRates finds time windows in which a client account ran more operations over
// all hosts than its rate and burst allow.
func (l *Ledger) checkRates(add reportFunc) {
	times := make(map[string][]time.Time)
	for _, run := range l.runsInOrder {
		// A transaction counts as one operation, that of its commit.
		if !run.Transaction || run.Verb == "COMMIT" {
			times[run.Account] = append(times[run.Account], run.At)
		}
	}
	for name, runs := range times {
		limit := l.limits[name]
		allowed := (limit.Rate*quotaWindow.Seconds()+limit.Burst)*(1+quotaOvershoot) + quotaSlack
		first := 0
		for last, at := range runs {
			for at.Sub(runs[first]) > quotaWindow {
				first++
			}
			if count := last - first + 1; float64(count) > allowed {
				add("QUOTA", "%d operations of %s ran within %v, allowed are %.0f", count, name, quotaWindow, allowed)
				break
			}
		}
	}
}

// checkLeaving finds operations that began on an instance later than maxDrainTime after
// it had announced that it leaves. Statements that follow in a transaction may run.
func (l *Ledger) checkLeaving(add reportFunc) {
	for _, run := range l.runsInOrder {
		if run.Transaction {
			continue
		}
		for _, p := range l.leaving[run.Instance] {
			if after := run.At.Sub(p.from); after > maxDrainTime && run.At.Before(p.until) {
				add("DRAIN", "%s ran on %s %v after it had announced to leave",
					run.Request, run.Instance, after.Round(time.Millisecond))
			}
		}
	}
}

// checkEvacuations finds statements that reached a zone later than maxEvacuationTime after its
// evacuation.
func (l *Ledger) checkEvacuations(add reportFunc) {
	for _, a := range l.arrivals {
		for _, p := range l.evacuated[a.Zone] {
			if after := a.At.Sub(p.from); after > maxEvacuationTime && a.At.Before(p.until) {
				add("EVAC", "%s reached %s in %s %v after its evacuation",
					a.Request, a.Instance, a.Zone, after.Round(time.Millisecond))
			}
		}
	}
}

// checkColdInstances finds seconds in which a cold instance received more statements than its
// warm-up permits.
func (l *Ledger) checkColdInstances(add reportFunc) {
	const permitted = warmupRate*warmupOvershoot + warmupSlack
	recent := make(map[string][]time.Time)
	reported := make(map[string]bool)
	for _, a := range l.arrivals {
		if !a.Cold {
			continue
		}
		times := append(recent[a.Instance], a.At)
		for a.At.Sub(times[0]) >= time.Second {
			times = times[1:]
		}
		recent[a.Instance] = times
		if len(times) > permitted && !reported[a.Instance] {
			reported[a.Instance] = true
			add("FAILBACK", "%s received %d statements in a second while it was cold, permitted are %v",
				a.Instance, len(times), permitted)
		}
	}
}
