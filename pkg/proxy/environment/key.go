package environment

import (
	"encoding/base32"
	"fmt"
	"io"
	"strings"

	"github.com/xdg-go/scram"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

const (
	// keyBytes is the number of random bytes in a key. They have 200 bits, which
	// base32 encodes without padding.
	keyBytes = 25
	// saltBytes and iterations are PostgreSQL's defaults. Because keys are random,
	// more iterations would add cost but no security.
	saltBytes  = 16
	iterations = proxy.MinIterations
)

// Secret is an account key in plain text. Formatting it with fmt hides the key;
// only Reveal returns it.
type Secret struct{ text string }

// Reveal returns the key, to be shown to the operator once.
func (s Secret) Reveal() string { return s.text }

// String hides the key from logs and errors.
func (Secret) String() string { return "key (not shown)" }

// GoString hides the key from logs and errors.
func (s Secret) GoString() string { return s.String() }

// NewKey generates an account key from random and returns it with its verifier.
func NewKey(random io.Reader) (Secret, proxy.Verifier, error) {
	key := make([]byte, keyBytes)
	if _, err := io.ReadFull(random, key); err != nil {
		return Secret{}, proxy.Verifier{}, fmt.Errorf("random key: %w", err)
	}
	salt := make([]byte, saltBytes)
	if _, err := io.ReadFull(random, salt); err != nil {
		return Secret{}, proxy.Verifier{}, fmt.Errorf("random salt: %w", err)
	}
	text := proxy.KeyPrefix + strings.ToLower(base32.StdEncoding.EncodeToString(key))
	verifier, err := DeriveVerifier(text, salt)
	if err != nil {
		return Secret{}, proxy.Verifier{}, err
	}
	return Secret{text: text}, verifier, nil
}

// DeriveVerifier returns the SCRAM-SHA-256 verifier of a key with the given salt.
func DeriveVerifier(key string, salt []byte) (proxy.Verifier, error) {
	client, err := scram.SHA256.NewClient("", key, "")
	if err != nil {
		return proxy.Verifier{}, fmt.Errorf("prepare key: %w", err)
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil {
		return proxy.Verifier{}, fmt.Errorf("derive verifier: %w", err)
	}
	return proxy.Verifier{
		Iterations: stored.Iters,
		Salt:       salt,
		Stored:     stored.StoredKey,
		Server:     stored.ServerKey,
	}, nil
}
