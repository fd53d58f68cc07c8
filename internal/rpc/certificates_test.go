package rpc_test

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

	"github.com/auburnyoke/auburnyoke/internal/rpc"
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

// issue writes a new host certificate, its key and the authority to the files of c.
func (a *authority) issue(t testing.TB, c *rpc.Certificates, serial int64) {
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

// tickingClock is a proxy.Clock that advances by a minute at each reading, so that every
// handshake checks the files.
type tickingClock struct {
	mu  sync.Mutex
	now proxy.Instant
}

func (c *tickingClock) Now() proxy.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(time.Minute)
	return c.now
}

func certificates(t testing.TB, a *authority) *rpc.Certificates {
	t.Helper()
	dir := t.TempDir()
	c := &rpc.Certificates{
		Certificate: filepath.Join(dir, "host.pem"), Key: filepath.Join(dir, "key.pem"),
		Authority: filepath.Join(dir, "authority.pem"), Clock: &tickingClock{},
	}
	a.issue(t, c, 2)
	if err := c.Load(); err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against accepting a peer with a certificate of another authority, in both
// directions.
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
			acquired, err := h.client(t, 1).RemotePool(h.address).Acquire(t.Context(), connectionRequest(1))
			is.Equal(err == nil, c.accepted)
			if err == nil {
				acquired.Release(proxy.ReleaseState{})
			}
		})
	}
}

// Guards against a client that trusts any server that accepts the connection. The server
// here requests no client certificate.
func TestForeignServerIsRejected(t *testing.T) {
	is := is.New(t)
	foreign := certificates(t, newAuthority(t))
	certificate, err := tls.LoadX509KeyPair(foreign.Certificate, foreign.Key)
	is.NoErr(err)
	h := startSecureHost(t, 2, &tls.Config{Certificates: []tls.Certificate{certificate}}, certificates(t, newAuthority(t)).Client())
	_, err = h.client(t, 1).RemotePool(h.address).Acquire(t.Context(), connectionRequest(1))
	is.True(err != nil)
}

// Guards against accepting a client without a certificate, for example one that does not
// verify the server either.
func TestClientWithoutCertificateIsRejected(t *testing.T) {
	is := is.New(t)
	fleet := newAuthority(t)
	client := certificates(t, fleet).Client()
	client.GetClientCertificate = nil
	h := startSecureHost(t, 2, certificates(t, fleet).Server(), client)
	_, err := h.client(t, 1).RemotePool(h.address).Acquire(t.Context(), connectionRequest(1))
	is.True(err != nil)
}

// Guards against new certificates that take effect only after a restart, and against
// unusable files that replace a usable certificate.
func TestCertificatesAreReread(t *testing.T) {
	is := is.New(t)
	old, next := newAuthority(t), newAuthority(t)
	server := certificates(t, old)
	client := certificates(t, next)
	h := startSecureHost(t, 2, server.Server(), client.Client())
	tryAcquire := func() error {
		acquired, err := h.client(t, 1).RemotePool(h.address).Acquire(t.Context(), connectionRequest(1))
		if err == nil {
			acquired.Release(proxy.ReleaseState{})
		}
		return err
	}
	is.True(tryAcquire() != nil)
	next.issue(t, server, 3)
	is.NoErr(tryAcquire())
	is.NoErr(os.WriteFile(server.Key, []byte("no key"), 0o600))
	is.NoErr(tryAcquire()) // the previous files stay in force
}
