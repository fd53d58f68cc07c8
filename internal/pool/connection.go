package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// errNotIdle is returned for statements of the pool's own on a connection that
// is not idle.
var errNotIdle = eris.New("connection is not idle")

// applicationName is what the instances show for the pool's connections.
const applicationName = "auburnyoke"

// wire is an instance connection whose protocol state is followed.
type wire struct {
	net.Conn
	// follow is set once the startup is complete.
	follow   atomic.Bool
	progress progress
}

// Read implements io.Reader.
func (w *wire) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 && w.follow.Load() {
		w.progress.read(p[:n])
	}
	return n, err
}

// Write implements io.Writer.
func (w *wire) Write(p []byte) (int, error) {
	if w.follow.Load() {
		w.progress.wrote(p)
	}
	return w.Conn.Write(p)
}

// Quiet reports that no answer is outstanding on the connection.
func (w *wire) Quiet() bool { return w.progress.quiet() }

// connection is one open connection to an instance.
type connection struct {
	// number tells sessions the connection apart from others.
	number   uint64
	wire     *wire
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
	address  string
	// lent is true from the grant of the connection until its release.
	lent bool
	// session is the session that used the connection last.
	session owner
	// used is the instant of the last use or the end of the dialling.
	used proxy.Instant
}

// owner identifies a session over all accounts. The zero owner stands for a
// connection that no session has used.
type owner struct {
	account proxy.AccountID
	session uint64
}

// credentials are the system's own user and password on the instances.
type credentials struct {
	user, password string
}

// dial opens a connection to the instance at address.
func dial(ctx context.Context, address, database string, c credentials) (*connection, error) {
	config, err := pgconn.ParseConfig("postgres://" + address + "/?sslmode=disable")
	if err != nil {
		return nil, fmt.Errorf("instance address: %w", eris.New("invalid host:port "+address))
	}
	config.Database = database
	config.User = c.user
	config.Password = c.password
	// The environment of the process must not change the connection.
	config.Fallbacks = nil
	config.ValidateConnect = nil
	config.RuntimeParams = map[string]string{"application_name": applicationName}
	var w *wire
	config.AfterNetConnect = func(_ context.Context, _ *pgconn.Config, conn net.Conn) (net.Conn, error) {
		w = &wire{Conn: conn}
		return w, nil
	}
	pg, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	// After a slow write pgconn reads in the background, which would take bytes
	// from the borrower and block the check of an idle connection.
	if err = pg.SyncConn(ctx); err != nil {
		_ = pg.Close(ctx)
		return nil, fmt.Errorf("end the startup with %s: %w", address, err)
	}
	hijacked, err := pg.Hijack()
	if err != nil {
		_ = pg.Close(ctx)
		return nil, fmt.Errorf("take over the connection to %s: %w", address, err)
	}
	w.progress.status = hijacked.TxStatus
	w.follow.Store(true)
	return &connection{
		number:   rand.Uint64(),
		wire:     w,
		frontend: hijacked.Frontend,
		pid:      hijacked.PID,
		secret:   hijacked.SecretKey,
		address:  address,
	}, nil
}

// idle reports that the connection is outside a transaction, that no answer is
// outstanding and that nothing unread is buffered.
func (c *connection) idle() bool {
	return c.wire.progress.idle() && c.frontend.ReadBufferLen() == 0
}

// close closes the connection. The instance rolls back an open transaction.
func (c *connection) close() {
	if c.wire != nil {
		_ = c.wire.Close()
	}
}

// query runs one statement of the pool's own and returns the text of the first
// row's columns. The round trip ends at the deadline of ctx.
func (c *connection) query(ctx context.Context, statement string) ([]string, error) {
	if !c.idle() {
		return nil, errNotIdle
	}
	stop := c.bound(ctx)
	defer stop()
	c.frontend.SendQuery(&pgproto3.Query{String: statement})
	if err := c.frontend.Flush(); err != nil {
		return nil, fmt.Errorf("send %q: %w", statement, err)
	}
	row, err := c.receive()
	if err != nil {
		return nil, fmt.Errorf("answer to %q: %w", statement, err)
	}
	return row, nil
}

// bound makes reads and writes fail at the end of ctx until stop is called.
func (c *connection) bound(ctx context.Context) (stop func()) {
	deadline, _ := ctx.Deadline()
	_ = c.wire.SetDeadline(deadline)
	done := make(chan struct{})
	interrupt := func() {
		defer close(done)
		_ = c.wire.SetDeadline(time.Unix(1, 0))
	}
	cancel := context.AfterFunc(ctx, interrupt)
	return func() {
		if !cancel() {
			<-done
		}
		_ = c.wire.SetDeadline(time.Time{})
	}
}

// receive reads messages up to ReadyForQuery.
func (c *connection) receive() (row []string, err error) {
	for {
		message, receiveErr := c.frontend.Receive()
		if receiveErr != nil {
			return nil, receiveErr
		}
		switch m := message.(type) {
		case *pgproto3.DataRow:
			if row == nil {
				row = columns(m)
			}
		case *pgproto3.ErrorResponse:
			err = pgconn.ErrorResponseToPgError(m)
		case *pgproto3.ReadyForQuery:
			return row, err
		}
	}
}

func columns(m *pgproto3.DataRow) []string {
	row := make([]string, len(m.Values))
	for i, v := range m.Values {
		row[i] = string(v)
	}
	return row
}
