package frontend_test

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

// FuzzStartup guards against startup packets that crash the server, get an answer that
// does not conform to the protocol, or are admitted without a key to a route that
// requires one.
func FuzzStartup(f *testing.F) {
	h := start(f)
	f.Add(startupPacket(-1, pgproto3.ProtocolVersion30, "user\x00a\x00database\x00orders\x00\x00"))
	f.Add(append(startupPacket(-1, 80877104, ""), startupPacket(-1, 80877103, "")...))
	f.Fuzz(func(t *testing.T, input []byte) {
		conn, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Skip(err)
		}
		defer func() { _ = conn.Close() }()
		go func() {
			_, _ = conn.Write(input)
			_ = conn.(*net.TCPConn).CloseWrite()
		}()
		answer, _ := io.ReadAll(conn)
		answer = bytes.TrimLeft(answer, "N") // the answer to requests for encryption
		frontend := pgproto3.NewFrontend(bytes.NewReader(answer), io.Discard)
		for {
			message, err := frontend.Receive()
			if err == io.ErrUnexpectedEOF || err == io.EOF {
				break
			}
			if err != nil {
				t.Fatalf("answer %q: %v", answer, err)
			}
			if _, admitted := message.(*pgproto3.AuthenticationOk); admitted && !bytes.Contains(input, []byte("open")) {
				t.Fatalf("admitted without a key by %q", input)
			}
		}
	})
}
