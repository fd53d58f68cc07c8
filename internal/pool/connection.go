package pool

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/replies"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// errNotIdle is returned instead of running a statement of the pool on a connection
// that is not idle, and if a connection is not idle after such a statement.
var errNotIdle = eris.New("connection is not idle")

// applicationName is the application_name of the pool's connections on the instances.
const applicationName = "auburnyoke"

// trackedConn is a network connection to an instance that tracks the protocol state.
type trackedConn struct {
	net.Conn
	// tracking is set when the startup is complete.
	tracking      atomic.Bool
	protocolState protocolState
}

// Read implements io.Reader.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 && t.tracking.Load() {
		t.protocolState.recordRead(p[:n])
	}
	return n, err
}

// Write implements io.Writer.
func (t *trackedConn) Write(p []byte) (int, error) {
	if t.tracking.Load() {
		t.protocolState.recordWrite(p)
	}
	return t.Conn.Write(p)
}

// AllAnswered reports whether all requests on the connection have been answered.
func (t *trackedConn) AllAnswered() bool { return t.protocolState.allAnswered() }

// connection is one open connection to an instance.
type connection struct {
	// id is a random number by which sessions recognise the connection.
	id          uint64
	trackedConn *trackedConn
	frontend    *pgproto3.Frontend
	// replies is below frontend.
	replies *replies.Reader
	pid     uint32
	secret  []byte
	address string
	// acquired is true from the grant of the connection until its release.
	acquired bool
	// session is the session that used the connection last.
	session sessionKey
	// lastUsed is the instant of the last release, or the end of the dial before the first.
	lastUsed proxy.Instant
}

// sessionKey identifies a session among those of all accounts. The zero value marks a
// connection that no session has used.
type sessionKey struct {
	account proxy.AccountID
	session uint64
}

// credentials are the proxy's user and password on the instances.
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
	// ParseConfig also reads the environment of the process, which must not influence
	// the connection.
	config.Fallbacks = nil
	config.ValidateConnect = nil
	config.RuntimeParams = map[string]string{"application_name": applicationName}
	var tracked *trackedConn
	config.AfterNetConnect = func(_ context.Context, _ *pgconn.Config, conn net.Conn) (net.Conn, error) {
		tracked = &trackedConn{Conn: conn}
		return tracked, nil
	}
	var reader *replies.Reader
	config.BuildFrontend = func(r io.Reader, w io.Writer) *pgproto3.Frontend {
		reader = replies.NewReader(r)
		return pgproto3.NewFrontend(reader, w)
	}
	pg, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	// After a slow write pgconn reads in the background. Such a reader would take bytes
	// from the connection's user and block the check of an idle connection.
	if err = pg.SyncConn(ctx); err != nil {
		_ = pg.Close(ctx)
		return nil, fmt.Errorf("synchronize the connection to %s after startup: %w", address, err)
	}
	hijacked, err := pg.Hijack()
	if err != nil {
		_ = pg.Close(ctx)
		return nil, fmt.Errorf("hijack the connection to %s: %w", address, err)
	}
	tracked.protocolState.transactionStatus = hijacked.TxStatus
	tracked.tracking.Store(true)
	return &connection{
		id:          rand.Uint64(),
		trackedConn: tracked,
		frontend:    hijacked.Frontend,
		replies:     reader,
		pid:         hijacked.PID,
		secret:      hijacked.SecretKey,
		address:     address,
	}, nil
}

// idle reports whether the connection is outside a transaction, all requests have been
// answered and no unread bytes are buffered.
func (c *connection) idle() bool {
	return c.trackedConn.protocolState.idle() && c.frontend.ReadBufferLen() == 0 && c.unpassed() == 0
}

// unpassed returns the number of received bytes that were not passed on to the Frontend.
func (c *connection) unpassed() int {
	if c.replies == nil {
		return 0
	}
	return c.replies.Buffered()
}

// close closes the connection. The instance rolls back an open transaction.
func (c *connection) close() {
	if c.trackedConn != nil {
		_ = c.trackedConn.Close()
	}
}

// query runs one statement of the pool and returns the columns of the first row as
// text. It fails when ctx ends.
func (c *connection) query(ctx context.Context, statement string) ([]string, error) {
	if !c.idle() {
		return nil, errNotIdle
	}
	stop := c.applyContext(ctx)
	defer stop()
	c.frontend.SendQuery(&pgproto3.Query{String: statement})
	if err := c.frontend.Flush(); err != nil {
		return nil, fmt.Errorf("send %q: %w", statement, err)
	}
	row, err := c.receiveRow()
	if err != nil {
		return nil, fmt.Errorf("answer to %q: %w", statement, err)
	}
	return row, nil
}

// applyContext makes reads and writes fail when ctx ends. The returned function
// removes this effect.
func (c *connection) applyContext(ctx context.Context) (stop func()) {
	deadline, _ := ctx.Deadline()
	_ = c.trackedConn.SetDeadline(deadline)
	interrupted := make(chan struct{})
	interrupt := func() {
		defer close(interrupted)
		_ = c.trackedConn.SetDeadline(time.Unix(1, 0))
	}
	cancel := context.AfterFunc(ctx, interrupt)
	return func() {
		if !cancel() {
			<-interrupted
		}
		_ = c.trackedConn.SetDeadline(time.Time{})
	}
}

// receiveRow reads messages up to ReadyForQuery and returns the first row.
func (c *connection) receiveRow() (row []string, err error) {
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
