package daemon

import (
	"context"
	crand "crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"github.com/auburnyoke/auburnyoke/internal/frontend"
	"github.com/auburnyoke/auburnyoke/internal/platform"
	"github.com/auburnyoke/auburnyoke/internal/pool"
	"github.com/auburnyoke/auburnyoke/internal/rpc"
	"github.com/auburnyoke/auburnyoke/internal/supervisor"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/budget"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/configuration"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/member"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/session"
)

const (
	// controlTick is the tick interval of the modules other than promotion.
	controlTick = 100 * time.Millisecond
	// promotionTick is shorter, since a failover takes several ticks.
	promotionTick = 20 * time.Millisecond
	// grantExpiryWait is longer than the lifetime of a grant of package limit.
	grantExpiryWait = 2 * time.Second
)

// Host assembles and runs the parts of one entry host.
type Host struct {
	settings Settings
	log      zerolog.Logger
	clock    proxy.Clock
	registry metrics.Registry
	self     proxy.HostState

	store         proxy.Store
	driver        *Driver
	configuration *configuration.Table
	members       *member.Table
	promotion     *promotion.Machine
	limits        *limit.Table
	shares        ConnectionShares
	placement     *placement.Table
	supervisor    *supervisor.Supervisor
	pool          *pool.Pool
	peers         *rpc.Client
	server        *rpc.Server
	frontend      *frontend.Server
	status        *rest.Server
	reporter      *reporter
	stopping      atomic.Bool
	aborted       chan struct{}
}

// New builds a host and returns a function that closes its platform client.
func New(settings Settings, log zerolog.Logger) (*Host, func(), error) {
	store, closeStore, err := platform.NewClient(settings.Platform)
	if err != nil {
		return nil, nil, fmt.Errorf("platform client: %w", err)
	}
	h := &Host{
		settings: settings, log: log, clock: NewClock(), registry: metrics.NewRegistry(), store: store,
		aborted: make(chan struct{}),
		self: proxy.HostState{
			ID: settings.Host, Zone: settings.Zone, Address: settings.Peers,
			Incarnation: newIncarnation(time.Now()),
		},
	}
	if err := h.build(); err != nil {
		closeStore()
		return nil, nil, err
	}
	return h, closeStore, nil
}

// newIncarnation returns an incarnation number: the milliseconds since 1970 in the
// high bits and 20 random low bits, so that later incarnations have larger numbers.
func newIncarnation(now time.Time) proxy.Incarnation {
	var random [4]byte
	_, _ = crand.Read(random[:])
	randomBits := uint64(binary.BigEndian.Uint32(random[:]) >> 12)
	return proxy.Incarnation(uint64(now.UnixMilli())<<20 | randomBits)
}

func (h *Host) build() error {
	password, err := readPassword(h.settings.Instances.Password)
	if err != nil {
		return err
	}
	h.configuration = &configuration.Table{
		Host: h.self, Key: environment.DocumentKey(h.settings.Environment, h.settings.Stage), Decode: h.decode,
	}
	h.members = &member.Table{
		Self: h.self, Prefix: proxy.HostPrefix(h.settings.Environment, h.settings.Stage),
	}
	h.driver = &Driver{
		Clock: h.clock, Store: h.store, Send: h.send, ExecuteModuleEffect: h.executeModuleEffect, Log: h.log,
		Random: rand.New(rand.NewPCG(uint64(h.self.Incarnation), uint64(os.Getpid()))),
	}
	h.driver.Add(h.configuration, controlTick)
	h.driver.Add(h.members, controlTick)
	h.promotion, err = promotion.New(promotion.Settings{
		Host: h.self.ID, Incarnation: h.self.Incarnation, Environment: h.settings.Environment,
		Stage: h.settings.Stage, Timing: promotion.DefaultTiming(),
	})
	if err != nil {
		return fmt.Errorf("promotion: %w", err)
	}
	h.driver.Add(h.promotion, promotionTick)
	h.limits = &limit.Table{
		Self:   h.self,
		Prefix: environment.Prefix(h.settings.Environment, h.settings.Stage) + "shares/",
	}
	h.driver.Add(h.limits, controlTick)
	h.placement = placement.NewTable(h.self.ID, h.self.Zone)
	h.supervisor = &supervisor.Supervisor{
		Catalog: h.configuration, Stage: h.settings.Stage, Clock: h.clock,
		User: h.settings.Instances.User, Password: password, Pooled: h.pooled, Observed: h.handleObserved,
		Interval: h.settings.Instances.Probe, Timeout: h.settings.Instances.Silence, Logger: h.log,
	}
	h.pool = &pool.Pool{
		Catalog: h.configuration, Stage: h.settings.Stage, Zone: h.self.Zone, Leaders: h.promotion, Clock: h.clock,
		User: h.settings.Instances.User, Password: password, Share: h.connectionShare,
		ProbeAfter: h.settings.Instances.Idle, ProbeTimeout: h.settings.Instances.Silence,
		MeasurementInterval: h.settings.Instances.Probe, AwaitObservation: h.supervisor.AwaitObservation, PrimaryPosition: h.supervisor.PrimaryPosition, Linger: h.settings.Instances.Linger, OnWriterCount: h.reportWriting,
		Logger: h.log, Metrics: h.registry,
	}
	if err := h.buildPeers(); err != nil {
		return err
	}
	memory := budget.New(h.settings.MemoryLimit())
	registerBudget(memory, h.registry)
	h.frontend = &frontend.Server{
		Catalog: servingCatalog{h}, Limiter: NewWaitingLimiter(h.limits, h.clock, h.registry), Acquirer: h.forwarder(), Positions: &session.Table{}, Clock: h.clock,
		Host: hostNumber(h.self.ID), Canceler: canceler{h}, MockAuthSecret: sharedSecret(password),
		AllowPlaintextOnOpenRoutes: h.settings.Clients.Plain, Logger: h.log, Registry: h.registry,
		Budget: memory, Limits: limitClients(h.settings, maxDescriptors()),
	}
	if h.frontend.TLS, err = h.clientTLS(); err != nil {
		return err
	}
	h.reporter = newReporter(h)
	status := &statusServer{page: h.page, registry: h.registry}
	h.status, err = status.newServer(h.settings.Status)
	return err
}

// clientTLS returns the source of TLS configurations for client connections,
// or nil if the settings name no certificate.
func (h *Host) clientTLS() (func() *tls.Config, error) {
	clients := h.settings.Clients
	if clients.Certificate == "" {
		return nil, nil
	}
	certificates := &rpc.Certificates{
		Certificate: clients.Certificate, Key: clients.Key, Clock: h.clock, Logger: h.log,
	}
	if err := certificates.Load(); err != nil {
		return nil, fmt.Errorf("clients.certificate: %w", err)
	}
	config := certificates.Public()
	return func() *tls.Config { return config }, nil
}

// sharedSecret returns the MockAuthSecret of the client listener. It is derived from
// the instance password, which all hosts have, so that a client cannot tell unknown
// account keys from known ones by different answers of two hosts.
func sharedSecret(password string) []byte {
	digest := sha256.Sum256([]byte("auburnyoke account keys " + password))
	return digest[:]
}

func readPassword(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("instances.password: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// decode decodes an envelope and returns an error if it belongs to another
// environment or stage.
func (h *Host) decode(data []byte) (configuration.Loaded, error) {
	envelope, err := environment.DecodeEnvelope(data)
	if err != nil {
		return configuration.Loaded{}, fmt.Errorf("document: %w", err)
	}
	if envelope.Environment != h.settings.Environment || envelope.Stage != h.settings.Stage {
		return configuration.Loaded{}, fmt.Errorf("document is for %s %s: want %s %s",
			envelope.Environment, envelope.Stage, h.settings.Environment, h.settings.Stage)
	}
	document, err := envelope.Document()
	if err != nil {
		return configuration.Loaded{}, fmt.Errorf("document: %w", err)
	}
	return configuration.Loaded{
		Revision: envelope.Revision, Document: document, Digest: string(envelope.Digest), Data: data,
	}, nil
}

// Run serves until ctx ends and then shuts down gracefully: it announces the stop
// to other hosts, ends sessions at their transaction boundaries and waits for them
// for at most the grace period.
func (h *Host) Run(ctx context.Context) error {
	clients, err := net.Listen("tcp", h.settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	peers, err := net.Listen("tcp", h.settings.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	// The parts that serve other hosts continue after ctx ends, until this host's
	// clients are gone.
	internalCtx, stopInternal := context.WithCancel(context.WithoutCancel(ctx))
	defer stopInternal()
	go func() {
		select {
		case <-h.aborted:
			stopInternal()
		case <-internalCtx.Done():
		}
	}()
	var running sync.WaitGroup
	start := func(job func()) {
		running.Add(1)
		go func() {
			defer running.Done()
			job()
		}()
	}
	go h.status.StartWithOpts(limitStatus)
	defer h.status.Stop()
	start(func() { h.driver.Run(internalCtx) })
	start(func() { h.pool.Run(internalCtx) })
	start(func() { h.supervisor.Run(internalCtx) })
	start(func() { h.reporter.run(internalCtx) })
	start(func() { h.peers.Run(internalCtx) })
	start(func() { h.logError("peers", h.server.Run(internalCtx, peers)) })
	h.sendSeeds()
	h.log.Info().Str("listen", h.settings.Listen).Str("peers", h.settings.Peers).Msg("host started")
	cancelAnnouncement := context.AfterFunc(ctx, h.announceStop)
	defer cancelAnnouncement()
	err = h.frontend.Run(ctx, clients)
	h.log.Info().Msg("host stopping")
	h.drainPeers()
	h.reportLeaving()
	stopInternal()
	running.Wait()
	return err
}

// Abort simulates a failure of the host: it stops everything except the listener
// for clients at once and announces nothing. It may be called at most once. Run
// still returns only when its context ends.
func (h *Host) Abort() { close(h.aborted) }

// sendSeeds passes the seed hosts of the settings to the membership module.
func (h *Host) sendSeeds() {
	var seeds []proxy.HostState
	for _, s := range h.settings.Seeds {
		seeds = append(seeds, proxy.HostState{ID: s.Host, Zone: s.Zone, Address: s.Address})
	}
	h.driver.Dispatch(h.members, member.Seed{Hosts: seeds})
}

func (h *Host) announceStop() {
	h.stopping.Store(true)
	h.reporter.requestReport()
	h.driver.Dispatch(h.members, member.Leave{})
}

// drainPeers ends the use of this host by other hosts, after its own clients are
// gone. It waits until they have released their connections from this host's pool
// and until this host's grants of rate shares to them have expired, so that the
// limits module can free its slots.
func (h *Host) drainPeers() {
	h.driver.Dispatch(h.limits, limit.Leave{})
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Grace)
	defer cancel()
	if left := h.pool.Drain(ctx); left > 0 {
		h.log.Warn().Int("loans", left).Msg("connections in use by other hosts closed by shutdown")
	}
	timing.Sleep(ctx, grantExpiryWait)
}

func (h *Host) logError(component string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		h.log.Error().Err(err).Str("part", component).Msg("component of the host ended")
	}
}
