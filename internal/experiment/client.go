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

// Limits of a request, above the timeouts of the routes that the load uses.
const (
	requestTimeout = 12 * time.Second
	dialTimeout    = 3 * time.Second
	maxDials       = 4
)

// Statements of the load. Each runs for the service time of 2 ms; a write
// appends its token to the session's row.
const (
	readStatement  = `SELECT value, pg_is_in_recovery(), pg_sleep(0.002) FROM kv WHERE key = $1`
	writeStatement = `UPDATE kv SET value = value || $2 WHERE key = $1 RETURNING pg_sleep(0.002)`
)

// Outcomes of a request that have no SQLSTATE.
const (
	answered  = ""
	noAnswer  = "no answer"
	noConnect = "no connection"
	noRow     = "no row"
)

// record is what became of one request.
type record struct {
	session *plannedSession
	write   bool
	token   string
	due     time.Duration // planned arrival
	sent    time.Duration
	done    time.Duration
	// state is the outcome: answered, a SQLSTATE, or one of the above.
	state   string
	text    string
	replica bool
	again   bool // sent again on another connection
	missed  int  // acknowledged writes of the session that a read did not return
}

// client runs a session's requests one after another, late ones at once.
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
		case <-time.After(a.due - c.now()):
		case <-ctx.Done():
			return
		}
		if a.move || c.host == nil {
			c.disconnect()
			c.move()
		}
		r := record{
			session: &c.plannedSession, write: a.write, due: a.due, sent: c.now(), token: fmt.Sprintf("%s.%d", c.name, i),
		}
		err := c.request(ctx, &r)
		r.done = c.now()
		r.state = stateOf(err)
		if err != nil {
			r.text = err.Error()
		}
		c.records = append(c.records, r)
	}
}

// move chooses another host at random.
func (c *client) move() {
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

// request runs a request, and once more where the first connection had ended
// while it was idle. The token is the same, so that a refusal that is wrongly
// reported as not run shows as a write that exists twice.
func (c *client) request(ctx context.Context, r *record) error {
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	err := c.attempt(ctx, r)
	if !isUnsent(err) {
		return err
	}
	r.again = true
	c.disconnect()
	c.move()
	return c.attempt(ctx, r)
}

// isUnsent reports that no byte of the request was sent, or that the host had
// ended the session before.
func isUnsent(err error) bool {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return refused.Severity == "FATAL" && refused.Code == string(proxy.AdminShutdown)
	}
	return err != nil && !errors.Is(err, errNoConnect) && pgconn.SafeToRetry(err)
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
	err := conn.QueryRow(ctx, readStatement, c.row).Scan(&value, &r.replica, nil)
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
			r.missed++
		}
	}
	return nil
}

var (
	errNoRow     = errors.New(noRow)
	errNoConnect = errors.New(noConnect)
)

// connection returns the session's open connection for writes or reads. Where
// there is none it tries several hosts, as a client behind a load balancer.
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
		if errors.As(err, &refused) && refused.Code != string(proxy.AdminShutdown) || attempt == maxDials {
			return nil, fmt.Errorf("%w: %w", errNoConnect, err)
		}
		c.disconnect()
		c.move()
	}
}

func (c *client) connect(ctx context.Context, write bool) (*pgx.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, dialTimeout)
	defer stop()
	config, err := pgx.ParseConfig("host=127.0.0.1 port=1 sslmode=require")
	if err != nil {
		return nil, fmt.Errorf("configuration of the client: %w", err)
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

// stateOf returns the outcome of a request.
func stateOf(err error) string {
	var refused *pgconn.PgError
	switch {
	case err == nil:
		return answered
	case errors.As(err, &refused):
		return refused.Code
	case errors.Is(err, errNoRow):
		return noRow
	case errors.Is(err, errNoConnect):
		return noConnect
	default:
		return noAnswer
	}
}
