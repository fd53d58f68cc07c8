package promotion

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Health is a host's hostView of a primary.
type Health uint8

// The views of a primary.
const (
	// Uncertain hosts have too few observations and do not count.
	Uncertain Health = iota
	// Working primaries answer and their replicas receive their log.
	Working
	// Failed primaries refuse fresh connections or replicate nothing.
	Failed
)

// View tells another pool host of the group how the sender sees the primary.
type View struct {
	Group  proxy.GroupID `cbor:"1,keyasint"`
	Term   proxy.Term    `cbor:"2,keyasint"`
	Health Health        `cbor:"3,keyasint"`
	// Ask requests the receiver's view.
	Ask bool `cbor:"4,keyasint,omitempty"`
}

// Validate checks a view that came from another host.
func (v *View) Validate() error {
	if err := proxy.CheckID("group", string(v.Group)); err != nil {
		return fmt.Errorf("view: %w", err)
	}
	if v.Health > Failed {
		return fmt.Errorf("view: health %d is not defined", v.Health)
	}
	return nil
}

// Drain asks the other pool hosts of a group to start no writes for a short
// time before a planned change of primary. Each answers with Drained.
type Drain struct {
	Group proxy.GroupID `cbor:"1,keyasint"`
	Term  proxy.Term    `cbor:"2,keyasint"`
	// Serial identifies the attempt in the answers.
	Serial uint64 `cbor:"3,keyasint"`
}

// Validate checks a request that came from another host.
func (d *Drain) Validate() error {
	if err := proxy.CheckID("group", string(d.Group)); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	return nil
}

// Drained tells how many writes still run on the sender.
type Drained struct {
	Group  proxy.GroupID `cbor:"1,keyasint"`
	Term   proxy.Term    `cbor:"2,keyasint"`
	Serial uint64        `cbor:"3,keyasint"`
	Writes int           `cbor:"4,keyasint"`
}

// Validate checks an answer that came from another host.
func (d *Drained) Validate() error {
	if err := proxy.CheckID("group", string(d.Group)); err != nil {
		return fmt.Errorf("drained: %w", err)
	}
	if d.Writes < 0 {
		return fmt.Errorf("drained: %d writes, want at least 0", d.Writes)
	}
	return nil
}
