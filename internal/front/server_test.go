package front_test

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/xdg-go/scram"

	"github.com/auburnyoke/auburnyoke/internal/front"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// world is a server with everything around it.
type world struct {
	*front.Server
	t        testing.TB
	instance *instance
	address  string
	stop     context.CancelFunc
	stopped  chan error

	mu        sync.Mutex
	document  *proxy.Document
	revision  proxy.Revision
	tokens    int // -1 stands for no limit
	committed []proxy.Bookmark
}

func (w *world) Current() (*proxy.Document, proxy.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.document, w.revision
}

func (w *world) Admit(proxy.Instant, proxy.AccountID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tokens == 0 {
		refusal := proxy.Refuse(proxy.ConfigurationLimit, "rate exceeded")
		refusal.RetryAfter = time.Second
		return refusal
	}
	if w.tokens > 0 {
		w.tokens--
	}
	return nil
}

func (w *world) Now() proxy.Instant { return 1 }

func (w *world) Minimum(proxy.Instant, proxy.GroupID, proxy.AccountID, string) proxy.Bookmark {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.committed) == 0 {
		return proxy.Bookmark{}
	}
	return w.committed[len(w.committed)-1]
}

func (w *world) Committed(_ proxy.Instant, _ proxy.GroupID, _ proxy.AccountID, _ string, at proxy.Bookmark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.committed = append(w.committed, at)
}

// change puts another document in force.
func (w *world) change(edit func(d *proxy.Document)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := testDocument()
	edit(next)
	w.document = next
	w.revision++
}

func (w *world) setTokens(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = n
}

const secretKey = "correct horse"

func verifier(key string) string {
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		panic(err)
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "0123456789abcdef", Iters: 4096})
	if err != nil {
		panic(err)
	}
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", stored.Iters, encode([]byte(stored.Salt)), encode(stored.StoredKey), encode(stored.ServerKey))
}

var testVerifier = verifier(secretKey)

func testDocument() *proxy.Document {
	key := func(id proxy.KeyID) []proxy.AccountKey { return []proxy.AccountKey{{ID: id, Verifier: testVerifier}} }
	return &proxy.Document{
		Accounts: []proxy.Account{
			{ID: "clerks", Weight: 3, Keys: key("clerk")},
			{ID: "weavers", Keys: key("weaver")},
		},
		Routes: []proxy.Route{
			{ID: "open", Group: "rugs", Open: true, Access: proxy.Write},
			{ID: "orders", Group: "rugs", Access: proxy.Write, Accounts: []proxy.AccountID{"clerks"}, Priority: 2},
			{ID: "stock", Group: "rugs", Access: proxy.Read},
			{ID: "short", Group: "rugs", Access: proxy.Write, Timeout: 50 * time.Millisecond},
		},
	}
}

// start runs a server until the test ends. Each edit is made before Run.
func start(t testing.TB, edits ...func(w *world)) *world {
	w := &world{t: t, instance: newInstance(t), document: testDocument(), revision: 1, tokens: -1, stopped: make(chan error, 1)}
	w.Server = &front.Server{
		Catalog: w, Limiter: w, Acquirer: w.instance, Positions: w, Clock: w, Host: 7,
		Logger: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel), Registry: metrics.NewRegistry(),
		Limits: front.Limits{Grace: time.Second, Cancel: 20 * time.Millisecond, Authentication: time.Minute},
	}
	for _, edit := range edits {
		edit(w)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.address = listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() { w.stopped <- w.Run(ctx, listener) }()
	t.Cleanup(func() {
		w.shutdown()
		if n := w.count("front.invariants.violated"); n != 0 {
			t.Errorf("%d invariants violated", n)
		}
	})
	return w
}

// shutdown stops the server and waits for its end.
func (w *world) shutdown() {
	w.stop()
	err := <-w.stopped
	if err != nil {
		w.t.Errorf("Run: %v", err)
	}
	w.stopped <- nil
}

func (w *world) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, w.Registry).Count()
}

// connect opens a session with extra connection parameters.
func (w *world) connect(user, password, database, extra string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&%s", user, password, w.address, database, extra))
	if err != nil {
		return nil, err
	}
	return pgx.ConnectConfig(context.Background(), config)
}

// session opens a session that must succeed.
func (w *world) session(database, extra string) *pgx.Conn {
	w.t.Helper()
	conn, err := w.connect("clerk", "correct%20horse", database, extra)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func code(err error) string {
	var response *pgconn.PgError
	if errors.As(err, &response) {
		return response.Code + " " + response.Detail
	}
	if err == nil {
		return "none"
	}
	return err.Error()
}

// TestSimpleQuery guards against a query on an open route that does not reach
// the instance, or whose loan is kept or broken afterwards.
func TestSimpleQuery(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn := w.session("open", "")
	var value string
	is.NoErr(conn.QueryRow(context.Background(), "select 5", pgx.QueryExecModeSimpleProtocol).Scan(&value))
	is.Equal(value, "5")
	is.Equal(w.instance.history(), []string{"select 5", "confirm"})
	is.Equal(w.instance.broken(), 0)
	is.Equal(w.instance.ask(0).Access, proxy.Write)
}

// allocated returns the live heap in bytes.
func allocated() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
