package inner_test

import (
	"testing"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// BenchmarkLend measures a loan without and with one statement, from the local
// pool and from a remote one over mutual TLS.
func BenchmarkLend(b *testing.B) {
	a := newAuthority(b)
	certs := certificates(b, a)
	certs.Clock = wall{time.Now()}
	h := startSecureHost(b, 4, certs.Server(), certs.Client())
	remote := h.client(b, 1).At(h.address)
	for _, c := range []struct {
		name      string
		lender    proxy.Acquirer
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
				lendOnce(b, c.lender, c.statement, 1)
			}
		})
	}
}

// BenchmarkLendParallel measures contended lending.
func BenchmarkLendParallel(b *testing.B) {
	h := startHost(b, 4)
	for name, lender := range map[string]proxy.Acquirer{"local": h.pool, "remote": h.client(b, 1).At(h.address)} {
		b.Run(name, func(b *testing.B) {
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					lendOnce(b, lender, "SELECT 1", 0)
				}
			})
		})
	}
}

func lendOnce(b *testing.B, lender proxy.Acquirer, statement string, session uint64) {
	loan, err := lender.Acquire(b.Context(), ask(session))
	if err != nil {
		b.Fatal(err)
	}
	if statement != "" {
		if _, err = query(loan, statement); err != nil {
			b.Fatal(err)
		}
	}
	loan.Release(proxy.ReleaseState{})
}

// BenchmarkDirect measures the same statement on a connection that is kept.
func BenchmarkDirect(b *testing.B) {
	h := startHost(b, 4)
	loan, err := h.pool.Acquire(b.Context(), ask(1))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err = query(loan, "SELECT 1"); err != nil {
			b.Fatal(err)
		}
	}
	loan.Release(proxy.ReleaseState{})
}
