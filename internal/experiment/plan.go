package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// normalRateShare is the share of its rate that an account uses. It is low enough
	// for the account's Poisson arrivals to stay within rate and burst.
	normalRateShare = 0.4
	// excessFactor is the multiple of its rate at which one account sends in Excess.
	excessFactor = 5
	writeShare   = 0.2
	// roamingShare is the share of an account's sessions that switch between hosts.
	roamingShare = 0.5
	// meanRequestsPerHost is the mean number of requests after which a roaming session
	// switches to another host.
	meanRequestsPerHost = 8
	// Limits of the number of sessions of an account.
	minSessions = 3
	maxSessions = 40
)

// arrival is one planned request.
type arrival struct {
	plannedAt  time.Duration // since the start of the load
	write      bool
	switchHost bool // connect to another host before the request
}

// plannedSession is a client session with its requests in order of arrival.
type plannedSession struct {
	name     string
	account  proxy.Account
	key      proxy.KeyID
	route    proxy.Route
	row      string // key of the row that the session reads and writes
	arrivals []arrival
}

// allowsReplicaReads reports whether a replica may serve the session's reads.
func (s plannedSession) allowsReplicaReads() bool {
	return s.route.Access == proxy.Read || s.route.MaxStaleness == 0
}

// makePlan creates the sessions of all accounts and draws their arrivals. The plan
// depends only on the options and the document, so a seed repeats it.
func makePlan(o Options, document *proxy.Document) []plannedSession {
	random := rand.New(rand.NewPCG(o.Seed, 0))
	var plan []plannedSession
	for _, account := range document.Accounts {
		sessions := sessionsOf(account, document)
		for i := range sessions {
			sessions[i].key = account.Keys[i%len(account.Keys)].ID
		}
		drawArrivals(o, random, account, sessions, excessAccount(document) == account.ID)
		plan = append(plan, sessions...)
	}
	if o.Requests > 0 {
		truncate(plan, o.Requests)
	}
	return plan
}

// excessAccount returns the account that exceeds its rate in Excess: the first of those
// with the largest rate.
func excessAccount(document *proxy.Document) proxy.AccountID {
	return slices.MaxFunc(document.Accounts, func(a, b proxy.Account) int { return cmp.Compare(a.Rate, b.Rate) }).ID
}

// sessionsOf returns an account's sessions, distributed evenly over its routes.
func sessionsOf(account proxy.Account, document *proxy.Document) []plannedSession {
	var routes []proxy.Route
	for _, route := range document.Routes {
		if !route.Open && slices.Contains(route.Accounts, account.ID) {
			routes = append(routes, route)
		}
	}
	count := min(max(minSessions, int(account.Rate/3)), maxSessions)
	var sessions []plannedSession
	for i := range count {
		name := string(account.ID) + "-session-" + string(rune('a'+i%26)) + string(rune('a'+i/26))
		sessions = append(sessions, plannedSession{
			name: name, account: account, route: routes[i%len(routes)], row: name,
		})
	}
	return sessions
}

// drawArrivals draws Poisson arrivals for an account and assigns each to one of its
// sessions at random.
func drawArrivals(o Options, random *rand.Rand, account proxy.Account, sessions []plannedSession, isExcess bool) {
	var elapsed time.Duration
	for {
		rate := normalRateShare * account.Rate
		if isExcess && o.Scenario == Excess && elapsed >= o.faultAt() {
			rate = excessFactor * account.Rate
		}
		elapsed += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if elapsed >= o.Duration {
			return
		}
		i := random.IntN(len(sessions))
		s := &sessions[i]
		s.arrivals = append(s.arrivals, arrival{
			plannedAt:  elapsed,
			write:      s.route.Access == proxy.Write && random.Float64() < writeShare,
			switchHost: float64(i) < roamingShare*float64(len(sessions)) && random.IntN(meanRequestsPerHost) == 0,
		})
	}
}

// truncate keeps the limit earliest requests of all sessions.
func truncate(plan []plannedSession, limit int) {
	var all []time.Duration
	for _, s := range plan {
		for _, a := range s.arrivals {
			all = append(all, a.plannedAt)
		}
	}
	if len(all) <= limit {
		return
	}
	slices.Sort(all)
	for i := range plan {
		plan[i].arrivals = slices.DeleteFunc(plan[i].arrivals, func(a arrival) bool {
			return a.plannedAt >= all[limit]
		})
	}
}

// secret returns the secret of an account key, as the example documents define it.
func secret(key proxy.KeyID) string { return "ayk_example-" + string(key) }

// tokens returns the tokens of the writes that a row's value contains. A write appends
// a space and its token.
func tokens(value string) []string { return strings.Fields(value) }
