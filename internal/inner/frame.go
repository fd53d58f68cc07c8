package inner

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// frameKind is the first byte of a frame of a loan's stream.
type frameKind byte

const (
	// dataFrame carries bytes of the PostgreSQL protocol.
	dataFrame frameKind = iota
	// askFrame carries an opening, first on the stream.
	askFrame
	// lentFrame answers askFrame with a proxy.Lent.
	lentFrame
	// refusedFrame carries a proxy.Refusal in place of any answer.
	refusedFrame
	// confirmFrame asks to confirm the loan's term.
	confirmFrame
	// confirmedFrame answers with a confirmation.
	confirmedFrame
	// cancelFrame asks to cancel the statement that runs.
	cancelFrame
	// releaseFrame carries a proxy.Return, last on the stream.
	releaseFrame
	// aliveFrame shows that the sender and the connection work.
	aliveFrame
	frameKinds
)

// chunkSize is the largest payload in bytes of a data frame that is sent.
const chunkSize = 32 << 10

// maxData is the largest accepted payload in bytes of a data frame.
const maxData = 64 << 10

// frame is one message of a loan's stream.
type frame struct {
	kind    frameKind
	payload []byte
}

// decode copies the frame from buf and reuses the payload's memory.
func (f *frame) decode(buf []byte) error {
	if len(buf) == 0 {
		return eris.New("empty frame")
	}
	kind, payload := frameKind(buf[0]), buf[1:]
	if kind >= frameKinds {
		return eris.Errorf("frame kind %d is not defined", kind)
	}
	limit := maxControl
	if kind == dataFrame {
		limit = maxData
	}
	if len(payload) > limit {
		return eris.Errorf("frame of kind %d with %d bytes: at most %d are allowed", kind, len(payload), limit)
	}
	f.kind = kind
	f.payload = append(f.payload[:0], payload...)
	return nil
}

// opening is the first message of a loan's stream.
type opening struct {
	ConnectionRequest proxy.ConnectionRequest `cbor:"1,keyasint"`
	// Client is a random number that the client drew at its start. It tells the
	// sessions of different fronts and of a front's earlier incarnations apart.
	Client uint64 `cbor:"2,keyasint"`
}

// Validate implements proxy.Message.
func (o *opening) Validate() error {
	if o.Client == 0 {
		return eris.New("opening: client is zero")
	}
	return o.ConnectionRequest.Validate()
}

// granted wraps proxy.Lent for the stream.
type granted struct {
	ConnectionInfo proxy.ConnectionInfo `cbor:"1,keyasint"`
}

// Validate implements proxy.Message.
func (g *granted) Validate() error {
	return proxy.CheckID("instance", string(g.ConnectionInfo.Instance))
}

// confirmation answers a confirm frame.
type confirmation struct {
	Bookmark proxy.Bookmark `cbor:"1,keyasint"`
	// Valid is how long the answer holds, counted by the front from before it
	// sent the request.
	Valid time.Duration `cbor:"2,keyasint"`
}

// Validate implements proxy.Message.
func (c *confirmation) Validate() error {
	if c.Valid < 0 {
		return eris.Errorf("confirmation: validity %v is negative", c.Valid)
	}
	return nil
}

// returned wraps proxy.Return for the stream.
type returned struct {
	ReleaseState proxy.ReleaseState `cbor:"1,keyasint"`
}

// Validate implements proxy.Message.
func (r *returned) Validate() error { return nil }
