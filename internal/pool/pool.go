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

// Defaults of the fields of Pool.
const (
	defaultDialTimeout         = 3 * time.Second
	defaultProbeAfter          = 5 * time.Second
	defaultProbeTimeout        = time.Second
	defaultMeasurementInterval = 50 * time.Millisecond
	defaultMaxMeasurementAge   = 3 * time.Second
	defaultWaitTimeout         = 5 * time.Second
	defaultQueueLength         = 1000
	defaultQueueBypass         = 20
)

// reconcileInterval is the interval at which the pool applies the current document
// and the connection shares. Routing reads the document directly, so a leaving
// instance gets no requests in the meantime.
const reconcileInterval = 250 * time.Millisecond

// Pool manages this host's connections to instances. The exported fields are set
// before Run. It implements proxy.Acquirer.
type Pool struct {
	// Catalog provides the groups and instances.
	Catalog proxy.Catalog
	// Stage selects which addresses of the instances are used.
	Stage proxy.Stage
	// Zone is this host's availability zone. Replicas in it are preferred.
	Zone proxy.Zone
	// Leaders provides the primaries and decides whether a write may be acknowledged.
	Leaders proxy.Leaders
	Clock   proxy.Clock
	// User and Password are the proxy's credentials on the instances.
	User     string
	Password string
	// Share returns the number of connections that this host may open to each
	// instance of a group. Zero means that this host does not pool the group.
	Share func(proxy.GroupID) int
	// AwaitObservation requests the log positions of a group's instances and returns
	// when one of them has answered or ctx ends. If it is nil, the confirmation of a
	// write fails at once if the replicas have not confirmed the position yet.
	AwaitObservation func(context.Context, proxy.GroupID)
	// PrimaryPosition returns a log position of the group's primary that was read
	// after the call. If it is nil, reads that need a minimum position go to the
	// primary.
	PrimaryPosition func(context.Context, proxy.GroupID, proxy.InstanceID) (proxy.Position, error)
	// Linger is how long a read waits for a replica that is about to catch up,
	// before it goes to the primary. Zero disables the wait.
	Linger time.Duration
	// OnWriterCount is called when the number of connections acquired for writes to a
	// group changes. It may be nil.
	OnWriterCount func(proxy.GroupID, int)
	// OnMeasurement is called after each measurement of an instance. It may be nil.
	OnMeasurement func(proxy.GroupID, proxy.InstanceState)
	// OnFailure is called after each failed dial or measurement. It may be nil.
	OnFailure func(proxy.GroupID, proxy.InstanceID, error)
	// DialTimeout limits the opening of a connection.
	DialTimeout time.Duration
	// ProbeAfter is the idle time after which a connection is probed before it is
	// passed to a request.
	ProbeAfter time.Duration
	// ProbeTimeout limits a probe, a session reset, a measurement and the
	// confirmation of a write.
	ProbeTimeout time.Duration
	// MeasurementInterval is the time between two measurements of an instance.
	MeasurementInterval time.Duration
	// MaxMeasurementAge limits the age of a replica's last measurement. A replica whose
	// last measurement is older gets no reads.
	MaxMeasurementAge time.Duration
	// Queue limits the requests that wait for one instance.
	Queue queue.Limits

	Logger  zerolog.Logger
	Metrics metrics.Registry

	// ctx is the context of Run. Dials and monitors end with it.
	ctx     context.Context
	started chan struct{}
	// reconcileNow makes Run reconcile before the next interval, because a request
	// needs an instance that the pool does not have yet.
	reconcileNow chan struct{}
	once         sync.Once
	tasks        sync.WaitGroup
	changes      changes
	states       states
	writers      writers

	mu        sync.Mutex
	instances map[instanceKey]*instance
	stopped   bool

	draining atomic.Bool
}

// instanceKey identifies an instance among those of all groups.
type instanceKey struct {
	group    proxy.GroupID
	instance proxy.InstanceID
}

// Run maintains the pool until ctx ends and then closes all idle connections.
// Acquired connections are closed when they are released.
func (p *Pool) Run(ctx context.Context) {
	p.setDefaults()
	p.ctx = ctx
	p.reconcileNow = make(chan struct{}, 1)
	p.reconcile()
	close(p.startedChannel())
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.reconcile()
		case <-p.reconcileNow:
			p.reconcile()
		case <-ctx.Done():
			p.stop()
			return
		}
	}
}

// Started returns a channel that is closed once Run is ready to serve requests.
func (p *Pool) Started() <-chan struct{} { return p.startedChannel() }

func (p *Pool) startedChannel() chan struct{} {
	p.once.Do(func() { p.started = make(chan struct{}) })
	return p.started
}

func (p *Pool) setDefaults() {
	setDefault(&p.DialTimeout, defaultDialTimeout)
	setDefault(&p.ProbeAfter, defaultProbeAfter)
	setDefault(&p.ProbeTimeout, defaultProbeTimeout)
	setDefault(&p.MeasurementInterval, defaultMeasurementInterval)
	setDefault(&p.MaxMeasurementAge, defaultMaxMeasurementAge)
	setDefault(&p.Queue.Length, defaultQueueLength)
	setDefault(&p.Queue.Bypass, defaultQueueBypass)
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

// spawn runs a task in a goroutine that stop waits for. After stop it does nothing
// and returns false.
func (p *Pool) spawn(task func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return false
	}
	p.tasks.Go(task)
	return true
}

// reportViolation logs and counts a broken invariant.
func (p *Pool) reportViolation(invariant string, i *instance) {
	p.count("pool.violations")
	p.instanceLogger(i).Error().Msg("invariant violated: " + invariant)
}

// instanceLogger returns the logger with the names of the group and the instance.
func (p *Pool) instanceLogger(i *instance) *zerolog.Logger {
	logger := p.Logger.With().Str("group", string(i.group)).Str("instance", string(i.id)).Logger()
	return &logger
}
