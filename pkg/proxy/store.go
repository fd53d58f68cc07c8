package proxy

import (
	"context"
	"errors"
)

// Key is the name of an object in the platform's store: identifiers joined by
// slashes.
type Key string

// Object is an object of the platform's store as read at Version.
type Object struct {
	Key     Key     `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
}

// MaxObjectSize is the platform's limit on the size of a value, in bytes.
const MaxObjectSize = 1 << 20

// Errors of a Store. After any other error of Put, the write may or may not have
// taken effect; the caller must read the object again to find out.
var (
	ErrNotFound = errors.New("object not found")
	ErrConflict = errors.New("object has another version")
	ErrTooLarge = errors.New("object larger than 1 MiB")
)

// Store is the platform's object store, which holds the only durable state.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key Key) (Object, error)
	// Put writes value if the object's version is expected, zero for an object
	// that must not exist, and returns the new version. It returns ErrConflict
	// if the version differs.
	Put(ctx context.Context, key Key, value []byte, expected Version) (Version, error)
	// List returns all objects whose key starts with prefix, ordered by key.
	List(ctx context.Context, prefix Key) ([]Object, error)
	// Watch waits until an object under prefix has a version above after, and
	// returns all such objects. It returns no objects and no error if the
	// platform ends the wait without a change.
	Watch(ctx context.Context, prefix Key, after Version) ([]Object, error)
}
