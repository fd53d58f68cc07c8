package daemon_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/daemon"
	emulator "github.com/auburnyoke/auburnyoke/internal/emulator/platform"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// scriptedModule is a module that writes an object on a begin event, reads it back
// and sends messages to two peers.
type scriptedModule struct {
	mu     sync.Mutex
	events []proxy.Event
	done   chan struct{}
}

type begin struct{}

func (s *scriptedModule) Handle(_ proxy.Instant, event proxy.Event) []proxy.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e := event.(type) {
	case begin:
		return []proxy.Effect{proxy.Put{Key: "a", Value: []byte("one")}}
	case proxy.Written:
		s.events = append(s.events, e)
		return []proxy.Effect{proxy.Fetch{Key: "a"}}
	case proxy.Fetched:
		s.events = append(s.events, e)
		return []proxy.Effect{
			proxy.Send{To: "x"}, proxy.Send{To: "y"}, proxy.Send{To: "x"}, moduleEffect{},
		}
	}
	return nil
}

type moduleEffect struct{}

// Guards against results of effects that do not return to the module, events
// before Run that are lost, and messages to one host that are not batched.
func TestDriverExecutesEffects(t *testing.T) {
	is := is.New(t)
	s := &scriptedModule{done: make(chan struct{})}
	var mu sync.Mutex
	sent := map[proxy.HostID][]int{}
	driver := &daemon.Driver{
		Clock: daemon.NewClock(), Store: emulator.NewMemory(), Random: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
		Send: func(_ context.Context, to proxy.HostID, messages []proxy.Message) error {
			mu.Lock()
			defer mu.Unlock()
			sent[to] = append(sent[to], len(messages))
			if len(sent) == 2 {
				close(s.done)
			}
			return nil
		},
		ExecuteModuleEffect: func(context.Context, proxy.Effect) {},
	}
	driver.Add(s, time.Hour)
	driver.Broadcast(begin{})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		driver.Run(ctx)
		close(ended)
	}()
	<-s.done
	stop()
	<-ended
	is.Equal(sent, map[proxy.HostID][]int{"x": {2}, "y": {1}})
	is.Equal(len(s.events), 2)
	fetched := s.events[1].(proxy.Fetched)
	is.NoErr(fetched.Err)
	is.Equal(string(fetched.Object.Value), "one")
	is.True(fetched.Sent != 0)
}
