// Command smoke sends requests of each kind through the hosts of a running demo with
// pgx and database/sql. It exits with 1 if a check fails.
package main

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/stdlib" // registers the driver of database/sql
	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

const (
	// smokeTimeout limits the whole run.
	smokeTimeout = time.Minute
	// requestInterval keeps the requests within the rate of the example accounts. Their
	// token buckets are empty after a start.
	requestInterval = 60 * time.Millisecond
)

type options struct {
	Authority string   `long:"authority" required:"true" description:"PEM file of the authority of the hosts' certificates"`
	Hosts     []string `long:"host" required:"true" description:"client address of a host; may be repeated"`
	Key       string   `long:"key" required:"true" description:"account key that may use both routes"`
	Write     string   `long:"write" required:"true" description:"route for writes"`
	Withdrawn bool     `long:"withdrawn" description:"only wait until the key is withdrawn"`
	Open      string   `long:"open" required:"true" description:"route that is open to all"`
}

// check is one step of the smoke test.
type check struct {
	name string
	run  func(ctx context.Context, o options) error
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), smokeTimeout)
	defer cancel()
	failed := 0
	checks := []check{
		{"read-your-writes across hosts", readYourWrites},
		{"transaction and rollback", transaction},
		{"database/sql with prepared statements", databaseSQL},
		{"open route without a key", openRoute},
		{"wrong key is refused", wrongKey},
		{"unsupported statement is refused before it runs", refusedStatement},
		{"cancel through another host", cancelElsewhere},
	}
	if o.Withdrawn {
		checks = []check{{"withdrawn key ends its connections", awaitWithdrawal}}
	}
	for _, c := range checks {
		if err := c.run(ctx, o); err != nil {
			failed++
			fmt.Printf("FAIL %s: %v\n", c.name, err)
			continue
		}
		fmt.Printf("ok   %s\n", c.name)
	}
	fmt.Printf("%d passed, %d failed\n", len(checks)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// connectionString returns the connection string of a route on a host.
func (o options) connectionString(host, route, key, secret string) string {
	ip, port, _ := net.SplitHostPort(host)
	return fmt.Sprintf("host=%s port=%s dbname=%s user=%s password=%s sslmode=verify-ca sslrootcert=%s",
		ip, port, route, key, secret, o.Authority)
}

func (o options) secret() string { return "ayk_example-" + o.Key }

func (o options) connect(ctx context.Context, host, route string) (*pgx.Conn, error) {
	conn, err := pgx.Connect(ctx, o.connectionString(host, route, o.Key, o.secret()))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", host, err)
	}
	return conn, nil
}

func readYourWrites(ctx context.Context, o options) error {
	for round := range 20 {
		value := fmt.Sprintf("round-%d", round)
		for i, host := range o.Hosts {
			if err := writeThenReadElsewhere(ctx, o, host, o.Hosts[(i+1)%len(o.Hosts)], value); err != nil {
				return err
			}
		}
	}
	return nil
}

func writeThenReadElsewhere(ctx context.Context, o options, writer, reader, value string) error {
	w, err := o.connect(ctx, writer, o.Write)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close(ctx) }()
	const upsert = `INSERT INTO kv (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = $2`
	if _, err := w.Exec(ctx, upsert, "smoke", value); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	time.Sleep(requestInterval)
	r, err := o.connect(ctx, reader, o.Write)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close(ctx) }()
	return expectValue(ctx, r, value)
}

func expectValue(ctx context.Context, conn *pgx.Conn, value string) error {
	var got string
	if err := conn.QueryRow(ctx, `SELECT value FROM kv WHERE key = $1`, "smoke").Scan(&got); err != nil {
		return fmt.Errorf("read: %w", err)
	}
	if got != value {
		return eris.Errorf("read %q, want %q", got, value)
	}
	return nil
}

func transaction(ctx context.Context, o options) error {
	conn, err := o.connect(ctx, o.Hosts[0], o.Write)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	for _, commit := range []bool{true, false} {
		tx, err := conn.Begin(ctx)
		if err != nil {
			return fmt.Errorf("begin: %w", err)
		}
		value := fmt.Sprintf("commit-%v", commit)
		if _, err := tx.Exec(ctx, `UPDATE kv SET value = $2 WHERE key = $1`, "smoke", value); err != nil {
			return fmt.Errorf("update: %w", err)
		}
		end := tx.Rollback
		if commit {
			end = tx.Commit
		}
		if err := end(ctx); err != nil {
			return fmt.Errorf("end of transaction: %w", err)
		}
	}
	return expectValue(ctx, conn, "commit-true")
}

func databaseSQL(ctx context.Context, o options) error {
	for _, host := range o.Hosts {
		db, err := sql.Open("pgx", o.connectionString(host, o.Write, o.Key, o.secret()))
		if err != nil {
			return fmt.Errorf("open: %w", err)
		}
		err = queryPrepared(ctx, db)
		_ = db.Close()
		if err != nil {
			return err
		}
	}
	return nil
}

func queryPrepared(ctx context.Context, db *sql.DB) error {
	statement, err := db.PrepareContext(ctx, `SELECT value FROM kv WHERE key = $1`)
	if err != nil {
		return fmt.Errorf("prepare: %w", err)
	}
	defer func() { _ = statement.Close() }()
	for range 5 {
		var got string
		if err := statement.QueryRowContext(ctx, "smoke").Scan(&got); err != nil {
			return fmt.Errorf("query: %w", err)
		}
		if got != "commit-true" {
			return eris.Errorf("read %q, want %q", got, "commit-true")
		}
	}
	return nil
}

func openRoute(ctx context.Context, o options) error {
	conn, err := pgx.Connect(ctx, o.connectionString(o.Hosts[0], o.Open, "anyone", ""))
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close(ctx) }()
	var n int
	if err := conn.QueryRow(ctx, `SELECT count(*) FROM kv`).Scan(&n); err != nil {
		return fmt.Errorf("count: %w", err)
	}
	return nil
}

func wrongKey(ctx context.Context, o options) error {
	_, err := pgx.Connect(ctx, o.connectionString(o.Hosts[0], o.Write, o.Key, "wrong"))
	return expectSQLState(err, "28P01")
}

func refusedStatement(ctx context.Context, o options) error {
	conn, err := o.connect(ctx, o.Hosts[0], o.Write)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, `LISTEN orders`)
	return expectSQLState(err, "0A000")
}

func expectSQLState(err error, state string) error {
	var answer *pgconn.PgError
	if !errors.As(err, &answer) {
		return eris.Errorf("got error %v, want SQLSTATE %s", err, state)
	}
	if answer.Code != state {
		return eris.Errorf("got SQLSTATE %s, want %s", answer.Code, state)
	}
	return nil
}
