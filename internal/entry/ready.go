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

// serveReady serves readiness and metrics and returns a function that stops it.
func (h *Host) serveReady(ctx context.Context) (func(), error) {
	var listening net.ListenConfig
	listener, err := listening.Listen(ctx, "tcp4", h.Settings.Ready)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteOnce(h.Metrics.Registry, w)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}
