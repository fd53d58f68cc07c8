package environment

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Digest is the SHA-256 hash of a document's text in hexadecimal.
type Digest string

// DigestOf returns the digest of a document's text.
func DigestOf(text []byte) Digest {
	sum := sha256.Sum256(text)
	return Digest(hex.EncodeToString(sum[:]))
}

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Validate returns an error unless the digest is 64 lower-case hexadecimal digits.
func (d Digest) Validate() error {
	if !digestPattern.MatchString(string(d)) {
		return eris.Errorf("digest %s: want 64 lower-case hexadecimal digits", proxy.QuoteRedacted(string(d)))
	}
	return nil
}

// Short returns the first digits of the digest, for display.
func (d Digest) Short() string { return string(d[:min(12, len(d))]) }

// Nonce is a random value that identifies one change. With it, an author whose write
// was not answered can tell whether it took effect.
type Nonce string

// NonceSize is the size of a nonce in bytes, before hexadecimal encoding.
const NonceSize = 16

var noncePattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

// NewNonce returns the nonce with the given random bytes.
func NewNonce(random [NonceSize]byte) Nonce { return Nonce(hex.EncodeToString(random[:])) }

// Validate returns an error unless the nonce is 32 lower-case hexadecimal digits.
func (n Nonce) Validate() error {
	if !noncePattern.MatchString(string(n)) {
		return eris.Errorf("nonce %s: want 32 lower-case hexadecimal digits", proxy.QuoteRedacted(string(n)))
	}
	return nil
}

// maxAuthorBytes limits the length of an author's name.
const maxAuthorBytes = 128

// CheckAuthor returns an error if an audit record cannot contain the author's name.
func CheckAuthor(author string) error {
	if author == "" || len(author) > maxAuthorBytes || !utf8.ValidString(author) {
		return eris.Errorf("author %s: want 1 to %d bytes of UTF-8", proxy.QuoteRedacted(author), maxAuthorBytes)
	}
	for _, r := range author {
		if !unicode.IsPrint(r) {
			return eris.Errorf("author %s: want printable characters", proxy.QuoteRedacted(author))
		}
	}
	return nil
}

// Envelope is an accepted document as stored in the platform. It contains everything
// that the audit record of its revision needs, so the record exists as soon as the
// document is in force.
type Envelope struct {
	Environment proxy.EnvironmentID `json:"environment"`
	Stage       proxy.Stage         `json:"stage"`
	// Revision is one more than Replaces.
	Revision proxy.Revision `json:"revision"`
	// Replaces is the revision that this one replaced, zero for the first.
	Replaces proxy.Revision `json:"replaces"`
	Digest   Digest         `json:"digest"`
	Author   string         `json:"author"`
	Time     time.Time      `json:"time"`
	Nonce    Nonce          `json:"nonce"`
	Summary  Summary        `json:"summary"`
	// Text is the YAML document.
	Text string `json:"text"`
}

// Validate checks a decoded envelope. It does not decode the document in it.
func (e *Envelope) Validate() error {
	if err := proxy.CheckID("environment", string(e.Environment)); err != nil {
		return fmt.Errorf("envelope: %w", err)
	}
	if err := e.Stage.Validate(); err != nil {
		return fmt.Errorf("envelope: %w", err)
	}
	if e.Revision == 0 || e.Replaces != e.Revision-1 {
		return eris.Errorf("envelope: revision %d replaces %d: want one more than the replaced revision", e.Revision, e.Replaces)
	}
	if err := e.Digest.Validate(); err != nil {
		return fmt.Errorf("envelope: %w", err)
	}
	if err := CheckAuthor(e.Author); err != nil {
		return fmt.Errorf("envelope: %w", err)
	}
	if e.Time.IsZero() {
		return eris.New("envelope: no time")
	}
	if err := e.Nonce.Validate(); err != nil {
		return fmt.Errorf("envelope: %w", err)
	}
	if err := e.Summary.Validate(); err != nil {
		return fmt.Errorf("envelope: %w", err)
	}
	if len(e.Text) > MaxDocumentSize {
		return eris.Errorf("envelope: document of %d bytes: want at most %d", len(e.Text), MaxDocumentSize)
	}
	if digest := DigestOf([]byte(e.Text)); digest != e.Digest {
		return eris.Errorf("envelope: digest %s does not match the document's digest %s", e.Digest.Short(), digest.Short())
	}
	return nil
}

// Document decodes and validates the document in the envelope.
func (e *Envelope) Document() (*proxy.Document, error) {
	document, err := Decode([]byte(e.Text))
	if err != nil {
		return nil, fmt.Errorf("document of revision %d: %w", e.Revision, err)
	}
	if document.Environment != e.Environment {
		return nil, eris.Errorf("document of environment %q in an envelope of %q", document.Environment, e.Environment)
	}
	return document, nil
}

// String describes the envelope without its text, which contains verifiers.
func (e Envelope) String() string {
	return fmt.Sprintf("%s %s revision %d, digest %s, by %s at %s",
		e.Environment, e.Stage, e.Revision, e.Digest.Short(), e.Author, e.Time.UTC().Format(time.RFC3339))
}

// GoString hides the text as String does.
func (e Envelope) GoString() string { return e.String() }

// EncodeEnvelope validates an envelope and returns its stored form. It returns
// proxy.ErrTooLarge if that form exceeds the platform's limit on objects.
func EncodeEnvelope(e *Envelope) ([]byte, error) {
	if err := e.Validate(); err != nil {
		return nil, err
	}
	value, err := encode(e)
	if err != nil {
		return nil, fmt.Errorf("encode envelope: %w", err)
	}
	if len(value) > proxy.MaxObjectSize {
		return nil, fmt.Errorf("envelope of %d bytes: %w", len(value), proxy.ErrTooLarge)
	}
	return value, nil
}

// DecodeEnvelope decodes and validates the stored form of an envelope.
func DecodeEnvelope(value []byte) (*Envelope, error) {
	e := &Envelope{}
	if err := json.Unmarshal(value, e); err != nil {
		return nil, fmt.Errorf("decode envelope: %w", err)
	}
	if err := e.Validate(); err != nil {
		return nil, err
	}
	return e, nil
}

// encode returns value as JSON without HTML escapes, which could make a text up to six
// times as long.
func encode(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimRight(buffer.Bytes(), "\n"), nil
}
