package proxy

import "time"

// Defaults of the keys that a document may leave out.
const (
	DefaultWeight  = 1
	DefaultTimeout = 30 * time.Second
	// DefaultIsolation limits how long a host that can learn of no change may
	// accept a withdrawn key.
	DefaultIsolation = 10 * time.Second
)

// Default sets the values that apply to keys that are not in the document.
func (d *Document) Default() { d.Isolation = DefaultIsolation }

// Default sets the values that apply to keys that are not in the document.
func (a *Account) Default() { a.Weight = DefaultWeight }

// Default sets the values that apply to keys that are not in the document.
func (r *Route) Default() {
	r.Access = Write
	r.Timeout = DefaultTimeout
}

// String hides the verifier from logs and errors.
func (k AccountKey) String() string {
	if k.Withdrawn {
		return "key " + string(k.ID) + " (withdrawn)"
	}
	return "key " + string(k.ID)
}

// GoString hides the verifier from logs and errors.
func (k AccountKey) GoString() string { return k.String() }
