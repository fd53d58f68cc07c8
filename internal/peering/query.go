package peering

import (
	"context"
	"time"
)

// handleState passes the answer to a state query to the waiting QueryStates.
func (e *Endpoint) handleState(m message) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answers := e.stateQueries[m.Request]; answers != nil {
		delete(e.stateQueries, m.Request)
		answers <- *m.State
	}
}

// QueryStates queries the states of hosts and returns the answers that arrive within
// timeout. The queries contain the announcement unless it is nil.
func (e *Endpoint) QueryStates(ctx context.Context, peers []Peer, announcement *Announcement, timeout time.Duration) []State {
	answers := make(chan State, len(peers))
	numbers := make([]uint64, 0, len(peers))
	e.mu.Lock()
	for range peers {
		number := e.Random()
		numbers = append(numbers, number)
		e.stateQueries[number] = answers
	}
	e.mu.Unlock()
	for n, p := range peers {
		e.send(message{Request: numbers[n], Announcement: announcement}, p.Address)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	states := make([]State, 0, len(peers))
	for len(states) < len(peers) && ctx.Err() == nil {
		select {
		case state := <-answers:
			states = append(states, state)
		case <-ctx.Done():
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, number := range numbers {
		delete(e.stateQueries, number)
	}
	return states
}
