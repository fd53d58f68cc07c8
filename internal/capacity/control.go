package capacity

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/configuration"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/member"
)

const (
	// controlTick is the interval at which the daemon sends ticks to its decision modules.
	controlTick = 100 * time.Millisecond
	// controlDuration is the virtual time over which a module is measured.
	controlDuration = 2 * time.Minute
)

// controlCost is the cost of one decision module of a host. Rates are per second of
// virtual time.
type controlCost struct {
	processor float64 // microseconds per second that Handle takes
	traffic   float64 // bytes sent per second
	memory    float64 // bytes of heap
}

// peers returns the states of n other hosts in six zones.
func peers(n int) []proxy.HostState {
	states := make([]proxy.HostState, n)
	for i := range n {
		states[i] = proxy.HostState{
			ID: proxy.HostID(fmt.Sprintf("host-%04d", i)), Zone: proxy.Zone(fmt.Sprintf("zone-%d", i%6)),
			Address: fmt.Sprintf("127.0.0.1:%d", 10_000+i), Incarnation: proxy.Incarnation(i + 1),
		}
	}
	return states
}

// runModule runs one module for controlDuration against peers that answer immediately,
// and returns its cost. The work and traffic of the peers don't count.
func runModule(module proxy.Module, answer func(now proxy.Instant, send proxy.Send) proxy.Event) (controlCost, error) {
	random := rand.New(rand.NewPCG(1, 2))
	var cost controlCost
	handle := func(now proxy.Instant, event proxy.Event) []proxy.Effect {
		effects, micros := handleTimed(module, now, event)
		cost.processor += micros
		return effects
	}
	for now := proxy.Instant(1); now < proxy.Instant(controlDuration); now = now.Add(controlTick) {
		pending := handle(now, proxy.Tick{Random: random.Uint64()})
		for len(pending) > 0 {
			effect := pending[0]
			pending = pending[1:]
			send, ok := effect.(proxy.Send)
			if !ok {
				continue
			}
			encoded, err := cbor.Marshal(send.Message)
			if err != nil {
				return controlCost{}, fmt.Errorf("encode message: %w", err)
			}
			cost.traffic += float64(len(encoded))
			if event := answer(now, send); event != nil {
				pending = append(pending, handle(now, event)...)
			}
		}
	}
	seconds := controlDuration.Seconds()
	cost.processor /= seconds
	cost.traffic /= seconds
	return cost, nil
}

// handleTimed passes an event to a module and returns the effects and the elapsed time
// in microseconds.
func handleTimed(module proxy.Module, now proxy.Instant, event proxy.Event) ([]proxy.Effect, float64) {
	start := time.Now()
	effects := module.Handle(now, event)
	return effects, float64(time.Since(start).Nanoseconds()) / 1000
}

// heapBytes returns the allocated heap after garbage collection. Objects in a sync.Pool
// are freed only by the second collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// Member measures the cost of membership against the number of hosts.
func Member() ([]Slope, error) {
	return controlSlopes("member", []int{65, 130, 260, 520}, func(n int) (controlCost, error) {
		before := heapBytes()
		states := peers(n)
		self := proxy.HostState{ID: "self", Zone: "zone-0", Address: "127.0.0.1:9999", Incarnation: 1}
		table := &member.Table{Self: self}
		table.Handle(1, member.Seed{Hosts: states})
		byID := make(map[proxy.HostID]proxy.HostState, n)
		for _, s := range states {
			byID[s.ID] = s
		}
		cost, err := runModule(table, func(_ proxy.Instant, send proxy.Send) proxy.Event {
			ping, ok := send.Message.(*member.Ping)
			if !ok {
				return nil
			}
			return proxy.Received{From: send.To, Message: &member.Ack{Nonce: ping.Nonce, From: byID[send.To]}}
		})
		cost.memory = heapBytes() - before
		runtime.KeepAlive(table)
		return cost, err
	})
}

// Configuration measures the cost of exchanging revisions against the number of hosts.
func Configuration() ([]Slope, error) {
	return controlSlopes("configuration", []int{65, 130, 260, 520}, func(n int) (controlCost, error) {
		before := heapBytes()
		self := proxy.HostState{ID: "self", Zone: "zone-0", Address: "127.0.0.1:9999", Incarnation: 1}
		table := &configuration.Table{Host: self, Key: "document", Decode: func(data []byte) (configuration.Loaded, error) {
			return configuration.Loaded{Revision: 1, Document: &proxy.Document{}, Data: data}, nil
		}}
		table.Handle(1, configuration.Peers{Live: peers(n), ExpectedHosts: n})
		table.Handle(1, proxy.Fetched{Object: proxy.Object{Key: "document", Value: []byte("1")}, Sent: 1})
		cost, err := runModule(table, func(_ proxy.Instant, send proxy.Send) proxy.Event {
			poll, ok := send.Message.(*configuration.Poll)
			if !ok {
				return nil
			}
			report := &configuration.Report{Nonce: poll.Nonce, Revision: 1, AgeKnown: true, Age: time.Second}
			return proxy.Received{From: send.To, Message: report}
		})
		cost.memory = heapBytes() - before
		runtime.KeepAlive(table)
		return cost, err
	})
}

// controlSlopes measures a module at several numbers of hosts.
func controlSlopes(name string, sizes []int, measure func(n int) (controlCost, error)) ([]Slope, error) {
	slopes := []Slope{
		{Name: name + "-processor", Title: name + ": processor time of a host", SizeUnit: "hosts", CostUnit: "µs/s"},
		{Name: name + "-traffic", Title: name + ": bytes sent by a host", SizeUnit: "hosts", CostUnit: "B/s"},
		{Name: name + "-memory", Title: name + ": memory of a host", SizeUnit: "hosts", CostUnit: "B"},
	}
	for _, n := range sizes {
		cost, err := measure(n)
		if err != nil {
			return nil, fmt.Errorf("%s with %d hosts: %w", name, n, err)
		}
		for i, value := range []float64{cost.processor, cost.traffic, cost.memory} {
			slopes[i].Points = append(slopes[i].Points, Point{Size: float64(n), Cost: value})
		}
	}
	return fitAll(slopes)
}

func fitAll(slopes []Slope) ([]Slope, error) {
	for i := range slopes {
		if err := slopes[i].fit(); err != nil {
			return nil, err
		}
	}
	return slopes, nil
}

// Document measures a document's size, and the time to decode and check it, against the
// number of database groups.
func Document() ([]Slope, error) {
	slopes := []Slope{
		{Name: "document-size", Title: "document: size", SizeUnit: "groups", CostUnit: "B"},
		{Name: "document-decode", Title: "document: time to decode and check", SizeUnit: "groups", CostUnit: "ms"},
	}
	for _, n := range []int{150, 300, 600, 1200} {
		text := []byte(documentText(n))
		const rounds = 3
		start := time.Now()
		for range rounds {
			if _, err := environment.Decode(text); err != nil {
				return nil, fmt.Errorf("document with %d groups: %w", n, err)
			}
		}
		took := float64(time.Since(start).Microseconds()) / rounds / 1000
		slopes[0].Points = append(slopes[0].Points, Point{Size: float64(n), Cost: float64(len(text))})
		slopes[1].Points = append(slopes[1].Points, Point{Size: float64(n), Cost: took})
	}
	return fitAll(slopes)
}

// documentText returns a document with n groups of three instances, one route for each
// group and one account for every ten groups.
func documentText(n int) string {
	const verifier = "SCRAM-SHA-256$4096:KI+YpNybAM56ceM/tV+gRw==$fBTxln07JfdoplVWpUeEChArOH0cQmEVdCoVBnzsnyA=:LzWspLJuzJ5ZoZ5uxPUc3P+jKoGaQIfSZlzYiU4EV7g="
	var b strings.Builder
	b.WriteString("environment: large\naccounts:\n")
	for i := range n / 10 {
		fmt.Fprintf(&b, "- {id: account-%d, rate: 100, burst: 200, keys: [{id: key-%d, verifier: %q}]}\n", i, i, verifier)
	}
	b.WriteString("groups:\n")
	for i := range n {
		fmt.Fprintf(&b, "- id: group-%d\n  connections: 16\n  slots: 2\n  database: data\n  instances:\n", i)
		for j := range 3 {
			port := 10_000 + 3*i + j
			fmt.Fprintf(&b, "  - {id: group-%d-%d, zone: zone-%d, address: '127.0.0.1:%d', trial: '127.0.0.2:%d', primary: %v}\n",
				i, j, (i+j)%6, port, port, j == 0)
		}
	}
	b.WriteString("routes:\n")
	for i := range n {
		fmt.Fprintf(&b, "- {id: route-%d, group: group-%d, accounts: [account-%d], access: write}\n", i, i, i%(n/10))
	}
	return b.String()
}
