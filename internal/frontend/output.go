package frontend

import (
	"fmt"
	"io"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// writeThreshold is the number of buffered bytes at which messages are written to the
// client, or COPY data to the instance. Large results are thus streamed as fast as
// the client reads them.
const writeThreshold = 32 << 10

// buffers pools write buffers, so that an idle session needs none.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, writeThreshold+writeThreshold/4)
	return &b
}}

// shortReply is the size in bytes up to which replies are written from a buffer of that
// size, so that a client that does not read keeps no larger one.
const shortReply = 4 << 10

var shortBuffers = sync.Pool{New: func() any { return new([shortReply]byte) }}

// output encodes and buffers messages to a client.
type output struct {
	conn   io.Writer
	buffer *[]byte
}

// send encodes a message and flushes the buffer if it has reached writeThreshold.
func (o *output) send(message pgproto3.BackendMessage) error {
	if o.buffer == nil {
		o.buffer = buffers.Get().(*[]byte)
	}
	encoded, err := message.Encode(*o.buffer)
	if err != nil {
		return fmt.Errorf("encode %T: %w", message, err)
	}
	*o.buffer = encoded
	if len(encoded) < writeThreshold {
		return nil
	}
	return o.flush()
}

// sendRaw is like send for messages that are encoded already.
func (o *output) sendRaw(encoded []byte) error {
	if len(encoded) == 0 {
		return nil
	}
	if o.buffer == nil {
		o.buffer = buffers.Get().(*[]byte)
	}
	*o.buffer = append(*o.buffer, encoded...)
	if len(*o.buffer) < writeThreshold {
		return nil
	}
	return o.flush()
}

// flush writes the buffered messages to the client and returns the buffer to the pool.
func (o *output) flush() error {
	if o.buffer == nil {
		return nil
	}
	buffer := o.buffer
	o.buffer = nil
	var err error
	if len(*buffer) <= shortReply {
		short := shortBuffers.Get().(*[shortReply]byte)
		n := copy(short[:], *buffer)
		release(buffer)
		_, err = o.conn.Write(short[:n])
		shortBuffers.Put(short)
	} else {
		_, err = o.conn.Write(*buffer)
		release(buffer)
	}
	if err != nil {
		return fmt.Errorf("write to client: %w", err)
	}
	return nil
}

// release returns a buffer to the pool, unless it is large.
func release(buffer *[]byte) {
	if cap(*buffer) <= 2*writeThreshold {
		*buffer = (*buffer)[:0]
		buffers.Put(buffer)
	}
}
