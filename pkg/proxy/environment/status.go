package environment

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// HostStatus reports which document a host applies. Each host writes it to the object
// at StatusKey.
type HostStatus struct {
	Host proxy.HostID `json:"host"`
	Zone proxy.Zone   `json:"zone"`
	// Address is the host:port at which other hosts reach this one.
	Address     string            `json:"address"`
	Incarnation proxy.Incarnation `json:"incarnation"`
	// Revision is the applied revision, zero while the host applies none.
	Revision proxy.Revision `json:"revision"`
	// Digest is the digest of the applied document, empty while the host applies none.
	Digest Digest    `json:"digest"`
	Time   time.Time `json:"time"`
	// Leaving reports that the host finishes its requests and accepts no new clients.
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

// EncodeStatus validates a status and returns its stored form.
func EncodeStatus(s *HostStatus) ([]byte, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return encode(s)
}

// DecodeStatus decodes and validates the stored form of a status.
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
