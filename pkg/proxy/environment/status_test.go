package environment_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

// Guards against a revision that is reported as in force although a live host lags, and
// against waiting for hosts that are leaving, have stopped or belong to the other stage.
func TestProgress(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := newMemory()
	digest, other := environment.DigestOf([]byte("a")), environment.DigestOf([]byte("b"))
	put := func(key proxy.Key, value any) {
		text, err := json.Marshal(value)
		is.NoErr(err)
		_, err = store.Put(ctx, key, text, 0)
		is.NoErr(err)
	}
	listHost := func(id proxy.HostID, leaving bool) {
		put(proxy.HostPrefix("demo", proxy.Trial)+proxy.Key(id), proxy.HostState{ID: id, Zone: "z", Address: "127.0.0.1:1", Incarnation: 7, Leaving: leaving})
	}
	reportStatus := func(id proxy.HostID, incarnation proxy.Incarnation, revision proxy.Revision, digest environment.Digest) {
		put(environment.StatusKey("demo", proxy.Trial, id), environment.HostStatus{
			Host: id, Zone: "z", Address: "127.0.0.1:1", Incarnation: incarnation, Revision: revision, Digest: digest, Time: noon,
		})
	}
	for _, id := range []proxy.HostID{"current", "newer", "older", "none", "altered", "restarted", "silent"} {
		listHost(id, false)
	}
	listHost("leaving", true)
	reportStatus("current", 7, 5, digest)
	reportStatus("newer", 7, 6, other)
	reportStatus("older", 7, 4, other)
	reportStatus("none", 7, 0, "")
	reportStatus("altered", 7, 5, other)
	reportStatus("restarted", 6, 5, digest)
	reportStatus("leaving", 7, 4, other)
	reportStatus("gone", 7, 4, other)
	put(proxy.HostPrefix("demo", proxy.Production)+"elsewhere", proxy.HostState{ID: "elsewhere"})
	put(proxy.HostPrefix("demo", proxy.Trial)+"damaged", "text")
	put(proxy.HostPrefix("demo", proxy.Trial)+"renamed", proxy.HostState{ID: "other"})
	put(environment.StatusKey("demo", proxy.Trial, "misplaced"), "text")

	progress, err := environment.ReadProgress(ctx, store, "demo", proxy.Trial, 5, digest)
	is.NoErr(err)
	conditions := map[proxy.HostID]environment.HostCondition{}
	for _, host := range progress.Hosts {
		conditions[host.Host] = host.Condition
	}
	is.Equal(conditions, map[proxy.HostID]environment.HostCondition{
		"current":   environment.InForce,
		"newer":     environment.InForce,
		"older":     environment.Behind,
		"none":      environment.Behind,
		"altered":   environment.Behind,
		"restarted": environment.NoStatus,
		"silent":    environment.NoStatus,
		"damaged":   environment.Unreadable,
		"renamed":   environment.Unreadable,
		"leaving":   environment.Leaving,
		"gone":      environment.Unlisted,
		"misplaced": environment.Unlisted,
	})
	is.Equal(progress.Live, 9)
	is.Equal(progress.Ready, 2)
	is.True(!progress.AllReady())
	is.True(!(&environment.Progress{}).AllReady()) // no live host
}

// Guards against host statuses that do not survive encoding and decoding, and against
// writing invalid ones.
func TestHostStatusValidate(t *testing.T) {
	is := is.New(t)
	valid := environment.HostStatus{Host: "a", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, Time: noon}
	value, err := environment.EncodeStatus(&valid)
	is.NoErr(err)
	decoded, err := environment.DecodeStatus(value)
	is.NoErr(err)
	is.Equal(*decoded, valid)
	mutations := []func(*environment.HostStatus){
		func(s *environment.HostStatus) { s.Host = "A" },
		func(s *environment.HostStatus) { s.Zone = "" },
		func(s *environment.HostStatus) { s.Address = "host:1" },
		func(s *environment.HostStatus) { s.Incarnation = 0 },
		func(s *environment.HostStatus) { s.Revision = 1 },
		func(s *environment.HostStatus) { s.Digest = environment.DigestOf(nil) },
		func(s *environment.HostStatus) { s.Revision, s.Digest = 1, "x" },
		func(s *environment.HostStatus) { s.Time = time.Time{} },
	}
	for _, mutate := range mutations {
		invalid := valid
		mutate(&invalid)
		_, err := environment.EncodeStatus(&invalid)
		is.True(err != nil)
	}
}
