package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Kind names a set of objects of the same type in the platform's store.
type Kind string

// Record is an object of the store as read at Version.
type Record struct {
	Name    string          `cbor:"1,keyasint"`
	Version StoreVersion    `cbor:"2,keyasint"`
	Spec    json.RawMessage `cbor:"3,keyasint"`
	// Deleted reports that the object no longer exists. It is set only in the
	// changes that Watch returns.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// Listing holds the records of a kind at Version, or the changes to them.
type Listing struct {
	Records []Record
	Version StoreVersion
	// Unreadable lists the objects whose metadata cannot be read. Those with a name are
	// in Records too, as far as they could be read.
	Unreadable []Unreadable
}

// Unreadable is an object that cannot be read. Name is empty if it has none.
type Unreadable struct {
	Name, Reason string
}

// Errors of a RecordStore. After any other error of Write or Remove, the call may
// or may not have taken effect, except that an error that wraps ErrRefused means
// that it has not.
var (
	// ErrHistoryGone reports that the store no longer holds the changes after the
	// given version. The caller must list the kind again.
	ErrHistoryGone = errors.New("history of the store is gone")
	// ErrRefused reports that the store refused the call and has changed nothing.
	ErrRefused = errors.New("store refused the call")
)

// RecordStore is the platform's store of records. Write and Remove are conditional
// on the object's version; version zero stands for an object that must not exist.
// They return ErrConflict if the object has another version. Write then also
// returns the current record if the store sends it.
//
// The store does not know the era of the version that a call names. The caller compares it
// with the era of the result, also after a Write.
type RecordStore interface {
	List(ctx context.Context, kind Kind) (Listing, error)
	// Watch returns the changes of a kind after a version. It returns as soon as
	// there is a change, or without one after wait.
	Watch(ctx context.Context, kind Kind, after StoreVersion, wait time.Duration) (Listing, error)
	Write(ctx context.Context, kind Kind, name string, spec any, expected StoreVersion) (Record, error)
	Remove(ctx context.Context, kind Kind, name string, expected StoreVersion) error
}

// Promotion is a request to make an instance the primary of its group.
type Promotion struct {
	Group    GroupID
	Instance InstanceID
	// Holder is the host that holds the lease for this, Fence its fencing token.
	Holder HostID
	Fence  uint64
	// StillValid is asked immediately before the request leaves the host, since the host
	// may have been suspended in the meantime and another may have taken over.
	StillValid func() bool
}

// Promoter requests promotions from the platform.
type Promoter interface {
	// Promote requests a promotion. It returns ErrConflict if the platform answers that
	// the instance cannot be promoted, and ErrExpired if the request was no longer valid
	// and has not left the host. After any other error, it may have taken effect.
	Promote(ctx context.Context, promotion Promotion) error
}

// ErrExpired reports that a request has not left the host because it was no longer valid.
var ErrExpired = errors.New("request is no longer valid")
