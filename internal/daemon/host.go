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
	"github.com/auburnyoke/auburnyoke/internal/inner"
	"github.com/auburnyoke/auburnyoke/internal/platform"
	"github.com/auburnyoke/auburnyoke/internal/pool"
	"github.com/auburnyoke/auburnyoke/internal/supervisor"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/configuration"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/limit"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/member"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/placement"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/session"
)

// Intervals of the control decisions.
const (
	controlTick = 100 * time.Millisecond
	// promotionTick is shorter, since a failover waits for several of them.
	promotionTick = 20 * time.Millisecond
	// handOverTime is longer than a grant of the limits lasts.
	handOverTime = 2 * time.Second
)

// Host is one entry host.
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
	shares        Shares
	placement     *placement.Table
	supervisor    *supervisor.Supervisor
	pool          *pool.Pool
	peers         *inner.Client
	server        *inner.Server
	front         *frontend.Server
	status        *rest.Server
	reporter      *reporter
	stopping      atomic.Bool
	aborted       chan struct{}
}

// New builds a host and returns a function that releases what it holds.
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

// newIncarnation draws an incarnation: milliseconds since 1970 above 20 random
// bits, so that later incarnations have larger numbers.
func newIncarnation(now time.Time) proxy.Incarnation {
	var random [4]byte
	_, _ = crand.Read(random[:])
	low := uint64(binary.BigEndian.Uint32(random[:]) >> 12)
	return proxy.Incarnation(uint64(now.UnixMilli())<<20 | low)
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
		Clock: h.clock, Store: h.store, Send: h.send, Own: h.own, Log: h.log,
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
		User: h.settings.Instances.User, Password: password, Pooled: h.pooled, Observed: h.observed,
		Interval: h.settings.Instances.Probe, Timeout: h.settings.Instances.Silence, Logger: h.log,
	}
	h.pool = &pool.Pool{
		Catalog: h.configuration, Stage: h.settings.Stage, Zone: h.self.Zone, Leaders: h.promotion, Clock: h.clock,
		User: h.settings.Instances.User, Password: password, Share: h.share,
		ProbeAfter: h.settings.Instances.Idle, ProbeTimeout: h.settings.Instances.Silence,
		Poll: h.settings.Instances.Probe, Await: h.supervisor.Await, Bound: h.supervisor.Bound, Linger: h.settings.Instances.Linger, Writing: h.writing,
		Logger: h.log, Metrics: h.registry,
	}
	if err := h.buildPeers(); err != nil {
		return err
	}
	h.front = &frontend.Server{
		Catalog: servingCatalog{h}, Limiter: RetryingLimiter{Limiter: h.limits, Clock: h.clock}, Lender: h.forwarder(), Positions: &session.Table{}, Clock: h.clock,
		Host: hostNumber(h.self.ID), Canceler: canceler{h}, MockAuthSecret: sharedSecret(password),
		AllowPlaintextOnOpenRoutes: h.settings.Clients.Plain, Logger: h.log, Registry: h.registry,
		Limits: frontend.Limits{
			Sessions: h.settings.Clients.Limit, AuthenticationTimeout: h.settings.Clients.Timeout, Grace: h.settings.Grace,
		},
	}
	if h.front.TLS, err = h.clientTLS(); err != nil {
		return err
	}
	h.reporter = newReporter(h)
	status := &statusServer{page: h.page, registry: h.registry}
	h.status, err = status.newServer(h.settings.Status)
	return err
}

// clientTLS returns the source of TLS configurations for client connections,
// or nil where the settings name no certificate.
func (h *Host) clientTLS() (func() *tls.Config, error) {
	clients := h.settings.Clients
	if clients.Certificate == "" {
		return nil, nil
	}
	certificates := &inner.Certificates{
		Certificate: clients.Certificate, Key: clients.Key, Clock: h.clock, Logger: h.log,
	}
	if err := certificates.Load(); err != nil {
		return nil, fmt.Errorf("clients.certificate: %w", err)
	}
	config := certificates.Public()
	return func() *tls.Config { return config }, nil
}

// sharedSecret derives what hides unknown account keys from the password that
// all hosts have, so that every host answers alike for a key.
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

// decode reads an envelope and refuses one of another environment or stage.
func (h *Host) decode(data []byte) (configuration.Loaded, error) {
	envelope, err := environment.DecodeEnvelope(data)
	if err != nil {
		return configuration.Loaded{}, fmt.Errorf("document: %w", err)
	}
	if envelope.Environment != h.settings.Environment || envelope.Stage != h.settings.Stage {
		return configuration.Loaded{}, fmt.Errorf("document of %s %s on a host of %s %s",
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

// Run serves until ctx ends and then shuts down gracefully: it announces its
// leaving, ends sessions at their transaction boundaries and waits at most the
// grace period.
func (h *Host) Run(ctx context.Context) error {
	clients, err := net.Listen("tcp", h.settings.Listen)
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	peers, err := net.Listen("tcp", h.settings.Peers)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	inside, stopInside := context.WithCancel(context.WithoutCancel(ctx))
	defer stopInside()
	go func() {
		select {
		case <-h.aborted:
			stopInside()
		case <-inside.Done():
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
	go h.status.Start()
	defer h.status.Stop()
	start(func() { h.driver.Run(inside) })
	start(func() { h.pool.Run(inside) })
	start(func() { h.supervisor.Run(inside) })
	start(func() { h.reporter.run(inside) })
	start(func() { h.peers.Run(inside) })
	start(func() { h.logError("peers", h.server.Run(inside, peers)) })
	h.seed()
	h.log.Info().Str("listen", h.settings.Listen).Str("peers", h.settings.Peers).Msg("host started")
	stopped := context.AfterFunc(ctx, h.announceStop)
	defer stopped()
	err = h.front.Run(ctx, clients)
	h.log.Info().Msg("host stopping")
	h.handOver()
	h.reportLeaving()
	stopInside()
	running.Wait()
	return err
}

// Abort ends all but the listener for clients at once and announces nothing, as
// a failure of the host would. It is called at most once; Run's context still
// ends Run.
func (h *Host) Abort() { close(h.aborted) }

// seed tells the membership the hosts of the settings.
func (h *Host) seed() {
	var seeds []proxy.HostState
	for _, s := range h.settings.Seeds {
		seeds = append(seeds, proxy.HostState{ID: s.Host, Zone: s.Zone, Address: s.Address})
	}
	h.driver.Tell(h.members, member.Seed{Hosts: seeds})
}

func (h *Host) announceStop() {
	h.stopping.Store(true)
	h.reporter.wake()
	h.driver.Tell(h.members, member.Leave{})
}

// handOver ends what other hosts use of this one after its own clients are gone:
// loans for other fronts come back, and the slots of the limits are freed once
// the grants to other hosts have ended.
func (h *Host) handOver() {
	h.driver.Tell(h.limits, limit.Leave{})
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Grace)
	defer cancel()
	if left := h.pool.Drain(ctx); left > 0 {
		h.log.Warn().Int("loans", left).Msg("loans to other hosts broken by shutdown")
	}
	timing.Sleep(ctx, handOverTime)
}

func (h *Host) logError(part string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		h.log.Error().Err(err).Str("part", part).Msg("part of the host ended")
	}
}
