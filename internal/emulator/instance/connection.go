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

// maxUnsentBytes is the amount of result data that a connection buffers before it
// writes to the network.
const maxUnsentBytes = 64 << 10

// connection is a client connection. One goroutine serves it.
type connection struct {
	instance     *Instance
	pid          uint32
	cancelKey    []byte
	client       *clientConn
	conn         net.Conn // client, or TLS on it
	backend      *pgproto3.Backend
	session      *session
	prepared     map[string]*prepared
	portals      map[string]*portal
	lastReported map[string]string // values in the last ParameterStatus messages
	skipping     bool              // messages up to Sync are ignored after an error
	delayed      bool              // Faults.Delay has passed for this answer
	unsent       int               // bytes of result data since the last flush
	counted      bool              // the connection is counted against the limit

	mu         sync.Mutex
	cancel     context.CancelCauseFunc // of the running statement
	terminated bool
}

// errTerminated ends a statement whose instance stops or restarts.
var errTerminated = errorf(proxy.AdminShutdown, "terminating connection due to administrator command")

// interrupt cancels the running statement.
func (c *connection) interrupt(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel(cause)
	}
}

// terminate cancels the running statement and closes the connection. Any
// goroutine may call it.
func (c *connection) terminate() {
	c.mu.Lock()
	c.terminated = true
	c.mu.Unlock()
	c.interrupt(errTerminated)
	_ = c.client.Close()
}

// serve handles messages until the connection ends. It then rolls back the open
// transaction and releases the advisory locks.
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
		if err := c.fail(c.handleQuery(msg.String)); err != nil {
			return err
		}
		c.skipping = false
		return c.sendReady()
	case *pgproto3.Sync:
		c.skipping = false
		if err := c.fail(c.session.commitImplicit()); err != nil {
			return err
		}
		c.skipping = false
		return c.sendReady()
	case *pgproto3.Flush:
		return c.flush()
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// These messages belong to a COPY that has already failed.
		return nil
	}
	if err := c.fail(c.handleExtended(msg)); err != nil || !c.skipping {
		return err
	}
	// fail has already sent the error, since a Flush that follows is ignored, as in
	// PostgreSQL. Only the answer delay is left, which thus passes a second time.
	if err := c.delay(); err != nil {
		return err
	}
	return c.send()
}

// fail sends the error of a statement to the client and makes handle skip the
// messages up to the next Sync. It returns errors of the connection itself.
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
	c.backend.Send(errorResponse("ERROR", err))
	// Like PostgreSQL, do not hold the error back until the next Sync.
	return c.flush()
}

// sendReady ends an answer with ReadyForQuery.
func (c *connection) sendReady() error {
	c.sendWarnings()
	c.sendParameterStatus()
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.txStatus})
	return c.flush()
}

// flush waits for the answer delay and sends the buffered messages.
func (c *connection) flush() error {
	if err := c.delay(); err != nil {
		return err
	}
	c.delayed = false
	return c.send()
}

// delay waits for Faults.Delay once per answer.
func (c *connection) delay() error {
	d := c.instance.Faults().Delay
	if c.delayed || d == 0 {
		return nil
	}
	c.delayed = true
	return sleepFor(c.instance.ctx, d)
}

func (c *connection) send() error {
	c.unsent = 0
	if err := c.backend.Flush(); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// sendIfLarge counts n bytes of result data and sends the buffered messages when
// they reach maxUnsentBytes, so that the memory for a large result is bounded.
func (c *connection) sendIfLarge(n int) error {
	c.unsent += n
	if c.unsent < maxUnsentBytes {
		return nil
	}
	if err := c.delay(); err != nil {
		return err
	}
	return c.send()
}

// sendWarnings sends the warnings of the last statement.
func (c *connection) sendWarnings() {
	for _, w := range c.session.notices {
		notice := pgproto3.NoticeResponse(*errorResponse("WARNING", w))
		c.backend.Send(&notice)
	}
	c.session.notices = nil
}

// sendParameterStatus reports the settings that have changed.
func (c *connection) sendParameterStatus() {
	for _, name := range reportedSettings {
		text, _ := c.session.show(name)
		if last, ok := c.lastReported[name]; ok && last == text {
			continue
		}
		c.lastReported[name] = text
		if proper, ok := reportedSpelling[name]; ok {
			name = proper
		}
		c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: text})
	}
}

// handleQuery answers a message of the simple query protocol. Its statements are
// one transaction unless they contain transaction commands.
func (c *connection) handleQuery(sql string) error {
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
			c.backend.Send(p.rowDescription())
		}
		if err := c.runPortal(p, 0, i == len(statements)-1); err != nil {
			return err
		}
	}
	return c.session.commitImplicit()
}

// runPortal executes a portal and sends its rows and command tag. maximum limits
// the rows; 0 is no limit. If last is set, the implicit transaction is committed
// before the tag is sent.
func (c *connection) runPortal(p *portal, maximum int, last bool) error {
	ctx, end := c.statementContext()
	defer end()
	c.session.ctx = ctx
	defer c.session.slots.release()
	if err := c.session.slots.acquire(ctx); err != nil {
		return err
	}
	suspended, err := c.sendResult(p, maximum)
	if err != nil {
		return err
	}
	if suspended {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	if last {
		if err := c.session.commitImplicit(); err != nil {
			return err
		}
	}
	c.sendWarnings()
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(p.result.tag(p.rowsSent))})
	p.rowsSent = 0
	return nil
}

// statementContext returns the context of a statement, which interrupt cancels,
// and the function to call when the statement ends.
func (c *connection) statementContext() (context.Context, func()) {
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
