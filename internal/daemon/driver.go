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

const (
	driverWorkers = 8
	// driverQueueSize is the largest number of store calls and message batches
	// that wait for a worker. Further ones are dropped, as if they had failed, and
	// the modules repeat them. Other effects do not wait for a worker and are never
	// dropped.
	driverQueueSize = 1024
	watchRetryDelay = 500 * time.Millisecond
	sendTimeout     = 500 * time.Millisecond
)

// Driver executes the effects that decision modules return. Calls of the store and
// messages run on a pool of workers; the results of the calls return to the module
// as events. Exported fields are set before Run.
type Driver struct {
	Clock  proxy.Clock
	Store  proxy.Store
	Random *rand.Rand
	// Send delivers messages to another host.
	Send func(ctx context.Context, to proxy.HostID, messages []proxy.Message) error
	// ExecuteModuleEffect executes an effect whose type the module's package defines.
	ExecuteModuleEffect func(ctx context.Context, effect proxy.Effect)
	Log                 zerolog.Logger

	once sync.Once
	// ctx is canceled when the context of Run ends.
	ctx     context.Context
	cancel  context.CancelFunc
	modules []scheduledModule
	tasks   chan task
	mu      sync.Mutex
	watches map[proxy.Key]context.CancelFunc
	running sync.WaitGroup
}

type scheduledModule struct {
	module   proxy.Module
	interval time.Duration
}

type task struct {
	module proxy.Module
	effect proxy.Effect
}

// batch is the effect that replaces all Send effects of one event to one host.
type batch struct {
	to       proxy.HostID
	messages []proxy.Message
}

// Add registers a module that receives a tick at each interval. It must be called
// before Run.
func (d *Driver) Add(module proxy.Module, interval time.Duration) {
	d.modules = append(d.modules, scheduledModule{module: module, interval: interval})
}

// Run sends ticks to the modules and executes effects until ctx ends.
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

// prepare creates the queue on first use, since effects of events that are
// dispatched before Run wait in it.
func (d *Driver) prepare() {
	d.once.Do(func() {
		d.ctx, d.cancel = context.WithCancel(context.Background())
		d.tasks = make(chan task, driverQueueSize)
		d.watches = make(map[proxy.Key]context.CancelFunc)
	})
}

// Broadcast dispatches an event to every module. It is used for messages, since
// only the modules know which of them handles a message type.
func (d *Driver) Broadcast(event proxy.Event) {
	for _, t := range d.modules {
		d.Dispatch(t.module, event)
	}
}

// Dispatch passes an event to one module and executes the effects, or queues them
// for a worker.
func (d *Driver) Dispatch(module proxy.Module, event proxy.Event) {
	d.prepare()
	for _, effect := range batchSends(module.Handle(d.Clock.Now(), event)) {
		switch e := effect.(type) {
		case proxy.Fetch, proxy.List, proxy.Put, *batch:
			d.enqueue(task{module: module, effect: effect})
		case proxy.Watch:
			d.watch(module, e)
		default:
			d.ExecuteModuleEffect(d.ctx, e)
		}
	}
}

// enqueue queues a store call or a batch for a worker.
func (d *Driver) enqueue(t task) {
	select {
	case d.tasks <- t:
	default:
		d.Log.Warn().Type("effect", t.effect).Msg("effect dropped: queue of the workers is full")
	}
}

// batchSends replaces all Send effects to one host by one batch.
func batchSends(effects []proxy.Effect) []proxy.Effect {
	batched := effects[:0:0]
	batches := make(map[proxy.HostID]int)
	for _, effect := range effects {
		send, ok := effect.(proxy.Send)
		if !ok {
			batched = append(batched, effect)
			continue
		}
		index, exists := batches[send.To]
		if !exists {
			index = len(batched)
			batches[send.To] = index
			batched = append(batched, &batch{to: send.To})
		}
		b := batched[index].(*batch)
		b.messages = append(b.messages, send.Message)
	}
	return batched
}

func (d *Driver) tick(ctx context.Context, t scheduledModule) {
	defer d.running.Done()
	ticker := time.NewTicker(t.interval)
	defer ticker.Stop()
	for {
		d.Dispatch(t.module, proxy.Tick{Random: d.random()})
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
		d.Dispatch(t.module, proxy.Fetched{Object: object, Sent: sent, Err: err})
	case proxy.List:
		objects, err := d.Store.List(ctx, e.Prefix)
		d.Dispatch(t.module, proxy.Listed{Prefix: e.Prefix, Objects: objects, Sent: sent, Err: err})
	case proxy.Put:
		version, err := d.Store.Put(ctx, e.Key, e.Value, e.Expected)
		d.Dispatch(t.module, proxy.Written{Key: e.Key, Version: version, Sent: sent, Err: err})
	case *batch:
		d.send(ctx, e)
	}
}

// send delivers a batch. The timeout keeps an unresponsive peer from occupying a
// worker.
func (d *Driver) send(ctx context.Context, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := d.Send(ctx, b.to, b.messages); err != nil {
		d.Log.Debug().Err(err).Str("peer", string(b.to)).Msg("control messages not delivered")
	}
}

// watch starts or stops a watch of a prefix.
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

// follow repeats the watch call and dispatches each changed object to the module.
func (d *Driver) follow(ctx context.Context, module proxy.Module, prefix proxy.Key) {
	defer d.running.Done()
	var after proxy.Version
	for ctx.Err() == nil {
		sent := d.Clock.Now()
		objects, err := d.Store.Watch(ctx, prefix, after)
		if err != nil {
			d.Log.Debug().Err(err).Str("prefix", string(prefix)).Msg("watch failed")
			timing.Sleep(ctx, watchRetryDelay)
			continue
		}
		for _, object := range objects {
			after = max(after, object.Version)
			d.Dispatch(module, proxy.Fetched{Object: object, Sent: sent})
		}
	}
}
