package front

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

// Bounds of a startup packet in bytes, those of PostgreSQL.
const (
	minStartupLength = 8
	maxStartupLength = 10_000
)

// Codes that stand in place of a protocol version.
const (
	cancelCode = 80877102
	sslCode    = 80877103
	gssCode    = 80877104
)

// protocolOption starts the names of startup parameters that are no settings.
const protocolOption = "_pq_."

// maxNegotiations is one SSLRequest and one GSSENCRequest.
const maxNegotiations = 2

// maxAuthenticationLength bounds messages of clients that are not yet known.
const maxAuthenticationLength = 16 << 10 // bytes

// known returns the packet with the newest known version in place of a newer
// minor version. NegotiateProtocolVersion tells the client.
func (p packet) known() packet {
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

// packet is a startup packet without its length.
type packet []byte

func (p packet) code() uint32 { return binary.BigEndian.Uint32(p) }

// readPacket reads exactly one startup packet. It reads nothing beyond it, so
// that plain text sent ahead of a TLS handshake is never taken as a request.
func readPacket(r io.Reader) (packet, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, fmt.Errorf("read startup packet: %w", err)
	}
	length := binary.BigEndian.Uint32(head[:])
	if length < minStartupLength || length > maxStartupLength {
		return nil, proxy.Refuse(proxy.ProtocolViolation,
			"startup packet of %d bytes: want %d to %d", length, minStartupLength, maxStartupLength)
	}
	body := make(packet, length-4)
	if _, err := io.ReadFull(r, body); err != nil {
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, proxy.Refuse(proxy.ProtocolViolation,
				"startup packet ends before its length of %d bytes", length)
		}
		return nil, fmt.Errorf("read startup packet: %w", err)
	}
	return body, nil
}

// start takes a connection to an authenticated session. It returns neither a
// session nor an error after a cancel request.
func (s *Server) start(conn net.Conn) (*session, error) {
	conn, body, err := s.negotiate(conn)
	if err != nil {
		return nil, reject(conn, err)
	}
	if body.code() == cancelCode {
		var request pgproto3.CancelRequest
		if err := request.Decode(body); err == nil {
			s.cancelRequest(request.ProcessID, request.SecretKey)
		}
		return nil, nil
	}
	session, err := s.admit(conn, body)
	if err != nil {
		return nil, reject(conn, err)
	}
	_ = conn.SetDeadline(time.Time{})
	return session, nil
}

// negotiate answers requests for encryption and returns the connection, which
// may be TLS by then, and the first packet of another kind.
func (s *Server) negotiate(conn net.Conn) (net.Conn, packet, error) {
	for i := 0; ; i++ {
		body, err := readPacket(conn)
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
		_, secured := conn.(*tls.Conn)
		if code == gssCode || s.TLS == nil || secured {
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return conn, nil, fmt.Errorf("answer request for encryption: %w", err)
			}
			continue
		}
		if _, err := conn.Write([]byte{'S'}); err != nil {
			return conn, nil, fmt.Errorf("answer request for encryption: %w", err)
		}
		secure := tls.Server(conn, s.TLS())
		if err := secure.Handshake(); err != nil {
			return conn, nil, fmt.Errorf("TLS handshake: %w", err)
		}
		conn = secure
	}
}

// admit authenticates a client and sends the messages up to ReadyForQuery.
func (s *Server) admit(conn net.Conn, body packet) (*session, error) {
	startup, err := decodeStartup(body)
	if err != nil {
		return nil, err
	}
	backend := pgproto3.NewBackend(conn, conn)
	backend.SetMaxBodyLen(maxAuthenticationLength)
	announceVersion(backend, body.code(), startup)
	identity, err := s.identify(conn, backend, startup)
	if err != nil {
		return nil, err
	}
	backend.SetMaxBodyLen(s.Limits.Message)
	session, err := s.newSession(conn, backend, identity, startup)
	if err != nil {
		return nil, err
	}
	if err := session.greet(startup); err != nil {
		s.unregister(session)
		return nil, err
	}
	return session, nil
}

// announceVersion tells the client where the server knows neither its minor
// version nor its protocol options.
func announceVersion(backend *pgproto3.Backend, asked uint32, startup *pgproto3.StartupMessage) {
	var unknown []string
	for name := range startup.Parameters {
		if strings.HasPrefix(name, protocolOption) {
			unknown = append(unknown, name)
		}
	}
	if asked == startup.ProtocolVersion && len(unknown) == 0 {
		return
	}
	slices.Sort(unknown)
	backend.Send(&pgproto3.NegotiateProtocolVersion{
		// Servers send the whole version here, and clients expect it.
		NewestMinorProtocol: startup.ProtocolVersion,
		UnrecognizedOptions: unknown,
	})
}

// decodeStartup checks a startup message.
func decodeStartup(body packet) (*pgproto3.StartupMessage, error) {
	if code := body.code(); code>>16 != pgproto3.ProtocolVersion30>>16 {
		return nil, proxy.Refuse(proxy.ProtocolViolation, "protocol version %d.%d: want 3.0", code>>16, code&0xffff)
	}
	body = body.known()
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

// greet sends what follows a successful authentication.
func (s *session) greet(startup *pgproto3.StartupMessage) error {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for name, value := range s.server.reported(startup.Parameters) {
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.process, SecretKey: s.secret})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	if err := s.backend.Flush(); err != nil {
		return fmt.Errorf("greet client: %w", err)
	}
	return nil
}

// reported returns the parameters that clients expect at startup. The instance
// is not known yet; it reports other values when it is first used.
func (s *Server) reported(startup map[string]string) map[string]string {
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

// reject tells the client why it is not admitted and returns the reason.
func reject(conn net.Conn, err error) error {
	var refusal *proxy.Refusal
	var last *fatal
	if errors.As(err, &last) {
		refusal = last.refusal
	} else if !errors.As(err, &refusal) {
		if !isTimeout(err) {
			return err
		}
		refusal = proxy.Refuse(proxy.ConnectionRejected, "authentication timed out")
		_ = conn.SetDeadline(time.Now().Add(defaultFinalWrite))
	}
	message, encodeErr := response(refusal, severityFatal).Encode(nil)
	if encodeErr != nil {
		return eris.New("encode refusal")
	}
	_, _ = conn.Write(message)
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
