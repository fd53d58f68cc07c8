// Package replies reads the messages of a database instance without holding long ones.
//
// A pgproto3.Frontend allocates the whole of a message before it reads it, and one row can
// have a gigabyte. A Reader below the Frontend stops it before each long message: rows and
// COPY data can then be passed on in pieces, and the memory of other messages is reserved.
package replies

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
)

const (
	headerSize = 5
	lengthSize = 4
	bufferSize = 8 << 10
	// LongSize is the size in bytes from which a message is long.
	LongSize = 32 << 10
)

// Kinds of the messages that can be passed on in pieces.
const (
	DataRow  byte = 'D'
	CopyData byte = 'd'
)

// ErrLong stops a Frontend before a row or COPY data that is long; see Reader.Long.
var ErrLong = eris.New("long message of the instance")

// ErrMemory reports a message for which no memory could be reserved.
var ErrMemory = eris.New("out of memory for a message of the instance")

// Reader passes the messages of an instance on to a Frontend. One goroutine uses it.
type Reader struct {
	source   *bufio.Reader
	bodyLeft int // of the message whose header was passed on
	// tracking is set while long messages are held back.
	tracking bool
	// reserve reserves memory in bytes for a long message that can't be passed on in pieces.
	reserve func(size int) bool
}

// NewReader returns a Reader that passes on everything until Track is called.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, bufferSize)}
}

// Track makes the Reader stop before long messages, until Untrack is called. It is called
// at a boundary of messages. reserve reserves the given number of bytes until it is called
// again.
func (r *Reader) Track(reserve func(size int) bool) {
	r.tracking, r.reserve, r.bodyLeft = true, reserve, 0
}

// Untrack makes the Reader pass on everything.
func (r *Reader) Untrack() { r.tracking, r.reserve, r.bodyLeft = false, nil, 0 }

// Buffered returns the number of bytes that have been read and not passed on.
func (r *Reader) Buffered() int { return r.source.Buffered() }

// Read implements io.Reader. It returns ErrLong, and ErrMemory, only in place of the first
// byte of a message.
func (r *Reader) Read(p []byte) (int, error) {
	if !r.tracking {
		return r.source.Read(p)
	}
	n := 0
	for n < len(p) && (n == 0 || r.source.Buffered() > 0) {
		if r.bodyLeft == 0 {
			if n > 0 && r.source.Buffered() < headerSize {
				break
			}
			if err := r.begin(n > 0); err != nil || r.bodyLeft == 0 {
				return n, err
			}
		}
		m, err := r.source.Read(p[n:min(len(p), n+r.bodyLeft)])
		n += m
		r.bodyLeft -= m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// begin begins the next message. Before a long message it only does so if nothing else is
// to be passed on first.
func (r *Reader) begin(first bool) error {
	kind, size, err := r.header()
	if err != nil {
		return err
	}
	if size >= LongSize {
		switch {
		case first:
			return nil
		case kind == DataRow || kind == CopyData:
			return ErrLong
		case !r.reserve(size):
			return fmt.Errorf("%d bytes: %w", size, ErrMemory)
		}
	}
	r.bodyLeft = headerSize + size
	return nil
}

// header returns the kind and the body's size of the next message.
func (r *Reader) header() (byte, int, error) {
	header, err := r.source.Peek(headerSize)
	if err != nil {
		return 0, 0, err
	}
	size := int(int32(binary.BigEndian.Uint32(header[1:]))) - lengthSize
	return header[0], max(size, 0), nil
}

// Long returns the kind of the message before which ErrLong was returned, and a reader of
// the whole message including its header; its N is what is left of the message.
func (r *Reader) Long() (kind byte, message *io.LimitedReader, err error) {
	kind, size, err := r.header()
	if err != nil {
		return 0, nil, fmt.Errorf("read header: %w", err)
	}
	return kind, &io.LimitedReader{R: r.source, N: int64(headerSize + size)}, nil
}
