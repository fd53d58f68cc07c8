package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// reservoir is the number of values of which a latency histogram is kept, and
// alpha its weight of recent ones.
const (
	reservoir = 256
	alpha     = 0.015
)

// Metrics are a host's counters and histograms.
type Metrics struct {
	Registry metrics.Registry

	served, opened, full, broken, retried, unlogged, calls metrics.Counter
	codes                                                  map[proxy.Code]metrics.Counter
	instanceCodes                                          map[proxy.Code]metrics.Counter
	latency                                                metrics.Histogram
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry:      metrics.NewRegistry(),
		codes:         make(map[proxy.Code]metrics.Counter),
		instanceCodes: make(map[proxy.Code]metrics.Counter),
		latency:       metrics.NewHistogram(metrics.NewExpDecaySample(reservoir, alpha)),
	}
	for name, counter := range map[string]*metrics.Counter{
		"statements.served":  &m.served,
		"connections.opened": &m.opened,
		"connections.full":   &m.full,
		"connections.broken": &m.broken,
		"statements.retried": &m.retried,
		"log.unlogged":       &m.unlogged,
		"store.reads":        &m.calls,
	} {
		*counter = metrics.NewCounter()
		m.register(name, *counter)
	}
	for code := proxy.Busy; code <= proxy.TooLarge; code++ {
		m.codes[code], m.instanceCodes[code] = metrics.NewCounter(), metrics.NewCounter()
		m.register("statements.failed."+code.String(), m.codes[code])
		m.register("instances.refused."+code.String(), m.instanceCodes[code])
	}
	m.register("statements.latency", m.latency)
	return m
}

func (m *Metrics) register(name string, metric any) {
	// Names are distinct, so that registering cannot fail.
	_ = m.Registry.Register(name, metric)
}

func (m *Metrics) answered(a proxy.Answer, took time.Duration) {
	if a.Failure != nil {
		m.codes[a.Failure.Code].Inc(1)
		return
	}
	m.served.Inc(1)
	m.latency.Update(took.Microseconds())
}

// refused counts a session that was refused at startup.
func (m *Metrics) refused(code proxy.Code) { m.codes[code].Inc(1) }

// rejected counts a statement that an instance refused.
func (m *Metrics) rejected(code proxy.Code) { m.instanceCodes[code].Inc(1) }
