package supervisor

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/promotion"
)

// Statements of the orders. The advisory lock makes the test of the mark and
// what follows it one step towards the other hosts.
const (
	// orderLock is the key of the advisory lock, an arbitrary constant.
	orderLock         = 7_214_009
	markStatement     = "SELECT current_setting('auburnyoke.mark', true)"
	roleStatement     = "SELECT pg_is_in_recovery()"
	reloadStatement   = "SELECT pg_reload_conf()"
	receiverStatement = "SELECT status FROM pg_stat_wal_receiver"
	restStatement     = "SELECT pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn()"
	promoteStatement  = "SELECT pg_promote(true)"
	streamingStatus   = "streaming"
)

const (
	// orderTimeout limits one order. The promotion module repeats orders.
	orderTimeout = 2 * time.Second
	// settleInterval is the time between two looks at a receiver that starts
	// or stops.
	settleInterval = 5 * time.Millisecond
	// settleTimeout limits the wait for it.
	settleTimeout = time.Second
)

// runOrders carries out the orders that wait.
func (w *watch) runOrders(ctx context.Context) {
	for {
		select {
		case order := <-w.orders:
			if err := w.execute(ctx, order); err != nil {
				w.supervisor.Logger.Info().Err(err).Type("order", order).Str("group", string(w.key.group)).
					Str("instance", string(w.key.instance)).Msg("order to instance not carried out")
			}
		default:
			return
		}
	}
}

// execute carries out one order under the advisory lock of the instance. While
// another host holds the lock the order is dropped, since the promotion module
// repeats it. Waiting would hold one of the instance's slots, which the lock's
// holder needs, and a wait given up keeps its connection open at the instance.
func (w *watch) execute(ctx context.Context, order proxy.Effect) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := w.connect(ctx); err != nil {
		return err
	}
	row, err := w.query(ctx, fmt.Sprintf("SELECT pg_try_advisory_lock(%d)", orderLock))
	if err != nil {
		w.disconnect() // ends a session that may hold the lock
		return fmt.Errorf("lock: %w", err)
	}
	if len(row) != 1 || row[0] != "t" {
		return nil
	}
	err = w.locked(ctx, order)
	if _, unlockErr := w.query(ctx, fmt.Sprintf("SELECT pg_advisory_unlock(%d)", orderLock)); unlockErr != nil {
		w.disconnect()
	}
	return err
}

func (w *watch) locked(ctx context.Context, order proxy.Effect) error {
	row, err := w.query(ctx, markStatement)
	if err != nil {
		return fmt.Errorf("read mark: %w", err)
	}
	if len(row) != 1 {
		return eris.New("read mark: no answer")
	}
	mark, err := parseMark(row[0])
	if err != nil {
		return err
	}
	switch o := order.(type) {
	case promotion.Detach:
		return w.detach(ctx, mark, o)
	case promotion.Follow:
		return w.follow(ctx, mark, o)
	case promotion.Promote:
		return w.promote(ctx, mark, o)
	}
	return eris.Errorf("order %T is not known", order)
}

// detach makes a replica leave a term. The receiver has stopped and everything
// received is replayed before the mark says so, since the mark makes the
// position final.
func (w *watch) detach(ctx context.Context, mark promotion.Mark, o promotion.Detach) error {
	if mark.Left >= o.Term {
		return nil
	}
	if recovery, err := w.recovery(ctx); err != nil || !recovery {
		return err
	}
	left := promotion.Mark{Term: mark.Term, Left: o.Term}
	if mark.Term > o.Term {
		return w.setMark(ctx, left)
	}
	if err := w.setSource(ctx, ""); err != nil {
		return err
	}
	if err := w.settle(ctx, w.atRest); err != nil {
		return fmt.Errorf("stop receiver: %w", err)
	}
	return w.setMark(ctx, left)
}

// follow makes an instance follow a primary. The mark is written once the
// instance receives the primary's log, which shows that its own log is a prefix
// of it. An instance that must be rewound restarts for it, which ends this
// connection; the repeated order then finds it as a replica.
func (w *watch) follow(ctx context.Context, mark promotion.Mark, o promotion.Follow) error {
	if mark != o.Was || mark.Left >= o.Term || mark.Term >= o.Term {
		return nil
	}
	source, err := w.sourceOf(o.Primary)
	if err != nil {
		return err
	}
	row, err := w.query(ctx, "SHOW primary_conninfo")
	if err != nil {
		return fmt.Errorf("read source: %w", err)
	}
	if len(row) != 1 || row[0] != source {
		if err := w.setSource(ctx, source); err != nil {
			return err
		}
	}
	if err := w.settle(ctx, w.streams); err != nil {
		return fmt.Errorf("start receiver: %w", err)
	}
	return w.setMark(ctx, promotion.Mark{Term: o.Term, Left: mark.Left})
}

// promote makes a replica lead a term. Promotion and mark are sent together, so
// that a failure of this host falls before or after both.
func (w *watch) promote(ctx context.Context, mark promotion.Mark, o promotion.Promote) error {
	if mark != o.Was || mark.Left >= o.Term || mark.Left < mark.Term || mark.Term >= o.Term {
		return nil
	}
	if recovery, err := w.recovery(ctx); err != nil || !recovery {
		return err
	}
	pipeline := w.conn.StartPipeline(ctx)
	led := promotion.Mark{Term: o.Term, Left: mark.Left}
	for _, statement := range []string{promoteStatement, markSetting(led), reloadStatement} {
		pipeline.SendQueryParams(statement, nil, nil, nil, nil)
		pipeline.SendPipelineSync()
	}
	if err := pipeline.Flush(); err != nil {
		w.disconnect()
		return fmt.Errorf("send promotion: %w", err)
	}
	if err := pipeline.Close(); err != nil {
		return fmt.Errorf("promote: %w", err)
	}
	w.supervisor.Logger.Info().Str("group", string(w.key.group)).Str("instance", string(w.key.instance)).
		Uint64("term", uint64(o.Term)).Msg("instance promoted")
	return nil
}

func (w *watch) recovery(ctx context.Context) (bool, error) {
	row, err := w.query(ctx, roleStatement)
	if err != nil {
		return false, fmt.Errorf("read role: %w", err)
	}
	return len(row) == 1 && row[0] == "t", nil
}

// settle waits until done reports true.
func (w *watch) settle(ctx context.Context, done func(context.Context) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		ok, err := done(ctx)
		if err != nil || ok {
			return err
		}
		select {
		case <-time.After(settleInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// streams reports that the replica receives its source's log.
func (w *watch) streams(ctx context.Context) (bool, error) {
	row, err := w.query(ctx, receiverStatement)
	return len(row) == 1 && row[0] == streamingStatus, err
}

// atRest reports that no receiver runs and the received log is replayed.
func (w *watch) atRest(ctx context.Context) (bool, error) {
	row, err := w.query(ctx, receiverStatement)
	if err != nil || len(row) > 0 {
		return false, err
	}
	row, err = w.query(ctx, restStatement)
	return len(row) == 2 && (row[0] == "" || row[0] == row[1]), err
}

func (w *watch) setSource(ctx context.Context, source string) error {
	statement := fmt.Sprintf("ALTER SYSTEM SET primary_conninfo = '%s'", source)
	if _, err := w.query(ctx, statement); err != nil {
		return fmt.Errorf("set source: %w", err)
	}
	if _, err := w.query(ctx, reloadStatement); err != nil {
		return fmt.Errorf("set source: %w", err)
	}
	return nil
}

func (w *watch) setMark(ctx context.Context, mark promotion.Mark) error {
	if _, err := w.query(ctx, markSetting(mark)); err != nil {
		return fmt.Errorf("set mark: %w", err)
	}
	if _, err := w.query(ctx, reloadStatement); err != nil {
		return fmt.Errorf("set mark: %w", err)
	}
	return nil
}

// sourceOf returns the connection string of another instance of the group.
func (w *watch) sourceOf(instance proxy.InstanceID) (string, error) {
	for _, i := range w.group.Instances {
		if i.ID != instance {
			continue
		}
		host, port, err := net.SplitHostPort(i.AddressIn(w.supervisor.Stage))
		if err != nil {
			return "", fmt.Errorf("address of %s: %w", instance, err)
		}
		return fmt.Sprintf("host=%s port=%s user=%s", host, port, w.supervisor.User), nil
	}
	return "", eris.Errorf("instance %s is not in group %s", instance, w.key.group)
}

// markSetting stores a mark. A setting of the instance survives its restart and
// can be written on a replica, unlike a table.
func markSetting(mark promotion.Mark) string {
	return fmt.Sprintf("ALTER SYSTEM SET auburnyoke.mark = '%d:%d'", mark.Term, mark.Left)
}

// parseMark reads the text of a mark; an instance without one has never
// followed a term.
func parseMark(text string) (promotion.Mark, error) {
	if text == "" {
		return promotion.Mark{}, nil
	}
	term, left, ok := strings.Cut(text, ":")
	if !ok {
		return promotion.Mark{}, eris.Errorf("mark %q: want two numbers separated by a colon", text)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return promotion.Mark{}, fmt.Errorf("mark %q: %w", text, err)
	}
	l, err := strconv.ParseUint(left, 10, 64)
	if err != nil {
		return promotion.Mark{}, fmt.Errorf("mark %q: %w", text, err)
	}
	return promotion.Mark{Term: proxy.Term(t), Left: proxy.Term(l)}, nil
}
