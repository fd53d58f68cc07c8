package instance_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
)

// testTimeout ends a test that hangs.
const testTimeout = 30 * time.Second

func start(t *testing.T, options instance.Options) *instance.Instance {
	t.Helper()
	i, clean, err := instance.New(options)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- i.Run(context.Background()) }()
	t.Cleanup(func() {
		clean()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return i
}

func background(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func connect(t *testing.T, i *instance.Instance) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(background(t), "postgres://system:secret@"+i.Address()+"/db?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(background(t)) })
	return c
}

func run(t *testing.T, c *pgx.Conn, sql string, arguments ...any) string {
	t.Helper()
	tag, err := c.Exec(background(t), sql, arguments...)
	if err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return tag.String()
}

func text(t *testing.T, c *pgx.Conn, sql string, arguments ...any) string {
	t.Helper()
	var out string
	if err := c.QueryRow(background(t), sql, arguments...).Scan(&out); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return out
}

// sqlState returns the SQLSTATE of an error, its text if it has none, and an empty
// string for nil.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// eventually waits until a condition holds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition never held")
		}
	}
}

// queryExecModes are the ways in which pgx uses the protocol.
var queryExecModes = []pgx.QueryExecMode{
	pgx.QueryExecModeCacheStatement, pgx.QueryExecModeDescribeExec,
	pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
}

// Guards against results that depend on the protocol or the parameter format.
func TestStatementsInEveryProtocolMode(t *testing.T) {
	is := is.New(t)
	c := connect(t, start(t, instance.Options{Name: "a"}))
	ctx := background(t)
	for _, mode := range queryExecModes {
		run(t, c, "DELETE FROM kv", mode)
		is.Equal(run(t, c, "INSERT INTO kv (key, value) VALUES ($1, $2), ('b', '5')", mode, "a", "1"), "INSERT 0 2")
		is.Equal(run(t, c, "INSERT INTO kv VALUES ($1, $2) ON CONFLICT DO NOTHING", mode, "a", "9"), "INSERT 0 0")
		is.Equal(text(t, c, "INSERT INTO kv VALUES ('a', 'x') ON CONFLICT (key) DO UPDATE SET value = kv.value || EXCLUDED.value RETURNING value", mode), "1x")
		run(t, c, "UPDATE kv SET value = value || $2 WHERE key = $1", mode, "a", "!")
		is.Equal(text(t, c, "SELECT value FROM kv WHERE key = $1", mode, "a"), "1x!")
		run(t, c, "UPDATE kv SET value = value::bigint + 37 WHERE key = 'b'", mode)
		var key, value string
		is.NoErr(c.QueryRow(ctx, "SELECT * FROM kv ORDER BY key DESC LIMIT 1", mode).Scan(&key, &value))
		is.Equal(key+value, "b42")
		var n int
		is.NoErr(c.QueryRow(ctx, "SELECT count(*) FROM kv", mode).Scan(&n))
		is.Equal(n, 2)
		is.NoErr(c.QueryRow(ctx, "SELECT 1 + $1::int AS sum", mode, 2).Scan(&n))
		is.Equal(n, 3)
		is.Equal(run(t, c, "DELETE FROM kv WHERE key IN ('a', 'c')", mode), "DELETE 1")
		_, err := c.Exec(ctx, "INSERT INTO kv VALUES ('b', '')", mode)
		is.Equal(sqlState(err), "23505")
	}
}

// Guards against statements whose analysis takes exponential time or exhausts
// the stack, and against a series that refers to itself.
func TestLargeExpressions(t *testing.T) {
	is := is.New(t)
	c := connect(t, start(t, instance.Options{Name: "a"}))
	is.Equal(text(t, c, "SELECT (0"+strings.Repeat(" + 1", 500)+")::text"), "500")
	fails := func(sql, want string) {
		t.Helper()
		_, err := c.Exec(background(t), sql)
		is.Equal(sqlState(err), want)
	}
	fails("SELECT "+strings.Repeat("(", 1<<20), "54001")
	fails("SELECT "+strings.Repeat("- ", 1<<20), "54001")
	fails("SELECT n FROM generate_series(1, n) n", "42703")
	fails("SELECT key FROM kv WHERE count(*) > 1", "42803")
}
