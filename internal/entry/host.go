package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"maps"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/forward"
	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/internal/tcp"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/balance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/budget"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/evacuation"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/warmup"
)

const (
	// tickInterval is the interval at which waiting operations, failovers and
	// membership changes are processed.
	tickInterval = 50 * time.Millisecond
	// maxPositionAge is the age of a group's newest log position from which the host
	// samples the primary's position. It is well below the staleness that routes
	// accept.
	maxPositionAge = 600 * time.Millisecond
)

// reservedDescriptors is the number of file descriptors kept for files and for
// connections to instances, other hosts and the platform.
const reservedDescriptors = 600

// Client is an accepted client connection. Startup is called first, then Accept or
// Reject.
type Client interface {
	proxy.ClientConn
	Startup() (database, key string, err error)
	Accept() error
	Reject(*proxy.Failure) error
	// SetMemory sets what accounts for the messages that are being read. It is called
	// before Startup.
	SetMemory(proxy.ConnMemory)
}

// Decoders decode the objects that the operator and the instances write to the store,
// and the answers to inspections of instances.
type Decoders struct {
	ConfigurationKind proxy.Kind
	InstanceKind      proxy.Kind
	// EvacuationKind is the kind of the objects with which the operator evacuates the zones
	// that they are named after.
	EvacuationKind    proxy.Kind
	Configuration     func(spec []byte) (*directory.Configuration, error)
	Instance          func(name string, spec []byte) (directory.Instance, error)
	ReplicationStatus func(row string) (proxy.ReplicationStatus, error)
}

// Host is an entry host. Its exported fields are set before Run.
type Host struct {
	Settings Settings
	Log      zerolog.Logger
	Clock    proxy.Clock
	Store    proxy.RecordStore
	Promoter proxy.Promoter
	Dialer   proxy.Dialer
	Decode   Decoders
	// Client returns the protocol handler of an accepted connection.
	Client  func(net.Conn) Client
	Metrics *Metrics
	// Memory is the budget of the host's connections; nil for one that follows the memory in
	// the settings.
	Memory *budget.Budget

	clusterState *clusterState
	table        *dispatch.Table
	balance      *balance.Table
	positions    positionQueries
	forwarder    *forward.Client
	stopForward  func()
	allowances   *allowance.Table
	evacuations  *evacuation.Table
	// warmup limits what is sent to cold instances; nil for no limit.
	warmup *warmup.Table
	// closedZones are the zones that were closed when the tables were last updated for it,
	// evacuationsConfirmed whether the evacuations were confirmed. Only the ticks use them.
	closedZones          []proxy.Zone
	evacuationsConfirmed bool
	peerEndpoint         *peering.Endpoint

	incarnation proxy.Incarnation
	// restarted reports that an earlier process of this host had registered it.
	restarted atomic.Bool
	// startedAt is when the process started to serve.
	startedAt proxy.Instant
	// mirrors is not changed after initialize. excludedRelays holds the relays that
	// failed, with the instants until which they are not followed; it is guarded by
	// the lock of the cluster state.
	mirrors        map[proxy.Kind]*mirror
	excludedRelays map[proxy.HostID]proxy.Instant
	relayClient    *http.Client
	eras           *eraTracker
	rejected       rejectedRecords
	// applying is held while the cluster state is passed to the tables, so that an
	// older state never overwrites a newer one. It is locked before the cluster
	// state.
	applying sync.Mutex
	// rateShareInUse reports that the host uses its share of the accounts' rates,
	// membersChanged that the hosts have changed since the shares were computed. Both
	// are guarded by the lock of the cluster state.
	rateShareInUse, membersChanged bool
	lastSessionID                  atomic.Uint64
	forwardServer                  *forward.Server
	openClients                    atomic.Int64
	// otherConnections counts the accepted connections of probes, of monitoring and of other
	// hosts.
	otherConnections atomic.Int64
	// opening counts the clients whose startup message is being processed.
	opening atomic.Int64
	// stopping reports that the host was told to stop, closing that it also closes its
	// sessions.
	stopping, closing atomic.Bool
	// stopSchedule is set when the host is told to stop.
	stopSchedule atomic.Pointer[stopSchedule]
	open         sessionSet
	// logLimit limits the log lines about requests; see recordAnswer.
	logLimit logLimit
	// paceLog is used by runTicks only.
	paceLog paceLog
}

// Run serves until ctx ends and then stops gracefully within the grace time.
func (h *Host) Run(ctx context.Context) error {
	if err := h.initialize(); err != nil {
		return fmt.Errorf("initialize: %w", err)
	}
	defer h.relayClient.CloseIdleConnections()
	defer h.stopForward()
	listener, stopListening, err := h.listen(ctx)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer stopListening()
	h.Log.Info().Str("listen", h.Settings.Listen).Uint64("incarnation", uint64(h.incarnation)).Msg("host started")
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	for _, run := range []func(context.Context){
		h.followMembers, h.runTicks, h.runCoordinator, h.probeSuspects, h.pollHosts, h.forwarder.Run,
		h.checkExcludedHosts,
	} {
		go run(work)
	}
	go h.peerEndpoint.Run()
	go h.accept(listener)
	<-ctx.Done()
	h.stop(listener)
	return nil
}

// initialize sets up the host's state.
func (h *Host) initialize() error {
	incarnation, err := newIncarnation()
	if err != nil {
		return fmt.Errorf("create incarnation: %w", err)
	}
	h.incarnation, h.startedAt = incarnation, h.Clock.Now()
	h.Decode, h.Dialer = h.Decode.contained(), containedDialer{h.Dialer}
	if h.Memory == nil {
		h.Memory = budget.New(h.Settings.Memory)
	}
	h.eras = newEraTracker(h.Log, h.Clock, h.Metrics)
	h.Store = eraStore{h.Store, h.eras}
	h.clusterState = newClusterState()
	h.rejected.log, h.rejected.metrics = h.Log, h.Metrics
	h.open.sessions = make(map[*session]struct{})
	h.warmup = h.newWarmup()
	h.table = &dispatch.Table{SlowStart: true, Warmup: h.warmup}
	h.balance = &balance.Table{Self: h.Settings.Host, Zone: h.Settings.Zone, Random: randv2.Float64}
	if h.forwarder, h.stopForward, err = forward.NewClient(); err != nil {
		return fmt.Errorf("create client of other hosts: %w", err)
	}
	h.forwarder.OnSilence = h.markSilent
	h.forwardServer = &forward.Server{Executor: servedExecutor{ownExecutor{h}}, HoldTimeout: holdTimeout, Memory: h.Memory, Clock: h.Clock, Log: h.Log}
	h.allowances = &allowance.Table{Self: h.Settings.Host, HandoverDelay: joinWait}
	h.evacuations = &evacuation.Table{Bound: h.Settings.Evacuation}
	h.peerEndpoint = &peering.Endpoint{
		Log: h.Log, Clock: h.Clock, Allowances: h.allowances, Random: randv2.Uint64,
		Borrower:       &allowance.Borrower{Table: h.allowances, Zone: h.Settings.Zone, Random: randv2.Uint64},
		State:          h.peerState,
		Position:       func(group proxy.GroupID) (peering.Position, bool) { return h.peerPosition(group, 0) },
		PositionWithin: h.peerPosition,
		OnAnnouncement: func(a peering.Announcement) {
			h.eras.observe(a.Version.Era)
			h.applyLeadership(a.Group, a.Record, a.Version)
		},
	}
	h.mirrors = map[proxy.Kind]*mirror{
		h.Decode.ConfigurationKind: newMirror(configurationBatchDelay, h.Log),
		h.Decode.InstanceKind:      newMirror(instanceBatchDelay, h.Log),
		memberKind:                 newMirror(memberBatchDelay, h.Log),
		leadershipKind:             newMirror(0, h.Log),
	}
	if h.evacuations.Followed() {
		h.mirrors[h.Decode.EvacuationKind] = newMirror(0, h.Log)
	}
	h.excludedRelays = make(map[proxy.HostID]proxy.Instant)
	h.relayClient = &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: len(h.mirrors), DisableCompression: true},
	}
	return nil
}

// listen opens the host's sockets. It returns the listener for clients and a function
// that closes all sockets.
func (h *Host) listen(ctx context.Context) (net.Listener, func(), error) {
	var stops []func()
	stop := func() {
		for _, s := range stops {
			s()
		}
	}
	for _, open := range []func() (func(), error){
		func() (func(), error) { return h.serveRelay(ctx) },
		func() (func(), error) { return h.peerEndpoint.Listen(h.Settings.Peer) },
		func() (func(), error) { return h.serveForward(ctx) },
		func() (func(), error) { return h.serveReady(ctx) },
	} {
		closeOne, err := open()
		if err != nil {
			stop()
			return nil, nil, err
		}
		stops = append(stops, closeOne)
	}
	if stopMetrics, err := h.serveMetrics(ctx); err == nil {
		stops = append(stops, stopMetrics)
	} else {
		// Clients are served without metrics too.
		h.Log.Warn().Err(err).Msg("metrics are not served")
	}
	listener, err := tcp.ListenClients(ctx, h.Settings.Listen, clientBufferSize)
	if err != nil {
		stop()
		return nil, nil, fmt.Errorf("clients: %w", err)
	}
	return listener, stop, nil
}

func newIncarnation() (proxy.Incarnation, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, fmt.Errorf("draw random number: %w", err)
	}
	return proxy.Incarnation(binary.BigEndian.Uint64(b[:])>>1 + 1), nil
}

func (h *Host) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if h.closing.Load() {
				return
			}
			h.Log.Warn().Err(err).Msg("client connection was not accepted")
			time.Sleep(tickInterval)
			continue
		}
		if room := h.clientRoom(); room > 0 && h.openClients.Load() >= room {
			h.rejectClient(conn)
			continue
		}
		h.openClients.Add(1)
		go func() {
			defer h.openClients.Add(-1)
			h.serveClient(conn)
		}()
	}
}

// rejectClient refuses a connection for which the host has no file descriptor left.
func (h *Host) rejectClient(conn net.Conn) {
	h.Metrics.countSessionRefusal(proxy.Busy)
	// Errors are ignored: without the rejection, the client still sees the connection
	// end.
	_ = conn.SetWriteDeadline(time.Now().Add(tickInterval))
	_ = h.Client(conn).Reject(&proxy.Failure{Code: proxy.Busy, Text: "host has too many connections", RetryAfter: time.Second})
	_ = conn.Close()
}

// runTicks does the periodic work of the host until ctx ends.
func (h *Host) runTicks(ctx context.Context) {
	for timing.Sleep(ctx, tickInterval) {
		now := h.Clock.Now()
		h.table.Serve(now)
		closeAll(h.table.Trim(now))
		h.logPaces(now)
		h.refreshPositions(now)
		h.expireInstances(now)
		h.expireMembers(now)
		h.applyClosedZones(now)
		h.acceptFailovers(now)
		h.peerEndpoint.RequestLoans()
		h.applyMembership(now)
	}
}

// refreshPositions samples the positions of primaries without recent traffic, on idle
// connections and without taking a slot.
func (h *Host) refreshPositions(now proxy.Instant) {
	for group, primary := range h.clusterState.stalePositions(now, maxPositionAge) {
		c := h.table.AcquireIdle(now, primary)
		if c == nil {
			continue
		}
		go h.samplePosition(group, c)
	}
}

// samplePosition records a primary's log position, which is part of the answer to a
// reset of the connection.
func (h *Host) samplePosition(group proxy.GroupID, c *dispatch.Connection) {
	sent := h.Clock.Now()
	if h.evacuations.State(sent, c.Zone) == evacuation.Closed || h.table.Send(sent, c, 1) > 0 {
		h.discard(c, dispatch.Unneeded)
		return
	}
	answers, err := c.Conn.Exchange(probeTimeout, proxy.Command{Statement: proxy.Statement{Verb: proxy.Reset}})
	if err != nil {
		h.connectionBroken(c, err)
		return
	}
	if answers[0].Failure != nil {
		h.discard(c, dispatch.Unneeded)
		return
	}
	c.Values, c.Prepared = nil, nil
	h.clusterState.recordPosition(sent, group, c.Instance, answers[0].Position)
	closeAll(h.table.Release(h.Clock.Now(), c))
}

func closeAll(conns []proxy.Connection) {
	for _, conn := range conns {
		conn.Close()
	}
}

// updateAllowances passes the current hosts and accounts to the allowance table,
// which divides the accounts' rates among the hosts.
func (h *Host) updateAllowances() {
	h.applying.Lock()
	defer h.applying.Unlock()
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	counted := h.countedByOthersLocked(now)
	peers := cs.peers(h.Settings.Host)
	names := slices.Sorted(maps.Keys(cs.members))
	configuration := cs.configuration
	h.rateShareInUse, h.membersChanged = counted, false
	cs.mu.Unlock()
	h.peerEndpoint.SetPeers(peers)
	if configuration != nil && len(names) > 0 {
		h.allowances.Configure(now, configuration.Revision, configuration.Accounts, names, counted)
	}
}

// applyMembership updates the rate shares after the hosts have changed, and as soon
// as all other hosts count this one. Changes within a tick are applied together,
// since hundreds of hosts register when a fleet starts.
func (h *Host) applyMembership(now proxy.Instant) {
	h.clusterState.mu.Lock()
	changed := h.membersChanged
	due := changed || h.countedByOthersLocked(now) && !h.rateShareInUse
	h.clusterState.mu.Unlock()
	if changed {
		h.updateDispatch()
	}
	if due {
		h.updateAllowances()
	}
}

// peers returns the other hosts, which can be asked for tokens. The caller holds
// s.mu.
func (s *clusterState) peers(self proxy.HostID) []peering.Peer {
	var peers []peering.Peer
	for id, m := range s.members {
		if p, ok := m.peer(id); ok && id != self {
			peers = append(peers, p)
		}
	}
	return peers
}

// countedByOthersLocked reports whether all other hosts count this one, so that it
// may use its share of the rates. The caller holds the lock of the cluster state.
func (h *Host) countedByOthersLocked(now proxy.Instant) bool {
	return h.clusterState.countedFrom != 0 && now >= h.clusterState.countedFrom
}

// ready reports whether the host can serve clients.
func (h *Host) ready() bool {
	if h.stopping.Load() {
		return false
	}
	now := h.Clock.Now()
	cs := h.clusterState
	cs.mu.Lock()
	defer cs.mu.Unlock()
	limit := h.Settings.Withdrawal * 3 / 5
	return h.evacuations.Known() && cs.configuration != nil && h.countedByOthersLocked(now) &&
		now.Sub(cs.configurationConfirmedAt) < limit && len(cs.instances) > 0
}
