package proxy

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of a verifier. RFC 7677 requires at least 4096 iterations. The upper
// limits prevent a document from making every login expensive.
const (
	MinIterations = 4096
	MaxIterations = 1_000_000
	minSaltSize   = 8
	maxSaltSize   = 64
)

const verifierMechanism = "SCRAM-SHA-256"

// VerifierFormat describes the text form of a Verifier in messages.
const VerifierFormat = "SCRAM-SHA-256$iterations:salt$stored:server"

// ErrVerifier is wrapped by the errors of ParseVerifier. Their messages contain no
// part of the parsed text, which may be secret.
var ErrVerifier = errors.New("malformed verifier")

// Verifier is the SCRAM-SHA-256 verifier of an account key. A server can check a
// SCRAM exchange with it, but a client cannot authenticate with it.
type Verifier struct {
	Iterations int
	Salt       []byte
	Stored     []byte
	Server     []byte
}

// ParseVerifier parses PostgreSQL's text form of a SCRAM-SHA-256 verifier.
func ParseVerifier(text string) (Verifier, error) {
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != verifierMechanism {
		return Verifier{}, fmt.Errorf("%w: not of the form %s", ErrVerifier, VerifierFormat)
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	stored, server, both := strings.Cut(parts[2], ":")
	if !ok || !both {
		return Verifier{}, fmt.Errorf("%w: not of the form %s", ErrVerifier, VerifierFormat)
	}
	count, err := strconv.Atoi(iterations)
	if err != nil || count < MinIterations || count > MaxIterations {
		return Verifier{}, fmt.Errorf("%w: iterations are outside %d to %d", ErrVerifier, MinIterations, MaxIterations)
	}
	v := Verifier{Iterations: count}
	if v.Salt, err = base64.StdEncoding.Strict().DecodeString(salt); err != nil || len(v.Salt) < minSaltSize || len(v.Salt) > maxSaltSize {
		return Verifier{}, fmt.Errorf("%w: the salt is not base64 of %d to %d bytes", ErrVerifier, minSaltSize, maxSaltSize)
	}
	if v.Stored, err = decodeHash("stored", stored); err != nil {
		return Verifier{}, err
	}
	if v.Server, err = decodeHash("server", server); err != nil {
		return Verifier{}, err
	}
	return v, nil
}

func decodeHash(name, text string) ([]byte, error) {
	hash, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil || len(hash) != sha256.Size {
		return nil, fmt.Errorf("%w: the %s key is not base64 of %d bytes", ErrVerifier, name, sha256.Size)
	}
	return hash, nil
}

// Text returns PostgreSQL's text form. It is named Text and not String so that
// formatting a Verifier does not show it.
func (v Verifier) Text() string {
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", verifierMechanism, v.Iterations, encode(v.Salt), encode(v.Stored), encode(v.Server))
}

// String returns a placeholder, so that the verifier does not reach logs and error
// messages.
func (Verifier) String() string { return "verifier (not shown)" }

// GoString returns the same as String, so that %#v does not show the verifier.
func (v Verifier) GoString() string { return v.String() }
