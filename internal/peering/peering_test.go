package peering_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/failover"
)

// stoppedClock does not advance, so that buckets do not fill.
type stoppedClock struct{}

func (stoppedClock) Now() proxy.Instant { return proxy.Instant(time.Hour) }

// known is the position that all hosts know of the group ledger.
var known = peering.Position{Primary: "i-1", Age: time.Second, Bookmark: proxy.Bookmark{Term: 3, Position: 7}}

type host struct {
	*peering.Endpoint
	peering.Peer
	announcements chan peering.Announcement
}

func start(t testing.TB, id proxy.HostID) *host {
	t.Helper()
	is := is.New(t)
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(socket.LocalAddr().String())
	is.NoErr(socket.Close())
	h := &host{announcements: make(chan peering.Announcement, 1)}
	h.Peer = peering.Peer{Host: id, Zone: "gondar", Address: address}
	table := &allowance.Table{Self: id}
	h.Endpoint = &peering.Endpoint{
		Log: zerolog.Nop(), Clock: stoppedClock{}, Random: rand.Uint64, Allowances: table,
		Borrower: &allowance.Borrower{Table: table, Zone: "gondar", Random: rand.Uint64},
		State:    func() peering.State { return peering.State{Host: id} },
		Position: func(g proxy.GroupID) (peering.Position, bool) { return known, g == "ledger" },
		PositionWithin: func(g proxy.GroupID, age time.Duration) (peering.Position, bool) {
			return peering.Position{Primary: "i-1", Age: age}, g == "ledger"
		},
		OnAnnouncement: func(a peering.Announcement) { h.announcements <- a },
	}
	stop, err := h.Listen(address)
	is.NoErr(err)
	t.Cleanup(stop)
	go h.Run()
	return h
}

const waitTimeout = time.Minute

// Guards against answers that belong to other queries, and against announcements that
// are lost or altered in transit.
func TestQueryStates(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a"), start(t, "b")
	announcement := peering.Announcement{
		Group: "ledger", Version: proxy.StoreVersion{Era: 2, Version: 9},
		Record: failover.Record{Primary: "i-1", Phase: failover.Replacing, Host: "a", Era: 2},
	}
	states := a.QueryStates(context.Background(), []peering.Peer{b.Peer}, &announcement, waitTimeout)
	is.Equal(len(states), 1)
	is.Equal(states[0].Host, proxy.HostID("b"))
	is.Equal(<-b.announcements, announcement)
	unresponsive := peering.Peer{Host: "c", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	is.Equal(len(a.QueryStates(context.Background(), []peering.Peer{unresponsive}, nil, time.Millisecond)), 0)
}

// Guards against a position of another group, and against a wait for a host that knows
// none.
func TestQueryPosition(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a"), start(t, "b")
	a.SetPeers([]peering.Peer{b.Peer, {Host: "gone", Address: netip.MustParseAddrPort("127.0.0.1:9")}})
	position, ok := a.QueryPosition(context.Background(), "b", "ledger")
	is.True(ok)
	is.Equal(position, known)
	settled, ok := a.QueryPositionWithin(context.Background(), "b", "ledger", 300*time.Millisecond)
	is.True(ok)
	is.Equal(settled.Age, 300*time.Millisecond)
	_, ok = a.QueryPosition(context.Background(), "b", "other")
	is.True(!ok)
	_, ok = a.QueryPosition(context.Background(), "unknown", "ledger")
	is.True(!ok)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, ok = a.QueryPosition(ctx, "gone", "ledger")
	is.True(!ok)
}

// Guards against borrowed tokens that the waiting operation does not get, and against
// lent tokens that the lender keeps as well.
func TestAcquireBorrows(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a"), start(t, "b")
	limits := map[proxy.AccountID]directory.Account{"clerks": {ID: "clerks", Rate: 100, Burst: 10}}
	hosts := []proxy.HostID{"a", "b"}
	now := stoppedClock{}.Now()
	for _, h := range []*host{a, b} {
		h.Allowances.Configure(now.Add(-time.Minute), 1, limits, hosts, true)
		h.SetPeers([]peering.Peer{a.Peer, b.Peer})
	}
	a.SetPeers([]peering.Peer{b.Peer})
	admitted := 0
	for a.Allowances.Admit(now, "clerks") == nil {
		admitted++
	}
	for a.Acquire(now, "clerks", now.Add(time.Millisecond)) == nil {
		admitted++
	}
	is.True(admitted > 5)   // more than a's own share
	is.True(admitted <= 10) // never more than the burst
}
