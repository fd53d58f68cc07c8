package daemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnyoke/auburnyoke/internal/frontend"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxSecretSize is the largest accepted secret of a cancel request, in bytes.
const maxSecretSize = 256

// cancelRequest forwards a client's cancel request to the host that holds the
// session. Process and Secret are the client's backend key data.
type cancelRequest struct {
	Process uint32 `cbor:"1,keyasint"`
	Secret  []byte `cbor:"2,keyasint"`
}

// Validate implements proxy.Message.
func (c *cancelRequest) Validate() error {
	if len(c.Secret) == 0 || len(c.Secret) > maxSecretSize {
		return fmt.Errorf("cancel request: secret of %d bytes: want 1 to %d", len(c.Secret), maxSecretSize)
	}
	return nil
}

// hostNumber returns the number that identifies a host in backend key data. Two
// hosts may have the same number; a cancel request then goes to both, and only
// one of them knows the secret.
func hostNumber(id proxy.HostID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % frontend.MaxHosts)
}

// canceler forwards cancel requests to other hosts.
type canceler struct{ host *Host }

// Forward implements frontend.Canceler.
func (c canceler) Forward(ctx context.Context, number, process uint32, secret []byte) error {
	live, _ := c.host.members.Live()
	var errs []error
	found := false
	for _, peer := range live {
		if hostNumber(peer.ID) != number {
			continue
		}
		found = true
		message := &cancelRequest{Process: process, Secret: secret}
		if err := c.host.send(ctx, peer.ID, []proxy.Message{message}); err != nil {
			errs = append(errs, err)
		}
	}
	if !found {
		return fmt.Errorf("no live host has number %d", number)
	}
	return errors.Join(errs...)
}
