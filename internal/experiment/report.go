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

// Verdict says whether a target is met.
type Verdict string

// The verdicts. A row without a target has the verdict Reported.
const (
	Met      Verdict = "met"
	Missed   Verdict = "missed"
	Reported Verdict = ""
)

// Row is one measurement with its target.
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
	// Outcomes counts requests by SQLSTATE, or by the reason if there is no SQLSTATE.
	Outcomes map[string]int `json:"outcomes"`
	// Failures describes the first request of each outcome other than answered.
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

// report evaluates a finished run.
func (n *installation) report(plan []plannedSession, records []record) *Report {
	o := n.options
	r := &Report{
		User: o.User, Scenario: o.Scenario, Hosts: o.Hosts, Seed: o.Seed, Duration: o.Duration.String(),
		Load: loadAverage(), Requests: len(records), Violations: n.checkRecords(records),
		Outcomes: make(map[string]int), Failures: make(map[string]string),
	}
	for _, rec := range sortedBySendTime(records) {
		name := rec.outcome
		if name == answered {
			name = "answered"
		} else if _, known := r.Failures[name]; !known {
			r.Failures[name] = fmt.Sprintf("%s on %s at %v after %v: %s", rec.session.name, rec.session.route.ID,
				rec.sentAt.Round(time.Millisecond), (rec.completedAt - rec.sentAt).Round(time.Millisecond), rec.errorText)
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
	if planned := countPlanned(plan); planned != len(records) {
		r.add("planned requests that were not sent", fmt.Sprint(planned-len(records)), "0", false)
	}
	return r
}

func countPlanned(plan []plannedSession) int {
	total := 0
	for _, s := range plan {
		total += len(s.arrivals)
	}
	return total
}

func (n *installation) addReads(r *Report, records []record) {
	reads, replicaReads, writes, answers, resent := 0, 0, 0, 0, 0
	for _, rec := range records {
		if rec.write {
			writes++
		}
		if rec.write || rec.outcome != answered || !rec.session.allowsReplicaReads() {
			continue
		}
		reads++
		if rec.fromReplica {
			replicaReads++
		}
	}
	for _, rec := range records {
		if rec.outcome == answered {
			answers++
		}
		if rec.resent {
			resent++
		}
	}
	r.add("requests, answered, writes", fmt.Sprintf("%d, %d, %s", len(records), answers, percent(writes, len(records))), "", true)
	r.add("requests sent again after an idle session ended", fmt.Sprint(resent), "", true)
	minReplicaShare := 0.9
	if n.options.lag() >= longLag {
		minReplicaShare = 0.7
	}
	r.add("eligible reads on replicas", percent(replicaReads, reads), fmt.Sprintf("at least %.0f%%", 100*minReplicaShare),
		float64(replicaReads) >= minReplicaShare*float64(reads))
}

// addUnavailability reports the longest gap between acknowledged writes of the group
// with the failure, before and after the failure. A gap that spans the failure counts
// as after it.
func (n *installation) addUnavailability(r *Report, records []record) {
	faultTime := n.options.faultAt()
	before, after := n.longestWriteGaps(records, faultTime)
	value := fmt.Sprintf("%v (before the failure %v)", after.Round(time.Millisecond), before.Round(time.Millisecond))
	target, maxGap := "", time.Duration(0)
	if n.options.Scenario == PrimaryKilled || n.options.Scenario == PrimarySilent {
		target, maxGap = "at most 2s", 2*time.Second
	}
	r.add("longest gap between writes of "+string(n.faultedGroup()), value, target, after <= maxGap)
}

// longestWriteGaps returns the longest gaps between acknowledged writes of faultedGroup
// that end before faultTime, and at or after it. If no write is acknowledged after
// faultTime, the gap lasts until the end of the load.
func (n *installation) longestWriteGaps(records []record, faultTime time.Duration) (before, after time.Duration) {
	times := []time.Duration{0}
	for _, rec := range records {
		if rec.write && rec.outcome == answered && rec.session.route.Group == n.faultedGroup() {
			times = append(times, rec.completedAt)
		}
	}
	slices.Sort(times)
	for i := 1; i < len(times); i++ {
		gap := times[i] - times[i-1]
		if times[i] < faultTime {
			before = max(before, gap)
			continue
		}
		after = max(after, gap)
	}
	last := times[len(times)-1]
	if last < faultTime {
		after = max(after, n.options.Duration-last)
	}
	return before, after
}

// accountResult summarizes how an account's requests were served. within counts those
// that its rate and burst allow.
type accountResult struct {
	id                     proxy.AccountID
	sent, within           int
	answered               int
	served, refused        int // of the requests within rate and burst
	p99, p99Before         time.Duration
	overshoot, servedShare float64
}

func (n *installation) accountResult(account proxy.Account, records []record) accountResult {
	accountRecords := slices.DeleteFunc(slices.Clone(records), func(rec record) bool {
		return rec.session.account.ID != account.ID
	})
	within := withinRate(account, accountRecords)
	result := accountResult{
		id: account.ID, sent: len(accountRecords), within: len(within),
		overshoot: overshoot(account, accountRecords), servedShare: 1,
	}
	for _, rec := range accountRecords {
		if rec.outcome == answered {
			result.answered++
		}
	}
	var waits, waitsBefore []time.Duration
	for _, rec := range within {
		switch rec.outcome {
		case answered:
			result.served++
		case string(proxy.TooManyConnections), string(proxy.ConfigurationLimit), string(proxy.CannotConnectNow):
			result.refused++
		}
		if rec.plannedAt < n.options.faultAt() {
			waitsBefore = append(waitsBefore, rec.completedAt-rec.plannedAt)
		} else {
			waits = append(waits, rec.completedAt-rec.plannedAt)
		}
	}
	if len(within) > 0 {
		result.servedShare = float64(result.served) / float64(len(within))
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
			// Above the rate, the limiter determines which requests are refused, so only
			// their number can be evaluated.
			r.add("requests answered to "+string(account.ID)+", of those that its rate and burst allow",
				fmt.Sprintf("%d of %d", result.answered, result.within), "", true)
			continue
		}
		within += result.within
		refused += result.refused
		others = append(others, result)
	}
	worst := slices.MinFunc(others, func(a, b accountResult) int {
		return cmp.Compare(a.servedShare, b.servedShare)
	})
	r.add("worst-served account: in-rate requests answered",
		fmt.Sprintf("%s (%s)", percent(worst.served, worst.within), worst.id), "at least 95%", worst.servedShare >= 0.95)
	slowest := slices.MaxFunc(others, func(a, b accountResult) int {
		return cmp.Compare(waitRatio(a), waitRatio(b))
	})
	target := ""
	if excess {
		target = "at most 2 times the first half"
	}
	r.add("worst p99 wait against the time before the failure", fmt.Sprintf("%v, before %v (%s)",
		slowest.p99.Round(time.Millisecond), slowest.p99Before.Round(time.Millisecond), slowest.id),
		target, waitRatio(slowest) <= 2)
	maxRefusedShare := 0.001
	if n.options.Scenario == HostKilled || n.options.Scenario == HostStopped {
		maxRefusedShare = 0.01
	}
	r.add("refusals within rate (53300, 53400, 57P03)", percent(refused, within),
		fmt.Sprintf("at most %.1f%%", 100*maxRefusedShare), float64(refused) <= maxRefusedShare*float64(within))
	for _, res := range results {
		r.add("overshoot of "+string(res.id), fmt.Sprintf("%.0f (%d sent, %d within rate)", res.overshoot, res.sent, res.within),
			"0", res.overshoot < 1)
	}
}

func waitRatio(a accountResult) float64 {
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

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes, or
// "unknown".
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 3 {
		return "unknown"
	}
	return strings.Join(fields[:3], " ")
}
