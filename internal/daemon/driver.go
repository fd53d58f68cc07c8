package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/timing"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Sizes of a Driver.
const (
	driverWorkers = 8
	// driverBacklog bounds the calls and messages that wait for a worker.
	// Beyond it they are dropped, as if they had failed; modules repeat them.
	// Other effects do not wait for a worker and are never dropped.
	driverBacklog = 1024
	watchPause    = 500 * time.Millisecond
	sendTimeout   = 500 * time.Millisecond
)

// Driver carries out the effects of decision modules on a pool of workers and
// returns the results to the module as events. Exported fields are set before
// Run.
type Driver struct {
	Clock  proxy.Clock
	Store  proxy.Store
	Random *rand.Rand
	// Send delivers messages to another host.
	Send func(ctx context.Context, to proxy.HostID, messages []proxy.Message) error
	// Own carries out the effects of a module's own package.
	Own func(ctx context.Context, effect proxy.Effect)
	Log zerolog.Logger

	once sync.Once
	// ctx ends with Run.
	ctx     context.Context
	cancel  context.CancelFunc
	modules []scheduled
	tasks   chan task
	mu      sync.Mutex
	watches map[proxy.Key]context.CancelFunc
	running sync.WaitGroup
}

type scheduled struct {
	module   proxy.Module
	interval time.Duration
}

type task struct {
	module proxy.Module
	effect proxy.Effect
}

// batch is the effect that replaces the messages which one event caused to one
// host.
type batch struct {
	to       proxy.HostID
	messages []proxy.Message
}

// Add registers a module that gets a tick at each interval. It is called before
// Run.
func (d *Driver) Add(module proxy.Module, interval time.Duration) {
	d.modules = append(d.modules, scheduled{module: module, interval: interval})
}

// Run drives the modules until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	d.prepare()
	stop := context.AfterFunc(ctx, d.cancel)
	defer stop()
	for range driverWorkers {
		d.running.Add(1)
		go d.work(ctx)
	}
	for _, t := range d.modules {
		d.running.Add(1)
		go d.tick(ctx, t)
	}
	<-ctx.Done()
	d.running.Wait()
}

// prepare makes the queue, in which effects of events before Run wait.
func (d *Driver) prepare() {
	d.once.Do(func() {
		d.ctx, d.cancel = context.WithCancel(context.Background())
		d.tasks = make(chan task, driverBacklog)
		d.watches = make(map[proxy.Key]context.CancelFunc)
	})
}

// Post hands an event to every module; it serves messages, whose module only
// the modules know.
func (d *Driver) Post(event proxy.Event) {
	for _, t := range d.modules {
		d.Tell(t.module, event)
	}
}

// Tell hands an event to one module and has its effects carried out.
func (d *Driver) Tell(module proxy.Module, event proxy.Event) {
	d.prepare()
	for _, effect := range gather(module.Handle(d.Clock.Now(), event)) {
		switch e := effect.(type) {
		case proxy.Fetch, proxy.List, proxy.Put, *batch:
			d.enqueue(task{module: module, effect: effect})
		case proxy.Watch:
			d.watch(module, e)
		default:
			d.Own(d.ctx, e)
		}
	}
}

// enqueue gives a call or message to a worker.
func (d *Driver) enqueue(t task) {
	select {
	case d.tasks <- t:
	default:
		d.Log.Warn().Type("effect", t.effect).Msg("effect dropped: too many wait for a worker")
	}
}

// gather puts all messages to one host into one batch.
func gather(effects []proxy.Effect) []proxy.Effect {
	gathered := effects[:0:0]
	batches := make(map[proxy.HostID]int)
	for _, effect := range effects {
		send, ok := effect.(proxy.Send)
		if !ok {
			gathered = append(gathered, effect)
			continue
		}
		at, found := batches[send.To]
		if !found {
			at = len(gathered)
			batches[send.To] = at
			gathered = append(gathered, &batch{to: send.To})
		}
		b := gathered[at].(*batch)
		b.messages = append(b.messages, send.Message)
	}
	return gathered
}

func (d *Driver) tick(ctx context.Context, t scheduled) {
	defer d.running.Done()
	ticker := time.NewTicker(t.interval)
	defer ticker.Stop()
	for {
		d.Tell(t.module, proxy.Tick{Random: d.random()})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Driver) random() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Random.Uint64()
}

func (d *Driver) work(ctx context.Context) {
	defer d.running.Done()
	for {
		select {
		case t := <-d.tasks:
			d.execute(ctx, t)
		case <-ctx.Done():
			return
		}
	}
}

func (d *Driver) execute(ctx context.Context, t task) {
	sent := d.Clock.Now()
	switch e := t.effect.(type) {
	case proxy.Fetch:
		object, err := d.Store.Get(ctx, e.Key)
		object.Key = e.Key
		d.Tell(t.module, proxy.Fetched{Object: object, Sent: sent, Err: err})
	case proxy.List:
		objects, err := d.Store.List(ctx, e.Prefix)
		d.Tell(t.module, proxy.Listed{Prefix: e.Prefix, Objects: objects, Sent: sent, Err: err})
	case proxy.Put:
		version, err := d.Store.Put(ctx, e.Key, e.Value, e.Expected)
		d.Tell(t.module, proxy.Written{Key: e.Key, Version: version, Sent: sent, Err: err})
	case *batch:
		d.send(ctx, e)
	}
}

// send delivers a batch. A peer that does not answer must not hold a worker.
func (d *Driver) send(ctx context.Context, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := d.Send(ctx, b.to, b.messages); err != nil {
		d.Log.Debug().Err(err).Str("peer", string(b.to)).Msg("control messages not delivered")
	}
}

// watch starts or stops following a prefix.
func (d *Driver) watch(module proxy.Module, e proxy.Watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stop, following := d.watches[e.Prefix]
	if e.Stop {
		if following {
			stop()
			delete(d.watches, e.Prefix)
		}
		return
	}
	if following || d.ctx.Err() != nil {
		return
	}
	watchCtx, cancel := context.WithCancel(d.ctx)
	d.watches[e.Prefix] = cancel
	d.running.Add(1)
	go d.follow(watchCtx, module, e.Prefix)
}

// follow repeats a watch and hands each changed object to the module.
func (d *Driver) follow(ctx context.Context, module proxy.Module, prefix proxy.Key) {
	defer d.running.Done()
	var after proxy.Version
	for ctx.Err() == nil {
		sent := d.Clock.Now()
		objects, err := d.Store.Watch(ctx, prefix, after)
		if err != nil {
			d.Log.Debug().Err(err).Str("prefix", string(prefix)).Msg("watch failed")
			timing.Sleep(ctx, watchPause)
			continue
		}
		for _, object := range objects {
			after = max(after, object.Version)
			d.Tell(module, proxy.Fetched{Object: object, Sent: sent})
		}
	}
}
