package pool

import (
	"encoding/binary"
	"sync"
)

// headerSize is the size in bytes of a message's type and length.
const headerSize = 5

// lengthSize is the size in bytes of the length, which counts itself.
const lengthSize = 4

// idleStatus is the transaction status of a connection outside a transaction.
const idleStatus = 'I'

// scanner finds the messages of one direction of a PostgreSQL connection.
type scanner struct {
	header [headerSize]byte
	filled int
	left   int
	first  byte
}

// atBoundary reports whether the last message is complete.
func (s *scanner) atBoundary() bool { return s.filled == 0 && s.left == 0 }

// scan calls found with the type and the first byte of the body of each message
// that ends in data.
func (s *scanner) scan(data []byte, found func(kind, first byte)) {
	for len(data) > 0 {
		if s.filled < headerSize {
			data = s.start(data)
		} else {
			data = s.skip(data)
		}
		if s.filled == headerSize && s.left == 0 {
			s.filled = 0
			found(s.header[0], s.first)
		}
	}
}

// start takes header bytes from data and returns the rest.
func (s *scanner) start(data []byte) []byte {
	n := copy(s.header[s.filled:], data)
	s.filled += n
	if s.filled == headerSize {
		s.left = max(0, int(binary.BigEndian.Uint32(s.header[1:]))-lengthSize)
		s.first = 0
	}
	return data[n:]
}

// skip takes body bytes from data and returns the rest.
func (s *scanner) skip(data []byte) []byte {
	if s.first == 0 {
		s.first = data[0]
	}
	n := min(s.left, len(data))
	s.left -= n
	return data[n:]
}

// progress follows the messages in both directions of a connection, so that the
// pool knows the protocol state without trust in the borrower.
type progress struct {
	mu     sync.Mutex
	sent   scanner
	got    scanner
	status byte
	// awaited is the number of ReadyForQuery messages still to come.
	awaited int
	// open reports extended-protocol messages that no Sync followed yet.
	open bool
}

// wrote accounts for bytes that are about to be written.
func (p *progress) wrote(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent.scan(data, p.request)
}

func (p *progress) request(kind, _ byte) {
	switch kind {
	case 'Q', 'F':
		p.awaited++
	case 'S':
		p.awaited++
		p.open = false
	case 'd', 'c', 'f':
		// Copy data belongs to a request that is already counted.
	default:
		p.open = true
	}
}

// read accounts for bytes that were read.
func (p *progress) read(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.got.scan(data, p.answer)
}

func (p *progress) answer(kind, first byte) {
	if kind != 'Z' {
		return
	}
	p.status = first
	p.awaited--
}

// quiet reports that no answer is outstanding.
func (p *progress) quiet() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quietLocked()
}

func (p *progress) quietLocked() bool {
	return p.awaited == 0 && !p.open && p.sent.atBoundary() && p.got.atBoundary()
}

// idle reports that no answer is outstanding and no transaction is open.
func (p *progress) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.quietLocked() && p.status == idleStatus
}
