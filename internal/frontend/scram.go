package frontend

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const saslMechanism = "SCRAM-SHA-256"

// Defaults of PostgreSQL, so that the SCRAM exchange with an unknown key does not
// differ from one with a known key.
const (
	mockSaltLength = 16 // bytes
	mockIterations = 4096
)

// credentials parses a stored verifier. Its errors contain no part of the verifier.
func credentials(verifier string) (scram.StoredCredentials, error) {
	v, err := proxy.ParseVerifier(verifier)
	if err != nil {
		return scram.StoredCredentials{}, fmt.Errorf("verifier: %w", err)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(v.Salt), Iters: v.Iterations},
		StoredKey:  v.Stored,
		ServerKey:  v.Server,
	}, nil
}

// mockCredentials returns credentials that no key matches. Like those of an existing
// key, they are the same at each attempt with one key name.
func (s *Server) mockCredentials(document *proxy.Document, id proxy.KeyID) scram.StoredCredentials {
	derive := func(label string) []byte {
		mac := hmac.New(sha256.New, s.MockAuthSecret)
		mac.Write([]byte(label + "\x00" + string(id)))
		return mac.Sum(nil)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{
			Salt:  string(derive("salt")[:mockSaltLength]),
			Iters: usualIterations(document),
		},
		StoredKey: derive("stored"),
		ServerKey: derive("server"),
	}
}

// usualIterations returns the iteration count of the document's first valid verifier.
func usualIterations(document *proxy.Document) int {
	for _, account := range document.Accounts {
		for _, key := range account.Keys {
			if stored, err := credentials(key.Verifier); err == nil {
				return stored.Iters
			}
		}
	}
	return mockIterations
}

// authenticate runs the SCRAM exchange. The refusal is the same for an unknown key, a
// withdrawn key and a wrong key.
func (s *Server) authenticate(
	backend *startupBackend, document *proxy.Document, client clientIdentity, known bool,
) error {
	refusal := proxy.Refuse(proxy.InvalidPassword, "authentication failed for account key %q", string(client.key))
	expected := s.mockCredentials(document, client.key)
	if known {
		stored, err := credentials(client.verifier)
		if err != nil {
			s.Logger.Error().Err(err).Str("key", string(client.key)).Msg("account key has an invalid verifier")
			known = false
		} else {
			expected = stored
		}
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return expected, nil })
	if err != nil {
		return fmt.Errorf("create SCRAM server: %w", err)
	}
	conversation := server.NewConversation()
	clientFirst, err := receiveClientFirst(backend)
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(clientFirst)
	if err != nil {
		return proxy.Refuse(proxy.ProtocolViolation, "malformed SCRAM message")
	}
	clientFinal, err := receiveClientFinal(backend, challenge)
	if err != nil {
		return err
	}
	signature, err := conversation.Step(clientFinal)
	if err != nil || !conversation.Valid() || !known {
		return refusal
	}
	backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(signature)})
	return nil
}

func receiveClientFirst(backend *startupBackend) (string, error) {
	backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{saslMechanism}})
	if err := backend.Flush(); err != nil {
		return "", fmt.Errorf("send AuthenticationSASL: %w", err)
	}
	backend.expect(pgproto3.AuthTypeSASL)
	message, err := backend.Receive()
	if err != nil {
		return "", decodeError(err)
	}
	initial, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok {
		return "", proxy.Refuse(proxy.ProtocolViolation, "unexpected message during authentication")
	}
	if initial.AuthMechanism != saslMechanism {
		return "", proxy.Refuse(proxy.ProtocolViolation, "SASL mechanism %q: want %s", initial.AuthMechanism, saslMechanism)
	}
	return string(initial.Data), nil
}

func receiveClientFinal(backend *startupBackend, challenge string) (string, error) {
	backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err := backend.Flush(); err != nil {
		return "", fmt.Errorf("send AuthenticationSASLContinue: %w", err)
	}
	backend.expect(pgproto3.AuthTypeSASLContinue)
	message, err := backend.Receive()
	if err != nil {
		return "", decodeError(err)
	}
	reply, ok := message.(*pgproto3.SASLResponse)
	if !ok {
		return "", proxy.Refuse(proxy.ProtocolViolation, "unexpected message during authentication")
	}
	return string(reply.Data), nil
}
