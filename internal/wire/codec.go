// Package wire encodes the messages between hosts in CBOR.
package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// MaxMessageSize is the size in bytes of the largest accepted encoded message. A batch
	// may contain a document of the platform's largest size and other messages of the same
	// total size.
	MaxMessageSize = 2 * proxy.MaxObjectSize
	// maxNesting is the deepest accepted nesting of a message.
	maxNesting = 16
	// maxElements is the largest accepted number of elements of one array or map.
	maxElements = 1 << 16
)

// Codec encodes messages, and checks them after decoding. It implements drpc.Encoding.
type Codec struct {
	encode cbor.EncMode
	decode cbor.DecMode
}

// NewCodec returns a codec.
func NewCodec() (*Codec, error) {
	encode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("encoding options: %w", err)
	}
	decode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		// Texts of clients are passed on as they are.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("decoding options: %w", err)
	}
	return &Codec{encode: encode, decode: decode}, nil
}

// Marshal implements drpc.Encoding.
func (c *Codec) Marshal(msg drpc.Message) ([]byte, error) {
	encoded, err := c.encode.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", msg, err)
	}
	return encoded, nil
}

// Unmarshal implements drpc.Encoding. It validates a message after decoding it.
func (c *Codec) Unmarshal(buf []byte, msg drpc.Message) error {
	if len(buf) > MaxMessageSize {
		return eris.Errorf("message of %d bytes: at most %d are allowed", len(buf), MaxMessageSize)
	}
	if err := c.decode.Unmarshal(buf, msg); err != nil {
		return fmt.Errorf("decode %T: %w", msg, err)
	}
	validated, ok := msg.(proxy.Message)
	if !ok {
		return eris.Errorf("decode %T: the type has no Validate method", msg)
	}
	if err := validated.Validate(); err != nil {
		return fmt.Errorf("decode %T: %w", msg, err)
	}
	return nil
}
