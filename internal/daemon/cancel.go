package daemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnyoke/auburnyoke/internal/frontend"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxSecret is the longest secret of key data that is accepted, in bytes.
const maxSecret = 256

// cancelRequest is a client's cancel request for a session of another host.
type cancelRequest struct {
	Process uint32 `cbor:"1,keyasint"`
	Secret  []byte `cbor:"2,keyasint"`
}

// Validate implements proxy.Message.
func (c *cancelRequest) Validate() error {
	if len(c.Secret) == 0 || len(c.Secret) > maxSecret {
		return fmt.Errorf("cancel request: secret of %d bytes: want 1 to %d", len(c.Secret), maxSecret)
	}
	return nil
}

// hostNumber is the number of a host in key data. Two hosts may share one; a
// cancel request then goes to both, and only one of them knows the secret.
func hostNumber(id proxy.HostID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) % frontend.MaxHosts)
}

// canceler forwards cancel requests to other hosts.
type canceler struct{ host *Host }

// Forward implements front.Canceler.
func (c canceler) Forward(ctx context.Context, number, process uint32, secret []byte) error {
	live, _ := c.host.members.Live()
	var failed []error
	found := false
	for _, peer := range live {
		if hostNumber(peer.ID) != number {
			continue
		}
		found = true
		message := &cancelRequest{Process: process, Secret: secret}
		if err := c.host.send(ctx, peer.ID, []proxy.Message{message}); err != nil {
			failed = append(failed, err)
		}
	}
	if !found {
		return fmt.Errorf("no live host has number %d", number)
	}
	return errors.Join(failed...)
}
