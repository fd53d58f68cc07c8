package promotion

import (
	"fmt"

	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// Health is one host's assessment of a primary.
type Health uint8

// The assessments of a primary.
const (
	// Uncertain means that the host has too few observations. Its report is not
	// counted.
	Uncertain Health = iota
	// Working means that the primary answers and its replicas receive its log.
	Working
	// Failed means that the primary refuses fresh connections, does not lead its
	// term or replicates nothing.
	Failed
)

// HealthReport is the sender's assessment of the primary, sent to another pool host
// of the group.
type HealthReport struct {
	Group  proxy.GroupID `cbor:"1,keyasint"`
	Term   proxy.Term    `cbor:"2,keyasint"`
	Health Health        `cbor:"3,keyasint"`
	// ReplyRequested asks the receiver for its own report.
	ReplyRequested bool `cbor:"4,keyasint,omitempty"`
}

// Validate checks a report that came from another host.
func (r *HealthReport) Validate() error {
	if err := proxy.CheckID("group", string(r.Group)); err != nil {
		return fmt.Errorf("health report: %w", err)
	}
	if r.Health > Failed {
		return fmt.Errorf("health report: health %d is not defined", r.Health)
	}
	return nil
}

// Drain asks another pool host of a group to start no writes for a short time
// before a switchover. The receiver answers with Drained.
type Drain struct {
	Group proxy.GroupID `cbor:"1,keyasint"`
	Term  proxy.Term    `cbor:"2,keyasint"`
	// Serial is the sender's number of the attempt and is repeated in the answer.
	Serial uint64 `cbor:"3,keyasint"`
}

// Validate checks a request that came from another host.
func (d *Drain) Validate() error {
	if err := proxy.CheckID("group", string(d.Group)); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	return nil
}

// Drained reports how many writes of the sender are still in flight.
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
