package front_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// packet builds a startup packet with a length of its own or a false one.
func packet(length int, code uint32, body string) []byte {
	b := make([]byte, 8, 8+len(body))
	binary.BigEndian.PutUint32(b[4:], code)
	b = append(b, body...)
	if length < 0 {
		length = len(b)
	}
	binary.BigEndian.PutUint32(b, uint32(length))
	return b
}

// refusedWith sends bytes, closes the sending side and returns the SQLSTATE of
// the error that comes back.
func (w *world) refusedWith(bytes []byte) string {
	conn, err := net.Dial("tcp", w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(bytes); err != nil {
		w.t.Fatal(err)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	message, err := pgproto3.NewFrontend(conn, conn).Receive()
	if err != nil {
		return err.Error()
	}
	response, ok := message.(*pgproto3.ErrorResponse)
	if !ok {
		return "no error"
	}
	return response.Severity + " " + response.Code
}

// TestStartupRefusals guards against startup packets that crash the server,
// hold it, or are refused without a reason.
func TestStartupRefusals(t *testing.T) {
	w := start(t)
	const version = pgproto3.ProtocolVersion30
	for name, test := range map[string]struct {
		bytes []byte
		want  string
	}{
		"oversized":       {packet(20_000, version, ""), "FATAL 08P01"},
		"negative length": {packet(0xfffffff0, version, ""), "FATAL 08P01"},
		"too short":       {packet(4, version, ""), "FATAL 08P01"},
		"truncated":       {packet(100, version, "user\x00"), "FATAL 08P01"},
		"empty":           {packet(-1, version, ""), "FATAL 08P01"},
		"no terminator":   {packet(-1, version, "user\x00clerk"), "FATAL 08P01"},
		"no user":         {packet(-1, version, "database\x00open\x00\x00"), "FATAL 28000"},
		"protocol 2":      {packet(-1, 2<<16, "x"), "FATAL 08P01"},
		"replication":     {packet(-1, version, "user\x00a\x00database\x00open\x00replication\x00true\x00\x00"), "FATAL 0A000"},
		"bad setting":     {packet(-1, version, "user\x00a\x00database\x00open\x00a;b\x00c\x00\x00"), "FATAL 22023"},
		"bad options":     {packet(-1, version, "user\x00a\x00database\x00open\x00options\x00-x\x00\x00"), "FATAL 22023"},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(w.refusedWith(test.bytes), test.want)
		})
	}
}

// TestAuthentication guards against admitting a wrong key, and against errors
// that tell unknown keys from wrong ones.
func TestAuthentication(t *testing.T) {
	var log strings.Builder
	w := start(t, func(w *world) { w.Logger = zerolog.New(&log) })
	for name, test := range map[string]struct{ user, password, route, want string }{
		"admitted":      {"clerk", "correct%20horse", "orders", "none"},
		"wrong key":     {"clerk", "wrong", "orders", "28P01 not run"},
		"unknown key":   {"nobody", "wrong", "orders", "28P01 not run"},
		"unknown route": {"clerk", "correct%20horse", "absent", "3D000 not run"},
		"not on list":   {"weaver", "correct%20horse", "orders", "28000 not run"},
		"no list":       {"weaver", "correct%20horse", "stock", "none"},
		"hidden route":  {"nobody", "wrong", "absent", "28P01 not run"},
		"open":          {"anyone", "", "open", "none"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := w.connect(test.user, test.password, test.route, "")
			is.Equal(code(err), test.want)
			if err == nil {
				is.NoErr(conn.Close(context.Background()))
			}
		})
	}
	w.change(func(d *proxy.Document) { d.Accounts[0].Keys[0].Withdrawn = true })
	_, err := w.connect("clerk", "correct%20horse", "orders", "")
	is := is.New(t)
	is.Equal(code(err), "28P01 not run")
	w.shutdown()
	is.True(!strings.Contains(log.String(), "horse"))
}

// TestNewerProtocol guards against clients with a newer minor version that are
// turned away, or that do not learn of the older one.
func TestNewerProtocol(t *testing.T) {
	is := is.New(t)
	w := start(t)
	conn, err := net.Dial("tcp", w.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(packet(-1, 3<<16|9, "user\x00a\x00database\x00open\x00_pq_.x\x00y\x00\x00"))
	is.NoErr(err)
	frontend := pgproto3.NewFrontend(conn, conn)
	message, err := frontend.Receive()
	is.NoErr(err)
	negotiation, ok := message.(*pgproto3.NegotiateProtocolVersion)
	is.True(ok)
	is.Equal(negotiation.NewestMinorProtocol, uint32(pgproto3.ProtocolVersion32))
	is.Equal(negotiation.UnrecognizedOptions, []string{"_pq_.x"})
	got := w.replies(frontend, 1)
	is.Equal(got[len(got)-1], "ready I")
}

// TestNoDocument guards against a host that serves without a configuration.
func TestNoDocument(t *testing.T) {
	w := start(t, func(w *world) { w.document, w.revision = nil, 0 })
	_, err := w.connect("clerk", "correct%20horse", "orders", "")
	is.New(t).Equal(code(err), "57P03 not run")
}

// TestAuthenticationTimeout guards against clients that connect and send
// nothing, or stop in the middle of the exchange.
func TestAuthenticationTimeout(t *testing.T) {
	w := start(t, func(w *world) { w.Limits.Authentication = 30 * time.Millisecond })
	for _, sent := range [][]byte{nil, packet(-1, pgproto3.ProtocolVersion30, "user\x00clerk\x00database\x00orders\x00\x00")} {
		is := is.New(t)
		conn, err := net.Dial("tcp", w.address)
		is.NoErr(err)
		_, err = conn.Write(sent)
		is.NoErr(err)
		frontend := pgproto3.NewFrontend(conn, conn)
		for {
			message, err := frontend.Receive()
			is.NoErr(err)
			if response, ok := message.(*pgproto3.ErrorResponse); ok {
				is.Equal(response.Code, string(proxy.ConnectionRejected))
				break
			}
		}
		is.NoErr(conn.Close())
	}
}

func certificate(t *testing.T) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, MinVersion: tls.VersionTLS12}
}

// TestTLS guards against keys and data on connections without TLS.
func TestTLS(t *testing.T) {
	is := is.New(t)
	config := certificate(t)
	w := start(t, func(w *world) {
		w.TLS = func() *tls.Config { return config }
		w.PlainOpen = true
	})
	_, err := w.connect("clerk", "correct%20horse", "orders", "")
	is.Equal(code(err), "28000 not run")
	_, err = w.connect("clerk", "correct%20horse", "open", "")
	is.NoErr(err)
	parsed, err := pgx.ParseConfig("postgres://clerk:correct%20horse@" + w.address + "/orders?sslmode=require")
	is.NoErr(err)
	conn, err := pgx.ConnectConfig(context.Background(), parsed)
	is.NoErr(err)
	var value string
	is.NoErr(conn.QueryRow(context.Background(), "select $1", "6").Scan(&value))
	is.Equal(value, "6")
	is.NoErr(conn.Close(context.Background()))
}

// TestPlainTextBeforeTLS guards against a startup message that is sent in plain
// text behind an SSLRequest and taken as part of the secured connection.
func TestPlainTextBeforeTLS(t *testing.T) {
	is := is.New(t)
	config := certificate(t)
	w := start(t, func(w *world) { w.TLS = func() *tls.Config { return config } })
	conn, err := net.Dial("tcp", w.address)
	is.NoErr(err)
	_, err = conn.Write(append(packet(-1, 80877103, ""), packet(-1, pgproto3.ProtocolVersion30, "user\x00a\x00database\x00open\x00\x00")...))
	is.NoErr(err)
	answer := make([]byte, 1)
	_, err = conn.Read(answer)
	is.NoErr(err)
	is.Equal(string(answer), "S")
	err = tls.Client(conn, &tls.Config{InsecureSkipVerify: true}).Handshake()
	is.True(err != nil)
	is.Equal(len(w.Sessions()), 0)
}
