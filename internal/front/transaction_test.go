package front_test

import (
	"context"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

var background = context.Background()

// run sends texts as Query messages and returns the outcome of each.
func run(conn *pgx.Conn, texts ...string) []string {
	var outcomes []string
	for _, text := range texts {
		_, err := conn.PgConn().Exec(background, text).ReadAll()
		outcomes = append(outcomes, code(err))
	}
	return outcomes
}

// TestTransactionOwnsLoan guards against a transaction whose statements run on
// several connections, and against an acknowledged commit without confirmation.
func TestTransactionOwnsLoan(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("orders", "")
	is.Equal(run(conn, "begin", "insert", "insert", "commit"), []string{"none", "none", "none", "none"})
	is.Equal(w.instance.history(), []string{"begin", "insert", "insert", "commit", "confirm"})
	ask := w.instance.ask(-1)
	is.Equal(ask.Account, proxy.AccountID("clerks"))
	is.Equal(ask.Weight, 3)
	is.Equal(ask.Priority, 2)
	is.Equal(ask.Revision, proxy.Revision(1))
	run(conn, "select 1")
	is.Equal(w.instance.ask(1).After, proxy.Bookmark{Term: 1, Position: 5}) // what the first commit returned
	is.Equal(w.instance.ask(1).Session, ask.Session)
	is.Equal(w.instance.broken(), 0)
}

// TestAccess guards against reads that go to the primary although declared
// read-only, and against writes that are lent a replica.
func TestAccess(t *testing.T) {
	const readOnly = "default_transaction_read_only=on"
	for name, test := range map[string]struct {
		route, extra string
		texts        []string
		want         proxy.Access
	}{
		"undeclared":        {"orders", "", []string{"select 1"}, proxy.Write},
		"route":             {"stock", "", []string{"select 1"}, proxy.Read},
		"startup":           {"orders", readOnly, []string{"select 1"}, proxy.Read},
		"options":           {"orders", "options=-c%20default_transaction_read_only%3Don", []string{"select 1"}, proxy.Read},
		"set":               {"orders", "", []string{"set " + readOnly, "select 1"}, proxy.Read},
		"set and unset":     {"orders", readOnly, []string{"set default_transaction_read_only to off", "select 1"}, proxy.Write},
		"begin":             {"orders", "", []string{"begin read only"}, proxy.Read},
		"begin with more":   {"orders", "", []string{"begin read only; select 1; commit; insert"}, proxy.Write},
		"begin read write":  {"orders", "", []string{"begin read write"}, proxy.Write},
		"transaction after": {"orders", "", []string{"begin read only", "commit", "select 1"}, proxy.Write},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := start(t)
			conn := w.session(test.route, test.extra)
			run(conn, test.texts...)
			is.Equal(w.instance.ask(-1).Access, test.want)
		})
	}
}

// TestReadOnlyLoans guards against unconfirmed writes on a loan for reading.
func TestReadOnlyLoans(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("stock", "")
	is.Equal(run(conn, "set default_transaction_read_only to off", "begin read write"), []string{"25006 not run", "25006 not run"})
	run(conn, "select 1")
	is.Equal(w.instance.history(), []string{"SET default_transaction_read_only TO on", "select 1"})
	conn = w.session("orders", "")
	is.Equal(run(conn, "begin read only", "set transaction read write", "commit"), []string{"none", "25006 not run", "none"})
	w.instance.history()
	run(conn, "begin read only", "insert", "commit")
	is.Equal(w.instance.history(), []string{"begin read only", "insert", "commit", "confirm"})
}

// TestSettings guards against a SET that a later loan does not have, or that a
// rolled back transaction leaves behind.
func TestSettings(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("orders", "application_name=ledger&search_path=a,b")
	show := func(name string) string {
		var value string
		is.NoErr(conn.QueryRow(background, "show "+name, pgx.QueryExecModeSimpleProtocol).Scan(&value))
		return value
	}
	is.Equal(show("application_name"), "ledger")
	is.Equal(w.instance.history()[1], `SET "search_path" TO 'a', 'b'`)
	run(conn, "set zone to gondar")
	w.instance.swap()
	is.Equal(show("zone"), "gondar")
	run(conn, "begin", "set zone to woldia", "savepoint s", "rollback")
	w.instance.swap()
	is.Equal(show("zone"), "gondar")
	run(conn, "begin", "set zone to woldia", "commit")
	w.instance.history()
	is.Equal(show("zone"), "woldia")
	is.Equal(w.instance.history(), []string{"show zone", "confirm"}) // the connection has the state already
	_, err := conn.Exec(background, "set zone to bahir", pgx.QueryExecModeExec)
	is.NoErr(err)
	w.instance.swap()
	is.Equal(show("zone"), "bahir")
}

// TestSettingsOnOlderConnection guards against using a connection that the
// session left in an earlier state.
func TestSettingsOnOlderConnection(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("orders", "")
	run(conn, "set zone to gondar")
	older := w.instance.swap()
	run(conn, "set zone to woldia")
	w.instance.swap(older...)
	w.instance.history()
	run(conn, "show zone")
	is.Equal(w.instance.history(), []string{"RESET SESSION AUTHORIZATION", "RESET ALL", "set zone to woldia", "show zone", "confirm"})
}

// TestRefusedStatements guards against state that stays on a connection.
func TestRefusedStatements(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("orders", "")
	for _, text := range []string{"listen payouts", "create temp table t (a int)", "select pg_advisory_lock(1)", "prepare p as select 1"} {
		is.Equal(run(conn, text), []string{"0A000 not run"})
		_, err := conn.Exec(background, text, pgx.QueryExecModeExec)
		is.Equal(code(err), "0A000 not run")
	}
	is.Equal(len(w.instance.history()), 0)
	is.Equal(run(conn, "begin", "listen payouts", "select 1", "rollback", "select 2"),
		[]string{"none", "0A000 not run", "25P02 ", "none", "none"})
}

// TestLimiter guards against statements that run without a token.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("orders", "")
	w.setTokens(1)
	is.Equal(run(conn, "select 1", "select 2"), []string{"none", "53400 not run"})
	_, err := conn.Exec(background, "select 3", pgx.QueryExecModeExec)
	is.Equal(code(err), "53400 not run")
	is.Equal(w.instance.history(), []string{"select 1", "confirm"})
	w.setTokens(2)
	is.Equal(run(conn, "begin", "insert", "insert", "commit"), []string{"none", "none", "53400 not run", "none"})
	is.Equal(w.instance.history(), []string{"begin", "insert", "auburnyoke refused the statement", "commit"})
	w.setTokens(-1)
	is.Equal(run(conn, "insert"), []string{"none"})
	is.Equal(w.instance.broken(), 0)
}

// TestRefusedLoan guards against a session that cannot go on after a refusal.
func TestRefusedLoan(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("orders", "")
	w.instance.refuse(proxy.Refuse(proxy.TooManyConnections, "queue full"))
	is.Equal(run(conn, "select 1"), []string{"53300 not run"})
	_, err := conn.Exec(background, "select $1", pgx.QueryExecModeExec, "1")
	is.Equal(code(err), "53300 not run")
	w.instance.refuse(errors.New("unreachable"))
	is.Equal(run(conn, "select 1"), []string{"08006 not run"})
	w.instance.refuse(nil)
	is.Equal(run(conn, "select 1"), []string{"none"})
}
