package instance

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"
	"github.com/xdg-go/scram"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Sizes of random values in bytes, as PostgreSQL has them for protocol 3.0.
const (
	cancelKeySize = 4
	saltSize      = 16
)

// scramIterations is PostgreSQL's default iteration count.
const scramIterations = 4096

// scramMechanism is the only SASL mechanism offered.
const scramMechanism = "SCRAM-SHA-256"

// errCancelRequest ends a connection that sent a CancelRequest.
var errCancelRequest = errors.New("cancel request")

// errCanceled is the error of a statement that a CancelRequest interrupted.
var errCanceled = errorf(proxy.QueryCanceled, "canceling statement due to user request")

// sleepFor waits for d or until ctx ends.
func sleepFor(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newSCRAMServer returns a SCRAM server for one password. It accepts any SCRAM user
// name, since PostgreSQL clients leave it empty.
func newSCRAMServer(user, password string) (*scram.Server, error) {
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return nil, fmt.Errorf("SCRAM client: %w", err)
	}
	salt := make([]byte, saltSize)
	_, _ = rand.Read(salt)
	factors := scram.KeyFactors{Salt: string(salt), Iters: scramIterations}
	stored, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return nil, fmt.Errorf("SCRAM credentials: %w", err)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return stored, nil
	})
	if err != nil {
		return nil, fmt.Errorf("SCRAM server: %w", err)
	}
	return server, nil
}

// establish performs the startup phase of the protocol up to the first ReadyForQuery.
func (c *connection) establish() error {
	startup, err := c.startup()
	if err != nil {
		return err
	}
	if err := sleepFor(c.instance.ctx, c.instance.Faults().Cost); err != nil {
		return err
	}
	if err := c.authenticate(startup); err != nil {
		return c.reject(err)
	}
	if err := c.instance.admit(c); err != nil {
		return c.reject(err)
	}
	c.session.settings, err = newSettings(startup.Parameters["user"], startup.Parameters)
	if err != nil {
		return c.reject(err)
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.sendParameterStatus()
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.cancelKey})
	return c.sendReady()
}

// reject reports a fatal error to the client and returns it.
func (c *connection) reject(err error) error {
	c.backend.Send(errorResponse("FATAL", err))
	if err := c.send(); err != nil {
		return err
	}
	return err
}

// startup answers requests for encryption and returns the startup message. It executes
// a CancelRequest and returns errCancelRequest.
func (c *connection) startup() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, fmt.Errorf("receive startup message: %w", err)
		}
		switch msg := msg.(type) {
		case *pgproto3.StartupMessage:
			c.negotiateVersion(msg)
			return msg, nil
		case *pgproto3.SSLRequest:
			err = c.startTLS()
		case *pgproto3.GSSEncRequest:
			_, err = c.conn.Write([]byte{'N'})
		case *pgproto3.CancelRequest:
			c.instance.cancel(msg.ProcessID, msg.SecretKey)
			return nil, errCancelRequest
		}
		if err != nil {
			return nil, fmt.Errorf("startup: %w", err)
		}
	}
}

// negotiateVersion tells a client that asks for another version that the instance
// supports protocol 3.0 only.
func (c *connection) negotiateVersion(msg *pgproto3.StartupMessage) {
	if msg.ProtocolVersion != pgproto3.ProtocolVersion30 {
		c.backend.Send(&pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 0})
	}
}

// startTLS accepts TLS if the instance has a certificate, and declines it otherwise.
func (c *connection) startTLS() error {
	config := c.instance.options.TLS
	if config == nil {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	secure := tls.Server(c.client, config)
	if err := secure.HandshakeContext(c.instance.ctx); err != nil {
		return fmt.Errorf("TLS handshake: %w", err)
	}
	c.setTransport(secure)
	return nil
}

// setTransport makes conn the transport of the protocol.
func (c *connection) setTransport(conn net.Conn) {
	c.conn = conn
	c.backend = pgproto3.NewBackend(conn, conn)
}

// authenticate checks the user and, if the instance has a password, performs
// SCRAM-SHA-256.
func (c *connection) authenticate(startup *pgproto3.StartupMessage) error {
	options := c.instance.options
	user := startup.Parameters["user"]
	if options.User != "" && user != options.User {
		return errorf(proxy.InvalidAuthorization, "role %q does not exist", user)
	}
	if c.instance.scram == nil {
		return nil
	}
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	if err := c.authenticateSCRAM(); err != nil {
		return errorf(proxy.InvalidPassword, "password authentication failed for user %q: %v", user, err)
	}
	return nil
}

// authenticateSCRAM performs the SCRAM conversation.
func (c *connection) authenticateSCRAM() error {
	conversation := c.instance.scram.NewConversation()
	first, err := c.receiveSASL(pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	initial, ok := first.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != scramMechanism {
		return eris.New("SASL mechanism is not supported")
	}
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return fmt.Errorf("first SCRAM message: %w", err)
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	second, err := c.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	final, ok := second.(*pgproto3.SASLResponse)
	if !ok {
		return eris.Errorf("unexpected message %T", second)
	}
	verifier, err := conversation.Step(string(final.Data))
	if err != nil {
		return fmt.Errorf("final SCRAM message: %w", err)
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(verifier)})
	return nil
}

// receiveSASL sends the pending challenge and receives the answer to it.
func (c *connection) receiveSASL(kind uint32) (pgproto3.FrontendMessage, error) {
	if err := c.send(); err != nil {
		return nil, err
	}
	if err := c.backend.SetAuthType(kind); err != nil {
		return nil, fmt.Errorf("authentication type: %w", err)
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return nil, fmt.Errorf("receive: %w", err)
	}
	return msg, nil
}

// hasCancelKey reports whether key is the connection's cancel key.
func (c *connection) hasCancelKey(key []byte) bool {
	return subtle.ConstantTimeCompare(c.cancelKey, key) == 1
}
