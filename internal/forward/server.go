package forward

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/auburnyoke/auburnyoke/internal/wire"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/budget"
)

// workingInterval is the interval at which a host reports that it is working on a
// command.
const workingInterval = 100 * time.Millisecond

// Server runs commands for other hosts. Its exported fields are set before Run.
type Server struct {
	Executor proxy.Executor
	// HoldTimeout limits the time without a command for which a connection is held for
	// another host.
	HoldTimeout time.Duration
	// Memory is the budget for commands that are being received or run, and Clock its clock;
	// nil for no limit.
	Memory *budget.Budget
	Clock  proxy.Clock
	Log    zerolog.Logger

	codec  *wire.Codec
	active atomic.Int64
}

// Active returns the number of calls of other hosts that are being served: from the receipt of
// a command until its result is sent, or until its connection is released.
func (s *Server) Active() int64 { return s.active.Load() }

// Run serves connections of the listener until ctx ends.
func (s *Server) Run(ctx context.Context, accepting net.Listener) error {
	var err error
	if s.Memory != nil {
		accepting = listener{accepting, s.Memory, s.Clock}
	}
	if s.codec, err = wire.NewCodec(); err != nil {
		return fmt.Errorf("create codec: %w", err)
	}
	mux := drpcmux.New()
	if err := mux.Register(s, description{s.codec}); err != nil {
		return fmt.Errorf("register the RPC: %w", err)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader:            drpcwire.ReaderOptions{MaximumBufferSize: wire.MaxMessageSize},
			Stream:            drpcstream.Options{MaximumBufferSize: maxReused},
			InactivityTimeout: unusedTimeout,
		},
		Log: func(err error) { s.Log.Debug().Err(err).Msg("connection of another host ended") },
	})
	if err := server.Serve(ctx, accepting); err != nil {
		return fmt.Errorf("serve other hosts: %w", err)
	}
	return nil
}

// description describes the RPC of a Server to drpc.
type description struct{ codec *wire.Codec }

// NumMethods implements drpc.Description.
func (description) NumMethods() int { return 1 }

// Method implements drpc.Description.
func (d description) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	if n != 0 {
		return "", nil, nil, nil, false
	}
	receiver := func(server any, _ context.Context, in1, _ any) (drpc.Message, error) {
		return nil, server.(*Server).serve(in1.(drpc.Stream))
	}
	return executePath, d.codec, receiver, (*Server).serve, true
}

// serve runs the commands of one stream.
func (s *Server) serve(stream drpc.Stream) error {
	var first command
	if err := stream.MsgRecv(&first, s.codec); err != nil {
		return fmt.Errorf("receive command: %w", err)
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	memory := memoryOf(stream)
	memory.begin()
	defer memory.complete()
	if first.Execution == nil {
		return eris.New("release without a held connection")
	}
	var held proxy.HeldConnection
	executed, err := s.work(stream, func() (executed proxy.Executed) {
		executed, held = s.Executor.Execute(stream.Context(), *first.Execution)
		return executed
	})
	if err == nil {
		if held == nil && !first.Execution.Writes {
			limitReply(memory, executed)
		}
		err = s.send(stream, &reply{Executed: executed, Held: held != nil})
	}
	memory.complete()
	if held == nil {
		return err
	}
	if err != nil {
		held.Release()
		return err
	}
	return s.serveHeld(stream, held)
}

// serveHeld runs further commands on a held connection until it is released.
func (s *Server) serveHeld(stream drpc.Stream, held proxy.HeldConnection) error {
	idle := time.AfterFunc(s.HoldTimeout, func() {
		// Closing the stream ends the wait for a command.
		_ = stream.Close()
	})
	defer idle.Stop()
	for {
		var next command
		err := stream.MsgRecv(&next, s.codec)
		idle.Stop()
		if err != nil || next.Execution == nil {
			held.Release()
			return nil
		}
		memory := memoryOf(stream)
		memory.begin()
		released := false
		executed, err := s.work(stream, func() (executed proxy.Executed) {
			executed, released = held.Execute(stream.Context(), *next.Execution)
			return executed
		})
		if err == nil {
			err = s.send(stream, &reply{Executed: executed, Held: !released})
		}
		memory.complete()
		if released {
			return err
		}
		if err != nil {
			held.Release()
			return err
		}
		idle.Reset(s.HoldTimeout)
	}
}

// work calls execute and reports meanwhile that the host is working. It returns after
// execute, also if the stream has ended.
func (s *Server) work(stream drpc.Stream, execute func() proxy.Executed) (*proxy.Executed, error) {
	done := make(chan proxy.Executed, 1)
	go func() { done <- execute() }()
	ticker := time.NewTicker(workingInterval)
	defer ticker.Stop()
	var sendErr error
	for {
		select {
		case executed := <-done:
			return &executed, sendErr
		case <-ticker.C:
			if sendErr == nil {
				sendErr = s.send(stream, &reply{})
			}
		}
	}
}

// connMemory accounts for the memory of a connection.
type connMemory interface {
	begin()
	reserve(*proxy.Answer) bool
	complete()
}

// unaccounted is the memory of a connection without a limit.
type unaccounted struct{}

func (unaccounted) begin()                     {}
func (unaccounted) reserve(*proxy.Answer) bool { return true }
func (unaccounted) complete()                  {}

func memoryOf(stream drpc.Stream) connMemory {
	if transport, ok := drpcctx.Transport(stream.Context()); ok {
		if c, ok := transport.(*serverConn); ok {
			return c
		}
	}
	return unaccounted{}
}

// limitReply refuses a read if there is no memory for its answer. A read has no effects.
func limitReply(memory connMemory, executed *proxy.Executed) {
	if executed.Answer == nil || len(executed.Answer.Rows) == 0 || memory.reserve(executed.Answer) {
		return
	}
	executed.Answer = nil
	executed.Refusal = &proxy.NotExecuted{Cause: proxy.Crowded, Failure: proxy.Failure{
		Code: proxy.Busy, Text: "host has no memory for the answer", RetryAfter: disconnectedRetry,
	}}
}

func (s *Server) send(stream drpc.Stream, r *reply) error {
	if err := stream.MsgSend(r, s.codec); err != nil {
		return fmt.Errorf("send reply: %w", err)
	}
	return nil
}
