package proxy

import "time"

// Defaults of the keys that a document may leave out.
const (
	DefaultWeight  = 1
	DefaultTimeout = 30 * time.Second
	// DefaultIsolation limits how long a host that receives no configuration
	// changes may accept a withdrawn key.
	DefaultIsolation = 10 * time.Second
)

// Default sets the default values of optional keys.
func (d *Document) Default() { d.Isolation = DefaultIsolation }

// Default sets the default values of optional keys.
func (a *Account) Default() { a.Weight = DefaultWeight }

// Default sets the default values of optional keys.
func (r *Route) Default() {
	r.Access = Write
	r.Timeout = DefaultTimeout
}

// String returns the key's identifier without the verifier, so that the verifier
// does not reach logs and error messages.
func (k AccountKey) String() string {
	if k.Withdrawn {
		return "key " + string(k.ID) + " (withdrawn)"
	}
	return "key " + string(k.ID)
}

// GoString returns the same as String, so that %#v does not show the verifier.
func (k AccountKey) GoString() string { return k.String() }
