package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// packSize is the size from which objects are packed, in bytes. Smaller ones fit
// a packet as they are.
const packSize = 1024

// Relayed is a mirror's answer to a follower.
type Relayed struct {
	// Whole reports that Changes are all objects.
	Whole   bool          `cbor:"1,keyasint,omitempty"`
	Changes []Change      `cbor:"2,keyasint,omitempty"`
	Version proxy.Version `cbor:"3,keyasint"`
	// Lead is how long after the arrival of the request the relay's proof holds;
	// negative for a proof that precedes it.
	Lead time.Duration `cbor:"4,keyasint"`
	// Hops is the number of relays between the relay and the store.
	Hops int `cbor:"5,keyasint,omitempty"`
}

// Validate checks an answer that came from another host.
func (r Relayed) Validate() error {
	if r.Hops < 0 {
		return eris.Errorf("answer over %d relays", r.Hops)
	}
	for _, c := range r.Changes {
		if c.Name == "" || c.Packed != nil && c.Spec != nil {
			return eris.Errorf("change of %q with %d bytes, packed %d", c.Name, len(c.Spec), len(c.Packed))
		}
	}
	return nil
}

// Change is an object as a relay sends it.
type Change struct {
	Name    string        `cbor:"1,keyasint"`
	Version proxy.Version `cbor:"2,keyasint"`
	Deleted bool          `cbor:"3,keyasint,omitempty"`
	// Spec is the object, or nil where Packed is.
	Spec []byte `cbor:"4,keyasint,omitempty"`
	// Packed is the object, packed with version Base of it; zero for none.
	Packed []byte        `cbor:"5,keyasint,omitempty"`
	Base   proxy.Version `cbor:"6,keyasint,omitempty"`
}

// errNoBase is returned for a change whose base the follower does not have.
var errNoBase = eris.New("change of a version that is not known")

// unpack returns the record that a change leads to. Known is what the follower
// has of the object.
func (c Change) unpack(known proxy.Record) (proxy.Record, error) {
	record := proxy.Record{Name: c.Name, Version: c.Version, Deleted: c.Deleted, Spec: c.Spec}
	switch {
	case c.Packed == nil:
		return record, nil
	case known.Version == c.Version:
		return known, nil
	case c.Base == 0:
		known.Spec = nil
	case known.Version != c.Base:
		return proxy.Record{}, fmt.Errorf("%s: %w", c.Name, errNoBase)
	}
	var err error
	if record.Spec, err = peering.Unpack(known.Spec, c.Packed); err != nil {
		return proxy.Record{}, fmt.Errorf("unpack %s: %w", c.Name, err)
	}
	return record, nil
}

// packer packs objects once for all followers.
type packer struct {
	mu     sync.Mutex
	packed map[packing][]byte
}

// packing is an object's version with the version that a follower has.
type packing struct {
	name          string
	version, base proxy.Version
}

// maxPackings bounds the packed objects that are kept.
const maxPackings = 64

// pack returns a record as it is sent to a follower that has base, which is empty
// where it has nothing of the object. With an error, the object is sent unpacked.
func (p *packer) pack(record, base proxy.Record) (Change, error) {
	c := Change{Name: record.Name, Version: record.Version, Deleted: record.Deleted, Spec: record.Spec}
	if record.Deleted || len(record.Spec) < packSize {
		return c, nil
	}
	if base.Deleted || len(base.Spec) == 0 {
		base = proxy.Record{}
	}
	key := packing{record.Name, record.Version, base.Version}
	p.mu.Lock()
	defer p.mu.Unlock()
	packed, ok := p.packed[key]
	if !ok {
		var err error
		if packed, err = peering.Pack(base.Spec, record.Spec); err != nil {
			return c, fmt.Errorf("pack %s: %w", record.Name, err)
		}
		if p.packed == nil || len(p.packed) >= maxPackings {
			p.packed = make(map[packing][]byte)
		}
		p.packed[key] = packed
	}
	c.Spec, c.Packed, c.Base = nil, packed, base.Version
	return c, nil
}
