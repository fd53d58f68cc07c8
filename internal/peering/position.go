package peering

import (
	"context"
	"net/netip"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// answerPositionQuery answers another host's query for the log position of a group.
func (e *Endpoint) answerPositionQuery(m message, to netip.AddrPort) {
	answer := message{Request: m.Request, Answer: true, PositionOf: m.PositionOf}
	if position, ok := e.Position(m.PositionOf); ok {
		answer.Position = &position
	}
	e.send(answer, to)
}

// handlePosition passes the answer to a position query to the waiting QueryPosition.
func (e *Endpoint) handlePosition(m message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answers := e.positionQueries[m.Request]; answers != nil {
		delete(e.positionQueries, m.Request)
		answers <- m.Position
	}
}

// QueryPosition queries the log position of a group from another host. It returns false if
// that host knows none, or if ctx ends before its answer arrives.
func (e *Endpoint) QueryPosition(ctx context.Context, host proxy.HostID, group proxy.GroupID) (Position, bool) {
	answers := make(chan *Position, 1)
	number := e.Random()
	e.mu.Lock()
	address := e.addresses[host]
	e.positionQueries[number] = answers
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.positionQueries, number)
	}()
	if !address.IsValid() {
		return Position{}, false
	}
	e.send(message{Request: number, PositionOf: group}, address)
	select {
	case position := <-answers:
		if position == nil {
			return Position{}, false
		}
		return *position, true
	case <-ctx.Done():
		return Position{}, false
	}
}
