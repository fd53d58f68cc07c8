package frontend

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Limits of the length of a startup packet in bytes, the same as in PostgreSQL.
const (
	minStartupLength = 8
	maxStartupLength = 10_000
)

// Request codes that a startup packet has in place of a protocol version.
const (
	cancelCode = 80877102
	sslCode    = 80877103
	gssCode    = 80877104
)

// protocolOptionPrefix is the prefix of startup parameters that are protocol options
// and not settings.
const protocolOptionPrefix = "_pq_."

// maxNegotiations permits one SSLRequest and one GSSENCRequest.
const maxNegotiations = 2

// maxUnauthenticatedMessage limits the message length in bytes of clients that are not
// authenticated yet.
const maxUnauthenticatedMessage = 16 << 10

// withKnownVersion returns the packet with a supported version: a minor version that
// the server does not know is replaced by the newest supported one below it. The
// client is informed by NegotiateProtocolVersion.
func (p startupPacket) withKnownVersion() startupPacket {
	code := p.code()
	if code == pgproto3.ProtocolVersion30 || code == pgproto3.ProtocolVersion32 {
		return p
	}
	version := uint32(pgproto3.ProtocolVersion32)
	if code < version {
		version = pgproto3.ProtocolVersion30
	}
	return append(binary.BigEndian.AppendUint32(nil, version), p[4:]...)
}

// startupPacket is a startup packet without its length field.
type startupPacket []byte

func (p startupPacket) code() uint32 { return binary.BigEndian.Uint32(p) }

// readStartupPacket reads one startup packet. It reads no byte beyond it, so that plain
// text sent ahead of a TLS handshake is never accepted as part of the encrypted
// connection.
func readStartupPacket(r io.Reader) (startupPacket, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("read startup packet: %w", err)
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < minStartupLength || length > maxStartupLength {
		return nil, proxy.Refuse(proxy.ProtocolViolation,
			"startup packet of %d bytes: want %d to %d", length, minStartupLength, maxStartupLength)
	}
	body := make(startupPacket, length-4)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, proxy.Refuse(proxy.ProtocolViolation,
				"startup packet ends before its length of %d bytes", length)
		}
		return nil, fmt.Errorf("read startup packet: %w", err)
	}
	return body, nil
}

// startSession authenticates a client and returns its session. After a cancel request
// it returns neither a session nor an error.
func (s *Server) startSession(c *client) (*session, error) {
	conn, body, err := s.negotiateEncryption(c)
	if err != nil {
		return nil, reject(conn, err)
	}
	if body.code() == cancelCode {
		var request pgproto3.CancelRequest
		if err := request.Decode(body); err == nil {
			s.handleCancelRequest(request.ProcessID, request.SecretKey)
		}
		return nil, nil
	}
	session, err := s.openSession(c, conn, body)
	if err != nil {
		return nil, reject(conn, err)
	}
	_ = conn.SetDeadline(time.Time{})
	return session, nil
}

// negotiateEncryption answers SSLRequest and GSSENCRequest. It returns the connection,
// which is a *tls.Conn if TLS was negotiated, and the first packet of another kind.
func (s *Server) negotiateEncryption(conn net.Conn) (net.Conn, startupPacket, error) {
	for i := 0; ; i++ {
		body, err := readStartupPacket(conn)
		if err != nil {
			return conn, nil, err
		}
		code := body.code()
		if code != sslCode && code != gssCode {
			return conn, body, nil
		}
		if i >= maxNegotiations {
			return conn, nil, proxy.Refuse(proxy.ProtocolViolation, "too many requests for encryption")
		}
		_, encrypted := conn.(*tls.Conn)
		if code == gssCode || s.TLS == nil || encrypted {
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return conn, nil, fmt.Errorf("answer request for encryption: %w", err)
			}
			continue
		}
		if _, err := conn.Write([]byte{'S'}); err != nil {
			return conn, nil, fmt.Errorf("answer request for encryption: %w", err)
		}
		tlsConn := tls.Server(conn, s.TLS())
		if err := tlsConn.Handshake(); err != nil {
			return conn, nil, fmt.Errorf("TLS handshake: %w", err)
		}
		conn = tlsConn
	}
}

// openSession authenticates a client, registers its session and sends the messages up
// to ReadyForQuery.
func (s *Server) openSession(c *client, conn net.Conn, body startupPacket) (*session, error) {
	startup, err := decodeStartup(body)
	if err != nil {
		return nil, err
	}
	reader := newMessageReader(conn)
	backend := &startupBackend{Backend: pgproto3.NewBackend(nil, conn), reader: reader}
	negotiateVersion(backend, body.code(), startup)
	client, err := s.identify(conn, backend, startup)
	if err != nil {
		return nil, err
	}
	reader.limit = s.Limits.MessageBytes
	session, err := s.newSession(c, conn, reader, client, startup)
	if err != nil {
		return nil, err
	}
	if err := session.sendStartupReplies(backend, startup); err != nil {
		s.unregister(session)
		return nil, err
	}
	return session, nil
}

// negotiateVersion queues NegotiateProtocolVersion if the server does not support the
// requested minor version or one of the protocol options.
func negotiateVersion(backend *startupBackend, requested uint32, startup *pgproto3.StartupMessage) {
	var unknown []string
	for name := range startup.Parameters {
		if strings.HasPrefix(name, protocolOptionPrefix) {
			unknown = append(unknown, name)
		}
	}
	if requested == startup.ProtocolVersion && len(unknown) == 0 {
		return
	}
	slices.Sort(unknown)
	backend.Send(&pgproto3.NegotiateProtocolVersion{
		// PostgreSQL sends the major and minor version here, and clients expect both.
		NewestMinorProtocol: startup.ProtocolVersion,
		UnrecognizedOptions: unknown,
	})
}

// decodeStartup decodes and checks a startup message.
func decodeStartup(body startupPacket) (*pgproto3.StartupMessage, error) {
	if code := body.code(); code>>16 != pgproto3.ProtocolVersion30>>16 {
		return nil, proxy.Refuse(proxy.ProtocolViolation, "protocol version %d.%d: want 3.0", code>>16, code&0xffff)
	}
	body = body.withKnownVersion()
	message := &pgproto3.StartupMessage{}
	if err := message.Decode(body); err != nil {
		return nil, proxy.Refuse(proxy.ProtocolViolation, "malformed startup message: %v", err)
	}
	if message.Parameters["user"] == "" {
		return nil, proxy.Refuse(proxy.InvalidAuthorization, "startup message without user: want an account key's name")
	}
	if message.Parameters["database"] == "" {
		message.Parameters["database"] = message.Parameters["user"]
	}
	if value, ok := message.Parameters["replication"]; ok && value != "false" && value != "off" && value != "0" {
		return nil, proxy.Refuse(proxy.FeatureNotSupported, "replication connections are not supported")
	}
	return message, nil
}

// sendStartupReplies sends the messages from AuthenticationOk to ReadyForQuery.
func (s *session) sendStartupReplies(backend *startupBackend, startup *pgproto3.StartupMessage) error {
	backend.Send(&pgproto3.AuthenticationOk{})
	for name, value := range s.server.reportedParameters(startup.Parameters) {
		backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	backend.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: s.secret})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	if err := backend.Flush(); err != nil {
		return fmt.Errorf("send startup replies: %w", err)
	}
	return nil
}

// reportedParameters returns the parameters that clients expect at startup. No
// connection to an instance is acquired yet; when one is first used, the values that
// the instance reports are passed on.
func (s *Server) reportedParameters(startup map[string]string) map[string]string {
	values := map[string]string{
		"server_version":              "16.0",
		"server_encoding":             "UTF8",
		"client_encoding":             "UTF8",
		"DateStyle":                   "ISO, MDY",
		"IntervalStyle":               "postgres",
		"TimeZone":                    "UTC",
		"integer_datetimes":           "on",
		"standard_conforming_strings": "on",
		"application_name":            "",
	}
	for name, value := range s.Parameters {
		values[name] = value
	}
	for name, value := range startup {
		if _, ok := values[name]; ok {
			values[name] = value
		}
	}
	return values
}

// reject sends the reason why a client is not admitted and returns it. Errors of the
// connection other than timeouts are only returned.
func reject(conn net.Conn, err error) error {
	var refusal *proxy.Refusal
	var fatalErr *fatalError
	if errors.As(err, &fatalErr) {
		refusal = fatalErr.refusal
	} else if !errors.As(err, &refusal) {
		if !isTimeout(err) {
			return err
		}
		refusal = proxy.Refuse(proxy.ConnectionRejected, "authentication timed out")
		_ = conn.SetDeadline(time.Now().Add(defaultFinalWriteTimeout))
	}
	message, encodeErr := errorResponse(refusal, severityFatal).Encode(nil)
	if encodeErr != nil {
		return eris.New("encode refusal as ErrorResponse")
	}
	_, _ = conn.Write(message)
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
