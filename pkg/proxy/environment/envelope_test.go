package environment_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
	"github.com/auburnyoke/auburnyoke/pkg/proxy/environment"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func newEnvelope(text string) *environment.Envelope {
	return &environment.Envelope{
		Environment: "loom-ledger",
		Stage:       proxy.Trial,
		Revision:    1,
		Digest:      environment.DigestOf([]byte(text)),
		Author:      "selam",
		Time:        noon,
		Nonce:       environment.NewNonce([environment.NonceSize]byte{1}),
		Text:        text,
	}
}

// Guards against envelopes that change when they are encoded and decoded, envelopes
// that print verifiers, and invalid or corrupted envelopes that are accepted.
func TestEnvelope(t *testing.T) {
	is := is.New(t)
	e := newEnvelope(readExample(t, "loom-ledger"))
	value, err := environment.EncodeEnvelope(e)
	is.NoErr(err)
	decoded, err := environment.DecodeEnvelope(value)
	is.NoErr(err)
	is.Equal(decoded, e)
	_, err = decoded.Document()
	is.NoErr(err)
	is.Equal(environment.DocumentKey(e.Environment, e.Stage), proxy.Key("environments/loom-ledger/trial/document"))
	is.True(!strings.Contains(fmt.Sprintf("%v %+v %#v", e, *e, *e), "SCRAM"))
	_, err = environment.DecodeEnvelope([]byte(strings.Replace(string(value), "gondar", "gonder", 1)))
	is.True(err != nil)
	mutations := []func(*environment.Envelope){
		func(e *environment.Envelope) { e.Environment = "" },
		func(e *environment.Envelope) { e.Stage = "other" },
		func(e *environment.Envelope) { e.Revision = 0 },
		func(e *environment.Envelope) { e.Replaces = 1 },
		func(e *environment.Envelope) { e.Author = "\n" },
		func(e *environment.Envelope) { e.Time = time.Time{} },
		func(e *environment.Envelope) { e.Nonce = "" },
		func(e *environment.Envelope) { e.Text += " " },
	}
	for _, mutate := range mutations {
		invalid := *e
		mutate(&invalid)
		_, err := environment.EncodeEnvelope(&invalid)
		is.True(err != nil)
	}
}
