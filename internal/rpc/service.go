package rpc

import (
	"context"

	"storj.io/drpc"
)

// The paths of the RPCs.
const (
	acquireRPC = "/pool/Lend"
	pingRPC    = "/pool/Ping"
	deliverRPC = "/control/Deliver"
)

// service describes the RPCs of a Server to drpc.
type service struct{ codec *Codec }

// NumMethods implements drpc.Description.
func (s service) NumMethods() int { return 3 }

// Method implements drpc.Description.
func (s service) Method(n int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	switch n {
	case 0:
		receiver := func(srv any, _ context.Context, in1, _ any) (drpc.Message, error) {
			return nil, srv.(*Server).acquire(in1.(drpc.Stream))
		}
		return acquireRPC, s.codec, receiver, (*Server).acquire, true
	case 1:
		receiver := func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
			return srv.(*Server).ping(ctx, in1.(*empty))
		}
		return pingRPC, s.codec, receiver, (*Server).ping, true
	case 2:
		receiver := func(srv any, ctx context.Context, in1, _ any) (drpc.Message, error) {
			return srv.(*Server).deliver(ctx, in1.(*batch))
		}
		return deliverRPC, s.codec, receiver, (*Server).deliver, true
	}
	return "", nil, nil, nil, false
}

// empty is an empty message.
type empty struct{}

// Validate implements proxy.Message.
func (*empty) Validate() error { return nil }

// ping answers a peer that checks an idle connection.
func (s *Server) ping(context.Context, *empty) (*empty, error) {
	return &empty{}, nil
}
