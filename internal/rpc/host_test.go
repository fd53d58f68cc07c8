package rpc_test

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
	"github.com/auburnyoke/auburnyoke/internal/pool"
	"github.com/auburnyoke/auburnyoke/internal/rpc"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// keepAliveInterval is short, so that tests detect an unresponsive connection soon, and long
// enough for a busy machine.
const keepAliveInterval = 500 * time.Millisecond

// host is a pool with one emulated primary and the server that serves it to peers.
type host struct {
	instance  *instance.Instance
	pool      *pool.Pool
	codec     *rpc.Codec
	registry  *rpc.Registry
	address   string
	clientTLS *tls.Config
	delivered chan proxy.Received
}

// wallClock is a proxy.Clock that shows real time.
type wallClock struct{ start time.Time }

func (w wallClock) Now() proxy.Instant { return proxy.Instant(time.Since(w.start)) + 1 }

// leaders is a proxy.Leaders with the primary "one" in term 3.
type leaders struct{}

func (leaders) Leader(group proxy.GroupID) (proxy.Leadership, bool) {
	return proxy.Leadership{Term: 3, Primary: "one"}, group == "orders"
}

func (leaders) Acknowledge(proxy.Instant, proxy.GroupID, proxy.InstanceID, proxy.Bookmark) error {
	return nil
}

type catalog struct{ document *proxy.Document }

func (c catalog) Current() (*proxy.Document, proxy.Revision) { return c.document, 1 }

func startHost(t testing.TB, share int) *host { return startSecureHost(t, share, nil, nil) }

func startSecureHost(t testing.TB, share int, server, client *tls.Config) *host {
	t.Helper()
	h := &host{clientTLS: client, delivered: make(chan proxy.Received, 8), registry: rpc.NewRegistry()}
	var err error
	if h.codec, err = rpc.NewCodec(); err != nil {
		t.Fatal(err)
	}
	if err = h.registry.Register(1, &testMessage{}); err != nil {
		t.Fatal(err)
	}
	one, stop, err := instance.New(instance.Options{Name: "one"})
	if err != nil {
		t.Fatal(err)
	}
	h.instance = one
	run(t, func(ctx context.Context) {
		defer context.AfterFunc(ctx, stop)()
		_ = one.Run(context.Background())
	})
	described := proxy.Instance{ID: "one", Zone: "a", Address: one.Address(), Primary: true}
	h.pool = &pool.Pool{
		Catalog: catalog{&proxy.Document{Groups: []proxy.Group{{ID: "orders", Database: "orders", Slots: share, Instances: []proxy.Instance{described}}}}},
		Stage:   proxy.Production, Leaders: leaders{}, Clock: wallClock{time.Now()}, User: "system",
		Share: func(proxy.GroupID) int { return share },
	}
	run(t, h.pool.Run)
	<-h.pool.Started()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = listener.Addr().String()
	s := &rpc.Server{
		Acquirer: h.pool, Codec: h.codec, Registry: h.registry, TLS: server, KeepAlive: keepAliveInterval, Validity: time.Minute,
		Deliver: func(r proxy.Received) { h.delivered <- r },
	}
	run(t, func(ctx context.Context) { _ = s.Run(ctx, listener) })
	return h
}

// run starts a task that ends with the test.
func run(t testing.TB, task func(context.Context)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { task(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
}

func (h *host) client(t testing.TB, nonce uint64) *rpc.Client {
	t.Helper()
	c := &rpc.Client{Codec: h.codec, Registry: h.registry, Clock: wallClock{time.Now()}, Nonce: nonce, TLS: h.clientTLS, KeepAlive: keepAliveInterval}
	run(t, c.Run)
	return c
}
