package inner_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/inner"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
)

// refusing is a proxy.Lender that counts its asks and refuses them.
type refusing struct {
	refusal *proxy.Refusal
	asks    int
}

func (r *refusing) Acquire(context.Context, proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	r.asks++
	return nil, r.refusal
}

// forwarder returns a forwarder of host-0 in zone a, with an unreachable pool
// host in the same zone and h in another zone.
func forwarder(t testing.TB, h *host, local proxy.Acquirer, pooled bool) *inner.Forwarder {
	t.Helper()
	client := h.client(t, 1)
	table := placement.NewTable("host-0", "a")
	hosts := []proxy.HostState{{ID: "host-1", Zone: "a", Address: "127.0.0.1:1"}, {ID: "host-2", Zone: "b", Address: h.address}}
	if pooled {
		hosts = append(hosts, proxy.HostState{ID: "host-0", Zone: "a"})
	}
	table.SetHosts(hosts)
	document := &proxy.Document{Groups: []proxy.Group{{ID: "orders", Instances: []proxy.Instance{{ID: "one", Zone: "a"}, {ID: "two", Zone: "b"}}}}}
	return &inner.Forwarder{Host: "host-0", Local: local, Client: client, Placement: table, Catalog: catalog{document}, Clock: client.Clock}
}

// Guards against a request that fails although another pool host could run it.
func TestNextPoolHost(t *testing.T) {
	is := is.New(t)
	f := forwarder(t, startHost(t, 2), nil, false)
	for range 2 {
		loan, err := f.Acquire(t.Context(), ask(1))
		is.NoErr(err)
		_, err = query(loan, "SELECT 1")
		is.NoErr(err)
		loan.Release(proxy.ReleaseState{})
	}
}

// Guards against a request that runs elsewhere although its outcome is unknown,
// or that leaves a busy local pool.
func TestLocalPool(t *testing.T) {
	for _, c := range []struct {
		refusal *proxy.Refusal
		moves   bool
	}{
		{proxy.Refuse(proxy.TooManyConnections, "busy"), false},
		{proxy.UnknownOutcome(proxy.CannotConnectNow, "sent"), false},
		{proxy.Refuse(proxy.CannotConnectNow, "not pooled here"), true},
	} {
		is := is.New(t)
		local := &refusing{refusal: c.refusal}
		f := forwarder(t, startHost(t, 2), local, true)
		loan, err := f.Acquire(t.Context(), ask(1))
		is.Equal(local.asks, 1)
		if c.moves {
			is.NoErr(err)
			loan.Release(proxy.ReleaseState{})
			continue
		}
		var refusal *proxy.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal, c.refusal)
	}
}
