package inner

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

// checkInterval is the shortest time between two looks at the certificate files.
const checkInterval = time.Second

// Certificates keeps this host's certificate and the fleet's certificate
// authority, and re-reads their files when they change. The exported fields are
// set before use.
type Certificates struct {
	// Certificate, Key and Authority are the names of PEM files. Without an
	// authority the certificate serves clients only.
	Certificate string
	Key         string
	Authority   string
	Clock       proxy.Clock
	Logger      zerolog.Logger

	mu      sync.Mutex
	looked  proxy.Instant
	loaded  *identity
	content [3][]byte
	// rejected is the last content that was not usable.
	rejected [3][]byte
}

// identity is what the files contain.
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
	c.content, c.loaded, c.looked = content, loaded, c.Clock.Now()
	return nil
}

// Server returns a configuration for a listener that accepts only peers with a
// certificate of the fleet's authority.
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

// Public returns a configuration for a listener for clients, which present no
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

// Client returns a configuration for connections to other hosts. Hosts are
// replaced and reached by address, so that the peer must have a certificate of
// the fleet's authority but need not be named by it.
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
		// VerifyConnection checks the chain without the name.
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

// current returns the identity after a look at the files. Files that are not
// usable leave the previous identity in force.
func (c *Certificates) current() (*identity, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loaded == nil {
		return nil, eris.New("the certificate files are not loaded")
	}
	now := c.Clock.Now()
	if now.Sub(c.looked) >= checkInterval {
		c.looked = now
		c.reload()
	}
	return c.loaded, nil
}

// reload adopts changed files that are usable.
func (c *Certificates) reload() {
	content, err := c.read()
	if err != nil {
		c.Logger.Error().Err(err).Msg("certificate files not read, the previous ones stay in force")
		return
	}
	if same(content, c.content) || same(content, c.rejected) {
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

func same(a, b [3][]byte) bool {
	for n := range a {
		if !bytes.Equal(a[n], b[n]) {
			return false
		}
	}
	return true
}

// parse checks that the key belongs to the certificate and that the authority
// has signed it, so that a half-replaced set of files is not used.
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
