package rpc

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// defaultKeepAlive is the default interval of the keep-alive frames.
const defaultKeepAlive = time.Second

// defaultConfirmationValidity is the default validity of a confirmation.
const defaultConfirmationValidity = 200 * time.Millisecond

// maxMissedKeepAlives is the number of keep-alive intervals without any received byte
// after which a peer connection is closed.
const maxMissedKeepAlives = 3

// Server lets other hosts acquire connections of this host's pool and receives their
// control messages. The exported fields are set before Run.
type Server struct {
	// Acquirer is this host's pool. The connections acquired from it must implement
	// AcquiredConnection.
	Acquirer proxy.Acquirer
	Codec    *Codec
	// Registry contains the types of the control messages, and Deliver is called with each
	// received one. Both are nil if this host accepts no control messages.
	Registry *Registry
	Deliver  func(proxy.Received)
	// TLS authenticates the peers; nil serves without TLS.
	TLS *tls.Config
	// KeepAlive is the interval of the keep-alive frames. It is the same on all hosts.
	KeepAlive time.Duration
	// Validity is the validity period of a confirmation, which the requesting host counts
	// from before its request. It covers a round trip between zones and the time to write
	// the answer to the client.
	Validity time.Duration
	Logger   zerolog.Logger
	Metrics  metrics.Registry

	buffers sync.Pool
}

// Run serves connections of the listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	if s.KeepAlive <= 0 {
		s.KeepAlive = defaultKeepAlive
	}
	if s.Validity <= 0 {
		s.Validity = defaultConfirmationValidity
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	s.buffers.New = func() any { return new([dataChunkSize]byte) }
	mux := drpcmux.New()
	if err := mux.Register(s, service{s.Codec}); err != nil {
		return fmt.Errorf("register the RPCs: %w", err)
	}
	listener = timeoutListener{listener, maxMissedKeepAlives * s.KeepAlive}
	if s.TLS != nil {
		evicted := metrics.GetOrRegisterCounter("inner.unauthenticated.ended", s.Metrics)
		listener = newAuthenticatingListener(listener, s.TLS, maxMissedKeepAlives*s.KeepAlive, func() { evicted.Inc(1) })
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Log: s.log})
	if err := server.Serve(ctx, listener); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}

func (s *Server) log(err error) {
	s.Logger.Debug().Err(err).Msg("peer connection ended")
}

// acquire serves the stream over which a peer acquires and uses one connection.
func (s *Server) acquire(stream drpc.Stream) error {
	frames := frameStream{stream, s.Codec}
	var f frame
	if err := frames.receive(&f); err != nil {
		return err
	}
	if f.kind != requestFrame {
		return frames.refuse(proxy.Refuse(proxy.ProtocolViolation, "frame of kind %d before the ask", f.kind))
	}
	var o opening
	if err := s.Codec.Unmarshal(f.payload, &o); err != nil {
		return frames.refuse(proxy.Refuse(proxy.ProtocolViolation, "%v", err))
	}
	keepAlive := startKeepAlive(frames, s.KeepAlive)
	defer keepAlive.stop()
	acquired, err := s.Acquirer.Acquire(stream.Context(), o.qualifiedRequest())
	if err != nil {
		return frames.refuse(err)
	}
	return s.forward(frames, acquired)
}

// qualifiedRequest returns the request with a session number that is unique among the
// sessions of all hosts, except for hash collisions.
func (o *opening) qualifiedRequest() proxy.ConnectionRequest {
	request := o.ConnectionRequest
	if request.Session == 0 {
		return request
	}
	b := binary.BigEndian.AppendUint64(nil, o.Client)
	b = binary.BigEndian.AppendUint64(b, request.Session)
	request.Session = max(1, xxhash.Sum64(b))
	return request
}

func (s *Server) forward(frames frameStream, acquired proxy.AcquiredConnection) error {
	forwardable, ok := acquired.(AcquiredConnection)
	if !ok {
		acquired.Release(proxy.ReleaseState{})
		return frames.refuse(proxy.Refuse(proxy.InternalInconsistency, "the loan gives no access to its connection"))
	}
	if err := frames.send(acquiredFrame, &granted{forwardable.ConnectionInfo()}); err != nil {
		forwardable.Release(proxy.ReleaseState{})
		return err
	}
	return newRelay(frames, forwardable, s.Validity, &s.buffers).run()
}
