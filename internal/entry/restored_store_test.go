package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/deployment"
	"github.com/auburnyoke/auburnyoke/internal/entry"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

// lostWrites is the number of versions that the store gives out and loses before it is restored.
const lostWrites = 100

// loseWrites raises the store's revision by writes of another kind, which a restore loses.
func (w *testDeployment) loseWrites() {
	w.t.Helper()
	for n := range lostWrites {
		is.New(w.t).NoErr(w.Store.Put("notes", "note", n))
	}
}

// awaitLog waits until the last line with a message that a host has logged contains a text.
func (w *testDeployment) awaitLog(host int, message, want string) {
	w.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if strings.Contains(w.logs[host].line(message), want) {
			return
		}
	}
	w.t.Fatalf("host %d: last line %q, want %q", host, w.logs[host].line(message), want)
}

// awaitHello starts sessions with a key until the answer contains a text.
func (w *testDeployment) awaitHello(host entry.Settings, key, want string) {
	w.t.Helper()
	hello := ""
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var c *client
		if c, hello = dial(host, "ledger-strict", key); c != nil {
			c.close()
		}
		if strings.Contains(hello, want) {
			return
		}
	}
	w.t.Fatalf("%s on %s: last answer %q, want %q", key, host.Host, hello, want)
}

// Guards against a follower that gets no changes from its relay after the store was restored,
// whose versions are lower than before (review, case 13): a withdrawn key worked on there.
func TestWithdrawnKeyAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 4)
	store := w.Store.Copy()
	w.loseWrites()
	is.NoErr(w.Configure(2, tenants))
	for n := range w.hosts {
		w.awaitLog(n, "configuration in force", `"revision":2`)
	}
	w.Restore(store)
	withdrawn := []deployment.Account{{Name: "clerks", Keys: []string{"key-clerks"}, Rate: 100000, Burst: 100000}}
	is.NoErr(w.Configure(3, withdrawn))
	for _, h := range w.hosts {
		w.awaitHello(h, "key-spare", "AUTHFAIL")
		w.awaitHello(h, "key-clerks", "READY I")
	}
}

// Guards against hosts that stop following a store which leaves the era out of some answers.
func TestAnswersWithoutAnEra(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 4)
	w.Store.HideEra()
	is.NoErr(w.Configure(2, tenants, "added"))
	for _, h := range w.hosts {
		w.await(h, "added", "WRITE item v")
	}
}

// Guards against a host that takes the leadership record of a restored store for the present one
// (review, case 11): a host that started after the restore used the replaced primary. The copy is
// from before the replacement, or from before the group's first record.
func TestReplacedPrimaryAfterRestore(t *testing.T) {
	t.Parallel()
	for _, recorded := range []bool{true, false} {
		t.Run(fmt.Sprintf("recorded=%t", recorded), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := start(t, 4)
			old := w.Groups[0].Primary()
			if !recorded {
				w.Store.Delete("groups", "ledger")
			}
			store := w.Store.Copy()
			w.replacePrimary(old)
			for _, h := range w.hosts {
				w.await(h, "ledger-strict", "WRITE item after")
			}
			w.loseWrites()
			w.Restore(store)
			w.restartHost("host-z", "gondar")
			for _, h := range w.hosts {
				w.awaitServedElsewhere(h, old)
			}
			w.awaitLeadership(w.Groups[0].Primary())
			is.True(w.Groups[0].Primary() != old)
		})
	}
}

// Guards against a replaced primary that is used when all hosts have started after the restore, so
// that none knows what it has lost.
func TestReplacedPrimaryAfterRestoreAndRestarts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 2)
	old := w.Groups[0].Primary()
	store := w.Store.Copy()
	w.replacePrimary(old)
	for _, h := range w.hosts {
		w.await(h, "ledger-strict", "WRITE item after")
	}
	for n, stop := range w.stops {
		stop()
		is.NoErr(<-w.ended[n])
	}
	w.hosts = nil
	w.Restore(store)
	w.restartHost("host-0", "gondar")
	w.restartHost("host-1", "woldia")
	for _, h := range w.hosts {
		w.awaitServedElsewhere(h, old)
	}
	is.True(w.Groups[0].Primary() != old)
}

// awaitServedElsewhere waits until a host has served strict statements, and checks that none of
// them ran on an instance.
func (w *testDeployment) awaitServedElsewhere(host entry.Settings, instance string) {
	w.t.Helper()
	is := is.New(w.t)
	const enough = 20
	for served, end := 0, time.Now().Add(waitTimeout); served < enough; time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(end)) // host serves
		c, hello := dial(host, "ledger-strict", "key-clerks")
		if c == nil || hello != "READY I -" {
			continue
		}
		for _, text := range []string{"READ item", "WRITE other v"} {
			answer := c.query(text)
			is.True(!strings.Contains(answer, "COMPLETE "+instance+".")) // ran on the instance
			if strings.Contains(answer, "COMPLETE i-") {
				served++
			}
		}
		c.close()
	}
}

// Guards against a promotion in a new era of the store while hosts that it has forgotten still
// have leases (review, case 12). The lower bound of the time doesn't depend on the machine.
func TestNoPromotionBeforeLeasesOfTheEraBeforeEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 2)
	old := w.Groups[0].Primary()
	restored := time.Now()
	w.Restore(w.Store.Copy())
	w.Groups[0].Drain(old)
	w.awaitPrimary(func(id string) bool { return id != old && id != "" })
	is.True(time.Since(restored) >= failover.Lease)
}

// Guards against a host that goes on with its lease although the store has forgotten its
// registration, so that no coordinator asks it (review, case 12), and against one that never
// serves again. The store refuses all calls for the list of hosts for a time.
func TestForgottenHostUsesNoPrimary(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 1)
	var refused atomic.Bool
	w.store = startRefusingStore(t, w.StoreAddress, func(r *http.Request, _ string) bool {
		return refused.Load() && strings.HasPrefix(r.URL.Path, "/-/objects/hosts")
	})
	w.stops[0]()
	is.NoErr(<-w.ended[0])
	w.Store.Delete("hosts", "host-0")
	store := w.Store.Copy()
	w.startHost("host-x", "gondar")
	forgotten := w.hosts[1]
	w.await(forgotten, "ledger-strict", "WRITE item v")
	refused.Store(true)
	w.Restore(store)
	w.awaitAnswer(forgotten, "ledger-strict", "WRITE item v", "ERROR BUSY")
	w.awaitAnswer(forgotten, "ledger-strict", "WRITE item v", "ERROR BUSY") // not by chance
	is.True(!w.Store.Has("hosts", "host-x"))
	refused.Store(false)
	w.await(forgotten, "ledger-strict", "WRITE item v")
	is.True(w.Store.Has("hosts", "host-x"))
}

// Guards against a host that follows a relay and never registers again after the store has
// forgotten it (review, case 12), and against other hosts that use its share of the rates meanwhile.
func TestForgottenHostRegistersAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 2)
	store := w.Store.Copy()
	w.startHost("host-x", "gondar")
	w.await(w.hosts[2], "ledger-strict", "WRITE item v")
	w.loseWrites()
	w.Restore(store)
	for end := time.Now().Add(waitTimeout); !w.Store.Has("hosts", "host-x"); time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(end)) // registers again
	}
	w.await(w.hosts[2], "ledger-strict", "WRITE item v")
	for n := range 2 {
		is.Equal(w.logs[n].line("host has not registered again"), "")
		w.awaitLog(n, "hosts changed", `"hosts":3`)
	}
}

// Guards against a fencing token that is not above those of before a restore, whose versions are
// given out again (review 3, fence).
func TestFencingTokensRiseAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 2)
	store := w.Store.Copy()
	w.loseWrites()
	for range 2 {
		old := w.Groups[0].Primary()
		w.Groups[0].Drain(old)
		w.awaitPrimary(func(id string) bool { return id != old && id != "" })
		w.await(w.hosts[0], "ledger-strict", "WRITE item v")
		w.Restore(store)
	}
	tokens := w.Tokens()
	is.True(len(tokens) >= 2)
	is.True(slices.IsSorted(tokens))
	is.True(tokens[0] < tokens[len(tokens)-1])
}

// Guards against a leaving instance that gets statements again since a restored store holds its
// entry from before, until the instance writes again.
func TestLeavingInstanceAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 2)
	leaving := w.Groups[0].Instances()[2]
	store := w.Store.Copy()
	w.Groups[0].Drain(leaving)
	for n := range w.hosts {
		w.awaitLog(n, `"instance":"`+leaving+`"`, `"leaving":true`)
	}
	w.Store.Restore(store, "config")
	for n := range w.hosts {
		w.awaitLog(n, "store is in a new era", `"era":2`)
	}
	const listed = 20 // statements; by then hosts have listed the instances again
	for n := range w.hosts {
		c := w.session(n, "ledger-bounded")
		for range listed {
			time.Sleep(50 * time.Millisecond)
			is.True(!strings.Contains(c.query("READ item"), "COMPLETE "+leaving+"."))
		}
		is.True(strings.Contains(w.logs[n].line(`"instance":"`+leaving+`","group"`), `"leaving":true`))
	}
}

// Guards against a group that has no primary for ever since the store was restored while its
// primary was being replaced (review 3, primary).
func TestRestoreDuringFailover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const perHost = 8
	w := startWith(t, 2, 2*perHost, func(g *deployment.Group) { g.PromotionDelay = time.Second })
	old := w.Groups[0].Primary()
	store := w.Store.Copy()
	w.loseWrites()
	w.Groups[0].Drain(old)
	w.awaitLeadership(`"replacing"`)
	w.Restore(store)
	w.awaitPrimary(func(id string) bool { return id != old && id != "" })
	for _, h := range w.hosts {
		w.await(h, "ledger-strict", "WRITE item v")
	}
	tokens := w.Tokens()
	is.True(slices.IsSorted(tokens))
}
