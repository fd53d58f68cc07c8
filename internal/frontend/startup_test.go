package frontend_test

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

// startupPacket builds a startup packet with the given length field, or with the right
// one if length is negative.
func startupPacket(length int, code uint32, body string) []byte {
	b := make([]byte, 8, 8+len(body))
	binary.BigEndian.PutUint32(b[4:], code)
	b = append(b, body...)
	if length < 0 {
		length = len(b)
	}
	binary.BigEndian.PutUint32(b, uint32(length))
	return b
}

// refusedWith sends bytes, closes the sending side and returns the severity and
// SQLSTATE of the error response.
func (h *harness) refusedWith(bytes []byte) string {
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(bytes); err != nil {
		h.t.Fatal(err)
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

// TestStartupRefusals guards against malformed startup packets that crash or block the
// server, or are refused without an error response.
func TestStartupRefusals(t *testing.T) {
	h := start(t)
	const version = pgproto3.ProtocolVersion30
	for name, test := range map[string]struct {
		bytes []byte
		want  string
	}{
		"oversized":       {startupPacket(20_000, version, ""), "FATAL 08P01"},
		"negative length": {startupPacket(0xfffffff0, version, ""), "FATAL 08P01"},
		"too short":       {startupPacket(4, version, ""), "FATAL 08P01"},
		"truncated":       {startupPacket(100, version, "user\x00"), "FATAL 08P01"},
		"empty":           {startupPacket(-1, version, ""), "FATAL 08P01"},
		"no terminator":   {startupPacket(-1, version, "user\x00clerk"), "FATAL 08P01"},
		"no user":         {startupPacket(-1, version, "database\x00open\x00\x00"), "FATAL 28000"},
		"protocol 2":      {startupPacket(-1, 2<<16, "x"), "FATAL 08P01"},
		"replication":     {startupPacket(-1, version, "user\x00a\x00database\x00open\x00replication\x00true\x00\x00"), "FATAL 0A000"},
		"bad setting":     {startupPacket(-1, version, "user\x00a\x00database\x00open\x00a;b\x00c\x00\x00"), "FATAL 22023"},
		"bad options":     {startupPacket(-1, version, "user\x00a\x00database\x00open\x00options\x00-x\x00\x00"), "FATAL 22023"},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(h.refusedWith(test.bytes), test.want)
		})
	}
}

// TestAuthentication guards against admitting a wrong key, and against errors by which
// a client can distinguish unknown keys from wrong ones.
func TestAuthentication(t *testing.T) {
	var log strings.Builder
	h := start(t, func(h *harness) { h.Logger = zerolog.New(&log) })
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
			conn, err := h.connect(test.user, test.password, test.route, "")
			is.Equal(code(err), test.want)
			if err == nil {
				is.NoErr(conn.Close(context.Background()))
			}
		})
	}
	h.editDocument(func(d *proxy.Document) { d.Accounts[0].Keys[0].Withdrawn = true })
	_, err := h.connect("clerk", "correct%20horse", "orders", "")
	is := is.New(t)
	is.Equal(code(err), "28P01 not run")
	h.shutdown()
	is.True(!strings.Contains(log.String(), "horse"))
}

// TestNewerProtocol guards against refusing clients with a newer minor version, and
// against not informing them of the version that the server uses.
func TestNewerProtocol(t *testing.T) {
	is := is.New(t)
	h := start(t)
	conn, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(startupPacket(-1, 3<<16|9, "user\x00a\x00database\x00open\x00_pq_.x\x00y\x00\x00"))
	is.NoErr(err)
	frontend := pgproto3.NewFrontend(conn, conn)
	message, err := frontend.Receive()
	is.NoErr(err)
	negotiation, ok := message.(*pgproto3.NegotiateProtocolVersion)
	is.True(ok)
	is.Equal(negotiation.NewestMinorProtocol, uint32(pgproto3.ProtocolVersion32))
	is.Equal(negotiation.UnrecognizedOptions, []string{"_pq_.x"})
	got := h.replies(frontend, 1)
	is.Equal(got[len(got)-1], "ready I")
}

// TestNoDocument guards against a host that admits clients without a configuration
// document.
func TestNoDocument(t *testing.T) {
	h := start(t, func(h *harness) { h.document, h.revision = nil, 0 })
	_, err := h.connect("clerk", "correct%20horse", "orders", "")
	is.New(t).Equal(code(err), "57P03 not run")
}

// TestAuthenticationTimeout guards against clients that occupy a connection without
// authenticating: they send nothing, or stop in the middle of the SCRAM exchange.
func TestAuthenticationTimeout(t *testing.T) {
	h := start(t, func(h *harness) { h.Limits.AuthenticationTimeout = 30 * time.Millisecond })
	for _, sent := range [][]byte{nil, startupPacket(-1, pgproto3.ProtocolVersion30, "user\x00clerk\x00database\x00orders\x00\x00")} {
		is := is.New(t)
		conn, err := net.Dial("tcp", h.address)
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

// TestTLS guards against account keys on connections without TLS, and against TLS
// connections that do not work.
func TestTLS(t *testing.T) {
	is := is.New(t)
	config := certificate(t)
	h := start(t, func(h *harness) {
		h.TLS = func() *tls.Config { return config }
		h.AllowPlaintextOnOpenRoutes = true
	})
	_, err := h.connect("clerk", "correct%20horse", "orders", "")
	is.Equal(code(err), "28000 not run")
	_, err = h.connect("clerk", "correct%20horse", "open", "")
	is.NoErr(err)
	parsed, err := pgx.ParseConfig("postgres://clerk:correct%20horse@" + h.address + "/orders?sslmode=require")
	is.NoErr(err)
	conn, err := pgx.ConnectConfig(context.Background(), parsed)
	is.NoErr(err)
	var value string
	is.NoErr(conn.QueryRow(context.Background(), "select $1", "6").Scan(&value))
	is.Equal(value, "6")
	is.NoErr(conn.Close(context.Background()))
}

// TestPlainTextBeforeTLS guards against accepting a startup message that is sent in
// plain text behind an SSLRequest as part of the encrypted connection.
func TestPlainTextBeforeTLS(t *testing.T) {
	is := is.New(t)
	config := certificate(t)
	h := start(t, func(h *harness) { h.TLS = func() *tls.Config { return config } })
	conn, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	_, err = conn.Write(append(startupPacket(-1, 80877103, ""), startupPacket(-1, pgproto3.ProtocolVersion30, "user\x00a\x00database\x00open\x00\x00")...))
	is.NoErr(err)
	answer := make([]byte, 1)
	_, err = conn.Read(answer)
	is.NoErr(err)
	is.Equal(string(answer), "S")
	err = tls.Client(conn, &tls.Config{InsecureSkipVerify: true}).Handshake()
	is.True(err != nil)
	is.Equal(len(h.Sessions()), 0)
}
