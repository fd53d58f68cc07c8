package rpc_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/rpc"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
)

// refusingPool is a proxy.Acquirer that counts the requests and refuses them.
type refusingPool struct {
	refusal  *proxy.Refusal
	requests int
}

func (r *refusingPool) Acquire(context.Context, proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	r.requests++
	return nil, r.refusal
}

// forwarder returns a Forwarder of host-0 in zone a, with an unreachable pool host in the
// same zone and h in another zone. If pooled is true, host-0 is a pool host too.
func forwarder(t testing.TB, h *host, local proxy.Acquirer, pooled bool) *rpc.Forwarder {
	t.Helper()
	client := h.client(t, 1)
	table := placement.NewTable("host-0", "a")
	hosts := []proxy.HostState{{ID: "host-1", Zone: "a", Address: "127.0.0.1:1"}, {ID: "host-2", Zone: "b", Address: h.address}}
	if pooled {
		hosts = append(hosts, proxy.HostState{ID: "host-0", Zone: "a"})
	}
	table.SetHosts(hosts)
	document := &proxy.Document{Groups: []proxy.Group{{ID: "orders", Instances: []proxy.Instance{{ID: "one", Zone: "a"}, {ID: "two", Zone: "b"}}}}}
	return &rpc.Forwarder{Host: "host-0", Local: local, Client: client, Placement: table, Catalog: catalog{document}, Clock: client.Clock}
}

// Guards against a request that fails although another pool host could serve it.
func TestNextPoolHost(t *testing.T) {
	is := is.New(t)
	f := forwarder(t, startHost(t, 2), nil, false)
	for range 2 {
		acquired, err := f.Acquire(t.Context(), connectionRequest(1))
		is.NoErr(err)
		_, err = query(acquired, "SELECT 1")
		is.NoErr(err)
		acquired.Release(proxy.ReleaseState{})
	}
}

// Guards against a request that moves to another pool host although its outcome is unknown,
// or only because the local pool is busy.
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
		local := &refusingPool{refusal: c.refusal}
		f := forwarder(t, startHost(t, 2), local, true)
		acquired, err := f.Acquire(t.Context(), connectionRequest(1))
		is.Equal(local.requests, 1)
		if c.moves {
			is.NoErr(err)
			acquired.Release(proxy.ReleaseState{})
			continue
		}
		var refusal *proxy.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(refusal, c.refusal)
	}
}
