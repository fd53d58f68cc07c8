package rpc_test

import (
	"crypto/tls"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	emulator "github.com/auburnyoke/auburnyoke/internal/emulator/authority"
	"github.com/auburnyoke/auburnyoke/internal/rpc"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// stepClock is a clock that advances at each reading by more than the interval between two
// checks of the certificate files.
type stepClock struct{ now proxy.Instant }

func (c *stepClock) Now() proxy.Instant {
	c.now = c.now.Add(time.Minute)
	return c.now
}

// Guards against a renewed client-facing certificate that takes effect only after a
// restart, and against unusable files that end the service.
func TestClientCertificateIsReadAgain(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	a, err := emulator.New("clients", time.Now())
	is.NoErr(err)
	is.NoErr(a.Write(directory, "front"))
	c := &rpc.Certificates{
		Certificate: filepath.Join(directory, "front.pem"), Key: filepath.Join(directory, "front.key"),
		Clock: &stepClock{}, Logger: zerolog.Nop(),
	}
	is.NoErr(c.Load())
	served := func() string {
		certificate, err := c.Public().GetCertificate(&tls.ClientHelloInfo{})
		is.NoErr(err)
		return string(certificate.Certificate[0])
	}
	first := served()
	is.NoErr(a.Write(directory, "front"))
	second := served()
	is.True(second != first)
	is.NoErr(os.WriteFile(c.Key, []byte("no key"), 0o600))
	is.Equal(served(), second)
}
