package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// readyPath is where the balancer asks, metricsPath where metrics are read.
	readyPath   = "/-/readyz"
	metricsPath = "/metrics"
	// headerTimeout limits the reading of a probe's header.
	headerTimeout = 2 * time.Second
)

// serveReady serves readiness and returns a function that stops it.
func (h *Host) serveReady(ctx context.Context) (func(), error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serve(ctx, h.Settings.Ready, mux)
}

// serveMetrics serves metrics and returns a function that stops it. A host
// without an address for metrics serves none.
func (h *Host) serveMetrics(ctx context.Context) (func(), error) {
	if h.Settings.Metrics == "" {
		return func() {}, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		h.observe()
		metrics.WriteOnce(h.Metrics.Registry, w)
	})
	return serve(ctx, h.Settings.Metrics, mux)
}

// serve serves a handler at an address and returns a function that stops it.
func serve(ctx context.Context, address string, handler http.Handler) (func(), error) {
	var listening net.ListenConfig
	listener, err := listening.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}
