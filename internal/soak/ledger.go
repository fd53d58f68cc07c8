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

// Outcome is what a caller knows of a statement's effect.
type Outcome uint8

// The outcomes.
const (
	// Unknown covers lost connections, time-outs and statements in doubt.
	Unknown Outcome = iota
	// Succeeded statements were acknowledged.
	Succeeded
	// NotKept statements were refused with the promise that nothing is kept.
	NotKept
)

// promises are the codes that promise that nothing of an attempt is kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"}

// Statement is a caller's statement with its answer. Times are the soak's own.
type Statement struct {
	Request  string
	Session  string
	Database string
	Key      string
	Verb     string
	Shape    string
	Item     string
	// Value is what a write stores or what a read returned.
	Value     int
	Signature string
	Outcome   Outcome
	// Sent precedes the statement, or its transaction's first; Asked precedes the
	// statement itself, and Answered follows its answer.
	Sent, Asked, Answered time.Time
}

// kind returns the consistency of the statement's route.
func (s Statement) kind() string {
	_, kind, _ := strings.Cut(s.Database, "-")
	return kind
}

// Ledger records what callers and instances see, and finds the promises that are
// broken. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	statements []Statement
	runs       map[string][]deployment.Run
	order      []deployment.Run
	discarded  map[string]map[int]bool
	// withdrawn is when the store acknowledged the end of a key.
	withdrawn map[string]time.Time
	limits    map[string]deployment.Tenant
	// violations are those found while the soak runs.
	violations []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		runs: make(map[string][]deployment.Run), discarded: make(map[string]map[int]bool),
		withdrawn: make(map[string]time.Time), limits: make(map[string]deployment.Tenant),
	}
}

// Ran implements deployment.Observer.
func (l *Ledger) Ran(run deployment.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[run.Request] = append(l.runs[run.Request], run)
	l.order = append(l.order, run)
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

// Record adds a statement with the runs that it led to.
func (l *Ledger) Record(s Statement, runs ...deployment.Run) {
	l.answered(s)
	for _, run := range runs {
		l.Ran(run)
	}
}

// answered adds a statement whose answer its caller has, or has given up.
func (l *Ledger) answered(s Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statements = append(l.statements, s)
}

// Withdraw notes that the store has acknowledged the end of a key.
func (l *Ledger) Withdraw(key string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawn[key] = at
}

// Limit notes the limits of a client account.
func (l *Ledger) Limit(t deployment.Tenant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits[t.Name] = t
}

// report adds a violation that is found while the soak runs.
func (l *Ledger) report(rule, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, rule+": "+fmt.Sprintf(format, values...))
}

// hasRun reports whether an instance has run a request.
func (l *Ledger) hasRun(request string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs[request]) > 0
}

// Check returns all violations. It is called once nothing runs any more.
func (l *Ledger) Check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := slices.Clone(l.violations)
	add := func(rule, format string, values ...any) {
		found = append(found, rule+": "+fmt.Sprintf(format, values...))
	}
	l.checkEffects(add)
	l.checkReads(add)
	l.checkKeys(add)
	l.checkRates(add)
	return found
}

type adder func(rule, format string, values ...any)

// checkEffects compares what callers were told with what took effect.
func (l *Ledger) checkEffects(add adder) {
	known := make(map[string]Statement, len(l.statements))
	for _, s := range l.statements {
		known[s.Request] = s
	}
	committed := make(map[string][]deployment.Run)
	for _, run := range l.order {
		for _, request := range run.Committed {
			committed[request] = append(committed[request], run)
		}
		s, ok := known[run.Request]
		switch {
		case run.Request == servingRequest:
		case !ok:
			add("UNASKED", "%s ran %s, which no caller has sent", run.Instance, run.Request)
		case s.Shape != run.Shape || s.Verb != run.Verb:
			add("PINNED", "%s ran as %s %q, sent as %s %q", run.Request, run.Verb, run.Shape, s.Verb, s.Shape)
		}
	}
	for _, s := range l.statements {
		effects := committed[s.Request]
		if len(effects) > 1 {
			add("TWICE", "%s took effect %d times", s.Request, len(effects))
		}
		if s.Outcome == NotKept && len(effects) > 0 {
			add("REFUSED", "%s took effect at %s though its caller was told that nothing is kept", s.Request, effects[0].Instance)
		}
		if s.Outcome != Succeeded {
			continue
		}
		for _, run := range effects {
			if run.Superseded {
				add("ONE", "%s was committed at %s, which had been replaced, and acknowledged", s.Request, run.Instance)
			}
		}
		if !slices.ContainsFunc(l.runs[s.Request], func(r deployment.Run) bool { return r.Signature == s.Signature }) {
			add("MIXED", "%s was answered with the signature %q, which no run of it gave", s.Request, s.Signature)
		}
	}
}

// checkReads finds reads that lack a commit that they had to see.
func (l *Ledger) checkReads(add adder) {
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
			since := read.Sent
			own := read.kind() == "own" && write.Session == read.Session
			if read.kind() != "strict" && !own {
				since = since.Add(-deployment.Staleness)
			}
			if write.Answered.Before(since) && read.Value < write.Value {
				add("STALE", "%s (%s) returned %d of %s, where %s had written %d, acknowledged %v before",
					read.Request, read.Database, read.Value, read.Item, write.Request, write.Value,
					read.Sent.Sub(write.Answered).Round(time.Millisecond))
				break
			}
		}
	}
}

// checkKeys finds statements that ran with a key that had been withdrawn.
func (l *Ledger) checkKeys(add adder) {
	for _, s := range l.statements {
		end, gone := l.withdrawn[s.Key]
		if gone && s.Asked.Sub(end) > revokeTime && len(l.runs[s.Request]) > 0 {
			add("CONFIG", "%s ran %v after its key %s was withdrawn", s.Request, s.Asked.Sub(end).Round(time.Millisecond), s.Key)
		}
	}
}

// checkRates finds windows in which a client account got more than its rate and
// burst over all hosts.
func (l *Ledger) checkRates(add adder) {
	times := make(map[string][]time.Time)
	for _, run := range l.order {
		// A transaction counts once; its commit stands for it.
		if !run.Transaction || run.Verb == "COMMIT" {
			times[run.Tenant] = append(times[run.Tenant], run.At)
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
