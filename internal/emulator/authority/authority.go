// Package authority issues certificates for tests and the demo, in the place
// of the users' own certificate authority.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// lifetime is how long issued certificates are valid.
const lifetime = 30 * 24 * time.Hour

// Authority signs certificates for processes on loopback.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	der         []byte
}

// New creates an authority whose certificates are valid from now on.
func New(name string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key of authority: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-time.Minute),
		NotAfter:              now.Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign certificate of authority: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate of authority: %w", err)
	}
	return &Authority{certificate: certificate, key: key, der: der}, nil
}

// Issue returns a certificate and its private key, both in PEM, for a process
// that serves on loopback and is a client of others.
func (a *Authority) Issue(name string) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key of %s: %w", name, err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 100))
	if err != nil {
		return nil, nil, fmt.Errorf("generate serial number of %s: %w", name, err)
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    a.certificate.NotBefore,
		NotAfter:     a.certificate.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		DNSNames:     []string{"localhost"},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &private.PublicKey, a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign certificate of %s: %w", name, err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key of %s: %w", name, err)
	}
	return encode("CERTIFICATE", der), encode("PRIVATE KEY", encoded), nil
}

// Certificate returns the authority's own certificate in PEM.
func (a *Authority) Certificate() []byte { return encode("CERTIFICATE", a.der) }

// Write issues a certificate for each name and writes authority.pem,
// <name>.pem and <name>.key into directory.
func (a *Authority) Write(directory string, names ...string) error {
	if err := os.WriteFile(filepath.Join(directory, "authority.pem"), a.Certificate(), 0o644); err != nil {
		return fmt.Errorf("write authority: %w", err)
	}
	for _, name := range names {
		certificate, key, err := a.Issue(name)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(directory, name+".pem"), certificate, 0o644); err != nil {
			return fmt.Errorf("write certificate: %w", err)
		}
		if err := os.WriteFile(filepath.Join(directory, name+".key"), key, 0o600); err != nil {
			return fmt.Errorf("write key: %w", err)
		}
	}
	return nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
