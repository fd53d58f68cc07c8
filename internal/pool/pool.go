package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/queue"
)

// Defaults of the settings.
const (
	defaultDialTimeout  = 3 * time.Second
	defaultProbeAfter   = 5 * time.Second
	defaultProbeTimeout = time.Second
	defaultPoll         = 50 * time.Millisecond
	defaultHorizon      = 3 * time.Second
	defaultPatience     = 5 * time.Second
	defaultLength       = 1000
	defaultBypass       = 20
)

// reconcileInterval is the interval at which the document and the shares are
// adopted. Routing reads the document itself, so that an instance that is
// leaving gets no request in the meantime.
const reconcileInterval = 250 * time.Millisecond

// Pool lends this host's connections to instances. The exported fields are set
// before Run. It implements proxy.Lender.
type Pool struct {
	// Catalog gives the groups and instances.
	Catalog proxy.Catalog
	// Stage selects the addresses of the instances.
	Stage proxy.Stage
	// Zone is this host's zone; instances in it are preferred.
	Zone proxy.Zone
	// Leaders gives the primaries and acknowledges writes.
	Leaders proxy.Leaders
	Clock   proxy.Clock
	// User and Password are the system's own credentials on the instances.
	User     string
	Password string
	// Share returns this host's connections to each instance of a group.
	Share func(proxy.GroupID) int
	// Await asks the replicas of a group for their positions and returns when
	// one has answered or ctx ends. Without it a write that replicas have not
	// confirmed is not acknowledged.
	Await func(context.Context, proxy.GroupID)
	// Bound returns a log position of the group's primary that was read after
	// the call. Without it reads that need a bound go to the primary.
	Bound func(context.Context, proxy.GroupID, proxy.InstanceID) (proxy.Position, error)
	// Linger is how long a read without an age waits for a replica that is
	// about to catch up, before it goes to the primary.
	Linger time.Duration
	// Writing is called when the number of write loans of a group changes and
	// may be nil.
	Writing func(proxy.GroupID, int)
	// Observe is called after each measurement and may be nil.
	Observe func(proxy.GroupID, proxy.InstanceState)
	// Failed is called after each failed connection or measurement and may be
	// nil.
	Failed func(proxy.GroupID, proxy.InstanceID, error)
	// DialTimeout limits the opening of a connection.
	DialTimeout time.Duration
	// ProbeAfter is the time unused after which a connection is probed before
	// it is lent.
	ProbeAfter time.Duration
	// ProbeTimeout limits the round trips of the pool's own statements.
	ProbeTimeout time.Duration
	// Poll is the interval of the monitors.
	Poll time.Duration
	// MaxMeasurementAge is the age of a measurement above which a replica gets no reads.
	MaxMeasurementAge time.Duration
	// Queue limits the requests that wait for one instance.
	Queue queue.Limits

	Logger  zerolog.Logger
	Metrics metrics.Registry

	// ctx ends with Run; dials and monitors depend on it.
	ctx     context.Context
	started chan struct{}
	// unknown asks to adopt the document before the next interval, because a
	// request needs an instance that the pool does not have yet.
	unknown chan struct{}
	once    sync.Once
	tasks   sync.WaitGroup
	changes changes
	states  states
	writers writers

	mu        sync.Mutex
	instances map[key]*instance
	stopped   bool

	draining atomic.Bool
}

// key identifies an instance over all groups.
type key struct {
	group    proxy.GroupID
	instance proxy.InstanceID
}

// Run keeps the pool until ctx ends and then closes all idle connections.
// Connections that are lent are closed when they come back.
func (p *Pool) Run(ctx context.Context) {
	p.setDefaults()
	p.ctx = ctx
	p.unknown = make(chan struct{}, 1)
	p.reconcile()
	close(p.ready())
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.reconcile()
		case <-p.unknown:
			p.reconcile()
		case <-ctx.Done():
			p.stop()
			return
		}
	}
}

// Started returns a channel that is closed when Run lends connections.
func (p *Pool) Started() <-chan struct{} { return p.ready() }

func (p *Pool) ready() chan struct{} {
	p.once.Do(func() { p.started = make(chan struct{}) })
	return p.started
}

func (p *Pool) setDefaults() {
	setDefault(&p.DialTimeout, defaultDialTimeout)
	setDefault(&p.ProbeAfter, defaultProbeAfter)
	setDefault(&p.ProbeTimeout, defaultProbeTimeout)
	setDefault(&p.Poll, defaultPoll)
	setDefault(&p.MaxMeasurementAge, defaultHorizon)
	setDefault(&p.Queue.Length, defaultLength)
	setDefault(&p.Queue.Bypass, defaultBypass)
	if p.Metrics == nil {
		p.Metrics = metrics.NewRegistry()
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// stop closes the idle connections and waits for dials and monitors to end.
func (p *Pool) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	for _, i := range p.all() {
		p.retire(i)
	}
	p.tasks.Wait()
}

// spawn runs a task that stop waits for. It returns false after stop.
func (p *Pool) spawn(task func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.tasks.Go(task)
	return true
}

// violation reports a broken invariant.
func (p *Pool) violation(what string, i *instance) {
	p.count("pool.violations")
	p.log(i).Error().Msg("invariant violated: " + what)
}

// log returns the logger with the names of the instance.
func (p *Pool) log(i *instance) *zerolog.Logger {
	l := p.Logger.With().Str("group", string(i.group)).Str("instance", string(i.id)).Logger()
	return &l
}
