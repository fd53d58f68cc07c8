package member_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/member"
)

const (
	step   = 50 * time.Millisecond
	prefix = proxy.Key("hosts/")
)

// fleet drives several tables over a network with loss, in virtual time.
type fleet struct {
	now    proxy.Instant
	random *rand.Rand
	loss   float64
	tables map[proxy.HostID]*member.Table
	order  []proxy.HostID
	// partition numbers the part of the network that each host is in: messages
	// between different parts are lost. A stopped host is in part -1.
	partition map[proxy.HostID]int
	queue     []delivery
}

type delivery struct {
	to      proxy.HostID
	message proxy.Received
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now: 1, random: rand.New(rand.NewPCG(seed, 1)),
		tables: make(map[proxy.HostID]*member.Table), partition: make(map[proxy.HostID]int),
	}
	var states []proxy.HostState
	for i := range n {
		id := proxy.HostID(fmt.Sprintf("host-%02d", i))
		state := proxy.HostState{ID: id, Zone: "gondar", Address: fmt.Sprintf("127.0.0.1:%d", 7000+i), Incarnation: 10}
		states = append(states, state)
		f.order = append(f.order, id)
		f.tables[id] = &member.Table{Self: state, Prefix: prefix}
	}
	for _, id := range f.order {
		f.tables[id].Handle(f.now, member.Seed{Hosts: states})
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		pending := f.queue
		f.queue = nil
		for _, d := range pending {
			f.deliver(d)
		}
		for _, id := range f.order {
			if f.partition[id] >= 0 {
				f.execute(id, f.tables[id].Handle(f.now, proxy.Tick{Random: f.random.Uint64()}))
			}
		}
	}
}

func (f *fleet) deliver(d delivery) {
	from, to := f.partition[d.message.From], f.partition[d.to]
	if from != to || from < 0 || f.random.Float64() < f.loss {
		return
	}
	f.execute(d.to, f.tables[d.to].Handle(f.now, d.message))
}

func (f *fleet) execute(id proxy.HostID, effects []proxy.Effect) {
	for _, effect := range effects {
		if send, ok := effect.(proxy.Send); ok {
			f.queue = append(f.queue, delivery{to: send.To, message: proxy.Received{From: id, Message: send.Message}})
		}
	}
}

// liveHosts returns the hosts that are live according to id.
func (f *fleet) liveHosts(id proxy.HostID) []string {
	hosts, _ := f.tables[id].Live()
	var ids []string
	for _, h := range hosts {
		ids = append(ids, string(h.ID))
	}
	sort.Strings(ids)
	return ids
}

// Guards against hosts that keep a failed host in their view: requests for it would
// be sent to nobody.
func TestAllHostsDetectAFailedHost(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		f := newFleet(12, seed)
		f.loss = 0.05
		f.run(5 * time.Second)
		f.partition["host-03"] = -1
		f.run(20 * time.Second)
		for _, id := range f.order {
			if id != "host-03" {
				is.Equal(len(f.liveHosts(id)), 10) // every other live host, not the failed one
			}
		}
	}
}

// Guards against hosts that are still considered failed after a partition has
// healed, and against a suspicion that the suspected host cannot refute.
func TestHealedPartitionJoinsAgain(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		f := newFleet(8, seed)
		for i, id := range f.order {
			f.partition[id] = i % 2
		}
		f.list()
		f.run(20 * time.Second)
		is.Equal(len(f.liveHosts("host-00")), 3) // only the hosts of its partition
		for _, id := range f.order {
			f.partition[id] = 0
		}
		f.run(30 * time.Second)
		for _, id := range f.order {
			is.Equal(len(f.liveHosts(id)), 7)
		}
	}
}

// list passes the platform's list of all hosts to every table.
func (f *fleet) list() {
	var objects []proxy.Object
	for i, id := range f.order {
		value := fmt.Sprintf(`{"id":%q,"zone":"gondar","address":"127.0.0.1:%d"}`, id, 7000+i)
		objects = append(objects, proxy.Object{Key: prefix + proxy.Key(id), Value: []byte(value), Version: 1})
	}
	for _, id := range f.order {
		f.tables[id].Handle(f.now, proxy.Listed{Prefix: prefix, Objects: objects})
	}
}

// Guards against a restarted host that is taken for its earlier incarnation.
func TestRestartedHostIsANewMember(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 1)
	f.run(3 * time.Second)
	state := proxy.HostState{ID: "host-02", Zone: "gondar", Address: "127.0.0.1:7102", Incarnation: 11}
	f.tables["host-02"] = &member.Table{Self: state, Prefix: prefix}
	f.tables["host-02"].Handle(f.now, member.Seed{Hosts: []proxy.HostState{{ID: "host-00", Zone: "gondar", Address: "127.0.0.1:7000"}}})
	f.run(10 * time.Second)
	for _, id := range f.order {
		hosts, _ := f.tables[id].Live()
		for _, h := range hosts {
			if h.ID == "host-02" {
				is.Equal(h, state)
			}
		}
	}
}

// Guards against a planned stop that other hosts notice only by failed probes.
func TestLeavingHostIsKnownAsLeaving(t *testing.T) {
	is := is.New(t)
	f := newFleet(8, 1)
	f.run(3 * time.Second)
	f.execute("host-05", f.tables["host-05"].Handle(f.now, member.Leave{}))
	f.run(3 * time.Second)
	for _, id := range f.order {
		hosts, _ := f.tables[id].Live()
		for _, h := range hosts {
			is.Equal(h.Leaving, h.ID == "host-05")
		}
	}
}
