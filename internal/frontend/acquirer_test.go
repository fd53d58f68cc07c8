package frontend_test

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Acquire implements proxy.Acquirer. It returns an idle connection that the session used
// before, if there is one, and a new connection otherwise.
func (i *instance) Acquire(_ context.Context, request proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.requests = append(i.requests, request)
	if i.acquireErr != nil {
		return nil, i.acquireErr
	}
	for n, c := range i.idle {
		if c.session == request.Session {
			i.idle = append(i.idle[:n], i.idle[n+1:]...)
			i.acquired++
			return &acquiredConn{connection: c, same: true}, nil
		}
	}
	c, err := i.open()
	if err != nil {
		return nil, err
	}
	c.session = request.Session
	i.acquired++
	return &acquiredConn{connection: c}, nil
}

// swap waits until all connections are released, then replaces the idle connections
// and returns the previous ones. If idle is empty, the next connection is a new one.
func (i *instance) swap(idle ...*connection) []*connection {
	i.mu.Lock()
	defer i.mu.Unlock()
	for i.acquired > 0 {
		i.released.Wait()
	}
	before := i.idle
	i.idle = idle
	return before
}

// refuse makes Acquire return the error.
func (i *instance) refuse(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.acquireErr = err
}

// request returns the nth request for a connection, or the last one if n is negative.
func (i *instance) request(n int) proxy.ConnectionRequest {
	i.mu.Lock()
	defer i.mu.Unlock()
	if n < 0 {
		n = len(i.requests) - 1
	}
	return i.requests[n]
}

type acquiredConn struct {
	*connection
	same bool
}

func (a *acquiredConn) ConnectionInfo() proxy.ConnectionInfo {
	return proxy.ConnectionInfo{Instance: "one", Primary: !a.i.replica, Term: 1, SameSession: a.same, Connection: a.id}
}

func (a *acquiredConn) Frontend() *pgproto3.Frontend { return a.frontend }

func (a *acquiredConn) Confirm(context.Context) (proxy.Bookmark, error) {
	a.i.mu.Lock()
	defer a.i.mu.Unlock()
	a.i.statements = append(a.i.statements, "confirm")
	return proxy.Bookmark{Term: 1, Position: proxy.Position(len(a.i.statements))}, a.i.confirm
}

func (a *acquiredConn) Cancel(context.Context) error {
	a.canceled <- struct{}{}
	return nil
}

func (a *acquiredConn) Release(r proxy.ReleaseState) {
	a.i.mu.Lock()
	defer a.i.mu.Unlock()
	a.i.releases = append(a.i.releases, r)
	a.i.acquired--
	a.i.released.Broadcast()
	if r.Broken {
		a.once.Do(func() { close(a.closed) })
		_ = a.client.Close()
		return
	}
	a.i.idle = append(a.i.idle, a.connection)
}

// history returns the statements that have run since its last call.
func (i *instance) history() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	statements := i.statements
	i.statements = nil
	return statements
}

// broken waits until all connections are released and returns how many of them were
// released with Broken set.
func (i *instance) broken() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	for i.acquired > 0 {
		i.released.Wait()
	}
	n := 0
	for _, r := range i.releases {
		if r.Broken {
			n++
		}
	}
	return n
}
