package rpc

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// frameKind is the first byte of a frame.
type frameKind byte

const (
	// dataFrame carries bytes of the PostgreSQL protocol.
	dataFrame frameKind = iota
	// requestFrame carries an opening. It is the first frame on the stream.
	requestFrame
	// acquiredFrame answers requestFrame. It carries a granted message.
	acquiredFrame
	// refusedFrame carries a proxy.Refusal. It may replace any other answer.
	refusedFrame
	// confirmFrame requests a confirmation of the writes on the acquired connection.
	confirmFrame
	// confirmedFrame answers confirmFrame. It carries a confirmation.
	confirmedFrame
	// cancelFrame requests the cancellation of the running statement.
	cancelFrame
	// releaseFrame carries a returned message. It is the last frame on the stream.
	releaseFrame
	// keepAliveFrame shows that the sender and the connection work.
	keepAliveFrame
	// frameKindCount is the number of kinds.
	frameKindCount
)

// dataChunkSize is the size in bytes of the largest payload of a sent data frame.
const dataChunkSize = 32 << 10

// maxDataPayload is the size in bytes of the largest accepted payload of a data frame.
const maxDataPayload = 64 << 10

// frame is one message of the stream over which a connection is acquired and used.
type frame struct {
	kind    frameKind
	payload []byte
}

// decode copies the frame from buf and reuses the memory of the previous payload.
func (f *frame) decode(buf []byte) error {
	if len(buf) == 0 {
		return eris.New("empty frame")
	}
	kind, payload := frameKind(buf[0]), buf[1:]
	if kind >= frameKindCount {
		return eris.Errorf("frame kind %d is not defined", kind)
	}
	limit := maxControlPayload
	if kind == dataFrame {
		limit = maxDataPayload
	}
	if len(payload) > limit {
		return eris.Errorf("frame of kind %d with %d bytes: at most %d are allowed", kind, len(payload), limit)
	}
	f.kind = kind
	f.payload = append(f.payload[:0], payload...)
	return nil
}

// opening is the content of requestFrame.
type opening struct {
	ConnectionRequest proxy.ConnectionRequest `cbor:"1,keyasint"`
	// Client is the Nonce of the requesting host. It distinguishes the sessions of
	// different hosts and of earlier incarnations of a host.
	Client uint64 `cbor:"2,keyasint"`
}

// Validate implements proxy.Message.
func (o *opening) Validate() error {
	if o.Client == 0 {
		return eris.New("opening: client is zero")
	}
	return o.ConnectionRequest.Validate()
}

// granted is the content of acquiredFrame.
type granted struct {
	ConnectionInfo proxy.ConnectionInfo `cbor:"1,keyasint"`
}

// Validate implements proxy.Message.
func (g *granted) Validate() error {
	return proxy.CheckID("instance", string(g.ConnectionInfo.Instance))
}

// confirmation is the content of confirmedFrame.
type confirmation struct {
	Bookmark proxy.Bookmark `cbor:"1,keyasint"`
	// Valid is the validity period of the confirmation. The requesting host counts it
	// from before it sent confirmFrame.
	Valid time.Duration `cbor:"2,keyasint"`
}

// Validate implements proxy.Message.
func (c *confirmation) Validate() error {
	if c.Valid < 0 {
		return eris.Errorf("confirmation: validity %v is negative", c.Valid)
	}
	return nil
}

// returned is the content of releaseFrame.
type returned struct {
	ReleaseState proxy.ReleaseState `cbor:"1,keyasint"`
}

// Validate implements proxy.Message.
func (r *returned) Validate() error { return nil }
