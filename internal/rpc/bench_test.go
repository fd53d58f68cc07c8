package rpc_test

import (
	"testing"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// BenchmarkAcquire measures acquiring and releasing a connection, without a statement and
// with one, from the local pool and from a remote one over mutual TLS.
func BenchmarkAcquire(b *testing.B) {
	a := newAuthority(b)
	certs := certificates(b, a)
	certs.Clock = wallClock{time.Now()}
	h := startSecureHost(b, 4, certs.Server(), certs.Client())
	remote := h.client(b, 1).RemotePool(h.address)
	for _, c := range []struct {
		name      string
		acquirer  proxy.Acquirer
		statement string
	}{
		{"local", h.pool, ""},
		{"remote", remote, ""},
		{"local statement", h.pool, "SELECT 1"},
		{"remote statement", remote, "SELECT 1"},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				acquireOnce(b, c.acquirer, c.statement, 1)
			}
		})
	}
}

// BenchmarkAcquireParallel measures the same with a statement when many goroutines compete
// for the connections.
func BenchmarkAcquireParallel(b *testing.B) {
	h := startHost(b, 4)
	for name, acquirer := range map[string]proxy.Acquirer{"local": h.pool, "remote": h.client(b, 1).RemotePool(h.address)} {
		b.Run(name, func(b *testing.B) {
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					acquireOnce(b, acquirer, "SELECT 1", 0)
				}
			})
		})
	}
}

func acquireOnce(b *testing.B, acquirer proxy.Acquirer, statement string, session uint64) {
	acquired, err := acquirer.Acquire(b.Context(), connectionRequest(session))
	if err != nil {
		b.Fatal(err)
	}
	if statement != "" {
		if _, err = query(acquired, statement); err != nil {
			b.Fatal(err)
		}
	}
	acquired.Release(proxy.ReleaseState{})
}

// BenchmarkDirect measures the statement alone on a connection that stays acquired.
func BenchmarkDirect(b *testing.B) {
	h := startHost(b, 4)
	acquired, err := h.pool.Acquire(b.Context(), connectionRequest(1))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err = query(acquired, "SELECT 1"); err != nil {
			b.Fatal(err)
		}
	}
	acquired.Release(proxy.ReleaseState{})
}
