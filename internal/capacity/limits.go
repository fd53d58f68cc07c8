package capacity

import (
	"errors"
	"fmt"
	"runtime"

	"github.com/fxamacker/cbor/v2"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
)

// Limits measures the cost of rate limiting on one host against the number of accounts
// that send through it at their full rate, so that it requests rate shares from its peers.
func Limits() ([]Slope, error) {
	slopes := []Slope{
		{Name: "limit-processor", Title: "limit: processor time of a host", SizeUnit: "accounts", CostUnit: "µs/s"},
		{Name: "limit-traffic", Title: "limit: bytes sent by a host", SizeUnit: "accounts", CostUnit: "B/s"},
		{Name: "limit-memory", Title: "limit: memory of a host", SizeUnit: "accounts", CostUnit: "B"},
	}
	for _, n := range []int{8, 16, 32, 64} {
		cost, err := measureAccounts(n)
		if err != nil {
			return nil, fmt.Errorf("limits of %d accounts: %w", n, err)
		}
		for i, value := range []float64{cost.processor, cost.traffic, cost.memory} {
			slopes[i].Points = append(slopes[i].Points, Point{Size: float64(n), Cost: value})
		}
	}
	return fitAll(slopes)
}

const (
	limitHosts = 8
	// requestsPerTick is the number of requests of each account between two ticks. With
	// ticks of 100 ms it matches the accounts' rate of 20 per second.
	requestsPerTick = 2
)

// measureAccounts runs the tables of 8 hosts in lockstep and returns the cost of the
// first, the only one with clients.
func measureAccounts(n int) (controlCost, error) {
	document := &proxy.Document{Environment: "capacity"}
	for i := range n {
		id := proxy.AccountID(fmt.Sprintf("account-%d", i))
		document.Accounts = append(document.Accounts, proxy.Account{ID: id, Rate: 20, Burst: 40, Weight: 1})
	}
	before := heapBytes()
	f := newLimitFleet(document)
	err := f.run()
	f.cost.memory = (heapBytes() - before) / limitHosts
	runtime.KeepAlive(f)
	return f.cost, err
}

// limitFleet holds the rate limit tables of a few hosts, with a store and a network
// that answer immediately.
type limitFleet struct {
	document *proxy.Document
	tables   []*limit.Table
	hosts    []proxy.HostState
	objects  map[proxy.Key]proxy.Object
	version  proxy.Version
	cost     controlCost
	err      error
}

func newLimitFleet(document *proxy.Document) *limitFleet {
	f := &limitFleet{document: document, hosts: peers(limitHosts), objects: make(map[proxy.Key]proxy.Object)}
	for i := range f.hosts {
		f.tables = append(f.tables, &limit.Table{Self: f.hosts[i], Prefix: "shares/"})
	}
	for i := range f.tables {
		var live []proxy.HostState
		for j := range f.hosts {
			if j != i {
				live = append(live, f.hosts[j])
			}
		}
		f.handle(i, 1, limit.Configure{Document: document, Revision: 1})
		f.handle(i, 1, limit.Peers{Live: live})
	}
	return f
}

func (f *limitFleet) run() error {
	for now := proxy.Instant(1); now < proxy.Instant(controlDuration); now = now.Add(controlTick) {
		for i := range f.tables {
			f.handle(i, now, proxy.Tick{Random: uint64(now)})
		}
		for _, account := range f.document.Accounts {
			for range requestsPerTick {
				// The account sends at its rate, refused or not.
				_ = f.tables[0].Admit(now, account.ID)
			}
		}
	}
	f.cost.traffic /= controlDuration.Seconds()
	f.cost.processor /= controlDuration.Seconds()
	return f.err
}

func (f *limitFleet) handle(i int, now proxy.Instant, event proxy.Event) {
	effects, micros := handleTimed(f.tables[i], now, event)
	if i == 0 {
		f.cost.processor += micros
	}
	for _, effect := range effects {
		f.execute(i, now, effect)
	}
}

func (f *limitFleet) execute(i int, now proxy.Instant, effect proxy.Effect) {
	switch e := effect.(type) {
	case proxy.Send:
		f.send(i, now, e)
	case proxy.List:
		listed := proxy.Listed{Prefix: e.Prefix, Sent: now}
		for _, object := range f.objects {
			listed.Objects = append(listed.Objects, object)
		}
		f.handle(i, now, listed)
	case proxy.Fetch:
		object, ok := f.objects[e.Key]
		if !ok {
			f.handle(i, now, proxy.Fetched{Object: proxy.Object{Key: e.Key}, Sent: now, Err: proxy.ErrNotFound})
			return
		}
		f.handle(i, now, proxy.Fetched{Object: object, Sent: now})
	case proxy.Put:
		written := proxy.Written{Key: e.Key, Sent: now, Err: proxy.ErrConflict}
		if f.objects[e.Key].Version == e.Expected {
			f.version++
			f.objects[e.Key] = proxy.Object{Key: e.Key, Value: e.Value, Version: f.version}
			written = proxy.Written{Key: e.Key, Version: f.version, Sent: now}
		}
		f.handle(i, now, written)
	case limit.Violation:
		f.err = errors.New(e.Text)
	}
}

func (f *limitFleet) send(i int, now proxy.Instant, e proxy.Send) {
	if i == 0 {
		encoded, err := cbor.Marshal(e.Message)
		if err != nil {
			f.err = fmt.Errorf("encode message: %w", err)
			return
		}
		f.cost.traffic += float64(len(encoded))
	}
	for j := range f.hosts {
		if f.hosts[j].ID == e.To {
			f.handle(j, now, proxy.Received{From: f.hosts[i].ID, Message: e.Message})
		}
	}
}
