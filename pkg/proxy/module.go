package proxy

import (
	"fmt"
	"net/netip"
	"time"
)

// Module is a control decision: a state machine without input or output of its
// own. Handle takes one event at an instant and returns the effects that the
// caller must carry out. A module is safe for concurrent use.
type Module interface {
	Handle(now Instant, event Event) []Effect
}

// Event is what a module is told: Tick, Received, Fetched, Listed or Written,
// or a type of the module's own package.
type Event any

// Effect is what a module asks for: Send, Fetch, List, Put or Watch, or a type
// of the module's own package.
type Effect any

// Message is a control message between hosts. It checks itself when decoded.
type Message interface {
	Validate() error
}

// The events that every module may receive.
type (
	// Tick tells that time has passed. Random is a fresh random number.
	Tick struct{ Random uint64 }
	// Received is a message from another host.
	Received struct {
		From    HostID
		Message Message
	}
	// Fetched is the answer to a Fetch or one object of a Watch. Sent is the
	// instant at which the request was sent.
	Fetched struct {
		Object Object
		Sent   Instant
		Err    error
	}
	// Listed is the answer to a List.
	Listed struct {
		Prefix  Key
		Objects []Object
		Sent    Instant
		Err     error
	}
	// Written is the answer to a Put. Sent is the instant at which the request
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
	// Send asks to deliver a message to another host. Delivery may fail silently.
	Send struct {
		To      HostID
		Message Message
	}
	// Fetch asks to read an object.
	Fetch struct{ Key Key }
	// List asks to read all objects under a prefix.
	List struct{ Prefix Key }
	// Put asks to write an object conditionally.
	Put struct {
		Key      Key
		Value    []byte
		Expected Version
	}
	// Watch asks to follow the objects under a prefix until Stop.
	Watch struct {
		Prefix Key
		Stop   bool
	}
)

// HostPrefix is the prefix of the platform's list of the hosts that serve a
// stage of an environment. Each object is a HostState in JSON.
func HostPrefix(environment EnvironmentID, stage Stage) Key {
	return Key("environments/" + string(environment) + "/" + string(stage) + "/hosts/")
}

// HostState is a host as the platform's list or the hosts' own membership
// shows it.
type HostState struct {
	ID          HostID      `cbor:"1,keyasint" json:"id"`
	Zone        Zone        `cbor:"2,keyasint" json:"zone"`
	Address     string      `cbor:"3,keyasint" json:"address"`
	Incarnation Incarnation `cbor:"4,keyasint" json:"incarnation"`
	Leaving     bool        `cbor:"5,keyasint" json:"leaving"`
}

// Validate checks a host that came from the platform or another host.
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

// ClockRateBound is the largest assumed difference between the rates of two
// hosts' monotonic clocks, as a fraction.
const ClockRateBound = 0.01

// HolderTime returns how long the holder of a grant of d may use it, counted
// from before it sent the request.
func HolderTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - ClockRateBound))
}

// GranterTime returns how long the granter of a grant of d must treat it as in
// use, counted from after it answered.
func GranterTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + ClockRateBound))
}
