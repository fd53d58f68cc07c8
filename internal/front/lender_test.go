package front_test

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Acquire gives the session its last connection if it is idle, and otherwise one
// without state.
func (i *instance) Acquire(_ context.Context, ask proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.asks = append(i.asks, ask)
	if i.lendErr != nil {
		return nil, i.lendErr
	}
	for n, c := range i.idle {
		if c.session == ask.Session {
			i.idle = append(i.idle[:n], i.idle[n+1:]...)
			i.lent++
			return &loan{connection: c, same: true}, nil
		}
	}
	c, err := i.open()
	if err != nil {
		return nil, err
	}
	c.session = ask.Session
	i.lent++
	return &loan{connection: c}, nil
}

// swap waits until nothing is lent, then replaces the idle connections and
// returns those before. Without any, the next loan is one without state.
func (i *instance) swap(idle ...*connection) []*connection {
	i.mu.Lock()
	defer i.mu.Unlock()
	for i.lent > 0 {
		i.returned.Wait()
	}
	before := i.idle
	i.idle = idle
	return before
}

// refuse makes Lend fail.
func (i *instance) refuse(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lendErr = err
}

// ask returns the nth ask, or the last with -1.
func (i *instance) ask(n int) proxy.ConnectionRequest {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n < 0 {
		n = len(i.asks) - 1
	}
	return i.asks[n]
}

type loan struct {
	*connection
	same bool
}

func (l *loan) ConnectionInfo() proxy.ConnectionInfo {
	return proxy.ConnectionInfo{Instance: "one", Primary: !l.i.replica, Term: 1, SameSession: l.same, Connection: l.id}
}

func (l *loan) Frontend() *pgproto3.Frontend { return l.frontend }

func (l *loan) Confirm(context.Context) (proxy.Bookmark, error) {
	l.i.mu.Lock()
	defer l.i.mu.Unlock()
	l.i.log = append(l.i.log, "confirm")
	return proxy.Bookmark{Term: 1, Position: proxy.Position(len(l.i.log))}, l.i.confirm
}

func (l *loan) Cancel(context.Context) error {
	l.canceled <- struct{}{}
	return nil
}

func (l *loan) Release(r proxy.ReleaseState) {
	l.i.mu.Lock()
	defer l.i.mu.Unlock()
	l.i.returns = append(l.i.returns, r)
	l.i.lent--
	l.i.returned.Broadcast()
	if r.Broken {
		l.once.Do(func() { close(l.closed) })
		_ = l.client.Close()
		return
	}
	l.i.idle = append(l.i.idle, l.connection)
}

// history returns what has run, and forgets it.
func (i *instance) history() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	log := i.log
	i.log = nil
	return log
}

func (i *instance) broken() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	for i.lent > 0 {
		i.returned.Wait()
	}
	n := 0
	for _, r := range i.returns {
		if r.Broken {
			n++
		}
	}
	return n
}
