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

// The statements of an observation. The mark is read after the positions, and
// the role before them.
const (
	replicaStatement = "SELECT pg_is_in_recovery(), pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn(), current_setting('auburnyoke.mark', true)"
	primaryStatement = "SELECT pg_current_wal_lsn(), current_setting('auburnyoke.mark', true)"
)

// watch observes one instance. Its goroutine owns the connection.
type watch struct {
	supervisor *Supervisor
	key        key
	address    string
	group      *proxy.Group
	stop       context.CancelFunc
	// wake asks for an observation at once.
	wake chan struct{}
	// fresh asks for a new connection for the next observation.
	fresh  atomic.Bool
	orders chan proxy.Effect

	conn *pgconn.PgConn
}

// probe asks for an observation at once.
func (w *watch) probe(fresh bool) {
	if fresh {
		w.fresh.Store(true)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *watch) run(ctx context.Context) {
	defer w.disconnect()
	ticker := time.NewTicker(w.supervisor.Interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		w.runOrders(ctx)
		w.supervisor.report(w.observe(ctx))
		select {
		case <-ticker.C:
		case <-w.wake:
		case <-ctx.Done():
		}
	}
}

func (w *watch) disconnect() {
	if w.conn == nil {
		return
	}
	// A connection that stopped responding must not hold up the next one.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = w.conn.Close(ctx)
	w.conn = nil
}

// connect opens the connection if there is none and reports whether it did.
func (w *watch) connect(ctx context.Context) (fresh bool, err error) {
	if w.fresh.Swap(false) {
		w.disconnect()
	}
	if w.conn != nil {
		return false, nil
	}
	config, err := pgconn.ParseConfig("postgres://" + w.address + "/?sslmode=disable")
	if err != nil {
		return true, fmt.Errorf("instance address: %w", err)
	}
	config.User = w.supervisor.User
	config.Password = w.supervisor.Password
	config.Database = w.group.Database
	config.Fallbacks = nil
	config.RuntimeParams = map[string]string{"application_name": "auburnyoke-supervisor"}
	w.conn, err = pgconn.ConnectConfig(ctx, config)
	if err != nil {
		w.conn = nil
		return true, fmt.Errorf("connect to %s: %w", w.address, err)
	}
	return true, nil
}

// observe asks the instance for its role, positions and mark.
func (w *watch) observe(ctx context.Context) promotion.Observed {
	ctx, cancel := context.WithTimeout(ctx, w.supervisor.Timeout)
	defer cancel()
	o := promotion.Observed{Group: w.key.group, Instance: w.key.instance, Sent: w.supervisor.Clock.Now()}
	fresh, err := w.connect(ctx)
	o.Fresh = fresh
	if err == nil {
		err = w.measure(ctx, &o)
	}
	if err != nil {
		w.supervisor.Logger.Debug().Err(err).Str("group", string(w.key.group)).
			Str("instance", string(w.key.instance)).Msg("instance not observed")
		w.disconnect()
		return promotion.Observed{Group: o.Group, Instance: o.Instance, Sent: o.Sent, Fresh: o.Fresh}
	}
	o.Reachable = true
	return o
}

func (w *watch) measure(ctx context.Context, o *promotion.Observed) error {
	row, err := w.query(ctx, replicaStatement)
	if err != nil {
		return fmt.Errorf("observe: %w", err)
	}
	if len(row) != 4 {
		return eris.Errorf("observation has %d columns: want 4", len(row))
	}
	o.Recovery = row[0] == "t"
	if !o.Recovery {
		return w.measurePrimary(ctx, o)
	}
	if o.Received, err = optionalPosition(row[1]); err != nil {
		return err
	}
	if o.Replayed, err = optionalPosition(row[2]); err != nil {
		return err
	}
	// A replica that has just restarted has replayed its log but received
	// nothing since.
	o.Received = max(o.Received, o.Replayed)
	o.Mark, err = parseMark(row[3])
	return err
}

func (w *watch) measurePrimary(ctx context.Context, o *promotion.Observed) error {
	row, err := w.query(ctx, primaryStatement)
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
	o.Mark, err = parseMark(row[1])
	return err
}

// query runs a statement and returns its first row; null columns are empty.
func (w *watch) query(ctx context.Context, statement string) ([]string, error) {
	results, err := w.conn.Exec(ctx, statement).ReadAll()
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
