package instance_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/emulator/instance"
)

// dialRaw opens a connection without pgx and returns it after the first ReadyForQuery.
func dialRaw(t *testing.T, i *instance.Instance) *pgproto3.Frontend {
	t.Helper()
	conn, err := net.Dial("tcp", i.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	f := pgproto3.NewFrontend(conn, conn)
	f.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "system", "database": "db"},
	})
	if answers := exchange(t, f, "ReadyForQuery"); !strings.HasPrefix(answers, "AuthenticationOk") {
		t.Fatal(answers)
	}
	return f
}

// exchange sends messages and returns the names of the answers up to the message
// named last. For some messages it returns a value, such as the SQLSTATE, instead.
func exchange(t *testing.T, f *pgproto3.Frontend, last string, messages ...pgproto3.FrontendMessage) string {
	t.Helper()
	for _, m := range messages {
		f.Send(m)
	}
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	var names []string
	for {
		msg, err := f.Receive()
		if err != nil {
			t.Fatalf("after %v: %v", names, err)
		}
		name := strings.TrimPrefix(fmt.Sprintf("%T", msg), "*pgproto3.")
		label := name
		switch msg := msg.(type) {
		case *pgproto3.ErrorResponse:
			label = msg.Code
		case *pgproto3.ReadyForQuery:
			label = string(msg.TxStatus)
		case *pgproto3.CommandComplete:
			label = string(msg.CommandTag)
		case *pgproto3.DataRow:
			label = string(bytes.Join(msg.Values, []byte(",")))
		}
		names = append(names, label)
		if name == last {
			return strings.Join(names, " ")
		}
	}
}

// Guards against answers that are lost, reordered or sent after an error before
// Sync, and against a pipeline that is not one transaction.
func TestPipelineSkipsToSyncAfterError(t *testing.T) {
	is := is.New(t)
	f := dialRaw(t, start(t, instance.Options{Name: "a"}))
	insert := &pgproto3.Parse{Name: "i", Query: "INSERT INTO kv VALUES ($1, $2)"}
	bind := func(key string) *pgproto3.Bind {
		return &pgproto3.Bind{PreparedStatement: "i", Parameters: [][]byte{[]byte(key), []byte("v")}}
	}
	execute, sync := &pgproto3.Execute{}, &pgproto3.Sync{}
	is.Equal(exchange(t, f, "ReadyForQuery",
		insert, bind("a"), execute, bind("a"), execute, bind("b"), execute, &pgproto3.Query{String: "SELECT 1"}, sync),
		"ParseComplete BindComplete INSERT 0 1 BindComplete 23505 I")
	is.Equal(exchange(t, f, "ReadyForQuery", &pgproto3.Query{String: "SELECT count(*) FROM kv"}),
		"RowDescription 0 SELECT 1 I")
	is.Equal(exchange(t, f, "ReadyForQuery", bind("a"), execute, bind("b"), execute, sync),
		"BindComplete INSERT 0 1 BindComplete INSERT 0 1 I")
	is.Equal(exchange(t, f, "ReadyForQuery", insert, sync), "42P05 I")
	is.Equal(exchange(t, f, "ReadyForQuery",
		&pgproto3.Close{ObjectType: 'S', Name: "i"}, &pgproto3.Describe{ObjectType: 'S', Name: "i"}, sync),
		"CloseComplete 26000 I")
}

// Guards against portals that do not stop at the row limit or that outlive their
// transaction, and against answers that are not sent at Flush.
func TestPortalsAndFlush(t *testing.T) {
	is := is.New(t)
	f := dialRaw(t, start(t, instance.Options{Name: "a"}))
	parse := &pgproto3.Parse{Query: "SELECT n, repeat('x', 2) AS payload FROM generate_series(1, $1) n"}
	bind := &pgproto3.Bind{DestinationPortal: "p", Parameters: [][]byte{[]byte("3")}}
	executeTwo := &pgproto3.Execute{Portal: "p", MaxRows: 2}
	is.Equal(exchange(t, f, "ReadyForQuery", &pgproto3.Query{String: "BEGIN"}), "BEGIN T")
	is.Equal(exchange(t, f, "PortalSuspended",
		parse, &pgproto3.Describe{ObjectType: 'S'}, bind, executeTwo, &pgproto3.Flush{}),
		"ParseComplete ParameterDescription RowDescription BindComplete 1,xx 2,xx PortalSuspended")
	is.Equal(exchange(t, f, "ReadyForQuery", executeTwo, &pgproto3.Sync{}), "3,xx SELECT 1 T")
	is.Equal(exchange(t, f, "ReadyForQuery", &pgproto3.Query{String: "COMMIT"}), "COMMIT I")
	is.Equal(exchange(t, f, "ReadyForQuery", executeTwo, &pgproto3.Sync{}), "34000 I")
	is.Equal(exchange(t, f, "ReadyForQuery", &pgproto3.Query{String: " ; "}), "EmptyQueryResponse I")
	is.Equal(exchange(t, f, "ReadyForQuery", &pgproto3.Query{String: "SELECT 1; SELECT 2"}),
		"RowDescription 1 SELECT 1 RowDescription 2 SELECT 1 I")
}

// Guards against rows that are lost or altered by COPY, and against a failed
// COPY that leaves rows or a broken connection.
func TestCopy(t *testing.T) {
	is := is.New(t)
	c := connect(t, start(t, instance.Options{Name: "a"}))
	ctx := background(t)
	rows := [][]any{{"a", "tab\t, line\n, \\."}, {"b", ""}, {"c", `\N`}}
	n, err := c.CopyFrom(ctx, pgx.Identifier{"kv"}, []string{"key", "value"}, pgx.CopyFromRows(rows))
	is.NoErr(err)
	is.Equal(n, int64(3))
	var out bytes.Buffer
	_, err = c.PgConn().CopyTo(ctx, &out, "COPY kv TO STDOUT")
	is.NoErr(err)
	run(t, c, "DELETE FROM kv")
	_, err = c.PgConn().CopyFrom(ctx, &out, "COPY kv FROM STDIN")
	is.NoErr(err)
	for _, row := range rows {
		is.Equal(text(t, c, "SELECT value FROM kv WHERE key = $1", row[0]), row[1])
	}
	out.Reset()
	_, err = c.PgConn().CopyTo(ctx, &out, "COPY (SELECT key FROM kv WHERE key = 'a') TO STDOUT (FORMAT binary)")
	is.NoErr(err)
	is.True(bytes.HasSuffix(out.Bytes(), []byte("\x00\x01\x00\x00\x00\x01a\xff\xff")))
	_, err = c.PgConn().CopyFrom(ctx, strings.NewReader("x\ty\na\tduplicate\n"), "COPY kv FROM STDIN")
	is.Equal(sqlState(err), "23505")
	is.Equal(text(t, c, "SELECT count(*)::text FROM kv"), "3")
}

// Guards against a cancel request that has no effect, affects another connection
// or needs no key.
func TestCancelRequest(t *testing.T) {
	is := is.New(t)
	i := start(t, instance.Options{Name: "a"})
	c, other := connect(t, i), connect(t, i)
	results := make(chan string, 2)
	for _, c := range []*pgx.Conn{c, other} {
		go func() {
			_, err := c.Exec(background(t), "SELECT pg_sleep($1)", 3600)
			results <- sqlState(err)
		}()
	}
	eventually(t, func() bool { return i.Status().Running == 2 })
	conn, err := net.Dial("tcp", i.Address())
	is.NoErr(err)
	wrong := &pgproto3.CancelRequest{ProcessID: other.PgConn().PID(), SecretKey: []byte{0, 0, 0, 0}}
	data, err := wrong.Encode(nil)
	is.NoErr(err)
	_, err = conn.Write(data)
	is.NoErr(err)
	_, _ = conn.Read(make([]byte, 1)) // the instance closes after the request
	is.NoErr(c.PgConn().CancelRequest(background(t)))
	is.Equal(<-results, "57014")
	is.Equal(i.Status().Running, 1)
	is.Equal(text(t, c, "SELECT 'usable'"), "usable")
	is.NoErr(other.PgConn().CancelRequest(background(t)))
	is.Equal(<-results, "57014")
}

// Guards against a wrong password or user that is accepted, against TLS that is
// offered without a certificate or not used with one, and against a newer minor
// version of the protocol that is refused.
func TestAuthentication(t *testing.T) {
	is := is.New(t)
	certificate := selfSigned(t)
	secure := start(t, instance.Options{
		Name: "a", User: "system", Password: "secret",
		TLS: &tls.Config{Certificates: []tls.Certificate{certificate}},
	})
	plain := start(t, instance.Options{Name: "b"})
	open := func(i *instance.Instance, login, mode string) string {
		c, err := pgx.Connect(background(t), "postgres://"+login+"@"+i.Address()+"/db?sslmode="+mode)
		if err != nil {
			return sqlState(err)
		}
		defer func() { _ = c.Close(context.Background()) }()
		return text(t, c, "SELECT 'in'")
	}
	is.Equal(open(secure, "system:secret", "require"), "in")
	is.Equal(open(secure, "system:secret", "disable"), "in")
	is.Equal(open(secure, "system:wrong", "require"), "28P01")
	is.Equal(open(secure, "other:secret", "require"), "28000")
	is.Equal(open(plain, "anyone", "prefer"), "in")
	is.Equal(open(plain, "anyone", "disable&max_protocol_version=3.2&application_name=x"), "in")
	is.True(strings.Contains(open(plain, "anyone", "require"), "refused TLS"))
}

func selfSigned(t *testing.T) tls.Certificate {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// Guards against an error that is held back until Sync: a client that waits for
// it before it sends Sync would wait forever.
func TestErrorIsSentWithoutSync(t *testing.T) {
	is := is.New(t)
	f := dialRaw(t, start(t, instance.Options{Name: "a"}))
	is.Equal(exchange(t, f, "ErrorResponse", &pgproto3.Parse{Query: "no statement"}, &pgproto3.Flush{}), "42601")
	is.Equal(exchange(t, f, "ReadyForQuery", &pgproto3.Sync{}), "I")
}
