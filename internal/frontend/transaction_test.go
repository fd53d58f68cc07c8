package frontend_test

import (
	"context"
	"errors"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

var background = context.Background()

// run sends texts as Query messages and returns the code of each result.
func run(conn *pgx.Conn, texts ...string) []string {
	var outcomes []string
	for _, text := range texts {
		_, err := conn.PgConn().Exec(background, text).ReadAll()
		outcomes = append(outcomes, code(err))
	}
	return outcomes
}

// TestTransactionUsesOneConnection guards against a transaction whose statements run on
// several connections, and against a commit that is acknowledged without confirmation.
func TestTransactionUsesOneConnection(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("orders", "")
	is.Equal(run(conn, "begin", "insert", "insert", "commit"), []string{"none", "none", "none", "none"})
	is.Equal(h.instance.history(), []string{"begin", "insert", "insert", "commit", "confirm"})
	request := h.instance.request(-1)
	is.Equal(request.Account, proxy.AccountID("clerks"))
	is.Equal(request.Weight, 3)
	is.Equal(request.Priority, 2)
	is.Equal(request.Revision, proxy.Revision(1))
	run(conn, "select 1")
	is.Equal(h.instance.request(1).After, proxy.Bookmark{Term: 1, Position: 5}) // the bookmark of the first commit
	is.Equal(h.instance.request(1).Session, request.Session)
	is.Equal(h.instance.broken(), 0)
}

// TestAccess guards against requesting a connection for writing for a transaction that
// is declared read-only, and against requesting one for reading for any other.
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
			h := start(t)
			conn := h.session(test.route, test.extra)
			run(conn, test.texts...)
			is.Equal(h.instance.request(-1).Access, test.want)
		})
	}
}

// TestReadOnlyConnections guards against unconfirmed writes on a connection that was
// acquired for reading.
func TestReadOnlyConnections(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("stock", "")
	is.Equal(run(conn, "set default_transaction_read_only to off", "begin read write"), []string{"25006 not run", "25006 not run"})
	run(conn, "select 1")
	is.Equal(h.instance.history(), []string{"SET default_transaction_read_only TO on", "select 1"})
	conn = h.session("orders", "")
	is.Equal(run(conn, "begin read only", "set transaction read write", "commit"), []string{"none", "25006 not run", "none"})
	h.instance.history()
	run(conn, "begin read only", "insert", "commit")
	is.Equal(h.instance.history(), []string{"begin read only", "insert", "commit", "confirm"})
}

// TestSettings guards against a SET that is missing on a connection acquired later, or
// that stays in effect after its transaction was rolled back.
func TestSettings(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("orders", "application_name=ledger&search_path=a,b")
	show := func(name string) string {
		var value string
		is.NoErr(conn.QueryRow(background, "show "+name, pgx.QueryExecModeSimpleProtocol).Scan(&value))
		return value
	}
	is.Equal(show("application_name"), "ledger")
	is.Equal(h.instance.history()[1], `SET "search_path" TO 'a', 'b'`)
	run(conn, "set zone to gondar")
	h.instance.swap()
	is.Equal(show("zone"), "gondar")
	run(conn, "begin", "set zone to woldia", "savepoint s", "rollback")
	h.instance.swap()
	is.Equal(show("zone"), "gondar")
	run(conn, "begin", "set zone to woldia", "commit")
	h.instance.history()
	is.Equal(show("zone"), "woldia")
	is.Equal(h.instance.history(), []string{"show zone", "confirm"}) // the connection already has the settings
	_, err := conn.Exec(background, "set zone to bahir", pgx.QueryExecModeExec)
	is.NoErr(err)
	h.instance.swap()
	is.Equal(show("zone"), "bahir")
}

// TestSettingsOnOlderConnection guards against using a connection with the settings
// that the session had when it released that connection.
func TestSettingsOnOlderConnection(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("orders", "")
	run(conn, "set zone to gondar")
	older := h.instance.swap()
	run(conn, "set zone to woldia")
	h.instance.swap(older...)
	h.instance.history()
	run(conn, "show zone")
	is.Equal(h.instance.history(), []string{"RESET SESSION AUTHORIZATION", "RESET ALL", "set zone to woldia", "show zone", "confirm"})
}

// TestRefusedStatements guards against statements that leave state on a connection
// which the proxy does not track, such as LISTEN and temporary tables.
func TestRefusedStatements(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("orders", "")
	for _, text := range []string{"listen payouts", "create temp table t (a int)", "select pg_advisory_lock(1)", "prepare p as select 1"} {
		is.Equal(run(conn, text), []string{"0A000 not run"})
		_, err := conn.Exec(background, text, pgx.QueryExecModeExec)
		is.Equal(code(err), "0A000 not run")
	}
	is.Equal(len(h.instance.history()), 0)
	is.Equal(run(conn, "begin", "listen payouts", "select 1", "rollback", "select 2"),
		[]string{"none", "0A000 not run", "25P02 ", "none", "none"})
}

// TestLimiter guards against statements that run without a rate token.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("orders", "")
	h.setTokens(1)
	is.Equal(run(conn, "select 1", "select 2"), []string{"none", "53400 not run"})
	_, err := conn.Exec(background, "select 3", pgx.QueryExecModeExec)
	is.Equal(code(err), "53400 not run")
	is.Equal(h.instance.history(), []string{"select 1", "confirm"})
	h.setTokens(2)
	is.Equal(run(conn, "begin", "insert", "insert", "commit"), []string{"none", "none", "53400 not run", "none"})
	is.Equal(h.instance.history(), []string{"begin", "insert", "auburnyoke refused the statement", "commit"})
	h.setTokens(-1)
	is.Equal(run(conn, "insert"), []string{"none"})
	is.Equal(h.instance.broken(), 0)
}

// TestAcquireRefused guards against a session that cannot continue after a request for
// a connection was refused.
func TestAcquireRefused(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("orders", "")
	h.instance.refuse(proxy.Refuse(proxy.TooManyConnections, "queue full"))
	is.Equal(run(conn, "select 1"), []string{"53300 not run"})
	_, err := conn.Exec(background, "select $1", pgx.QueryExecModeExec, "1")
	is.Equal(code(err), "53300 not run")
	h.instance.refuse(errors.New("unreachable"))
	is.Equal(run(conn, "select 1"), []string{"08006 not run"})
	h.instance.refuse(nil)
	is.Equal(run(conn, "select 1"), []string{"none"})
}
