package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// spillSize is the amount of result data after which a connection writes to
// the network, in bytes.
const spillSize = 64 << 10

// connection is a client connection. One goroutine serves it.
type connection struct {
	instance *Instance
	pid      uint32
	secret   []byte
	client   *clientConn
	conn     net.Conn // client, or TLS on it
	backend  *pgproto3.Backend
	session  *session
	prepared map[string]*prepared
	portals  map[string]*portal
	reported map[string]string // settings as last reported
	skipping bool              // messages up to Sync are ignored after an error
	answered bool              // the answer delay has passed for this answer
	unsent   int               // bytes of result data since the last flush
	counted  bool              // the connection is counted against the limit

	mu         sync.Mutex
	cancel     context.CancelCauseFunc // of the running statement
	terminated bool
}

// errTerminated ends a connection whose instance stops or restarts.
var errTerminated = errorf(proxy.AdminShutdown, "terminating connection due to administrator command")

// interrupt cancels the running statement.
func (c *connection) interrupt(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(cause)
	}
}

// terminate ends the connection from outside.
func (c *connection) terminate() {
	c.mu.Lock()
	c.terminated = true
	c.mu.Unlock()
	c.interrupt(errTerminated)
	_ = c.client.Close()
}

// serve runs the connection until it ends. The transaction that is open then
// is rolled back.
func (c *connection) serve() error {
	defer c.session.engine.AdvisoryUnlockAll(c.session)
	defer c.session.rollback()
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			return fmt.Errorf("receive: %w", err)
		}
		if _, ok := msg.(*pgproto3.Terminate); ok {
			return nil
		}
		if err := c.handle(msg); err != nil {
			return err
		}
	}
}

// handle answers one message. It returns an error if the connection is broken.
func (c *connection) handle(msg pgproto3.FrontendMessage) error {
	if _, ok := msg.(*pgproto3.Sync); c.skipping && !ok {
		return nil
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		if err := c.fail(c.query(msg.String)); err != nil {
			return err
		}
		c.skipping = false
		return c.ready()
	case *pgproto3.Sync:
		c.skipping = false
		if err := c.fail(c.session.finish()); err != nil {
			return err
		}
		c.skipping = false
		return c.ready()
	case *pgproto3.Flush:
		return c.flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// These follow a COPY that has failed already.
		return nil
	}
	if err := c.fail(c.extended(msg)); err != nil || !c.skipping {
		return err
	}
	// PostgreSQL sends an error at once. It ignores the Flush that follows.
	if err := c.delay(); err != nil {
		return err
	}
	return c.send()
}

// fail reports the error of a statement to the client and skips to the next
// Sync. It returns errors of the connection itself.
func (c *connection) fail(err error) error {
	if err == nil {
		return nil
	}
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	c.session.fail()
	c.skipping = true
	c.backend.Send(response("ERROR", err))
	// PostgreSQL sends an error at once, not with the answer to the next Sync.
	return c.flush()
}

// ready ends an answer.
func (c *connection) ready() error {
	c.warn()
	c.report()
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.block})
	return c.flush()
}

// flush sends the answer so far after the answer delay.
func (c *connection) flush() error {
	if err := c.delay(); err != nil {
		return err
	}
	c.answered = false
	return c.send()
}

// delay waits for the answer delay once per answer.
func (c *connection) delay() error {
	d := c.instance.Faults().Delay
	if c.answered || d == 0 {
		return nil
	}
	c.answered = true
	return sleepFor(c.instance.ctx, d)
}

func (c *connection) send() error {
	c.unsent = 0
	if err := c.backend.Flush(); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// spill counts n bytes of result data and sends them when there are enough, so
// that the memory for a large result is bounded.
func (c *connection) spill(n int) error {
	c.unsent += n
	if c.unsent < spillSize {
		return nil
	}
	if err := c.delay(); err != nil {
		return err
	}
	return c.send()
}

// warn sends the warnings of the last statement.
func (c *connection) warn() {
	for _, w := range c.session.notices {
		notice := pgproto3.NoticeResponse(*response("WARNING", w))
		c.backend.Send(&notice)
	}
	c.session.notices = nil
}

// report announces the settings that have changed.
func (c *connection) report() {
	for _, name := range reportedSettings {
		text, _ := c.session.show(name)
		if last, ok := c.reported[name]; ok && last == text {
			continue
		}
		c.reported[name] = text
		if proper, ok := properNames[name]; ok {
			name = proper
		}
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: text})
	}
}

// query answers a message of the simple protocol. Its statements are one
// transaction unless they say otherwise.
func (c *connection) query(sql string) error {
	delete(c.prepared, "")
	statements, err := parse(sql)
	if err != nil {
		return err
	}
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	for i, stmt := range statements {
		parameters, columns, err := analyze(stmt, nil)
		if err != nil {
			return err
		}
		if len(parameters) > 0 {
			return errorf(stateUndefinedParameter, "there is no parameter $1")
		}
		p := &portal{prepared: &prepared{statement: stmt, columns: columns}}
		if len(columns) > 0 {
			c.backend.Send(p.description())
		}
		if err := c.run(p, 0, i == len(statements)-1); err != nil {
			return err
		}
	}
	return c.session.finish()
}

// run executes a portal and sends its rows and tag. maximum limits the rows, 0
// is no limit. With last set, the implicit transaction is committed before the
// tag is sent.
func (c *connection) run(p *portal, maximum int, last bool) error {
	ctx, done := c.begin()
	defer done()
	c.session.ctx = ctx
	defer c.session.slots.release()
	if err := c.session.slots.acquire(ctx); err != nil {
		return err
	}
	suspended, err := c.rows(p, maximum)
	if err != nil {
		return err
	}
	if suspended {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	if last {
		if err := c.session.finish(); err != nil {
			return err
		}
	}
	c.warn()
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.tag(p.sent))})
	p.sent = 0
	return nil
}

// begin returns the context of a statement.
func (c *connection) begin() (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(c.instance.ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	if c.terminated {
		cancel(errTerminated)
	}
	return ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancel = nil
		cancel(nil)
	}
}
