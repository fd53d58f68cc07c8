package proxy

// Era numbers the histories of the store. Each time the store comes back from an older copy,
// it goes on in a new era, which is higher by one. What it had acknowledged since the copy is
// gone, and its versions are given out again. Zero is the era of a store that reports none.
type Era uint64

// StoreVersion is a place in the store's history: a version in an era. The zero version of an
// era stands for an object that does not exist.
//
// All decisions on which of two states of the store is the later one use After. Versions of
// different eras say nothing about each other's content: an object of a later era may be a copy
// that is older than one of the era before.
type StoreVersion struct {
	Era     Era     `cbor:"1,keyasint,omitempty"`
	Version Version `cbor:"2,keyasint,omitempty"`
}

// After reports whether the store reached v after other: in a later era, or at a higher version
// of the same one.
func (v StoreVersion) After(other StoreVersion) bool {
	if v.Era != other.Era {
		return v.Era > other.Era
	}
	return v.Version > other.Version
}

// fenceEraShift leaves 40 bits for the versions of an era, enough for 80 years of 400 writes a
// second. Up to 8,191 eras, tokens are exact as floating-point numbers too.
const fenceEraShift = 40

// Fence returns the fencing token of an order that rests on an object written at v. It rises with
// the versions and from one era to the next.
func (v StoreVersion) Fence() uint64 { return uint64(v.Era)<<fenceEraShift | uint64(v.Version) }

// IsZero reports whether v is no place in the history of any store.
func (v StoreVersion) IsZero() bool { return v == StoreVersion{} }
