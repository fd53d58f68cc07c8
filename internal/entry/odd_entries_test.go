package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// oddSpecs are specs that another writer may leave behind. None can be decoded.
var oddSpecs = map[string]string{
	"deep":                         strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
	"number":                       `{"service":"ledger","capacity":1e999,"primary":1e999,"address":1e999}`,
	"port":                         `{"service":"ledger","address":"127.0.0.1:99999","zone":"gondar","capacity":2}`,
	"text":                         `"ready"`,
	"null":                         `null`,
	"syntax":                       `{"service":}`,
	"invalid":                      "{\"service\":\"\xff\xc3\"}",
	"large":                        `"` + strings.Repeat("x", 1<<20) + `"`,
	"n\r\name ":                    `{}`,
	strings.Repeat("long", 16<<10): `{}`,
}

// recordKinds are the kinds of objects that hosts follow.
var recordKinds = []string{"servers", "hosts", "groups", "config"}

// Guards against objects of another writer that end the reading of all others: on hosts
// that read the store, on their followers, and on a host that starts afterwards.
func TestOddEntriesCostOnlyThemselves(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 3)
	for _, kind := range recordKinds {
		for name, spec := range oddSpecs {
			w.Store.PutRaw(kind, name, []byte(spec))
		}
	}
	time.Sleep(6 * time.Second) // longer than leases and confirmations of before last
	for _, h := range w.hosts {
		w.await(h, "ledger-strict", "WRITE a v")
	}
	is.NoErr(w.Configure(2, tenants[1:]))
	for _, h := range w.hosts {
		w.awaitAnswer(h, "ledger-strict", "READ a", "ERROR AUTHFAIL")
	}
	is.NoErr(w.Configure(3, tenants))
	w.startHost("host-late", "woldia")
	w.await(w.hosts[3], "ledger-own", "READ a")
	old := w.Groups[0].Primary()
	w.Groups[0].Drain(old)
	for _, h := range w.hosts {
		w.awaitAnswer(h, "ledger-strict", "READ a", "DATAROW v|COMPLETE i-")
	}
	for end := time.Now().Add(waitTimeout); w.Groups[0].Primary() == old; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}

// Guards against a group that stays without a primary, or loses writes, after its
// leadership record was overwritten by something that is no record.
func TestUnreadableLeadershipIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 2)
	c := w.session(0, "ledger-strict")
	for _, name := range []string{"deep", "null", "number"} {
		is.True(strings.HasPrefix(c.query("WRITE a "+name), "COMPLETE i-"))
		w.Store.PutRaw("groups", "ledger", []byte(oddSpecs[name]))
		w.awaitLeadership("settled")
		for _, h := range w.hosts {
			w.awaitAnswer(h, "ledger-strict", "READ a", "DATAROW "+name)
		}
	}
	is.Equal(w.Promotions.Load(), int64(0)) // the primary was running
}

// Guards against a host's entry that cannot be read and takes a share of rates and
// connections for good.
func TestUnreadableHostIsRemoved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t, 1)
	w.Store.PutRaw("hosts", "ghost", []byte(oddSpecs["deep"]))
	for end := time.Now().Add(waitTimeout); w.Store.Has("hosts", "ghost"); time.Sleep(100 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	is.True(w.Store.Has("hosts", string(w.hosts[0].Host)))
}

// Guards against a group that gets no primary because an entry that is not its instance's
// claims the role too.
func TestSecondClaimOfTheRole(t *testing.T) {
	t.Parallel()
	w := start(t, 0)
	g := w.Groups[0]
	w.Store.PutRaw("servers", "i-claim", fmt.Appendf(nil, `{"service":"ledger","address":%q,"zone":"gondar","version":"v1",
		"capacity":2,"state":"ready","warmup_left_ms":0,"db_role":"primary","seq":1,"born":1}`, g.Address(g.Primary())))
	w.startHost("host-0", "gondar")
	w.await(w.hosts[0], "ledger-strict", "WRITE a v")
}
