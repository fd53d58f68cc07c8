package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/entry"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
	"github.com/auburnyoke/auburnyoke/platform"
)

// Guards against a host that uses a replaced primary after a restart (review, cases 7 and 9).
// The process before had accepted the replacement, so that no coordinator waits for this host.
// Its relay is turned away by the store and still has the record from before; the store may
// refuse the host's own listing.
func TestRestartedHostUsesNoReplacedPrimary(t *testing.T) {
	t.Parallel()
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused=%t", refused), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := start(t, 2)
			old := w.Groups[0].Primary()
			relayAddress := w.startRelayWithoutStore(w.hosts[1])
			w.replacePrimary(old)
			w.await(w.hosts[1], "ledger-strict", "WRITE item after")

			is.NoErr(w.Store.Put("hosts", "a", entry.HostEntry{Address: relayAddress, Zone: "gondar"}))
			w.store, _ = w.startStoreWithListings(refused)
			w.restartHost("host-z", "gondar")
			w.awaitServedElsewhere(w.hosts[2], old)
		})
	}
}

// Guards against a restarted host that stays without a primary until its relay has seen a whole
// watch of the store, and against one that never gets one because the store does not answer
// its listing.
func TestRestartedHostListsTheLeaderships(t *testing.T) {
	t.Parallel()
	for _, refused := range []bool{false, true} {
		t.Run(fmt.Sprintf("refused=%t", refused), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := start(t, 1)
			store, listings := w.startStoreWithListings(refused)
			w.store = store
			w.restartHost("host-z", "gondar")
			w.await(w.hosts[1], "ledger-strict", "READ warm")
			is.True(listings.Load() > 0)
		})
	}
}

// restartHost starts a host that an earlier process has registered.
func (w *testDeployment) restartHost(name, zone string) {
	w.t.Helper()
	entryBefore := entry.HostEntry{Address: "127.0.0.1:1", Zone: proxy.Zone(zone)}
	is.New(w.t).NoErr(w.Store.Put("hosts", name, entryBefore))
	w.startHost(name, zone)
}

// startStoreWithListings serves as the store. It counts the listings of leadership records, and
// the watches of them, and may refuse them.
func (w *testDeployment) startStoreWithListings(refused bool) (address string, listings *atomic.Int64) {
	w.t.Helper()
	listings = &atomic.Int64{}
	return startRefusingStore(w.t, w.StoreAddress, func(r *http.Request, _ string) bool {
		if r.Method != http.MethodGet || r.URL.Path != "/-/objects/groups" {
			return false
		}
		listings.Add(1)
		return refused
	}), listings
}

// forwardTo passes requests on to an address, host:port.
func forwardTo(address string) http.Handler {
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	forward.ErrorHandler = func(rw http.ResponseWriter, _ *http.Request, _ error) { rw.WriteHeader(http.StatusBadGateway) }
	return forward
}

// startRelayWithoutStore serves as a relay that passes on what source relays, but for the
// leadership records: these stay as they are now. It returns the relay's address.
func (w *testDeployment) startRelayWithoutStore(source entry.Settings) string {
	w.t.Helper()
	is := is.New(w.t)
	store, closeStore := platform.NewStore(w.StoreAddress)
	defer closeStore()
	confirmedAt := time.Now()
	listing, err := store.List(context.Background(), "groups")
	is.NoErr(err)
	state := entry.RelayResponse{Snapshot: true, Version: listing.Version}
	for _, record := range listing.Records {
		state.Changes = append(state.Changes, entry.Change{Name: record.Name, Version: record.Version, Spec: record.Spec})
	}
	forward := forwardTo(source.Peer.String())
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("kind") != "groups" {
			forward.ServeHTTP(rw, r)
			return
		}
		answer := state
		answer.ConfirmationOffset = time.Until(confirmedAt)
		if r.URL.Query().Get("known") != "0" {
			time.Sleep(time.Second) // no change
		}
		data, err := cbor.Marshal(answer)
		if err != nil {
			rw.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = rw.Write(data)
	}))
	w.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// replacePrimary has another instance of the first group promoted and recorded as its primary,
// as a coordinator does that every host has confirmed. The old primary does not step down: it
// leads until it hears of its successor.
func (w *testDeployment) replacePrimary(old string) {
	w.t.Helper()
	is := is.New(w.t)
	g := w.Groups[0]
	instances := g.Instances()
	successor := instances[slices.IndexFunc(instances, func(id string) bool { return id != old })]
	is.NoErr(w.Store.Put("groups", g.Name, failover.Record{Primary: proxy.InstanceID(successor), Phase: failover.Settled, Era: 1}))
	promoter := platform.NewPromotionClient(w.PromotionAddress)
	is.NoErr(promoter.Promote(context.Background(), proxy.Promotion{
		Group: proxy.GroupID(g.Name), Instance: proxy.InstanceID(successor), Holder: "test", Fence: 1 << 20,
		StillValid: func() bool { return true },
	}))
}
