package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
)

// The latency histogram is kept from reservoirSize samples; decayAlpha is the weight of
// recent ones.
const (
	reservoirSize = 256
	decayAlpha    = 0.015
)

// Names of the gauges. Ages are in milliseconds.
const (
	gaugeConfigurationAge = "configuration.age"
	gaugeLeadershipAge    = "leadership.age"
	gaugeRevision         = "configuration.revision"
	gaugeHosts            = "hosts.registered"
	gaugeInstances        = "instances.registered"
	gaugeLeaderless       = "groups.leaderless"
	gaugeSessions         = "sessions.open"
	gaugeWaiting          = "statements.waiting"
	gaugeRunning          = "statements.running"
	gaugeConnections      = "connections.open"
	gaugeUnusable         = "records.unusable"
	gaugeLimited          = "instances.limited"
	gaugeReduced          = "instances.reduced"
	gaugeOnTrial          = "instances.trial"
	gaugeEvacuationAge    = "evacuations.age"
	gaugeEvacuated        = "zones.evacuated"
	gaugeClosed           = "zones.closed"
	gaugeCold             = "instances.cold"
	gaugeMemoryLimit      = "memory.limit"
	gaugeMemoryReserved   = "memory.reserved"
	gaugeMemoryRefused    = "memory.refused"
)

// Metrics are a host's counters and histograms.
type Metrics struct {
	Registry metrics.Registry

	served, connectionOpened, connectionFull, connectionBroken,
	retried, unlogged, storeReads, storeEras, recordsRejected, recordsRestored, sessionsPanicked, forwarded, forwardedFailed, commandsServed,
	instancesShed, lagKnown, evacuated, cold,
	endedMemory, endedUnfinished, endedUnread, connectionsRefused metrics.Counter
	codes         map[proxy.Code]metrics.Counter
	instanceCodes map[proxy.Code]metrics.Counter
	latency       metrics.Histogram
	// tokenWaits counts the operations that waited for a token and got one, tokenWait is
	// the time that they waited, and tokenRefusals counts those that got none.
	tokenWaits    metrics.Counter
	tokenWait     metrics.Histogram
	tokenRefusals map[allowance.Reason]metrics.Counter
	// gauges are updated when the metrics are read.
	gauges map[string]metrics.Gauge
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry:      metrics.NewRegistry(),
		codes:         make(map[proxy.Code]metrics.Counter),
		instanceCodes: make(map[proxy.Code]metrics.Counter),
		latency:       metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha)),
		tokenWait:     metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha)),
		tokenRefusals: make(map[allowance.Reason]metrics.Counter),
	}
	for name, counter := range map[string]*metrics.Counter{
		"statements.served":  &m.served,
		"connections.opened": &m.connectionOpened,
		"connections.full":   &m.connectionFull,
		"connections.broken": &m.connectionBroken,
		"statements.retried": &m.retried,
		"log.unlogged":       &m.unlogged,
		"store.reads":        &m.storeReads,
		"store.eras":         &m.storeEras,
		"records.rejected":   &m.recordsRejected,
		"records.restored":   &m.recordsRestored,
		"sessions.panicked":  &m.sessionsPanicked,
		"commands.forwarded": &m.forwarded,
		"commands.lost":      &m.forwardedFailed,
		"commands.served":    &m.commandsServed,
		"allowance.waits":    &m.tokenWaits,
		"instances.shed":     &m.instancesShed,
		"instances.lacking":  &m.lagKnown,
		"commands.evacuated": &m.evacuated,
		"commands.cold":      &m.cold,

		"clients.ended.memory":     &m.endedMemory,
		"clients.ended.unfinished": &m.endedUnfinished,
		"clients.ended.unread":     &m.endedUnread,
		"connections.refused":      &m.connectionsRefused,
	} {
		*counter = metrics.NewCounter()
		m.register(name, *counter)
	}
	for code := proxy.Busy; code <= proxy.TooLarge; code++ {
		m.codes[code], m.instanceCodes[code] = metrics.NewCounter(), metrics.NewCounter()
		m.register("statements.failed."+code.String(), m.codes[code])
		m.register("instances.refused."+code.String(), m.instanceCodes[code])
	}
	for reason, name := range map[allowance.Reason]string{
		allowance.Unfilled: "unfilled", allowance.AboveRate: "rate", allowance.Unreached: "unreached",
	} {
		m.tokenRefusals[reason] = metrics.NewCounter()
		m.register("allowance.refused."+name, m.tokenRefusals[reason])
	}
	m.register("allowance.wait", m.tokenWait)
	m.register("statements.latency", m.latency)
	m.gauges = make(map[string]metrics.Gauge)
	for _, name := range []string{
		gaugeConfigurationAge, gaugeLeadershipAge, gaugeRevision, gaugeHosts, gaugeInstances,
		gaugeLeaderless, gaugeSessions, gaugeWaiting, gaugeRunning, gaugeConnections,
		gaugeUnusable, gaugeLimited, gaugeReduced, gaugeOnTrial, gaugeEvacuationAge, gaugeEvacuated, gaugeClosed,
		gaugeCold, gaugeMemoryLimit, gaugeMemoryReserved, gaugeMemoryRefused,
	} {
		m.gauges[name] = metrics.NewGauge()
		m.register(name, m.gauges[name])
	}
	return m
}

func (m *Metrics) register(name string, metric any) {
	// Registration only fails for duplicate names, and the names are distinct.
	_ = m.Registry.Register(name, metric)
}

func (m *Metrics) countAnswer(a proxy.Answer, took time.Duration) {
	if a.Failure != nil {
		m.codes[a.Failure.Code].Inc(1)
		return
	}
	m.served.Inc(1)
	m.latency.Update(took.Microseconds())
}

// countToken counts an operation that took a token, or was refused one, after a wait.
func (m *Metrics) countToken(waited time.Duration, refusal *allowance.Refusal) {
	if refusal != nil {
		m.tokenRefusals[refusal.Reason].Inc(1)
		return
	}
	if waited >= loggedTokenWait {
		m.tokenWaits.Inc(1)
		m.tokenWait.Update(waited.Microseconds())
	}
}

// countSessionRefusal counts a session that was refused at startup.
func (m *Metrics) countSessionRefusal(code proxy.Code) { m.codes[code].Inc(1) }

// countInstanceRefusal counts a statement that an instance refused.
func (m *Metrics) countInstanceRefusal(code proxy.Code) { m.instanceCodes[code].Inc(1) }

// updateGauges sets the gauges to the current state.
func (h *Host) updateGauges() {
	now := h.Clock.Now()
	set := func(name string, value int) { h.Metrics.gauges[name].Update(int64(value)) }
	waiting, running, open := h.table.Load()
	set(gaugeWaiting, waiting)
	set(gaugeRunning, running)
	set(gaugeConnections, open)
	set(gaugeSessions, len(h.open.list()))
	set(gaugeUnusable, h.rejected.count())
	if h.warmup != nil {
		set(gaugeCold, h.warmup.Cold(now))
	}
	if h.evacuations.Followed() {
		set(gaugeEvacuationAge, int(h.evacuations.Age(now).Milliseconds()))
		all, closed := h.evacuations.Zones(now)
		set(gaugeEvacuated, len(all))
		set(gaugeClosed, len(closed))
	}
	set(gaugeMemoryLimit, int(h.Memory.Limit))
	set(gaugeMemoryReserved, int(h.Memory.Used()))
	_, refused := h.Memory.Counts()
	set(gaugeMemoryRefused, int(refused))
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	set(gaugeConfigurationAge, int(now.Sub(cs.configurationConfirmedAt).Milliseconds()))
	set(gaugeLeadershipAge, int(now.Sub(cs.leadershipConfirmedAt).Milliseconds()))
	set(gaugeHosts, len(cs.members))
	set(gaugeInstances, len(cs.instances))
	if cs.configuration != nil {
		set(gaugeRevision, int(cs.configuration.Revision))
	}
	leaderless := 0
	for id := range cs.leaderships {
		if _, _, ok := cs.primaryLocked(now, id); !ok {
			leaderless++
		}
	}
	set(gaugeLeaderless, leaderless)
}
