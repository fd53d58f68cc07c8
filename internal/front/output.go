package front

import (
	"fmt"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"
)

// outputSize is the number of bytes after which messages are written to the
// client, so that results are streamed at the client's pace.
const outputSize = 32 << 10 // bytes

// buffers keeps buffers of sessions that are not writing. An idle session has none.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, outputSize+outputSize/4)
	return &b
}}

// output encodes messages to a client.
type output struct {
	conn   net.Conn
	buffer *[]byte
}

// send encodes a message and writes what has accumulated if it is enough.
func (o *output) send(message pgproto3.BackendMessage) error {
	if o.buffer == nil {
		o.buffer = buffers.Get().(*[]byte)
	}
	encoded, err := message.Encode(*o.buffer)
	if err != nil {
		return fmt.Errorf("encode %T: %w", message, err)
	}
	*o.buffer = encoded
	if len(encoded) < outputSize {
		return nil
	}
	return o.flush()
}

// sendRaw adds encoded messages.
func (o *output) sendRaw(encoded []byte) error {
	if len(encoded) == 0 {
		return nil
	}
	if o.buffer == nil {
		o.buffer = buffers.Get().(*[]byte)
	}
	*o.buffer = append(*o.buffer, encoded...)
	if len(*o.buffer) < outputSize {
		return nil
	}
	return o.flush()
}

// flush writes everything to the client and gives the buffer back.
func (o *output) flush() error {
	if o.buffer == nil {
		return nil
	}
	buffer := o.buffer
	o.buffer = nil
	_, err := o.conn.Write(*buffer)
	if cap(*buffer) <= 2*outputSize {
		*buffer = (*buffer)[:0]
		buffers.Put(buffer)
	}
	if err != nil {
		return fmt.Errorf("write to client: %w", err)
	}
	return nil
}
