package capacity

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"runtime"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/internal/emulator/authority"
	"github.com/auburnyoke/auburnyoke/internal/frontend"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// catalog provides one fixed document.
type catalog struct{ document *proxy.Document }

func (c catalog) Current() (*proxy.Document, proxy.Revision) { return c.document, 1 }

func newCatalog() catalog {
	return catalog{&proxy.Document{
		Environment: "capacity",
		Groups:      []proxy.Group{{ID: "stock", Connections: 16, Slots: 2, Database: "data"}},
		Routes:      []proxy.Route{{ID: "stock", Group: "stock", Open: true, Access: proxy.Read, Timeout: time.Second}},
	}}
}

// idleBackend refuses connection requests and admits all clients' requests. Idle clients
// send none.
type idleBackend struct{}

func (idleBackend) Acquire(context.Context, proxy.ConnectionRequest) (proxy.AcquiredConnection, error) {
	return nil, proxy.Refuse(proxy.TooManyConnections, "no instance")
}

func (idleBackend) Admit(proxy.Instant, proxy.AccountID) error { return nil }

func (idleBackend) Minimum(proxy.Instant, proxy.GroupID, proxy.AccountID, string) proxy.Bookmark {
	return proxy.Bookmark{}
}

func (idleBackend) Committed(proxy.Instant, proxy.GroupID, proxy.AccountID, string, proxy.Bookmark) {}

// elapsedClock returns the time since its start.
type elapsedClock struct{ start time.Time }

func (c elapsedClock) Now() proxy.Instant { return proxy.Instant(time.Since(c.start)) }

// Frontend measures the memory of idle client connections, without and with TLS.
func Frontend() ([]Slope, error) {
	slopes := []Slope{
		{Name: "front-idle", Title: "front: memory of idle clients", SizeUnit: "clients", CostUnit: "B"},
		{Name: "front-idle-tls", Title: "front: memory of idle clients with TLS", SizeUnit: "clients", CostUnit: "B"},
	}
	for i := range slopes {
		for _, n := range []int{500, 1000, 2000, 4000} {
			cost, err := idleClients(n, i == 1)
			if err != nil {
				return nil, fmt.Errorf("%d idle clients: %w", n, err)
			}
			slopes[i].Points = append(slopes[i].Points, Point{Size: float64(n), Cost: cost})
		}
	}
	return fitAll(slopes)
}

// idleClients returns the memory that a front end uses for n idle clients. The clients
// run in the same process, but keep only a raw connection each, so nearly all of the
// growth belongs to the front end.
func idleClients(n int, secure bool) (float64, error) {
	server := &frontend.Server{
		Catalog: newCatalog(), Limiter: idleBackend{}, Acquirer: idleBackend{}, Positions: idleBackend{},
		Clock:                      elapsedClock{time.Now()},
		AllowPlaintextOnOpenRoutes: true, Logger: zerolog.Nop(),
		Limits: frontend.Limits{Sessions: 2 * n, Grace: time.Millisecond, AuthenticationTimeout: time.Minute},
	}
	config, err := tlsConfig()
	if err != nil {
		return 0, err
	}
	if secure {
		server.TLS = func() *tls.Config { return config }
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Run(ctx, listener) }()
	before := heapAndStackBytes()
	clients := make([]net.Conn, 0, n)
	for range n {
		client, err := connectIdle(listener.Addr().String(), secure)
		if err != nil {
			stop()
			return 0, err
		}
		clients = append(clients, client)
	}
	used := heapAndStackBytes() - before
	for _, client := range clients {
		_ = client.Close()
	}
	stop()
	return used, <-ended
}

// heapAndStackBytes returns the heap and stacks in use after garbage collection. Objects
// in a sync.Pool are freed only by the second collection.
func heapAndStackBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// connectIdle opens a session on the open route and returns the raw connection when the
// front end is ready for a query.
func connectIdle(address string, secure bool) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	raw := conn
	if secure {
		request, _ := (&pgproto3.SSLRequest{}).Encode(nil)
		if _, err := conn.Write(request); err != nil {
			return nil, fmt.Errorf("request TLS: %w", err)
		}
		var answer [1]byte
		if _, err := conn.Read(answer[:]); err != nil || answer[0] != 'S' {
			return nil, fmt.Errorf("TLS answer %q: %w", answer, err)
		}
		conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true}) // the certificate was issued by tlsConfig
	}
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters:      map[string]string{"user": "anyone", "database": "stock"},
	}
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(startup)
	if err := frontend.Flush(); err != nil {
		return nil, fmt.Errorf("send startup: %w", err)
	}
	for {
		message, err := frontend.Receive()
		if err != nil {
			return nil, fmt.Errorf("receive: %w", err)
		}
		switch m := message.(type) {
		case *pgproto3.ReadyForQuery:
			return raw, nil
		case *pgproto3.ErrorResponse:
			return nil, fmt.Errorf("front end refused the session: %s %s", m.Code, m.Message)
		}
	}
}

func tlsConfig() (*tls.Config, error) {
	a, err := authority.New("capacity", time.Now())
	if err != nil {
		return nil, err
	}
	certificate, key, err := a.Issue("front")
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("load certificate: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}
