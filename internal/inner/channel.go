package inner

import (
	"fmt"

	"storj.io/drpc"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// channel sends and receives the frames of a loan's stream.
type channel struct {
	stream drpc.Stream
	codec  *Codec
}

// send encodes message, which may be nil, into a frame of the kind.
func (c channel) send(kind frameKind, message any) error {
	f := frame{kind: kind}
	if message != nil {
		payload, err := c.codec.Marshal(message)
		if err != nil {
			return err
		}
		f.payload = payload
	}
	return c.sendFrame(&f)
}

func (c channel) sendFrame(f *frame) error {
	if err := c.stream.MsgSend(f, c.codec); err != nil {
		return fmt.Errorf("send frame: %w", err)
	}
	return nil
}

// receive reads the next frame that is not a keep-alive frame.
func (c channel) receive(f *frame) error {
	for {
		if err := c.stream.MsgRecv(f, c.codec); err != nil {
			return fmt.Errorf("receive frame: %w", err)
		}
		if f.kind != aliveFrame {
			return nil
		}
	}
}

// refuse sends the refusal in err's chain.
func (c channel) refuse(err error) error {
	return c.send(refusedFrame, proxy.AsRefusal(err))
}

// refusal decodes a refused frame.
func (c channel) refusal(f *frame) error {
	var r proxy.Refusal
	if err := c.codec.Unmarshal(f.payload, &r); err != nil {
		return err
	}
	return &r
}
