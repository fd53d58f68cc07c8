package inner_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/inner"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// authority signs certificates for tests.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	der         []byte
}

func newAuthority(t testing.TB) *authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	a := &authority{}
	a.key, a.der = sign(t, template, nil)
	var err error
	if a.certificate, err = x509.ParseCertificate(a.der); err != nil {
		t.Fatal(err)
	}
	return a
}

// sign returns a new key and its certificate, signed by a or by itself.
func sign(t testing.TB, template *x509.Certificate, a *authority) (*ecdsa.PrivateKey, []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	parent, parentKey := template, key
	if a != nil {
		parent, parentKey = a.certificate, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		t.Fatal(err)
	}
	return key, der
}

// issue writes the files of a host's certificate to c.
func (a *authority) issue(t testing.TB, c *inner.Certificates, serial int64) {
	t.Helper()
	key, der := sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "host"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, c.Certificate, "CERTIFICATE", der)
	write(t, c.Key, "PRIVATE KEY", encoded)
	write(t, c.Authority, "CERTIFICATE", a.der)
}

func write(t testing.TB, name, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// ticking is a proxy.Clock that moves by a minute with each reading, so that
// each handshake looks at the files.
type ticking struct {
	mu  sync.Mutex
	now proxy.Instant
}

func (c *ticking) Now() proxy.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(time.Minute)
	return c.now
}

func certificates(t testing.TB, a *authority) *inner.Certificates {
	t.Helper()
	dir := t.TempDir()
	c := &inner.Certificates{
		Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "key.pem"),
		Authority: filepath.Join(dir, "authority.pem"), Clock: &ticking{},
	}
	a.issue(t, c, 2)
	if err := c.Load(); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against peers of another authority, in both directions.
func TestForeignPeerIsRejected(t *testing.T) {
	fleet, foreign := newAuthority(t), newAuthority(t)
	for _, c := range []struct {
		name           string
		server, client *authority
		accepted       bool
	}{{"same", fleet, fleet, true}, {"foreign client", fleet, foreign, false}, {"foreign server", foreign, fleet, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := startSecureHost(t, 2, certificates(t, c.server).Server(), certificates(t, c.client).Client())
			loan, err := h.client(t, 1).At(h.address).Acquire(t.Context(), ask(1))
			is.Equal(err == nil, c.accepted)
			if err == nil {
				loan.Release(proxy.ReleaseState{})
			}
		})
	}
}

// Guards against a front that trusts any server which accepts it.
func TestForeignServerIsRejected(t *testing.T) {
	is := is.New(t)
	foreign := certificates(t, newAuthority(t))
	certificate, err := tls.LoadX509KeyPair(foreign.Certificate, foreign.Key)
	is.NoErr(err)
	h := startSecureHost(t, 2, &tls.Config{Certificates: []tls.Certificate{certificate}}, certificates(t, newAuthority(t)).Client())
	_, err = h.client(t, 1).At(h.address).Acquire(t.Context(), ask(1))
	is.True(err != nil)
}

// Guards against a foreign peer that skips its own check of the server: the
// server must reject a client without a certificate of the fleet.
func TestClientWithoutCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	fleet := newAuthority(t)
	client := certificates(t, fleet).Client()
	client.GetClientCertificate = nil
	h := startSecureHost(t, 2, certificates(t, fleet).Server(), client)
	_, err := h.client(t, 1).At(h.address).Acquire(t.Context(), ask(1))
	is.True(err != nil)
}

// Guards against a restart that is needed for new certificates, and against bad
// files that replace good ones.
func TestCertificatesAreReread(t *testing.T) {
	is := is.New(t)
	old, next := newAuthority(t), newAuthority(t)
	server := certificates(t, old)
	client := certificates(t, next)
	h := startSecureHost(t, 2, server.Server(), client.Client())
	lend := func() error {
		loan, err := h.client(t, 1).At(h.address).Acquire(t.Context(), ask(1))
		if err == nil {
			loan.Release(proxy.ReleaseState{})
		}
		return err
	}
	is.True(lend() != nil)
	next.issue(t, server, 3)
	is.NoErr(lend())
	is.NoErr(os.WriteFile(server.Key, []byte("no key"), 0o600))
	is.NoErr(lend()) // the previous files stay in force
}
