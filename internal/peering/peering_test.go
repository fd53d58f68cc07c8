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

// stopped is a clock that does not advance, so that buckets do not fill.
type stopped struct{}

func (stopped) Now() proxy.Instant { return proxy.Instant(time.Hour) }

type host struct {
	*peering.Lender
	peering.Peer
	notices chan peering.Notice
}

func start(t *testing.T, id proxy.HostID) *host {
	t.Helper()
	is := is.New(t)
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(socket.LocalAddr().String())
	is.NoErr(socket.Close())
	h := &host{notices: make(chan peering.Notice, 1)}
	h.Peer = peering.Peer{Host: id, Zone: "gondar", Address: address}
	table := &allowance.Table{Self: id}
	h.Lender = &peering.Lender{
		Log: zerolog.Nop(), Clock: stopped{}, Random: rand.Uint64, Allowances: table,
		Borrower: &allowance.Borrower{Table: table, Zone: "gondar", Random: rand.Uint64},
		State:    func() peering.State { return peering.State{Host: id} },
		Learn:    func(n peering.Notice) { h.notices <- n },
	}
	stop, err := h.Listen(address)
	is.NoErr(err)
	t.Cleanup(stop)
	go h.Run()
	return h
}

const patience = time.Minute

// Guards against answers of other questions, and against a notice that is lost
// or changed on its way.
func TestAsk(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a"), start(t, "b")
	notice := peering.Notice{
		Group: "ledger", Version: 9,
		Record: failover.Record{Primary: "i-1", Phase: failover.Replacing, Host: "a"},
	}
	states := a.Ask(context.Background(), []peering.Peer{b.Peer}, &notice, patience)
	is.Equal(len(states), 1)
	is.Equal(states[0].Host, proxy.HostID("b"))
	is.Equal(<-b.notices, notice)
	silent := peering.Peer{Host: "c", Address: netip.MustParseAddrPort("127.0.0.1:9")}
	is.Equal(len(a.Ask(context.Background(), []peering.Peer{silent}, nil, time.Millisecond)), 0)
}

// Guards against borrowed tokens that do not reach the operation that waits for
// them, and against tokens that the lender keeps as well.
func TestAwaitBorrows(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a"), start(t, "b")
	limits := map[proxy.AccountID]directory.Account{"clerks": {ID: "clerks", Rate: 100, Burst: 10}}
	hosts := []proxy.HostID{"a", "b"}
	now := stopped{}.Now()
	for _, h := range []*host{a, b} {
		h.Allowances.Configure(now.Add(-time.Minute), 1, limits, hosts, true)
		h.SetPeers([]peering.Peer{a.Peer, b.Peer})
	}
	a.SetPeers([]peering.Peer{b.Peer})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	admitted := 0
	for a.Allowances.Admit(now, "clerks") == nil {
		admitted++
	}
	defer a.Allowances.Await("clerks")()
	for a.Await(ctx, func() *proxy.Failure { return a.Allowances.Retry(now, "clerks") }) == nil {
		admitted++
	}
	is.True(admitted > 5)   // more than a's own part
	is.True(admitted <= 10) // never more than the burst
}
