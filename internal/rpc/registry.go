package rpc

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// MessageKind is the number that identifies a type of control message in the protocol. A
// number is never reused for another type.
type MessageKind uint16

// Registry maps the types of control messages to their kinds. All types must be
// registered before the registry is used.
type Registry struct {
	kinds map[reflect.Type]MessageKind
	types map[MessageKind]reflect.Type
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{kinds: make(map[reflect.Type]MessageKind), types: make(map[MessageKind]reflect.Type)}
}

// Register assigns kind to the type of message, which must be a pointer to a struct. It
// returns an error if the kind or the type is already registered.
func (r *Registry) Register(kind MessageKind, message proxy.Message) error {
	t := reflect.TypeOf(message)
	if t == nil || t.Kind() != reflect.Pointer || t.Elem().Kind() != reflect.Struct {
		return eris.Errorf("message type %v: want a pointer to a struct", t)
	}
	if old, taken := r.types[kind]; taken {
		return eris.Errorf("message kind %d is taken by %v", kind, old)
	}
	if old, taken := r.kinds[t]; taken {
		return eris.Errorf("message type %v has kind %d", t, old)
	}
	r.types[kind] = t
	r.kinds[t] = kind
	return nil
}

// encodedMessage is an encoded control message with its kind.
type encodedMessage struct {
	Kind MessageKind     `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// encode encodes a message.
func (r *Registry) encode(c *Codec, message proxy.Message) (encodedMessage, error) {
	kind, ok := r.kinds[reflect.TypeOf(message)]
	if !ok {
		return encodedMessage{}, eris.Errorf("message type %T is not registered", message)
	}
	body, err := c.Marshal(message)
	if err != nil {
		return encodedMessage{}, err
	}
	return encodedMessage{kind, body}, nil
}

// decode decodes and validates a message.
func (r *Registry) decode(c *Codec, encoded encodedMessage) (proxy.Message, error) {
	t, ok := r.types[encoded.Kind]
	if !ok {
		return nil, eris.Errorf("message kind %d is not registered", encoded.Kind)
	}
	message := reflect.New(t.Elem()).Interface().(proxy.Message)
	if err := c.Unmarshal(encoded.Body, message); err != nil {
		return nil, fmt.Errorf("message kind %d: %w", encoded.Kind, err)
	}
	return message, nil
}
