package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"maps"
	randv2 "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/allowance"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/directory"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/dispatch"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/succession"
)

// Intervals of a host's periodic work.
const (
	// tickTime is how often waiting operations, replacements and reports are
	// looked at.
	tickTime = 50 * time.Millisecond
	// sampleAge is the age at which a group without traffic is asked for a
	// position. It is well below the ages that routes accept.
	sampleAge = 600 * time.Millisecond
)

// reservedDescriptors are kept for files and for connections to instances, other
// hosts and the platform.
const reservedDescriptors = 600

// Client is a client connection before its session begins.
type Client interface {
	proxy.ClientConn
	Startup() (database, key string, err error)
	Accept() error
	Reject(*proxy.Failure) error
}

// Decoders decode the objects that others write to the store.
type Decoders struct {
	ConfigurationKind proxy.Kind
	InstanceKind      proxy.Kind
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
	// Client wraps an accepted connection.
	Client  func(net.Conn) Client
	Metrics *Metrics

	beliefs    *beliefs
	table      *dispatch.Table
	allowances *allowance.Table
	lender     *peering.Endpoint

	incarnation proxy.Incarnation
	// mirrors are fixed by Run. distrusted is guarded by the lock of the beliefs:
	// relays that failed, until the instant at which they are followed again.
	mirrors    map[proxy.Kind]*mirror
	distrusted map[proxy.HostID]proxy.Instant
	relays     *http.Client
	// applying is held while what is believed is passed to the tables, so that an
	// older state never follows a newer one. It is locked before the beliefs.
	applying sync.Mutex
	// inForce reports that the host's part of rates is in use, membersChanged that
	// the hosts have changed since; both are guarded by the lock of the beliefs.
	inForce, membersChanged bool
	sessions                atomic.Uint64
	clients                 atomic.Int64
	stopping                atomic.Bool
	open                    sessionSet
	// budget and seed limit the log; see note.
	budget budget
	seed   maphash.Seed
}

// Run serves until ctx ends and then stops gracefully within the grace time.
func (h *Host) Run(ctx context.Context) error {
	if err := h.prepare(); err != nil {
		return fmt.Errorf("prepare: %w", err)
	}
	defer h.relays.CloseIdleConnections()
	listener, stopListening, err := h.listen(ctx)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer stopListening()
	h.Log.Info().Str("listen", h.Settings.Listen).Uint64("incarnation", uint64(h.incarnation)).Msg("host started")
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	for _, run := range []func(context.Context){
		h.runMembers, h.runTicks, h.runConductor, h.probeSuspects, h.runVotes,
	} {
		go run(work)
	}
	go h.lender.Run()
	go h.accept(listener)
	<-ctx.Done()
	h.stop(listener)
	return nil
}

// prepare sets up what the host remembers.
func (h *Host) prepare() error {
	incarnation, err := newIncarnation()
	if err != nil {
		return fmt.Errorf("incarnation: %w", err)
	}
	h.incarnation = incarnation
	h.seed = maphash.MakeSeed()
	h.beliefs = newBeliefs()
	h.open.sessions = make(map[*session]struct{})
	h.table = &dispatch.Table{Zone: h.Settings.Zone}
	h.allowances = &allowance.Table{Self: h.Settings.Host, HandoverDelay: joinTime}
	h.lender = &peering.Endpoint{
		Log: h.Log, Clock: h.Clock, Allowances: h.allowances, Random: randv2.Uint64,
		Borrower:       &allowance.Borrower{Table: h.allowances, Zone: h.Settings.Zone, Random: randv2.Uint64},
		State:          h.state,
		OnAnnouncement: func(n peering.Announcement) { h.learnTenure(n.Group, n.Record, n.Version) },
	}
	h.mirrors = map[proxy.Kind]*mirror{
		h.Decode.ConfigurationKind: newMirror(gatherConfiguration, h.Log),
		h.Decode.InstanceKind:      newMirror(gatherInstances, h.Log),
		memberKind:                 newMirror(gatherMembers, h.Log),
		tenureKind:                 newMirror(0, h.Log),
	}
	h.distrusted = make(map[proxy.HostID]proxy.Instant)
	h.relays = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: len(h.mirrors), DisableCompression: true}}
	return nil
}

// listen opens the host's sockets. It returns the one for clients and a function
// that closes all.
func (h *Host) listen(ctx context.Context) (net.Listener, func(), error) {
	var stops []func()
	stop := func() {
		for _, s := range stops {
			s()
		}
	}
	for _, open := range []func() (func(), error){
		func() (func(), error) { return h.serveRelay(ctx) },
		func() (func(), error) { return h.lender.Listen(h.Settings.Peer) },
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
		// Callers are served without metrics too.
		h.Log.Warn().Err(err).Msg("metrics are not served")
	}
	var listening net.ListenConfig
	listener, err := listening.Listen(ctx, "tcp4", h.Settings.Listen)
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
			if h.stopping.Load() {
				return
			}
			h.Log.Warn().Err(err).Msg("client connection was not accepted")
			time.Sleep(tickTime)
			continue
		}
		if limit := h.Settings.Descriptors - reservedDescriptors; limit > 0 && h.clients.Load() >= int64(limit) {
			h.rejectClient(conn)
			continue
		}
		h.clients.Add(1)
		go func() {
			defer h.clients.Add(-1)
			h.serveClient(conn)
		}()
	}
}

// rejectClient refuses a connection for which the host has no descriptor.
func (h *Host) rejectClient(conn net.Conn) {
	h.Metrics.refused(proxy.Busy)
	// The client learns of it by the end of the connection too.
	_ = conn.SetWriteDeadline(time.Now().Add(tickTime))
	_ = h.Client(conn).Reject(&proxy.Failure{Code: proxy.Busy, Text: "host has too many connections", RetryAfter: time.Second})
	_ = conn.Close()
}

// runTicks does the periodic work that is not tied to one store object.
func (h *Host) runTicks(ctx context.Context) {
	for timing.Sleep(ctx, tickTime) {
		now := h.Clock.Now()
		h.table.Serve(now)
		closeAll(h.table.Trim(now))
		h.refreshPositions(now)
		h.expireInstances(now)
		h.acceptReplacements(now)
		h.lender.RequestLoans()
		h.applyMembership(now)
	}
}

// refreshPositions asks primaries without recent traffic for their position,
// with a statement that takes no slot.
func (h *Host) refreshPositions(now proxy.Instant) {
	for group, leader := range h.beliefs.stale(now, sampleAge) {
		c := h.table.AcquireIdle(now, leader)
		if c == nil {
			continue
		}
		go h.samplePosition(group, c)
	}
}

func (h *Host) samplePosition(group proxy.GroupID, c *dispatch.Connection) {
	sent := h.Clock.Now()
	answers, err := c.Conn.Exchange(probeTimeout, proxy.Command{Statement: proxy.Statement{Verb: proxy.Reset}})
	if err != nil {
		h.broken(c, err)
		return
	}
	c.SessionID, c.Values, c.Prepared = 0, nil, nil
	h.beliefs.record(sent, group, c.Instance, answers[0].Position)
	closeAll(h.table.Release(h.Clock.Now(), c))
}

func closeAll(links []proxy.Connection) {
	for _, link := range links {
		link.Close()
	}
}

// reconfigure passes what is believed of configuration, instances and hosts to
// the tables.
func (h *Host) reconfigure() {
	h.applying.Lock()
	defer h.applying.Unlock()
	now := h.Clock.Now()
	b := h.beliefs
	b.mu.Lock()
	hosts := max(len(b.members), 1)
	configuration := b.configuration
	var members []dispatch.Member
	for _, i := range b.instances {
		if configuration == nil {
			break
		}
		group, ok := configuration.Groups[i.Group]
		if !ok || i.retired {
			continue
		}
		share := group.Connections / hosts
		members = append(members, dispatch.Member{Instance: i.Instance, Share: share})
	}
	leaders := make(map[proxy.GroupID]proxy.InstanceID, len(b.tenures))
	vacant := make(map[proxy.GroupID]proxy.Instant)
	for id, t := range b.tenures {
		leaders[id], vacant[id] = "", t.began.Add(b.vacancy)
		if t.record.Phase == succession.Settled {
			leaders[id] = t.record.Primary
		}
	}
	b.mu.Unlock()
	closeAll(h.table.Update(now, members))
	for id, leader := range leaders {
		h.table.SetPrimary(now, id, leader, vacant[id])
	}
}

// redistribute passes the hosts and the accounts to what divides rates.
func (h *Host) redistribute() {
	h.applying.Lock()
	defer h.applying.Unlock()
	now := h.Clock.Now()
	b := h.beliefs
	b.mu.Lock()
	counted := h.countedLocked(now)
	peers := b.peers(h.Settings.Host)
	names := slices.Sorted(maps.Keys(b.members))
	configuration := b.configuration
	h.inForce, h.membersChanged = counted, false
	b.mu.Unlock()
	h.lender.SetPeers(peers)
	if configuration != nil && len(names) > 0 {
		h.allowances.Configure(now, configuration.Revision, configuration.Accounts, names, counted)
	}
}

// applyMembership redistributes rates after the hosts have changed, and as soon
// as the others count this host. Changes within a tick are taken together: when
// a fleet starts, they come by the hundred.
func (h *Host) applyMembership(now proxy.Instant) {
	h.beliefs.mu.Lock()
	changed := h.membersChanged
	due := changed || h.countedLocked(now) && !h.inForce
	h.beliefs.mu.Unlock()
	if changed {
		h.reconfigure()
	}
	if due {
		h.redistribute()
	}
}

// peers returns the other hosts that can be asked for loans.
func (b *beliefs) peers(self proxy.HostID) []peering.Peer {
	var peers []peering.Peer
	for id, m := range b.members {
		if p, ok := m.peer(id); ok && id != self {
			peers = append(peers, p)
		}
	}
	return peers
}

// countedLocked reports whether all other hosts count this one, so that it may
// use its part of rates. The caller holds the lock of the beliefs.
func (h *Host) countedLocked(now proxy.Instant) bool {
	return h.beliefs.counted != 0 && now >= h.beliefs.counted
}

// ready reports whether the host can serve clients.
func (h *Host) ready() bool {
	if h.stopping.Load() {
		return false
	}
	now := h.Clock.Now()
	b := h.beliefs
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := h.Settings.Withdrawal * 3 / 5
	return b.configuration != nil && h.countedLocked(now) && now.Sub(b.configured) < limit && len(b.instances) > 0
}
