package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// requestTimeout exceeds the timeouts of the example documents' routes, except those
	// of the report routes, which are minutes long.
	requestTimeout     = 12 * time.Second
	dialTimeout        = 3 * time.Second
	maxConnectAttempts = 4
)

// Statements of the load. Each takes 2 ms on the instance. A write appends its token
// to the session's row.
const (
	readStatement  = `SELECT value, pg_is_in_recovery(), pg_sleep(0.002) FROM kv WHERE key = $1`
	writeStatement = `UPDATE kv SET value = value || $2 WHERE key = $1 RETURNING pg_sleep(0.002)`
)

// Outcomes of a request that have no SQLSTATE.
const (
	answered     = ""
	noAnswer     = "no answer"
	noConnection = "no connection"
	noRow        = "no row"
)

// record holds a request and its outcome. Times count from the start of the load.
type record struct {
	session     *plannedSession
	write       bool
	token       string
	plannedAt   time.Duration
	sentAt      time.Duration
	completedAt time.Duration
	// outcome is answered, a SQLSTATE, noAnswer, noConnection or noRow.
	outcome      string
	errorText    string
	fromReplica  bool
	resent       bool // sent again on another connection
	missedWrites int  // acknowledged writes of the session that a read did not return
}

// client runs a session's requests one after another, each at its planned time. A
// request whose time passed while the previous one ran is sent immediately.
type client struct {
	plannedSession
	installation *installation
	random       *rand.Rand
	started      time.Time
	host         *host
	writer       *pgx.Conn
	reader       *pgx.Conn
	acknowledged []string
	records      []record
}

func (c *client) now() time.Duration { return time.Since(c.started) }

func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	for i, a := range c.arrivals {
		select {
		case <-time.After(a.plannedAt - c.now()):
		case <-ctx.Done():
			return
		}
		if a.switchHost || c.host == nil {
			c.disconnect()
			c.switchHost()
		}
		r := record{
			session: &c.plannedSession, write: a.write, plannedAt: a.plannedAt, sentAt: c.now(),
			token: fmt.Sprintf("%s.%d", c.name, i),
		}
		err := c.request(ctx, &r)
		r.completedAt = c.now()
		r.outcome = outcomeOf(err)
		if err != nil {
			r.errorText = err.Error()
		}
		c.records = append(c.records, r)
	}
}

// switchHost selects another host at random. The next request connects to it.
func (c *client) switchHost() {
	hosts := c.installation.hosts
	for {
		next := hosts[c.random.IntN(len(hosts))]
		if next != c.host {
			c.host = next
			return
		}
	}
}

func (c *client) disconnect() {
	for _, conn := range []*pgx.Conn{c.writer, c.reader} {
		if conn != nil && !conn.IsClosed() {
			ctx, stop := context.WithTimeout(context.Background(), time.Second)
			_ = conn.Close(ctx)
			stop()
		}
	}
	c.writer, c.reader = nil, nil
}

// request runs a request. If the connection had ended before the request was sent,
// it sends the request again through another host. The token stays the same, so that
// a write that did run although the host reported otherwise is found twice in the
// row.
func (c *client) request(ctx context.Context, r *record) error {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	err := c.attempt(ctx, r)
	if !isUnsent(err) {
		return err
	}
	r.resent = true
	c.disconnect()
	c.switchHost()
	return c.attempt(ctx, r)
}

// isUnsent reports whether no byte of the request was sent, or the host had ended the
// session before it received the request.
func isUnsent(err error) bool {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused.Severity == "FATAL" && refused.Code == string(proxy.AdminShutdown)
	}
	return err != nil && !errors.Is(err, errNoConnection) && pgconn.SafeToRetry(err)
}

func (c *client) attempt(ctx context.Context, r *record) error {
	conn, err := c.connection(ctx, r.write)
	if err != nil {
		return err
	}
	if r.write {
		return c.runWrite(ctx, conn, r)
	}
	return c.runRead(ctx, conn, r)
}

func (c *client) runWrite(ctx context.Context, conn *pgx.Conn, r *record) error {
	tag, err := conn.Exec(ctx, writeStatement, c.row, " "+r.token)
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if tag.RowsAffected() != 1 {
		return errNoRow
	}
	c.acknowledged = append(c.acknowledged, r.token)
	return nil
}

func (c *client) runRead(ctx context.Context, conn *pgx.Conn, r *record) error {
	var value string
	err := conn.QueryRow(ctx, readStatement, c.row).Scan(&value, &r.fromReplica, nil)
	if errors.Is(err, pgx.ErrNoRows) {
		return errNoRow
	}
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	found := make(map[string]bool)
	for _, token := range tokens(value) {
		found[token] = true
	}
	for _, token := range c.acknowledged {
		if !found[token] {
			r.missedWrites++
		}
	}
	return nil
}

var (
	errNoRow        = errors.New(noRow)
	errNoConnection = errors.New(noConnection)
)

// connection returns the session's open connection for writes or reads. If there is
// none, it tries up to maxConnectAttempts hosts, as a client behind a load balancer
// does.
func (c *client) connection(ctx context.Context, write bool) (*pgx.Conn, error) {
	slot := &c.reader
	if write {
		slot = &c.writer
	}
	if *slot != nil && !(*slot).IsClosed() {
		return *slot, nil
	}
	for attempt := 1; ; attempt++ {
		conn, err := c.connect(ctx, write)
		if err == nil {
			*slot = conn
			return conn, nil
		}
		var refused *pgconn.PgError
		if errors.As(err, &refused) && refused.Code != string(proxy.AdminShutdown) || attempt == maxConnectAttempts {
			return nil, fmt.Errorf("%w: %w", errNoConnection, err)
		}
		c.disconnect()
		c.switchHost()
	}
}

func (c *client) connect(ctx context.Context, write bool) (*pgx.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	config, err := pgx.ParseConfig("host=127.0.0.1 port=1 sslmode=require")
	if err != nil {
		return nil, fmt.Errorf("parse client configuration: %w", err)
	}
	config.User, config.Password, config.Database = string(c.key), secret(c.key), string(c.route.ID)
	config.TLSConfig = c.installation.clientTLS()
	config.DialFunc = c.host.dial
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	config.RuntimeParams["application_name"] = c.name
	if !write {
		config.RuntimeParams["default_transaction_read_only"] = "on"
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", c.host.id, err)
	}
	return conn, nil
}

// outcomeOf returns the outcome of a request.
func outcomeOf(err error) string {
	var refused *pgconn.PgError
	switch {
	case err == nil:
		return answered
	case errors.As(err, &refused):
		return refused.Code
	case errors.Is(err, errNoRow):
		return noRow
	case errors.Is(err, errNoConnection):
		return noConnection
	default:
		return noAnswer
	}
}
