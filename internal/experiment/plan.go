package experiment

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Parameters of the load.
const (
	// usualShare is the share of its rate that an account uses, low enough that
	// its Poisson arrivals stay within rate and burst.
	usualShare = 0.4
	// excessFactor is the multiple of its rate that one account sends.
	excessFactor = 5
	writeShare   = 0.2
	roamingShare = 0.5
	// stayMean is the mean number of requests after which a roaming session
	// connects to another host.
	stayMean = 8
	// Bounds of the number of sessions of an account.
	minSessions = 3
	maxSessions = 40
)

// arrival is one planned request.
type arrival struct {
	due   time.Duration // from the start of the load
	write bool
	move  bool // connect to another host first
}

// plannedSession is a client session with its requests in order of arrival.
type plannedSession struct {
	name     string
	account  proxy.Account
	key      proxy.KeyID
	route    proxy.Route
	row      string // the key of its row in the table
	arrivals []arrival
}

// eligible reports whether a replica may serve the session's reads.
func (s plannedSession) eligible() bool {
	return s.route.Access == proxy.Read || s.route.MaxStaleness == 0
}

// makePlan draws the sessions and the arrivals of all accounts.
func makePlan(o Options, document *proxy.Document) []plannedSession {
	random := rand.New(rand.NewPCG(o.Seed, 0))
	var plan []plannedSession
	for _, account := range document.Accounts {
		sessions := sessionsOf(account, document)
		for i := range sessions {
			sessions[i].key = account.Keys[i%len(account.Keys)].ID
		}
		arrive(o, random, account, sessions, excessAccount(document) == account.ID)
		plan = append(plan, sessions...)
	}
	if o.Requests > 0 {
		truncate(plan, o.Requests)
	}
	return plan
}

// excessAccount returns the account that exceeds its rate: the first with the largest
// rate.
func excessAccount(document *proxy.Document) proxy.AccountID {
	return slices.MaxFunc(document.Accounts, func(a, b proxy.Account) int { return cmp.Compare(a.Rate, b.Rate) }).ID
}

// sessionsOf spreads an account's sessions over its routes.
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

// arrive draws Poisson arrivals and gives each to a random session.
func arrive(o Options, random *rand.Rand, account proxy.Account, sessions []plannedSession, excessAccount bool) {
	var at time.Duration
	for {
		rate := usualShare * account.Rate
		if excessAccount && o.Scenario == Excess && at >= o.faultAt() {
			rate = excessFactor * account.Rate
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= o.Duration {
			return
		}
		i := random.IntN(len(sessions))
		s := &sessions[i]
		s.arrivals = append(s.arrivals, arrival{
			due:   at,
			write: s.route.Access == proxy.Write && random.Float64() < writeShare,
			move:  float64(i) < roamingShare*float64(len(sessions)) && random.IntN(stayMean) == 0,
		})
	}
}

// truncate keeps the first requests by time of arrival.
func truncate(plan []plannedSession, limit int) {
	var all []time.Duration
	for _, s := range plan {
		for _, a := range s.arrivals {
			all = append(all, a.due)
		}
	}
	if len(all) <= limit {
		return
	}
	slices.Sort(all)
	for i := range plan {
		plan[i].arrivals = slices.DeleteFunc(plan[i].arrivals, func(a arrival) bool { return a.due >= all[limit] })
	}
}

// secret returns the key of a key id, as the examples state it.
func secret(key proxy.KeyID) string { return "ayk_example-" + string(key) }

// tokens returns the writes that a row's value contains. A write appends a
// space and a token.
func tokens(value string) []string { return strings.Fields(value) }
