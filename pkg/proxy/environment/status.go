package environment

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// HostStatus is what a host reports of the document that it applies, in the
// object StatusKey.
type HostStatus struct {
	Host proxy.HostID `json:"host"`
	Zone proxy.Zone   `json:"zone"`
	// Address is host:port at which other hosts reach this one.
	Address     string            `json:"address"`
	Incarnation proxy.Incarnation `json:"incarnation"`
	// Revision is the applied revision, zero while the host has none.
	Revision proxy.Revision `json:"revision"`
	// Digest is that of the applied document, empty while the host has none.
	Digest Digest    `json:"digest"`
	Time   time.Time `json:"time"`
	// Leaving hosts finish their requests and accept no new clients.
	Leaving bool `json:"leaving"`
}

// Validate checks a status after decoding.
func (s *HostStatus) Validate() error {
	if err := proxy.CheckID("host", string(s.Host)); err != nil {
		return fmt.Errorf("host status: %w", err)
	}
	if err := proxy.CheckID("zone", string(s.Zone)); err != nil {
		return fmt.Errorf("host status: %w", err)
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return eris.Errorf("host status: address %s: want host:port with an IP number", proxy.QuoteRedacted(s.Address))
	}
	if s.Incarnation == 0 {
		return eris.New("host status: incarnation 0: want a random number above 0")
	}
	if (s.Revision == 0) != (s.Digest == "") {
		return eris.Errorf("host status: revision %d with digest %s: want both or neither", s.Revision, proxy.QuoteRedacted(string(s.Digest)))
	}
	if s.Digest != "" {
		if err := s.Digest.Validate(); err != nil {
			return fmt.Errorf("host status: %w", err)
		}
	}
	if s.Time.IsZero() {
		return eris.New("host status: no time")
	}
	return nil
}

// EncodeStatus returns the stored form.
func EncodeStatus(s *HostStatus) ([]byte, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return encode(s)
}

// DecodeStatus reads and checks the stored form.
func DecodeStatus(value []byte) (*HostStatus, error) {
	s := &HostStatus{}
	if err := json.Unmarshal(value, s); err != nil {
		return nil, fmt.Errorf("decode host status: %w", err)
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}
