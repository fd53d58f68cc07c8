package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

const (
	// readyPath is requested by the load balancer, metricsPath by the monitoring.
	readyPath   = "/-/readyz"
	metricsPath = "/metrics"
)

// serveReady serves the readiness probe and returns a function that stops it.
func (h *Host) serveReady(ctx context.Context) (func(), error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readyPath, endOnPanic(func(w http.ResponseWriter, _ *http.Request) {
		if !h.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	return h.serve(ctx, h.Settings.Ready, mux, func() int64 { return maxProbeConnections })
}

// serveMetrics serves metrics and returns a function that stops it. It does nothing
// if no address for metrics is set.
func (h *Host) serveMetrics(ctx context.Context) (func(), error) {
	if h.Settings.Metrics == "" {
		return func() {}, nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, endOnPanic(func(w http.ResponseWriter, _ *http.Request) {
		h.updateGauges()
		metrics.WriteOnce(h.Metrics.Registry, w)
	}))
	return h.serve(ctx, h.Settings.Metrics, mux, func() int64 { return maxMetricsConnections })
}

// serve starts an HTTP server at an address, for as many connections as limit returns, and
// returns a function that stops it.
func (h *Host) serve(ctx context.Context, address string, handler http.Handler, limit func() int64) (func(), error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderSize, ReadHeaderTimeout: headerTimeout,
		ReadTimeout: requestTimeout, WriteTimeout: responseTimeout, IdleTimeout: idleTimeout,
	}
	go func() { _ = server.Serve(h.limitConnections(listener, limit)) }()
	return func() { _ = server.Close() }, nil
}
