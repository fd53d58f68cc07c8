package instance_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
)

// Guards against lost updates: increments by concurrent transactions must all
// count, and those that end in a deadlock or a rollback must not.
func TestConcurrentIncrements(t *testing.T) {
	is := is.New(t)
	i := start(t, instance.Options{Name: "a", Faults: instance.Faults{Slots: 2}})
	c := connect(t, i)
	run(t, c, "INSERT INTO kv VALUES ('0', '0'), ('1', '0'), ('2', '0')")
	committed := make([]int, 4)
	var wait sync.WaitGroup
	for w := range committed {
		worker := connect(t, i)
		random := rand.New(rand.NewPCG(3, uint64(w)))
		wait.Go(func() {
			for range 50 {
				committed[w] += increments(t, worker, random)
			}
		})
	}
	wait.Wait()
	total := 0
	for _, n := range committed {
		total += n
	}
	sum := 0
	rows, err := c.Query(background(t), "SELECT value::int FROM kv")
	is.NoErr(err)
	values, err := pgx.CollectRows(rows, pgx.RowTo[int])
	is.NoErr(err)
	for _, v := range values {
		sum += v
	}
	is.Equal(sum, total)
	is.True(i.Status().PeakRunning <= 2)
}

// increments runs one transaction and returns the number of its increments, 0
// if it was rolled back.
func increments(t *testing.T, c *pgx.Conn, random *rand.Rand) int {
	ctx := background(t)
	tx, err := c.Begin(ctx)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer func() { _ = tx.Rollback(ctx) }()
	n := 1 + random.IntN(3)
	for range n {
		key := fmt.Sprint(random.IntN(3))
		_, err := tx.Exec(ctx, "UPDATE kv SET value = value::int + 1 WHERE key = $1", key)
		if sqlState(err) == "40P01" {
			return 0
		}
		if err != nil {
			t.Error(err)
			return 0
		}
	}
	if random.IntN(4) == 0 {
		return 0
	}
	if err := tx.Commit(ctx); err != nil {
		t.Error(err)
		return 0
	}
	return n
}

// Guards against dirty reads, against writers that do not wait for the holder of a row
// lock, and against locks and writes that survive a disconnect.
func TestUncommittedWritesAreInvisible(t *testing.T) {
	is := is.New(t)
	i := start(t, instance.Options{Name: "a"})
	first, second, reader := connect(t, i), connect(t, i), connect(t, i)
	run(t, reader, "INSERT INTO kv VALUES ('k', 'old')")
	run(t, first, "BEGIN")
	run(t, first, "UPDATE kv SET value = 'dirty'")
	is.Equal(text(t, first, "SELECT value FROM kv"), "dirty")
	is.Equal(text(t, reader, "SELECT value FROM kv"), "old")
	updated := make(chan string, 1)
	go func() {
		_, err := second.Exec(background(t), "UPDATE kv SET value = value || '!'")
		updated <- sqlState(err)
	}()
	eventually(t, func() bool { return i.Engine().Waiters() == 1 })
	select {
	case <-updated:
		t.Fatal("the second writer did not wait")
	default:
	}
	is.NoErr(first.Close(background(t)))
	is.Equal(<-updated, "")
	is.Equal(text(t, reader, "SELECT value FROM kv"), "old!")
}

// Guards against wrong transaction status, against statements that run in a
// failed transaction, and against settings that survive a rollback.
func TestTransactionBlocks(t *testing.T) {
	is := is.New(t)
	c := connect(t, start(t, instance.Options{Name: "a"}))
	status := func() string { return string(c.PgConn().TxStatus()) }
	fails := func(sql, want string) {
		t.Helper()
		_, err := c.Exec(background(t), sql)
		is.Equal(sqlState(err), want)
	}
	run(t, c, "BEGIN")
	is.Equal(status(), "T")
	run(t, c, "SET application_name = 'changed'")
	run(t, c, "SET LOCAL auburnyoke.route = 'r'")
	is.Equal(text(t, c, "SELECT current_setting('auburnyoke.route')"), "r")
	run(t, c, "INSERT INTO kv VALUES ('a', '1')")
	run(t, c, "SAVEPOINT s")
	run(t, c, "INSERT INTO kv VALUES ('b', '2')")
	fails("INSERT INTO kv VALUES ('a', '1')", "23505")
	is.Equal(status(), "E")
	fails("SELECT 1", "25P02")
	run(t, c, "ROLLBACK TO SAVEPOINT s")
	is.Equal(status(), "T")
	is.Equal(text(t, c, "SELECT count(*)::text FROM kv"), "1")
	fails("nonsense", "42601")
	is.Equal(run(t, c, "COMMIT"), "ROLLBACK")
	is.Equal(status(), "I")
	is.Equal(text(t, c, "SELECT count(*)::text FROM kv"), "0")
	is.Equal(text(t, c, "SHOW application_name"), "")
	is.Equal(c.PgConn().ParameterStatus("application_name"), "")
	fails("SHOW auburnyoke.route", "42704")
	run(t, c, "BEGIN READ ONLY")
	fails("DELETE FROM kv", "25006")
	run(t, c, "ROLLBACK")
	// The statements of one simple query are one transaction.
	fails("INSERT INTO kv VALUES ('a', '1'); SELECT 1/0", "22012")
	is.Equal(text(t, c, "SELECT count(*)::text FROM kv"), "0")
	run(t, c, "SET application_name = 'changed'")
	is.Equal(c.PgConn().ParameterStatus("application_name"), "changed")
	run(t, c, "RESET SESSION AUTHORIZATION;RESET ALL")
	is.Equal(c.PgConn().ParameterStatus("application_name"), "")
	is.Equal(text(t, c, "SHOW session_authorization"), "system")
	run(t, c, "SET application_name = 'changed'")
	run(t, c, "DISCARD ALL")
	is.Equal(c.PgConn().ParameterStatus("application_name"), "")
}
