package instance_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
)

// controlRequest performs a control request and returns the status code.
func controlRequest(t *testing.T, i *instance.Instance, method, path, body string, answer any) int {
	t.Helper()
	r, err := http.NewRequestWithContext(background(t), method, "http://"+i.ControlAddress()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if answer != nil {
		if err := json.Unmarshal(data, answer); err != nil {
			t.Fatal(err)
		}
	}
	return response.StatusCode
}

// startInsert starts an INSERT and returns the channel of its outcome.
func startInsert(ctx context.Context, c *pgx.Conn) chan error {
	result := make(chan error, 1)
	go func() {
		_, err := c.Exec(ctx, "INSERT INTO kv VALUES ('k', '1') ON CONFLICT DO NOTHING")
		result <- err
	}()
	return result
}

// Guards against an unresponsive connection that answers again or still executes
// statements, and against a silence request that affects other or new connections.
func TestSilence(t *testing.T) {
	is := is.New(t)
	i := start(t, instance.Options{Name: "a"})
	unresponsive, other := connect(t, i), connect(t, i)
	ctx, cancel := context.WithCancel(background(t))
	is.True(i.Silence(unresponsive.PgConn().PID()))
	first := startInsert(ctx, unresponsive)
	is.NoErr(<-startInsert(ctx, other))
	run(t, other, "DELETE FROM kv")
	var count struct{ Count int }
	is.Equal(controlRequest(t, i, "POST", "/silence", `{"all": true}`, &count), 200)
	is.Equal(count.Count, 2)
	second := startInsert(ctx, other)
	c := connect(t, i)
	is.Equal(text(t, c, "SELECT count(*)::text FROM kv"), "0")
	cancel()
	is.True(errors.Is(<-first, context.Canceled))
	is.True(errors.Is(<-second, context.Canceled))
	is.Equal(text(t, c, "SELECT count(*)::text FROM kv"), "0")
	is.Equal(controlRequest(t, i, "POST", "/silence", `{"pid": 999}`, nil), 404)
}

// Guards against a running statement whose answer is still sent after its connection
// was made unresponsive, or that is stopped by this.
func TestSilenceOfRunningStatement(t *testing.T) {
	is := is.New(t)
	i := start(t, instance.Options{Name: "a"})
	holder, unresponsive := connect(t, i), connect(t, i)
	run(t, holder, "BEGIN; INSERT INTO kv VALUES ('k', '0')")
	ctx, cancel := context.WithCancel(background(t))
	defer cancel()
	outcome := make(chan error, 1)
	go func() {
		_, err := unresponsive.Exec(ctx, "INSERT INTO kv VALUES ('k', '1') ON CONFLICT (key) DO UPDATE SET value = '1'")
		outcome <- err
	}()
	eventually(t, func() bool { return i.Engine().Waiters() == 1 })
	is.True(i.Silence(unresponsive.PgConn().PID()))
	run(t, holder, "COMMIT")
	eventually(t, func() bool { return text(t, holder, "SELECT value FROM kv") == "1" })
	cancel()
	is.True(errors.Is(<-outcome, context.Canceled))
}

// Guards against limits that are not enforced or not measured, and against control
// requests that do not change the named faults or change others.
func TestLimitsOverControl(t *testing.T) {
	is := is.New(t)
	i := start(t, instance.Options{Name: "a", Faults: instance.DefaultFaults()})
	var faults instance.Faults
	is.Equal(controlRequest(t, i, "PUT", "/faults", `{"slots": 2, "connections": 4, "lag": "50ms"}`, &faults), 200)
	is.Equal(faults, instance.Faults{Slots: 2, Connections: 4, Lag: 50 * time.Millisecond, Cost: instance.DefaultCost})
	is.Equal(i.Faults(), faults)
	is.Equal(controlRequest(t, i, "PUT", "/faults", `{"slots": -1}`, nil), 400)
	is.Equal(controlRequest(t, i, "PUT", "/faults", `{"slot": 1}`, nil), 400)
	is.Equal(i.Faults(), faults)
	is.Equal(controlRequest(t, i, "POST", "/follow", `{"address": ""}`, nil), 400)
	is.True(i.Status().Primary)

	var clients []*pgx.Conn
	for range 4 {
		clients = append(clients, connect(t, i))
	}
	_, err := pgx.Connect(background(t), "postgres://x@"+i.Address()+"/db?sslmode=disable")
	is.Equal(sqlState(err), "53300")
	results := make(chan error, 3)
	for _, c := range clients[:3] {
		go func() {
			_, err := c.Exec(background(t), "SELECT pg_sleep(0.05)")
			results <- err
		}()
	}
	for range 3 {
		is.NoErr(<-results)
	}
	s := i.Status()
	is.Equal(s.PeakRunning, 2)
	is.Equal(s.PeakConnections, 5)
	is.Equal(s.RefusedConnections, 1)

	is.Equal(controlRequest(t, i, "PUT", "/faults", `{"refuse": true, "connections": 0}`, nil), 200)
	_, err = pgx.Connect(background(t), "postgres://x@"+i.Address()+"/db?sslmode=disable")
	is.True(err != nil)
	is.Equal(text(t, clients[0], "SELECT 'open'"), "open")
	is.Equal(controlRequest(t, i, "PUT", "/faults", `{"refuse": false, "delay": "1ms"}`, nil), 200)
	is.Equal(text(t, connect(t, i), "SELECT 'open'"), "open")
}
