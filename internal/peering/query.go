package peering

import (
	"context"
	"time"
)

// hear passes the answer to a question on.
func (l *Lender) hear(m message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answers := l.asked[m.Request]; answers != nil {
		delete(l.asked, m.Request)
		answers <- *m.State
	}
}

// Ask asks hosts for their state and returns the answers that arrive within
// timeout. Notice may be nil.
func (l *Lender) Ask(ctx context.Context, peers []Peer, notice *Notice, timeout time.Duration) []State {
	answers := make(chan State, len(peers))
	numbers := make([]uint64, 0, len(peers))
	l.mu.Lock()
	for range peers {
		number := l.Random()
		numbers = append(numbers, number)
		l.asked[number] = answers
	}
	l.mu.Unlock()
	for n, p := range peers {
		l.send(message{Request: numbers[n], Notice: notice}, p.Address)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	states := make([]State, 0, len(peers))
	for len(states) < len(peers) && ctx.Err() == nil {
		select {
		case s := <-answers:
			states = append(states, s)
		case <-ctx.Done():
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, number := range numbers {
		delete(l.asked, number)
	}
	return states
}
