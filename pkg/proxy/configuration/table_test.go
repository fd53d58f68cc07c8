package configuration_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/configuration"
)

const (
	step      = 50 * time.Millisecond
	key       = proxy.Key("environments/loom-ledger/production/document")
	isolation = 5 * time.Second
)

// decode takes the decimal revision as the encoded form.
func decode(data []byte) (configuration.Loaded, error) {
	revision, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return configuration.Loaded{}, fmt.Errorf("decode: %w", err)
	}
	doc := &proxy.Document{Environment: "loom-ledger", Isolation: isolation}
	return configuration.Loaded{Revision: proxy.Revision(revision), Document: doc, Data: data}, nil
}

// fleet drives several tables, a platform and a network in virtual time.
type fleet struct {
	now             proxy.Instant
	random          *rand.Rand
	tables          []*configuration.Table
	reachesPlatform []bool
	down            []bool
	// platform is the revision of the document on the platform.
	platform proxy.Revision
	fetches  int
	// highest is the highest revision in force on each host since it started.
	highest []proxy.Revision
	fail    func(format string, args ...any)
}

func newFleet(n int, seed uint64, fail func(string, ...any)) *fleet {
	f := &fleet{now: 1, random: rand.New(rand.NewPCG(seed, 7)), fail: fail}
	for i := range n {
		self := proxy.HostState{ID: hostID(i), Zone: zone(i), Address: "127.0.0.1:7000"}
		f.tables = append(f.tables, &configuration.Table{Host: self, Key: key, Decode: decode})
		f.reachesPlatform = append(f.reachesPlatform, true)
	}
	f.down = make([]bool, n)
	f.highest = make([]proxy.Revision, n)
	f.updatePeers()
	return f
}

func hostID(i int) proxy.HostID { return proxy.HostID(fmt.Sprintf("host-%03d", i)) }

func zone(i int) proxy.Zone { return proxy.Zone([]string{"gondar", "bahir-dar", "woldia"}[i%3]) }

func (f *fleet) updatePeers() {
	for i, t := range f.tables {
		var live []proxy.HostState
		for j := range f.tables {
			if j != i && !f.down[j] {
				live = append(live, f.tables[j].Host)
			}
		}
		t.Handle(f.now, configuration.Peers{Live: live, ExpectedHosts: len(f.tables) - 1})
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		for i, t := range f.tables {
			if !f.down[i] {
				f.execute(i, t.Handle(f.now, proxy.Tick{Random: f.random.Uint64()}))
			}
		}
	}
}

func (f *fleet) execute(i int, effects []proxy.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case proxy.Fetch:
			f.fetch(i, e)
		case proxy.Send:
			f.send(i, e)
		case configuration.Apply:
			if e.Loaded.Revision <= f.highest[i] {
				f.fail("host %d went from revision %d to %d", i, f.highest[i], e.Loaded.Revision)
			}
			f.highest[i] = e.Loaded.Revision
		}
	}
}

func (f *fleet) fetch(i int, e proxy.Fetch) {
	f.fetches++
	fetched := proxy.Fetched{Object: proxy.Object{Key: e.Key}, Sent: f.now, Err: errors.New("platform outage")}
	if f.reachesPlatform[i] && f.platform > 0 {
		value := strconv.FormatUint(uint64(f.platform), 10)
		fetched = proxy.Fetched{Object: proxy.Object{Key: e.Key, Value: []byte(value)}, Sent: f.now}
	}
	f.execute(i, f.tables[i].Handle(f.now, fetched))
}

func (f *fleet) send(from int, e proxy.Send) {
	for to, t := range f.tables {
		if t.Host.ID == e.To && !f.down[to] && !f.down[from] {
			f.execute(to, t.Handle(f.now, proxy.Received{From: f.tables[from].Host.ID, Message: e.Message}))
		}
	}
}

// inForce returns the number of running hosts with the revision in force.
func (f *fleet) inForce(revision proxy.Revision) int {
	n := 0
	for i, t := range f.tables {
		if _, current := t.Current(); !f.down[i] && current == revision {
			n++
		}
	}
	return n
}

// Guards against a revision that some hosts never receive, and against a number of
// platform reads that grows with the fleet.
func TestRevisionIsInForceEverywhereWithinTheTarget(t *testing.T) {
	is := is.New(t)
	f := newFleet(120, 1, t.Fatalf)
	f.platform = 1
	f.run(4 * time.Second)
	f.platform, f.fetches = 2, 0
	f.run(8 * time.Second) // the target at scale
	is.Equal(f.inForce(2), 120)
	is.True(f.fetches <= 3*configuration.DefaultWatchers*8) // watchers of three zones, at most one read a second each
}

// Guards against a host that goes back to an older revision because of a stale
// read, a restored platform or a peer with older state, in any order of failures.
func TestRevisionNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(6, rapid.Uint64().Draw(t, "seed"), t.Fatalf)
		newest := proxy.Revision(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			host := rapid.IntRange(0, 5).Draw(t, "host")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				newest++
				f.platform = newest
			case 1: // an older state of the platform is restored
				f.platform = proxy.Revision(rapid.Uint64Range(0, uint64(newest)).Draw(t, "restored"))
			case 2:
				f.reachesPlatform[host] = !f.reachesPlatform[host]
			case 3: // the host restarts without its state
				f.tables[host] = &configuration.Table{Host: f.tables[host].Host, Key: key, Decode: decode}
				f.highest[host] = 0
				f.updatePeers()
			case 4:
				f.down[host] = !f.down[host]
				f.updatePeers()
			}
			f.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * step)
		}
	})
}

// Guards against a host that restarts during an outage of the platform and
// stays without configuration, or serves clients without one.
func TestRestartDuringOutageFetchesFromPeers(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 1, t.Fatalf)
	f.platform = 3
	f.run(4 * time.Second)
	for i := range f.reachesPlatform {
		f.reachesPlatform[i] = false
	}
	f.tables[2] = &configuration.Table{Host: f.tables[2].Host, Key: key, Decode: decode}
	f.highest[2] = 0
	refusal := proxy.AsRefusal(f.tables[2].CheckServing(f.now))
	is.Equal(refusal.State, proxy.CannotConnectNow)
	is.Equal(refusal.Outcome, proxy.NotRun)
	f.updatePeers()
	f.run(2 * time.Second)
	is.Equal(f.inForce(3), 4)
}

// Guards against an isolated host that goes on serving a key that may have been
// withdrawn, and against a whole fleet that stops because the platform is down.
func TestIsolatedHostRefusesAndTheOthersServe(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 1, t.Fatalf)
	f.platform = 1
	f.run(4 * time.Second)
	for i := range f.reachesPlatform {
		f.reachesPlatform[i] = false
	}
	f.down[4] = true
	f.updatePeers()
	f.tables[4].Handle(f.now, configuration.Peers{ExpectedHosts: 4})
	f.run(isolation + 2*time.Second)
	is.NoErr(f.tables[0].CheckServing(f.now))
	is.True(f.tables[4].CheckServing(f.now) != nil)
}

// Guards against decoding the document at each read of the platform: decoding a
// large one takes half a second of a core.
func TestRevisionInForceIsNotDecodedAgain(t *testing.T) {
	is := is.New(t)
	decodings := 0
	table := &configuration.Table{Key: key, Decode: func(data []byte) (configuration.Loaded, error) {
		decodings++
		return decode(data)
	}}
	fetched := func(revision string) proxy.Fetched {
		return proxy.Fetched{Object: proxy.Object{Key: key, Value: []byte(revision)}, Sent: 1}
	}
	for range 5 {
		table.Handle(1, fetched("7"))
	}
	is.Equal(decodings, 1)
	table.Handle(1, fetched("8"))
	is.Equal(decodings, 2)
	_, revision := table.Current()
	is.Equal(revision, proxy.Revision(8))
}
