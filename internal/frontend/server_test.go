package frontend_test

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

	"github.com/auburnyoke/auburnyoke/internal/frontend"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// harness is a running server with its instance and its configuration. It implements
// the interfaces that the server uses.
type harness struct {
	*frontend.Server
	t        testing.TB
	instance *instance
	address  string
	stop     context.CancelFunc
	stopped  chan error

	mu        sync.Mutex
	document  *proxy.Document
	revision  proxy.Revision
	tokens    int // rate tokens that are left; -1 for no limit
	committed []proxy.Bookmark
}

func (h *harness) Current() (*proxy.Document, proxy.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.document, h.revision
}

func (h *harness) Admit(proxy.Instant, proxy.AccountID) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tokens == 0 {
		refusal := proxy.Refuse(proxy.ConfigurationLimit, "rate exceeded")
		refusal.RetryAfter = time.Second
		return refusal
	}
	if h.tokens > 0 {
		h.tokens--
	}
	return nil
}

func (h *harness) Now() proxy.Instant { return 1 }

func (h *harness) Minimum(proxy.Instant, proxy.GroupID, proxy.AccountID, string) proxy.Bookmark {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.committed) == 0 {
		return proxy.Bookmark{}
	}
	return h.committed[len(h.committed)-1]
}

func (h *harness) Committed(_ proxy.Instant, _ proxy.GroupID, _ proxy.AccountID, _ string, bookmark proxy.Bookmark) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.committed = append(h.committed, bookmark)
}

// editDocument replaces the document in force by an edited testDocument.
func (h *harness) editDocument(edit func(d *proxy.Document)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := testDocument()
	edit(next)
	h.document = next
	h.revision++
}

func (h *harness) setTokens(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens = n
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

// start runs a server until the test ends. The edits are applied before Run.
func start(t testing.TB, edits ...func(h *harness)) *harness {
	h := &harness{t: t, instance: newInstance(t), document: testDocument(), revision: 1, tokens: -1, stopped: make(chan error, 1)}
	h.Server = &frontend.Server{
		Catalog: h, Limiter: h, Acquirer: h.instance, Positions: h, Clock: h, Host: 7,
		Logger: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel), Registry: metrics.NewRegistry(),
		Limits: frontend.Limits{Grace: time.Second, Cancel: 20 * time.Millisecond, AuthenticationTimeout: time.Minute},
	}
	for _, edit := range edits {
		edit(h)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.address = listener.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.stopped <- h.Run(ctx, listener) }()
	t.Cleanup(func() {
		h.shutdown()
		if n := h.count("front.invariants.violated"); n != 0 {
			t.Errorf("%d invariants violated", n)
		}
	})
	return h
}

// shutdown stops the server and waits until Run returns.
func (h *harness) shutdown() {
	h.stop()
	err := <-h.stopped
	if err != nil {
		h.t.Errorf("Run: %v", err)
	}
	h.stopped <- nil
}

func (h *harness) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, h.Registry).Count()
}

// connect opens a session with extra connection parameters.
func (h *harness) connect(user, password, database, extra string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable&%s", user, password, h.address, database, extra))
	if err != nil {
		return nil, err
	}
	return pgx.ConnectConfig(context.Background(), config)
}

// session is like connect with a valid account key. The test fails on an error.
func (h *harness) session(database, extra string) *pgx.Conn {
	h.t.Helper()
	conn, err := h.connect("clerk", "correct%20horse", database, extra)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// code returns the SQLSTATE and the detail of an error response, "none" for nil, and
// otherwise the error's text.
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

// TestSimpleQuery guards against a query on an open route that does not reach the
// instance, or whose connection is not released or is closed afterwards.
func TestSimpleQuery(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn := h.session("open", "")
	var value string
	is.NoErr(conn.QueryRow(context.Background(), "select 5", pgx.QueryExecModeSimpleProtocol).Scan(&value))
	is.Equal(value, "5")
	is.Equal(h.instance.history(), []string{"select 5", "confirm"})
	is.Equal(h.instance.broken(), 0)
	is.Equal(h.instance.request(0).Access, proxy.Write)
}

// liveHeap returns the bytes of live heap objects after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
