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

// Names of the gauges. Ages are in milliseconds.
const (
	gaugeProof       = "configuration.age"
	gaugeLease       = "leadership.age"
	gaugeRevision    = "configuration.revision"
	gaugeHosts       = "hosts.registered"
	gaugeInstances   = "instances.registered"
	gaugeLost        = "groups.leaderless"
	gaugeSessions    = "sessions.open"
	gaugeWaiting     = "statements.waiting"
	gaugeRunning     = "statements.running"
	gaugeConnections = "connections.open"
)

// Metrics are a host's counters and histograms.
type Metrics struct {
	Registry metrics.Registry

	served, opened, full, broken, retried, unlogged, calls metrics.Counter
	codes                                                  map[proxy.Code]metrics.Counter
	instanceCodes                                          map[proxy.Code]metrics.Counter
	latency                                                metrics.Histogram
	// gauges are set when the metrics are read.
	gauges map[string]metrics.Gauge
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
	m.gauges = make(map[string]metrics.Gauge)
	for _, name := range []string{
		gaugeProof, gaugeLease, gaugeRevision, gaugeHosts, gaugeInstances, gaugeLost, gaugeSessions,
		gaugeWaiting, gaugeRunning, gaugeConnections,
	} {
		m.gauges[name] = metrics.NewGauge()
		m.register(name, m.gauges[name])
	}
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

// observe sets the gauges.
func (h *Host) observe() {
	now := h.Clock.Now()
	set := func(name string, value int) { h.Metrics.gauges[name].Update(int64(value)) }
	waiting, running, open := h.table.Load()
	set(gaugeWaiting, waiting)
	set(gaugeRunning, running)
	set(gaugeConnections, open)
	set(gaugeSessions, len(h.open.all()))
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	set(gaugeProof, int(now.Sub(b.configured).Milliseconds()))
	set(gaugeLease, int(now.Sub(b.led).Milliseconds()))
	set(gaugeHosts, len(b.members))
	set(gaugeInstances, len(b.instances))
	if b.configuration != nil {
		set(gaugeRevision, int(b.configuration.Revision))
	}
	leaderless := 0
	for id := range b.tenures {
		if _, _, ok := b.leaderLocked(now, id); !ok {
			leaderless++
		}
	}
	set(gaugeLost, leaderless)
}
