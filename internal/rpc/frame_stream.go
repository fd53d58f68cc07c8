package rpc

import (
	"fmt"

	"storj.io/drpc"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// frameStream sends and receives the frames of a stream.
type frameStream struct {
	stream drpc.Stream
	codec  *Codec
}

// send sends a frame of the kind with the encoded message. The message may be nil.
func (s frameStream) send(kind frameKind, message any) error {
	f := frame{kind: kind}
	if message != nil {
		payload, err := s.codec.Marshal(message)
		if err != nil {
			return err
		}
		f.payload = payload
	}
	return s.sendFrame(&f)
}

func (s frameStream) sendFrame(f *frame) error {
	if err := s.stream.MsgSend(f, s.codec); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	return nil
}

// receive reads the next frame, skipping keep-alive frames.
func (s frameStream) receive(f *frame) error {
	for {
		if err := s.stream.MsgRecv(f, s.codec); err != nil {
			return fmt.Errorf("receive frame: %w", err)
		}
		if f.kind != keepAliveFrame {
			return nil
		}
	}
}

// refuse sends the refusal in err's chain.
func (s frameStream) refuse(err error) error {
	return s.send(refusedFrame, proxy.AsRefusal(err))
}

// refusal returns the refusal in a refusedFrame as an error.
func (s frameStream) refusal(f *frame) error {
	var r proxy.Refusal
	if err := s.codec.Unmarshal(f.payload, &r); err != nil {
		return err
	}
	return &r
}
