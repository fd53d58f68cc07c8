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
	// keySize is the size of a key in random bytes: 200 bits, which base32
	// encodes without padding.
	keySize = 25
	// saltSize and iterations are PostgreSQL's defaults. Keys are random, so
	// that more iterations would add cost and no safety.
	saltSize   = 16
	iterations = proxy.MinIterations
)

// Secret is an account key in clear. Formatting hides it; Reveal shows it.
type Secret struct{ text string }

// Reveal returns the key, to be shown to the operator once.
func (s Secret) Reveal() string { return s.text }

// String hides the key from logs and errors.
func (Secret) String() string { return "key (not shown)" }

// GoString hides the key from logs and errors.
func (s Secret) GoString() string { return s.String() }

// NewKey draws an account key from random and returns it with its verifier.
func NewKey(random io.Reader) (Secret, proxy.Verifier, error) {
	key := make([]byte, keySize)
	if _, err := io.ReadFull(random, key); err != nil {
		return Secret{}, proxy.Verifier{}, fmt.Errorf("random key: %w", err)
	}
	salt := make([]byte, saltSize)
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

// DeriveVerifier returns the SCRAM-SHA-256 verifier of a key.
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
