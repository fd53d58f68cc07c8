package rpc

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// checkInterval is the shortest time between two checks of the certificate files.
const checkInterval = time.Second

// Certificates holds this host's certificate and the certificate authority of the fleet,
// and reads their files again when they change. The exported fields are set before use.
type Certificates struct {
	// Certificate, Key and Authority are the names of PEM files. Without an authority only
	// Public may be used.
	Certificate string
	Key         string
	Authority   string
	Clock       proxy.Clock
	Logger      zerolog.Logger

	mu        sync.Mutex
	checkedAt proxy.Instant
	loaded    *identity
	content   [3][]byte
	// rejected is the last unusable content. It is not reported again.
	rejected [3][]byte
}

// identity is the parsed content of the files.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files. It returns an error if they are not usable.
func (c *Certificates) Load() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	content, err := c.read()
	if err != nil {
		return err
	}
	loaded, err := parse(content)
	if err != nil {
		return err
	}
	c.content, c.loaded, c.checkedAt = content, loaded, c.Clock.Now()
	return nil
}

// Server returns a configuration for a listener that accepts only peers with a
// certificate issued by the fleet's authority.
func (c *Certificates) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current, err := c.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authorities,
			}, nil
		},
	}
}

// Public returns a configuration for a listener for clients. It requests no client
// certificate.
func (c *Certificates) Public() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			current, err := c.current()
			if err != nil {
				return nil, err
			}
			return &current.certificate, nil
		},
	}
}

// Client returns a configuration for connections to other hosts. The peer must have a
// certificate issued by the fleet's authority. The certificate's name is not checked,
// since hosts are replaced and are connected to by address.
func (c *Certificates) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			current, err := c.current()
			if err != nil {
				return nil, err
			}
			return &current.certificate, nil
		},
		// VerifyConnection verifies the chain, but not the name.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

// verify checks a server's certificate chain.
func (c *Certificates) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("the peer has no certificate")
	}
	current, err := c.current()
	if err != nil {
		return err
	}
	options := x509.VerifyOptions{
		Roots:         current.authorities,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	if _, err = state.PeerCertificates[0].Verify(options); err != nil {
		return fmt.Errorf("peer's certificate: %w", err)
	}
	return nil
}

// current returns the identity, after reading the files again if the last check is older
// than checkInterval. If the files are not usable, the previous identity stays in force.
func (c *Certificates) current() (*identity, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded == nil {
		return nil, eris.New("the certificate files are not loaded")
	}
	now := c.Clock.Now()
	if now.Sub(c.checkedAt) >= checkInterval {
		c.checkedAt = now
		c.reload()
	}
	return c.loaded, nil
}

// reload reads the files and applies them if they have changed and are usable.
func (c *Certificates) reload() {
	content, err := c.read()
	if err != nil {
		c.Logger.Error().Err(err).Msg("certificate files not read, the previous ones stay in force")
		return
	}
	if sameContent(content, c.content) || sameContent(content, c.rejected) {
		return
	}
	loaded, err := parse(content)
	if err != nil {
		c.rejected = content
		c.Logger.Error().Err(err).Msg("certificate files not usable, the previous ones stay in force")
		return
	}
	c.content, c.loaded = content, loaded
	c.Logger.Info().Msg("certificate files re-read")
}

func (c *Certificates) read() (content [3][]byte, err error) {
	for n, name := range []string{c.Certificate, c.Key, c.Authority} {
		if name == "" {
			continue
		}
		if content[n], err = os.ReadFile(name); err != nil {
			return content, fmt.Errorf("read certificate file: %w", err)
		}
	}
	return content, nil
}

func sameContent(a, b [3][]byte) bool {
	for n := range a {
		if !bytes.Equal(a[n], b[n]) {
			return false
		}
	}
	return true
}

// parse returns the identity in the files. It checks that the key belongs to the
// certificate and that the authority has issued the certificate, so that a partly
// replaced set of files is not used.
func parse(content [3][]byte) (*identity, error) {
	certificate, err := tls.X509KeyPair(content[0], content[1])
	if err != nil {
		return nil, fmt.Errorf("certificate and key: %w", err)
	}
	if content[2] == nil {
		return &identity{certificate: certificate}, nil
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(content[2]) {
		return nil, eris.New("the authority file has no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, der := range certificate.Certificate[1:] {
		intermediate, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, fmt.Errorf("intermediate certificate: %w", err)
		}
		options.Intermediates.AddCert(intermediate)
	}
	if _, err = certificate.Leaf.Verify(options); err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return &identity{certificate, authorities}, nil
}
