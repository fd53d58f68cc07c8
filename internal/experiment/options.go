package experiment

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// Scenario names the failure or the load condition of a run.
type Scenario string

// The scenarios. A failure starts after one third of the run; in Excess an account
// exceeds its rate in the second half.
const (
	Normal        Scenario = "normal"
	Lagging       Scenario = "lagging"
	Excess        Scenario = "excess"
	PrimaryKilled Scenario = "primary-killed"
	PrimarySilent Scenario = "primary-silent"
	Outage        Scenario = "outage"
	HostStopped   Scenario = "host-stopped"
	HostKilled    Scenario = "host-killed"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	Normal, Lagging, Excess, PrimaryKilled, PrimarySilent, Outage, HostStopped, HostKilled,
}

// Replication lags of the emulated instances.
const (
	defaultLag = 50 * time.Millisecond
	longLag    = 500 * time.Millisecond
)

// Limits of a run.
const (
	maxHosts    = 16
	maxDuration = 15 * time.Minute
)

// Options describe a run.
type Options struct {
	// User is loom-ledger or sargabusz, and Document the text of that user's example
	// document.
	User     string
	Document []byte
	Scenario Scenario
	Hosts    int
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Outage is the length of the platform's outage.
	Outage time.Duration
	Seed   uint64
	// Requests limits the number of requests; zero means no limit.
	Requests int
	Log      zerolog.Logger
}

// Validate reports an option that is out of its range.
func (o Options) Validate() error {
	if !slices.Contains(Scenarios, o.Scenario) {
		return eris.Errorf("scenario %q: want one of %v", o.Scenario, Scenarios)
	}
	if o.Hosts < 2 || o.Hosts > maxHosts {
		return eris.Errorf("hosts %d: want 2 to %d", o.Hosts, maxHosts)
	}
	if o.Duration < time.Second || o.Duration > maxDuration {
		return eris.Errorf("duration %v: want 1s to %v", o.Duration, maxDuration)
	}
	if o.Scenario == Outage && (o.Outage <= 0 || o.Outage > o.Duration) {
		return eris.Errorf("outage %v: want at most the duration %v", o.Outage, o.Duration)
	}
	return nil
}

func (o Options) lag() time.Duration {
	if o.Scenario == Lagging {
		return longLag
	}
	return defaultLag
}

// faultAt returns the time from the start of the load to the failure or the excess.
// A platform outage starts early enough to end within the run.
func (o Options) faultAt() time.Duration {
	switch o.Scenario {
	case Excess:
		return o.Duration / 2
	case Outage:
		return min(o.Duration/3, o.Duration-o.Outage)
	default:
		return o.Duration / 3
	}
}
