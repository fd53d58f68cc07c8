package experiment

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Verdict tells whether a target is met.
type Verdict string

// The verdicts. A row without a target is reported only.
const (
	Met      Verdict = "met"
	Missed   Verdict = "missed"
	Reported Verdict = ""
)

// Row is one measured figure beside its target.
type Row struct {
	Metric  string  `json:"metric"`
	Value   string  `json:"value"`
	Target  string  `json:"target"`
	Verdict Verdict `json:"verdict"`
}

// Report is the result of a run.
type Report struct {
	User       string     `json:"user"`
	Scenario   Scenario   `json:"scenario"`
	Hosts      int        `json:"hosts"`
	Seed       uint64     `json:"seed"`
	Duration   string     `json:"duration"`
	Load       string     `json:"load"`
	Requests   int        `json:"requests"`
	Rows       []Row      `json:"rows"`
	Violations Violations `json:"violations"`
	// Outcomes counts requests by SQLSTATE or reason.
	Outcomes map[string]int `json:"outcomes"`
	// Failures describe the first request of each outcome but the answered.
	Failures map[string]string `json:"failures"`
}

func (r *Report) add(metric, value, target string, met bool) {
	verdict := Missed
	switch {
	case target == "":
		verdict = Reported
	case met:
		verdict = Met
	}
	r.Rows = append(r.Rows, Row{metric, value, target, verdict})
}

// report measures a finished run.
func (n *installation) report(plan []plannedSession, records []record) *Report {
	o := n.options
	r := &Report{
		User: o.User, Scenario: o.Scenario, Hosts: o.Hosts, Seed: o.Seed, Duration: o.Duration.String(),
		Load: loadAverage(), Requests: len(records), Violations: n.check(records),
		Outcomes: make(map[string]int), Failures: make(map[string]string),
	}
	for _, one := range bySending(records) {
		name := one.state
		if name == answered {
			name = "answered"
		} else if _, known := r.Failures[name]; !known {
			r.Failures[name] = fmt.Sprintf("%s on %s at %v after %v: %s", one.session.name, one.session.route.ID,
				one.sent.Round(time.Millisecond), (one.done - one.sent).Round(time.Millisecond), one.text)
		}
		r.Outcomes[name]++
	}
	n.addReads(r, records)
	n.addUnavailability(r, records)
	n.addAccounts(r, records)
	n.addConnections(r)
	n.addCalls(r)
	v := r.Violations
	r.add("violations: missed, lost, twice, invariants",
		fmt.Sprintf("%d, %d, %d, %d", v.Missed, v.Lost, v.Twice, v.Invariants), "0, 0, 0, 0", v.Sum() == 0)
	if planned := count(plan); planned != len(records) {
		r.add("planned requests that were not sent", fmt.Sprint(planned-len(records)), "0", false)
	}
	return r
}

func count(plan []plannedSession) int {
	total := 0
	for _, s := range plan {
		total += len(s.arrivals)
	}
	return total
}

func (n *installation) addReads(r *Report, records []record) {
	reads, replicas, writes, answers, again := 0, 0, 0, 0, 0
	for _, one := range records {
		if one.write {
			writes++
		}
		if one.write || one.state != answered || !one.session.eligible() {
			continue
		}
		reads++
		if one.replica {
			replicas++
		}
	}
	for _, one := range records {
		if one.state == answered {
			answers++
		}
		if one.again {
			again++
		}
	}
	r.add("requests, answered, writes", fmt.Sprintf("%d, %d, %s", len(records), answers, percent(writes, len(records))), "", true)
	r.add("requests sent again after an idle session ended", fmt.Sprint(again), "", true)
	bound := 0.9
	if n.options.lag() >= longLag {
		bound = 0.7
	}
	r.add("eligible reads on replicas", percent(replicas, reads), fmt.Sprintf("at least %.0f%%", 100*bound),
		float64(replicas) >= bound*float64(reads))
}

// addUnavailability measures the longest gap between acknowledged writes of
// the faulted group that ends after the failure, and for comparison the
// longest gap of the same group before it.
func (n *installation) addUnavailability(r *Report, records []record) {
	at := n.options.faultAt()
	before, after := n.gaps(records, at)
	value := fmt.Sprintf("%v (before the failure %v)", after.Round(time.Millisecond), before.Round(time.Millisecond))
	target, bound := "", time.Duration(0)
	if n.options.Scenario == PrimaryKilled || n.options.Scenario == PrimarySilent {
		target, bound = "at most 2s", 2*time.Second
	}
	r.add("longest gap between writes of "+string(n.faulted()), value, target, after <= bound)
}

// gaps returns the longest gaps that end before and after a time.
func (n *installation) gaps(records []record, at time.Duration) (before, after time.Duration) {
	times := []time.Duration{0}
	for _, one := range records {
		if one.write && one.state == answered && one.session.route.Group == n.faulted() {
			times = append(times, one.done)
		}
	}
	slices.Sort(times)
	for i := 1; i < len(times); i++ {
		gap := times[i] - times[i-1]
		if times[i] < at {
			before = max(before, gap)
			continue
		}
		after = max(after, gap)
	}
	last := times[len(times)-1]
	if last < at {
		after = max(after, n.options.Duration-last)
	}
	return before, after
}

// accountResult is the service that one account received.
type accountResult struct {
	id               proxy.AccountID
	sent, within     int
	answered         int
	served, refused  int // of those within rate
	p99, p99Before   time.Duration
	overshoot, share float64
}

func (n *installation) accountResult(account proxy.Account, records []record) accountResult {
	own := slices.DeleteFunc(slices.Clone(records), func(one record) bool { return one.session.account.ID != account.ID })
	within := inRate(account, own)
	result := accountResult{id: account.ID, sent: len(own), within: len(within), overshoot: overshoot(account, own), share: 1}
	for _, one := range own {
		if one.state == answered {
			result.answered++
		}
	}
	var waits, waitsBefore []time.Duration
	for _, one := range within {
		switch one.state {
		case answered:
			result.served++
		case string(proxy.TooManyConnections), string(proxy.ConfigurationLimit), string(proxy.CannotConnectNow):
			result.refused++
		}
		if one.due < n.options.faultAt() {
			waitsBefore = append(waitsBefore, one.done-one.due)
		} else {
			waits = append(waits, one.done-one.due)
		}
	}
	if len(within) > 0 {
		result.share = float64(result.served) / float64(len(within))
	}
	result.p99, result.p99Before = p99(waits), p99(waitsBefore)
	return result
}

func (n *installation) addAccounts(r *Report, records []record) {
	excess := n.options.Scenario == Excess
	var results, others []accountResult
	within, refused := 0, 0
	for _, account := range n.document.Accounts {
		result := n.accountResult(account, records)
		results = append(results, result)
		if excess && account.ID == excessAccount(n.document) {
			// Above the rate the limiter chooses which requests to refuse, so that
			// only their number can be judged.
			r.add("requests answered to "+string(account.ID)+", of those that its rate and burst allow",
				fmt.Sprintf("%d of %d", result.answered, result.within), "", true)
			continue
		}
		within += result.within
		refused += result.refused
		others = append(others, result)
	}
	worst := slices.MinFunc(others, func(a, b accountResult) int { return cmp.Compare(a.share, b.share) })
	r.add("worst-served account: in-rate requests answered",
		fmt.Sprintf("%s (%s)", percent(worst.served, worst.within), worst.id), "at least 95%", worst.share >= 0.95)
	slow := slices.MaxFunc(others, func(a, b accountResult) int { return cmp.Compare(ratio(a), ratio(b)) })
	target := ""
	if excess {
		target = "at most 2 times the first half"
	}
	r.add("worst p99 wait against the time before the failure", fmt.Sprintf("%v, before %v (%s)",
		slow.p99.Round(time.Millisecond), slow.p99Before.Round(time.Millisecond), slow.id), target, ratio(slow) <= 2)
	bound := 0.001
	if n.options.Scenario == HostKilled || n.options.Scenario == HostStopped {
		bound = 0.01
	}
	r.add("refusals within rate (53300, 53400, 57P03)", percent(refused, within),
		fmt.Sprintf("at most %.1f%%", 100*bound), float64(refused) <= bound*float64(within))
	for _, one := range results {
		r.add("overshoot of "+string(one.id), fmt.Sprintf("%.0f (%d sent, %d within rate)", one.overshoot, one.sent, one.within),
			"0", one.overshoot < 1)
	}
}

func ratio(a accountResult) float64 {
	return float64(a.p99) / float64(max(a.p99Before, time.Millisecond))
}

func (n *installation) addCalls(r *Report) {
	calls := n.platform.Calls()
	r.add("platform calls: reads, writes, lists, watches",
		fmt.Sprintf("%d, %d, %d, %d", calls.Reads, calls.Writes, calls.Lists, calls.Watches), "", true)
}

func percent(part, whole int) string {
	if whole == 0 {
		return "none"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(whole))
}

func p99(waits []time.Duration) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[(len(waits)-1)*99/100]
}

// loadAverage returns the machine's load averages, or "unknown".
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
