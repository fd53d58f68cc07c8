package pool

import (
	"encoding/binary"
	"sync"
)

// headerSize is the size in bytes of a message's type and length fields.
const headerSize = 5

// lengthSize is the size in bytes of the length field. The length includes it.
const lengthSize = 4

// idleStatus is the transaction status in ReadyForQuery outside a transaction.
const idleStatus = 'I'

// messageScanner finds the message boundaries in one direction of a PostgreSQL
// connection. The bytes may arrive in pieces of any size.
type messageScanner struct {
	header        [headerSize]byte
	headerFilled  int
	bodyLeft      int
	firstBodyByte byte
}

// atBoundary reports whether the last message is complete.
func (s *messageScanner) atBoundary() bool { return s.headerFilled == 0 && s.bodyLeft == 0 }

// scan calls onMessage for each message that ends in data, with the message's type and
// the first byte of its body.
func (s *messageScanner) scan(data []byte, onMessage func(kind, firstBodyByte byte)) {
	for len(data) > 0 {
		if s.headerFilled < headerSize {
			data = s.readHeader(data)
		} else {
			data = s.skipBody(data)
		}
		if s.headerFilled == headerSize && s.bodyLeft == 0 {
			s.headerFilled = 0
			onMessage(s.header[0], s.firstBodyByte)
		}
	}
}

// readHeader consumes header bytes from data and returns the rest.
func (s *messageScanner) readHeader(data []byte) []byte {
	n := copy(s.header[s.headerFilled:], data)
	s.headerFilled += n
	if s.headerFilled == headerSize {
		s.bodyLeft = max(0, int(binary.BigEndian.Uint32(s.header[1:]))-lengthSize)
		s.firstBodyByte = 0
	}
	return data[n:]
}

// skipBody consumes body bytes from data and returns the rest.
func (s *messageScanner) skipBody(data []byte) []byte {
	if s.firstBodyByte == 0 {
		s.firstBodyByte = data[0]
	}
	n := min(s.bodyLeft, len(data))
	s.bodyLeft -= n
	return data[n:]
}

// protocolState tracks the messages in both directions of a connection, so that the
// pool need not rely on the connection's user to know the protocol state.
type protocolState struct {
	mu                sync.Mutex
	sent              messageScanner
	received          messageScanner
	transactionStatus byte
	// awaitedReady is the number of outstanding ReadyForQuery messages.
	awaitedReady int
	// unsynced reports that extended-protocol messages were sent after the last Sync.
	unsynced bool
}

// recordWrite accounts for bytes that are about to be written.
func (p *protocolState) recordWrite(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent.scan(data, p.onRequest)
}

func (p *protocolState) onRequest(kind, _ byte) {
	switch kind {
	case 'Q', 'F':
		p.awaitedReady++
	case 'S':
		p.awaitedReady++
		p.unsynced = false
	case 'd', 'c', 'f':
		// Copy data belongs to a request that is already counted.
	default:
		p.unsynced = true
	}
}

// recordRead accounts for bytes that were read.
func (p *protocolState) recordRead(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received.scan(data, p.onResponse)
}

func (p *protocolState) onResponse(kind, firstBodyByte byte) {
	if kind != 'Z' {
		return
	}
	p.transactionStatus = firstBodyByte
	p.awaitedReady--
}

// allAnswered reports whether all requests have been answered completely.
func (p *protocolState) allAnswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allAnsweredLocked()
}

func (p *protocolState) allAnsweredLocked() bool {
	return p.awaitedReady == 0 && !p.unsynced && p.sent.atBoundary() && p.received.atBoundary()
}

// idle reports whether all requests have been answered and no transaction is open.
func (p *protocolState) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allAnsweredLocked() && p.transactionStatus == idleStatus
}
