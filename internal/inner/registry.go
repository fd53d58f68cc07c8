package inner

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// MessageKind is the number of a type of control message on the wire. It is
// never used for another type.
type MessageKind uint16

// Registry assigns kinds to the types of control messages. All types are
// registered before the registry is used.
type Registry struct {
	kinds map[reflect.Type]MessageKind
	types map[MessageKind]reflect.Type
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{kinds: make(map[reflect.Type]MessageKind), types: make(map[MessageKind]reflect.Type)}
}

// Register assigns kind to the type of message, which must be a pointer to a
// struct. It returns an error where the kind or the type is taken.
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

// parcel is a control message with its kind.
type parcel struct {
	Kind MessageKind     `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// pack encodes a message.
func (r *Registry) pack(c *Codec, message proxy.Message) (parcel, error) {
	kind, ok := r.kinds[reflect.TypeOf(message)]
	if !ok {
		return parcel{}, eris.Errorf("message type %T is not registered", message)
	}
	body, err := c.Marshal(message)
	if err != nil {
		return parcel{}, err
	}
	return parcel{kind, body}, nil
}

// unpack decodes and validates a message.
func (r *Registry) unpack(c *Codec, p parcel) (proxy.Message, error) {
	t, ok := r.types[p.Kind]
	if !ok {
		return nil, eris.Errorf("message kind %d is not registered", p.Kind)
	}
	message := reflect.New(t.Elem()).Interface().(proxy.Message)
	if err := c.Unmarshal(p.Body, message); err != nil {
		return nil, fmt.Errorf("message kind %d: %w", p.Kind, err)
	}
	return message, nil
}
