package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Kind names a set of objects of the platform's store.
type Kind string

// Record is an object of the store as read at Version.
type Record struct {
	Name    string          `cbor:"1,keyasint"`
	Version Version         `cbor:"2,keyasint"`
	Spec    json.RawMessage `cbor:"3,keyasint"`
	// Deleted reports, in a change, that the object no longer exists.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// Listing is the state of a kind at Version.
type Listing struct {
	Records []Record
	Version Version
}

// Errors of Records. Any other error of a writing call leaves open whether it
// took effect, except those that wrap ErrRefused.
var (
	// ErrHistoryGone asks for a new listing: the store no longer holds the
	// changes after the given version.
	ErrHistoryGone = errors.New("history of the store is gone")
	// ErrRefused is a refusal by the store; nothing was done.
	ErrRefused = errors.New("store refused the call")
)

// Records is the platform's object store. Writing calls are conditional:
// version zero stands for an object that must not exist. They return
// ErrConflict where the object has another version, together with the object as
// it is where the store tells it.
type Records interface {
	List(ctx context.Context, kind Kind) (Listing, error)
	// Watch returns the changes of a kind after a version, as soon as there is
	// one or after wait.
	Watch(ctx context.Context, kind Kind, after Version, wait time.Duration) (Listing, error)
	Write(ctx context.Context, kind Kind, name string, spec any, expected Version) (Record, error)
	Remove(ctx context.Context, kind Kind, name string, expected Version) error
}

// Promoter orders the platform to make an instance the primary of its group.
type Promoter interface {
	Promote(ctx context.Context, group GroupID, instance InstanceID, holder HostID, fence uint64) error
}
