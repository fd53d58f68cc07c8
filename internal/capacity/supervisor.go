package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
	"github.com/auburnyoke/auburnyoke/internal/supervisor"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// supervisorDuration is the real time over which the traffic is measured.
const supervisorDuration = 2 * time.Second

// Supervisor measures the bytes per second that a host exchanges with the instances,
// which it observes every 100 ms, against their number.
func Supervisor() ([]Slope, error) {
	slopes := []Slope{{
		Name: "supervisor-traffic", Title: "supervisor: bytes to and from instances", SizeUnit: "instances", CostUnit: "B/s",
	}}
	for _, n := range []int{2, 4, 8, 16} {
		cost, err := observeInstances(n)
		if err != nil {
			return nil, fmt.Errorf("supervisor of %d instances: %w", n, err)
		}
		slopes[0].Points = append(slopes[0].Points, Point{Size: float64(n), Cost: cost})
	}
	return fitAll(slopes)
}

// observeInstances returns the bytes per second for one group of n instances.
func observeInstances(n int) (float64, error) {
	group := proxy.Group{ID: "orders", Connections: 16, Slots: 2, Database: "orders"}
	var bytes atomic.Int64
	for i := range n {
		emulated, stop, err := instance.New(instance.Options{Name: fmt.Sprint(i), Replica: i > 0, Log: zerolog.Nop()})
		if err != nil {
			return 0, fmt.Errorf("start instance: %w", err)
		}
		defer stop()
		go func() { _ = emulated.Run(context.Background()) }()
		relay, err := newCountingRelay(emulated.Address(), &bytes)
		if err != nil {
			return 0, err
		}
		defer relay.close()
		id := proxy.InstanceID(fmt.Sprintf("orders-%d", i))
		group.Instances = append(group.Instances, proxy.Instance{ID: id, Address: relay.listener.Addr().String(), Primary: i == 0})
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	observer := &supervisor.Supervisor{
		Catalog: catalog{&proxy.Document{Environment: "capacity", Groups: []proxy.Group{group}}},
		Stage:   proxy.Production, Clock: elapsedClock{time.Now()}, User: "system",
		Pooled: func(proxy.GroupID) bool { return true }, Observed: func(promotion.Observed) {}, Logger: zerolog.Nop(),
	}
	go func() {
		observer.Run(ctx)
		close(ended)
	}()
	time.Sleep(supervisorDuration / 4) // until the connections are open
	before := bytes.Load()
	time.Sleep(supervisorDuration)
	rate := float64(bytes.Load()-before) / supervisorDuration.Seconds()
	stop()
	<-ended
	return rate, nil
}

// countingRelay forwards connections to target and counts their bytes in both
// directions.
type countingRelay struct {
	listener net.Listener
	target   string
	bytes    *atomic.Int64
	mu       sync.Mutex
	conns    []net.Conn
}

func newCountingRelay(target string, bytes *atomic.Int64) (*countingRelay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	r := &countingRelay{listener: listener, target: target, bytes: bytes}
	go r.accept()
	return r, nil
}

func (r *countingRelay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, client, server)
		r.mu.Unlock()
		go r.copy(server, client)
		go r.copy(client, server)
	}
}

func (r *countingRelay) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		r.bytes.Add(int64(n))
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *countingRelay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}
