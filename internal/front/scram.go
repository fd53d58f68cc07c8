package front

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const mechanism = "SCRAM-SHA-256"

// mockSaltLength and mockIterations are PostgreSQL's defaults, so that the
// exchange with an unknown key looks like any other.
const (
	mockSaltLength = 16
	mockIterations = 4096
)

// credentials reads a stored verifier. Errors do not contain any part of it.
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

// mockCredentials are credentials that no key matches. They are the same at
// each attempt with a name, as those of an existing key are.
func (s *Server) mockCredentials(document *proxy.Document, id proxy.KeyID) scram.StoredCredentials {
	derive := func(label string) []byte {
		mac := hmac.New(sha256.New, s.Secret)
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

// usualIterations returns the iterations of the document's first usable key.
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

// authenticate runs the SCRAM exchange. An unknown key, a withdrawn key and a
// wrong key are refused alike.
func (s *Server) authenticate(backend *pgproto3.Backend, document *proxy.Document, who identity, known bool) error {
	refusal := proxy.Refuse(proxy.InvalidPassword, "authentication failed for account key %q", string(who.key))
	expected := s.mockCredentials(document, who.key)
	if known {
		stored, err := credentials(who.verifier)
		if err != nil {
			s.Logger.Error().Err(err).Str("key", string(who.key)).Msg("account key has no usable verifier")
			known = false
		} else {
			expected = stored
		}
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return expected, nil })
	if err != nil {
		return fmt.Errorf("SCRAM server: %w", err)
	}
	conversation := server.NewConversation()
	first, err := receiveFirst(backend)
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(first)
	if err != nil {
		return proxy.Refuse(proxy.ProtocolViolation, "malformed SCRAM message")
	}
	final, err := receiveFinal(backend, challenge)
	if err != nil {
		return err
	}
	signature, err := conversation.Step(final)
	if err != nil || !conversation.Valid() || !known {
		return refusal
	}
	backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(signature)})
	return nil
}

func receiveFirst(backend *pgproto3.Backend) (string, error) {
	backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	if err := backend.Flush(); err != nil {
		return "", fmt.Errorf("offer SASL: %w", err)
	}
	if err := backend.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return "", fmt.Errorf("authentication type: %w", err)
	}
	message, err := backend.Receive()
	if err != nil {
		return "", malformed(err)
	}
	initial, ok := message.(*pgproto3.SASLInitialResponse)
	if !ok {
		return "", proxy.Refuse(proxy.ProtocolViolation, "unexpected message during authentication")
	}
	if initial.AuthMechanism != mechanism {
		return "", proxy.Refuse(proxy.ProtocolViolation, "SASL mechanism %q: want %s", initial.AuthMechanism, mechanism)
	}
	return string(initial.Data), nil
}

func receiveFinal(backend *pgproto3.Backend, challenge string) (string, error) {
	backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	if err := backend.Flush(); err != nil {
		return "", fmt.Errorf("continue SASL: %w", err)
	}
	if err := backend.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return "", fmt.Errorf("authentication type: %w", err)
	}
	message, err := backend.Receive()
	if err != nil {
		return "", malformed(err)
	}
	reply, ok := message.(*pgproto3.SASLResponse)
	if !ok {
		return "", proxy.Refuse(proxy.ProtocolViolation, "unexpected message during authentication")
	}
	return string(reply.Data), nil
}
