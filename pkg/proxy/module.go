package proxy

import (
	"fmt"
	"net/netip"
	"time"
)

// Module is a state machine that makes control decisions and does no I/O itself.
// Handle takes an event at the current instant and returns the effects that the
// caller must execute. A module is safe for concurrent use.
type Module interface {
	Handle(now Instant, event Event) []Effect
}

// Event is an input of a module: Tick, Received, Fetched, Listed or Written, or a
// type of the module's own package.
type Event any

// Effect is an output of a module: Send, Fetch, List, Put or Watch, or a type of
// the module's own package.
type Effect any

// Message is a control message between hosts. It is validated when it is decoded.
type Message interface {
	Validate() error
}

// The events that every module may receive.
type (
	// Tick reports that time has passed. Random is a new random number.
	Tick struct{ Random uint64 }
	// Received is a message received from another host.
	Received struct {
		From    HostID
		Message Message
	}
	// Fetched is the result of a Fetch or one object of a Watch. Sent is the
	// instant at which the request was sent.
	Fetched struct {
		Object Object
		Sent   Instant
		Err    error
	}
	// Listed is the result of a List. Sent is the instant at which the request
	// was sent.
	Listed struct {
		Prefix  Key
		Objects []Object
		Sent    Instant
		Err     error
	}
	// Written is the result of a Put. Sent is the instant at which the request
	// was sent.
	Written struct {
		Key     Key
		Version Version
		Sent    Instant
		Err     error
	}
)

// The effects that every module may return.
type (
	// Send sends a message to another host. The message can be lost without an
	// error.
	Send struct {
		To      HostID
		Message Message
	}
	// Fetch reads an object.
	Fetch struct{ Key Key }
	// List reads all objects under a prefix.
	List struct{ Prefix Key }
	// Put writes an object if its version is still Expected.
	Put struct {
		Key      Key
		Value    []byte
		Expected Version
	}
	// Watch starts to follow the objects under a prefix, or ends it if Stop is set.
	Watch struct {
		Prefix Key
		Stop   bool
	}
)

// HostPrefix returns the key prefix of the objects that list the hosts serving a
// stage of an environment. Each object is a HostState in JSON.
func HostPrefix(environment EnvironmentID, stage Stage) Key {
	return Key("environments/" + string(environment) + "/" + string(stage) + "/hosts/")
}

// HostState is a host as listed on the platform or known from the membership
// protocol between the hosts.
type HostState struct {
	ID          HostID      `cbor:"1,keyasint" json:"id"`
	Zone        Zone        `cbor:"2,keyasint" json:"zone"`
	Address     string      `cbor:"3,keyasint" json:"address"`
	Incarnation Incarnation `cbor:"4,keyasint" json:"incarnation"`
	Leaving     bool        `cbor:"5,keyasint" json:"leaving"`
}

// Validate checks a host state that was received from the platform or from another
// host.
func (h *HostState) Validate() error {
	if err := CheckID("host", string(h.ID)); err != nil {
		return fmt.Errorf("host state: %w", err)
	}
	if err := CheckID("zone", string(h.Zone)); err != nil {
		return fmt.Errorf("host state of %s: %w", h.ID, err)
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fmt.Errorf("host state of %s: address: %w", h.ID, err)
	}
	return nil
}

// ClockRateBound is the assumed maximum difference between the rates of the
// monotonic clocks of two hosts, as a fraction.
const ClockRateBound = 0.01

// HolderTime returns how long the holder of a grant with duration d may use it,
// counted from the instant before it sent the request.
func HolderTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - ClockRateBound))
}

// GranterTime returns how long the granter of a grant with duration d must treat it
// as in use, counted from the instant after it answered the request.
func GranterTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + ClockRateBound))
}
