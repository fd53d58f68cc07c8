package peering

import (
	"context"
	"net/netip"
	"time"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// answerPositionQuery answers another host's query for the log position of a group.
func (e *Endpoint) answerPositionQuery(m message, to netip.AddrPort) {
	answer := message{Request: m.Request, Answer: true, PositionOf: m.PositionOf}
	var position Position
	var ok bool
	if m.Within > 0 && e.PositionWithin != nil {
		position, ok = e.PositionWithin(m.PositionOf, m.Within)
	} else {
		position, ok = e.Position(m.PositionOf)
	}
	if ok {
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
	return e.QueryPositionWithin(ctx, host, group, 0)
}

// QueryPositionWithin is like QueryPosition, but queries the lowest position that is at most
// so old. Replicas have replayed it sooner than the newest one.
func (e *Endpoint) QueryPositionWithin(
	ctx context.Context, host proxy.HostID, group proxy.GroupID, within time.Duration,
) (Position, bool) {
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
	e.send(message{Request: number, PositionOf: group, Within: within}, address)
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
