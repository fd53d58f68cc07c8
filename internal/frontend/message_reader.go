package frontend

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
)

// Sizes in bytes of a message's type and length, and of the length, which includes itself.
const (
	headerSize = 5
	lengthSize = 4
)

// readBufferSize is the size in bytes of the read buffer of a connection. Messages that
// fit into it are decoded in place.
const readBufferSize = 8 << 10

// progressSize is the number of bytes of a long message that a client must send, or of
// replies that it must take, within Limits.StallTimeout.
const progressSize = 64 << 10

// firstSize is the first size in bytes of the buffer of a long message.
const firstSize = 2 * progressSize

// messageCopies is how often a long message is in memory while it is sent to the instance:
// as it was read or in the batch, and in the buffer of the connection to the instance.
const messageCopies = 2

// errOutOfMemory reports a message for which no memory could be reserved.
var errOutOfMemory = eris.New("out of memory")

// messageReader reads the messages of a client. The buffer of a long message grows with the
// bytes that have arrived, so that the declared length alone costs no memory.
type messageReader struct {
	source *bufio.Reader
	// limit is the length in bytes of the longest body.
	limit    int
	authType uint32
	// reserve reserves the memory of a long message; nil does not limit it.
	reserve func(bytes int) bool
	// wait is called before and after a read that waits for the rest of a message; it may
	// be nil.
	wait func(begins bool)
	// partial is set while a message was begun and not read to its end.
	partial bool

	inPlace int    // bytes of the current message in source
	isLong  bool   // the current message does not fit into source
	long    []byte // its body
	size    int    // of its body

	bind         pgproto3.Bind
	closeMessage pgproto3.Close
	copyData     pgproto3.CopyData
	describe     pgproto3.Describe
	execute      pgproto3.Execute
	parse        pgproto3.Parse
	query        pgproto3.Query
}

func newMessageReader(source io.Reader) *messageReader {
	return &messageReader{source: bufio.NewReaderSize(source, readBufferSize), limit: maxUnauthenticatedMessage}
}

// receive reads the next message. It is valid until the next call.
func (r *messageReader) receive() (pgproto3.FrontendMessage, error) {
	r.release()
	if _, err := r.source.Peek(1); err != nil {
		return nil, err
	}
	r.partial = true
	header, err := r.peek(headerSize)
	if err != nil {
		return nil, err
	}
	kind, length := header[0], int(int32(binary.BigEndian.Uint32(header[1:])))
	if length < lengthSize {
		return nil, fmt.Errorf("invalid message length: %d", length)
	}
	size := length - lengthSize
	if size > r.limit {
		return nil, &pgproto3.ExceededMaxBodyLenErr{MaxExpectedBodyLen: r.limit, ActualBodyLen: size}
	}
	message := r.message(kind)
	if message == nil {
		return nil, fmt.Errorf("unknown message type: %c", kind)
	}
	body, err := r.body(size)
	if err != nil {
		return nil, err
	}
	r.partial = false
	if err := message.Decode(body); err != nil {
		return nil, err
	}
	if kind == 'Q' || kind == 'P' {
		r.long = nil // the message has a copy
	}
	return message, nil
}

// release discards the previous message.
func (r *messageReader) release() {
	_, _ = r.source.Discard(r.inPlace)
	r.inPlace = 0
	if !r.isLong {
		return
	}
	r.isLong, r.long = false, nil
	if r.reserve != nil {
		r.reserve(0)
	}
	r.bind, r.copyData, r.parse, r.query = pgproto3.Bind{}, pgproto3.CopyData{}, pgproto3.Parse{}, pgproto3.Query{}
}

// drop frees the memory of the current message, of which the caller has a copy.
func (r *messageReader) drop() {
	if r.long != nil {
		r.long, r.bind = nil, pgproto3.Bind{}
	}
}

// encodedSize returns the length in bytes of the current message if it is long, or zero.
func (r *messageReader) encodedSize() int {
	if r.isLong {
		return headerSize + r.size
	}
	return 0
}

// peek returns the next n bytes, which fit into the read buffer.
func (r *messageReader) peek(n int) ([]byte, error) {
	if r.source.Buffered() < n {
		r.waiting(true)
		defer r.waiting(false)
	}
	return r.source.Peek(n)
}

func (r *messageReader) waiting(begins bool) {
	if r.wait != nil {
		r.wait(begins)
	}
}

func (r *messageReader) body(size int) ([]byte, error) {
	if headerSize+size <= readBufferSize {
		data, err := r.peek(headerSize + size)
		if err != nil {
			return nil, err
		}
		r.inPlace = len(data)
		return data[headerSize:], nil
	}
	_, _ = r.source.Discard(headerSize)
	r.isLong, r.size = true, size
	for filled := 0; filled < size; {
		if filled == len(r.long) {
			if err := r.grow(min(size, max(firstSize, 2*filled))); err != nil {
				return nil, err
			}
		}
		r.waiting(true)
		n, err := io.ReadFull(r.source, r.long[filled:min(len(r.long), filled+progressSize)])
		r.waiting(false)
		if err != nil {
			return nil, err
		}
		filled += n
	}
	if r.reserve != nil && !r.reserve(messageCopies*size) {
		return nil, fmt.Errorf("message of %d bytes: %w", size, errOutOfMemory)
	}
	return r.long, nil
}

func (r *messageReader) grow(size int) error {
	if r.reserve != nil && !r.reserve(size) {
		return fmt.Errorf("message of at least %d bytes: %w", len(r.long), errOutOfMemory)
	}
	grown := make([]byte, size)
	copy(grown, r.long)
	r.long = grown
	return nil
}

// message returns an empty message of a kind, or nil if there is no such kind.
func (r *messageReader) message(kind byte) pgproto3.FrontendMessage {
	switch kind {
	case 'B':
		return &r.bind
	case 'C':
		return &r.closeMessage
	case 'D':
		return &r.describe
	case 'E':
		return &r.execute
	case 'F':
		return &pgproto3.FunctionCall{}
	case 'f':
		return &pgproto3.CopyFail{}
	case 'd':
		return &r.copyData
	case 'c':
		return &pgproto3.CopyDone{}
	case 'H':
		return &pgproto3.Flush{}
	case 'P':
		return &r.parse
	case 'p':
		return r.authenticationMessage()
	case 'Q':
		return &r.query
	case 'S':
		return &pgproto3.Sync{}
	case 'X':
		return &pgproto3.Terminate{}
	}
	return nil
}

func (r *messageReader) authenticationMessage() pgproto3.FrontendMessage {
	switch r.authType {
	case pgproto3.AuthTypeSASL:
		return &pgproto3.SASLInitialResponse{}
	case pgproto3.AuthTypeSASLContinue:
		return &pgproto3.SASLResponse{}
	}
	return &pgproto3.PasswordMessage{}
}

// startupBackend sends and receives the messages of a client's startup.
type startupBackend struct {
	*pgproto3.Backend
	reader *messageReader
}

// Receive replaces that of the Backend.
func (b *startupBackend) Receive() (pgproto3.FrontendMessage, error) { return b.reader.receive() }

// expect sets the authentication to which the next message belongs.
func (b *startupBackend) expect(authType uint32) { b.reader.authType = authType }
