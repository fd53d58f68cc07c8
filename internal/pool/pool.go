package pool

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Defaults of the settable times.
const (
	defaultDialTimeout  = 3 * time.Second
	defaultProbeAfter   = 5 * time.Second
	defaultProbeTimeout = time.Second
	defaultPoll         = 100 * time.Millisecond
	defaultPatience     = 5 * time.Second
)

// Pool lends this host's connections to instances. The exported fields are set
// before Run. It implements proxy.Lender.
type Pool struct {
	// Catalog gives the groups and instances.
	Catalog proxy.Catalog
	// Stage selects the addresses of the instances.
	Stage proxy.Stage
	// Leaders gives the primaries and acknowledges writes.
	Leaders proxy.Leaders
	Clock   proxy.Clock
	// User and Password are the system's own credentials on the instances.
	User     string
	Password string
	// Share returns this host's connections to each instance of a group.
	Share func(proxy.GroupID) int
	// DialTimeout limits the opening of a connection.
	DialTimeout time.Duration
	// ProbeAfter is the time unused after which a connection is probed before
	// it is lent.
	ProbeAfter time.Duration
	// ProbeTimeout limits the round trips of the pool's own statements.
	ProbeTimeout time.Duration
	// Poll is the interval of the monitors.
	Poll time.Duration
	// Validity is how long an acknowledgement holds, counted from before the
	// call of Confirm. It leaves a remote caller time to use the answer.
	Validity time.Duration

	Logger  zerolog.Logger
	Metrics metrics.Registry

	// ctx ends with Run; dials and monitors depend on it.
	ctx     context.Context
	started chan struct{}
	once    sync.Once
	tasks   sync.WaitGroup

	mu        sync.Mutex
	document  *proxy.Document
	revision  proxy.Revision
	instances map[key]*instance
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
	p.reconcile()
	close(p.ready())
	ticker := time.NewTicker(p.Poll)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.reconcile()
		case <-ctx.Done():
			p.stop()
			return
		}
	}
}

// Started returns a channel that is closed when Run has adopted a document.
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
	if p.Metrics == nil {
		p.Metrics = metrics.NewRegistry()
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// stop closes the idle connections and waits for dials and monitors to end.
func (p *Pool) stop() {
	for _, i := range p.all() {
		p.retire(i)
	}
	p.tasks.Wait()
}

// violation reports a broken invariant.
func (p *Pool) violation(what string, i *instance) {
	metrics.GetOrRegisterCounter("pool.violations", p.Metrics).Inc(1)
	p.Logger.Error().Str("group", string(i.group)).Str("instance", string(i.id)).Msg("invariant violated: " + what)
}
