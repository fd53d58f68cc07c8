package member

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Update reports what its sender knows of one host.
type Update struct {
	State  proxy.HostState `cbor:"1,keyasint"`
	Status Status          `cbor:"2,keyasint"`
	// Sequence orders the announcements of one incarnation of the host. Only the
	// host itself raises it: to refute a suspicion and to announce that it leaves.
	// The SWIM paper calls this number the incarnation.
	Sequence uint64 `cbor:"3,keyasint"`
}

// Validate checks an update that came from another host.
func (u *Update) Validate() error {
	if u.Status < Alive || u.Status > Failed {
		return fmt.Errorf("update of %s: status %d is not defined", u.State.ID, u.Status)
	}
	if err := u.State.Validate(); err != nil {
		return fmt.Errorf("update: %w", err)
	}
	return nil
}

// Ping asks a host to answer with an Ack of the same nonce. It contains the
// sender's own state and updates about other hosts.
type Ping struct {
	Nonce    uint64          `cbor:"1,keyasint"`
	From     proxy.HostState `cbor:"2,keyasint"`
	Sequence uint64          `cbor:"3,keyasint"`
	Updates  []Update        `cbor:"4,keyasint,omitempty"`
}

// Validate implements proxy.Message.
func (p *Ping) Validate() error {
	if err := p.From.Validate(); err != nil {
		return fmt.Errorf("ping: %w", err)
	}
	return checkUpdates(p.Updates)
}

// Ack answers a Ping. The answer to a relayed probe keeps the target's state in
// From and Sequence.
type Ack struct {
	Nonce    uint64          `cbor:"1,keyasint"`
	From     proxy.HostState `cbor:"2,keyasint"`
	Sequence uint64          `cbor:"3,keyasint"`
	Updates  []Update        `cbor:"4,keyasint,omitempty"`
}

// Validate implements proxy.Message.
func (a *Ack) Validate() error {
	if err := a.From.Validate(); err != nil {
		return fmt.Errorf("ack: %w", err)
	}
	return checkUpdates(a.Updates)
}

// Relay asks a host to ping Target and to forward the answer. It is the ping-req
// message of SWIM.
type Relay struct {
	Nonce  uint64       `cbor:"1,keyasint"`
	Target proxy.HostID `cbor:"2,keyasint"`
}

// Validate implements proxy.Message.
func (r *Relay) Validate() error {
	return proxy.CheckID("relay target", string(r.Target))
}

func checkUpdates(updates []Update) error {
	if len(updates) > maxUpdates {
		return fmt.Errorf("%d updates in one message: at most %d are allowed", len(updates), maxUpdates)
	}
	for i := range updates {
		if err := updates[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}
