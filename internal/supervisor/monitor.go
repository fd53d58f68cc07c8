package supervisor

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// The statements of a probe. They read the term state after the positions, and the
// role before them.
const (
	replicaStatement = "SELECT pg_is_in_recovery(), pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn(), current_setting('auburnyoke.mark', true)"
	primaryStatement = "SELECT pg_current_wal_lsn(), current_setting('auburnyoke.mark', true)"
)

// monitor probes one instance and executes commands on it. Its goroutine owns the
// connection.
type monitor struct {
	supervisor *Supervisor
	key        key
	address    string
	group      *proxy.Group
	stop       context.CancelFunc
	// wake requests an immediate probe.
	wake chan struct{}
	// fresh requests a new connection for the next probe.
	fresh    atomic.Bool
	commands chan proxy.Effect

	conn *pgconn.PgConn
}

// probe requests an immediate probe, on a new connection if fresh is set.
func (m *monitor) probe(fresh bool) {
	if fresh {
		m.fresh.Store(true)
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *monitor) run(ctx context.Context) {
	defer m.disconnect()
	ticker := time.NewTicker(m.supervisor.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.runCommands(ctx)
		m.supervisor.report(m.observe(ctx))
		select {
		case <-ticker.C:
		case <-m.wake:
		case <-ctx.Done():
		}
	}
}

func (m *monitor) disconnect() {
	if m.conn == nil {
		return
	}
	// Close must not wait for a connection that has stopped responding.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = m.conn.Close(ctx)
	m.conn = nil
}

// connect opens the connection if there is none and reports whether it did.
func (m *monitor) connect(ctx context.Context) (fresh bool, err error) {
	if m.fresh.Swap(false) {
		m.disconnect()
	}
	if m.conn != nil {
		return false, nil
	}
	config, err := pgconn.ParseConfig("postgres://" + m.address + "/?sslmode=disable")
	if err != nil {
		return true, fmt.Errorf("instance address: %w", err)
	}
	config.User = m.supervisor.User
	config.Password = m.supervisor.Password
	config.Database = m.group.Database
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{"application_name": "auburnyoke-supervisor"}
	m.conn, err = pgconn.ConnectConfig(ctx, config)
	if err != nil {
		m.conn = nil
		return true, fmt.Errorf("connect to %s: %w", m.address, err)
	}
	return true, nil
}

// observe probes the instance for its role, positions and term state.
func (m *monitor) observe(ctx context.Context) promotion.Observed {
	ctx, cancel := context.WithTimeout(ctx, m.supervisor.Timeout)
	defer cancel()
	o := promotion.Observed{Group: m.key.group, Instance: m.key.instance, Sent: m.supervisor.Clock.Now()}
	fresh, err := m.connect(ctx)
	o.Fresh = fresh
	if err == nil {
		err = m.measure(ctx, &o)
	}
	if err != nil {
		m.supervisor.Logger.Debug().Err(err).Str("group", string(m.key.group)).
			Str("instance", string(m.key.instance)).Msg("instance not observed")
		m.disconnect()
		return promotion.Observed{Group: o.Group, Instance: o.Instance, Sent: o.Sent, Fresh: o.Fresh}
	}
	o.Reachable = true
	return o
}

func (m *monitor) measure(ctx context.Context, o *promotion.Observed) error {
	row, err := m.query(ctx, replicaStatement)
	if err != nil {
		return fmt.Errorf("observe: %w", err)
	}
	if len(row) != 4 {
		return eris.Errorf("observation has %d columns: want 4", len(row))
	}
	o.Recovery = row[0] == "t"
	if !o.Recovery {
		return m.measurePrimary(ctx, o)
	}
	if o.Received, err = optionalPosition(row[1]); err != nil {
		return err
	}
	if o.Replayed, err = optionalPosition(row[2]); err != nil {
		return err
	}
	// After a restart a replica has replayed its log but reports that it has
	// received nothing yet.
	o.Received = max(o.Received, o.Replayed)
	o.TermState, err = parseTermState(row[3])
	return err
}

func (m *monitor) measurePrimary(ctx context.Context, o *promotion.Observed) error {
	row, err := m.query(ctx, primaryStatement)
	if err != nil {
		return fmt.Errorf("observe primary: %w", err)
	}
	if len(row) != 2 {
		return eris.Errorf("observation of a primary has %d columns: want 2", len(row))
	}
	if o.Current, err = proxy.ParsePosition(row[0]); err != nil {
		return err
	}
	o.Received, o.Replayed = o.Current, o.Current
	o.TermState, err = parseTermState(row[1])
	return err
}

// query runs a statement and returns its first row, with empty strings for nulls, or
// nil if there is no row.
func (m *monitor) query(ctx context.Context, statement string) ([]string, error) {
	results, err := m.conn.Exec(ctx, statement).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) == 0 || len(results[0].Rows) == 0 {
		return nil, nil
	}
	row := make([]string, 0, len(results[0].Rows[0]))
	for _, column := range results[0].Rows[0] {
		row = append(row, string(column))
	}
	return row, nil
}

func optionalPosition(text string) (proxy.Position, error) {
	if text == "" {
		return 0, nil
	}
	return proxy.ParsePosition(text)
}
