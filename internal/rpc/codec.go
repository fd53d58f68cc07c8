package rpc

import (
	"fmt"

	"storj.io/drpc"

	"github.com/auburnyoke/auburnyoke/internal/wire"
)

// maxControlPayload is the size in bytes of the largest accepted payload of a frame
// other than a data frame.
const maxControlPayload = 16 << 10

// Codec encodes messages in CBOR, and frames as their kind and payload. It implements
// drpc.Encoding.
type Codec struct{ messages *wire.Codec }

// NewCodec returns a codec.
func NewCodec() (*Codec, error) {
	messages, err := wire.NewCodec()
	if err != nil {
		return nil, fmt.Errorf("messages: %w", err)
	}
	return &Codec{messages}, nil
}

// Marshal implements drpc.Encoding.
func (c *Codec) Marshal(msg drpc.Message) ([]byte, error) {
	return c.MarshalAppend(nil, msg)
}

// MarshalAppend appends the encoded message to buf.
func (c *Codec) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	if f, ok := msg.(*frame); ok {
		return append(append(buf, byte(f.kind)), f.payload...), nil
	}
	encoded, err := c.messages.Marshal(msg)
	if err != nil {
		return nil, err
	}
	return append(buf, encoded...), nil
}

// Unmarshal implements drpc.Encoding. It validates a message after decoding it.
func (c *Codec) Unmarshal(buf []byte, msg drpc.Message) error {
	if f, ok := msg.(*frame); ok {
		return f.decode(buf)
	}
	return c.messages.Unmarshal(buf, msg)
}
