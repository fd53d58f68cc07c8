package inner

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

// defaultAlive is the default interval of the keep-alive frames.
const defaultAlive = time.Second

// defaultValidity is the default validity of a confirmation.
const defaultValidity = 200 * time.Millisecond

// silences is the number of intervals without any byte after which a peer
// connection is closed.
const silences = 3

// Server lends this host's connections to other hosts. The exported fields are
// set before Run.
type Server struct {
	// Acquirer lends this host's connections. Its loans implement Loan.
	Acquirer proxy.Acquirer
	Codec    *Codec
	// Registry knows the control messages and Deliver accepts them; both are nil
	// where there are none.
	Registry *Registry
	Deliver  func(proxy.Received)
	// TLS authenticates the peers; nil serves without TLS.
	TLS *tls.Config
	// KeepAlive is the interval of the keep-alive frames, the same on all hosts.
	KeepAlive time.Duration
	// Validity is how long a confirmation holds, counted by the front from
	// before its request. It covers a round trip between zones and the time to
	// write the client's answer.
	Validity time.Duration
	Logger   zerolog.Logger
	Metrics  metrics.Registry

	buffers sync.Pool
}

// Run serves connections of the listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	if s.KeepAlive <= 0 {
		s.KeepAlive = defaultAlive
	}
	if s.Validity <= 0 {
		s.Validity = defaultValidity
	}
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	s.buffers.New = func() any { return new([chunkSize]byte) }
	mux := drpcmux.New()
	if err := mux.Register(s, service{s.Codec}); err != nil {
		return fmt.Errorf("register the rpcs: %w", err)
	}
	listener = watchedListener{listener, silences * s.KeepAlive}
	if s.TLS != nil {
		listener = tls.NewListener(listener, s.TLS)
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

// lend serves one loan.
func (s *Server) lend(stream drpc.Stream) error {
	c := channel{stream, s.Codec}
	var f frame
	if err := c.receive(&f); err != nil {
		return err
	}
	if f.kind != askFrame {
		return c.refuse(proxy.Refuse(proxy.ProtocolViolation, "frame of kind %d before the ask", f.kind))
	}
	var o opening
	if err := s.Codec.Unmarshal(f.payload, &o); err != nil {
		return c.refuse(proxy.Refuse(proxy.ProtocolViolation, "%v", err))
	}
	signs := startAlive(c, s.KeepAlive)
	defer signs.stop()
	loan, err := s.Acquirer.Acquire(stream.Context(), o.qualified())
	if err != nil {
		return c.refuse(err)
	}
	return s.relay(c, loan)
}

// qualified returns the ask with a session that is unique over all fronts.
func (o *opening) qualified() proxy.ConnectionRequest {
	ask := o.ConnectionRequest
	if ask.Session == 0 {
		return ask
	}
	b := binary.BigEndian.AppendUint64(nil, o.Client)
	b = binary.BigEndian.AppendUint64(b, ask.Session)
	ask.Session = max(1, xxhash.Sum64(b))
	return ask
}

func (s *Server) relay(c channel, lent proxy.AcquiredConnection) error {
	loan, ok := lent.(AcquiredConnection)
	if !ok {
		lent.Release(proxy.ReleaseState{})
		return c.refuse(proxy.Refuse(proxy.InternalInconsistency, "the loan gives no access to its connection"))
	}
	if err := c.send(lentFrame, &granted{loan.ConnectionInfo()}); err != nil {
		loan.Release(proxy.ReleaseState{})
		return err
	}
	return newRelay(c, loan, s.Validity, &s.buffers).run()
}
