package frontend_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

const readOne = "select value from kv where key = $1"

// benchConnections opens n connections to the instance and n to the server.
func benchConnections(b *testing.B, h *harness, address string, n int) (direct, proxied []*pgx.Conn) {
	for range n {
		conn, err := pgx.Connect(background, "postgres://system:secret@"+address+"/db?sslmode=disable")
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = conn.Close(background) })
		direct = append(direct, conn)
		proxied = append(proxied, h.session("stock", ""))
	}
	return direct, proxied
}

func readValue(b *testing.B, conn *pgx.Conn) {
	var value string
	if err := conn.QueryRow(background, readOne, "a").Scan(&value); err != nil {
		b.Error(err)
	}
}

// BenchmarkRead compares reads of one statement through the server with the same reads
// on a direct connection. They alternate, so that both run under the same load.
func BenchmarkRead(b *testing.B) {
	h, address := emulated(b, 2)
	direct, proxied := benchConnections(b, h, address, 1)
	if _, err := direct[0].Exec(background, "insert into kv values ('a', '1')"); err != nil {
		b.Fatal(err)
	}
	times := [2][]time.Duration{}
	for b.Loop() {
		for n, conn := range []*pgx.Conn{direct[0], proxied[0]} {
			start := time.Now()
			readValue(b, conn)
			times[n] = append(times[n], time.Since(start))
		}
	}
	median := func(d []time.Duration) float64 {
		slices.Sort(d)
		return float64(d[len(d)/2].Nanoseconds()) / 1000
	}
	b.ReportMetric(median(times[0]), "direct-us")
	b.ReportMetric(median(times[1])-median(times[0]), "added-us")
}

// BenchmarkThroughput compares concurrent reads on 64 connections, and reports the
// throughput through the server as a share of the direct throughput.
func BenchmarkThroughput(b *testing.B) {
	const clients = 64
	h, address := emulated(b, clients+1) // one more for the monitor of the pool
	direct, proxied := benchConnections(b, h, address, clients)
	if _, err := direct[0].Exec(background, "insert into kv values ('a', '1')"); err != nil {
		b.Fatal(err)
	}
	measure := func(conns []*pgx.Conn, n int) time.Duration {
		start := time.Now()
		var done sync.WaitGroup
		for _, conn := range conns {
			done.Go(func() {
				for range n {
					readValue(b, conn)
				}
			})
		}
		done.Wait()
		return time.Since(start)
	}
	measure(direct, 1)
	measure(proxied, 1)
	var times [2]time.Duration
	for b.Loop() {
		times[0] += measure(direct, 100)
		times[1] += measure(proxied, 100)
	}
	b.ReportMetric(float64(clients*100*b.N)/times[0].Seconds(), "direct/s")
	b.ReportMetric(times[0].Seconds()/times[1].Seconds(), "share")
}

// BenchmarkStream streams results of 100 MB each and reports the growth of the heap.
func BenchmarkStream(b *testing.B) {
	h := start(b)
	conn := h.session("open", "")
	before := liveHeap()
	for b.Loop() {
		reader := conn.PgConn().Exec(background, fmt.Sprintf("rows %d", 100_000))
		for reader.NextResult() {
			for rows := reader.ResultReader(); rows.NextRow(); {
				continue
			}
		}
		if err := reader.Close(); err != nil {
			b.Fatal(err)
		}
	}
	b.SetBytes(100_000_000)
	b.ReportMetric(float64(int64(liveHeap())-int64(before)), "B-growth")
}
