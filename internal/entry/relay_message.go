package entry

import (
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/auburnyoke/auburnyoke/internal/containment"
	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// minCompressedSize is the size from which objects are compressed, in bytes. Smaller
// ones fit into one packet anyway.
const minCompressedSize = 1024

// RelayResponse is a relay's answer to a follower.
type RelayResponse struct {
	// Snapshot reports that Changes holds all objects.
	Snapshot bool               `cbor:"1,keyasint,omitempty"`
	Changes  []Change           `cbor:"2,keyasint,omitempty"`
	Version  proxy.StoreVersion `cbor:"3,keyasint"`
	// ConfirmationOffset is the instant as of which the relay's state is confirmed to
	// be current, relative to the arrival of the request; negative if it
	// precedes it.
	ConfirmationOffset time.Duration `cbor:"4,keyasint"`
	// Hops is the number of relays between this relay and the store.
	Hops int `cbor:"5,keyasint,omitempty"`
}

// DecodeRelayResponse decodes a response that came from another host.
func DecodeRelayResponse(data []byte) (RelayResponse, error) {
	var r RelayResponse
	if err := containment.Call(func() error { return cbor.Unmarshal(data, &r) }); err != nil {
		return r, fmt.Errorf("decode relay response: %w", err)
	}
	if err := r.Validate(); err != nil {
		return r, fmt.Errorf("relay response: %w", err)
	}
	return r, nil
}

// Validate checks a response that came from another host.
func (r RelayResponse) Validate() error {
	if r.Hops < 0 {
		return eris.Errorf("hop count %d of the response is negative", r.Hops)
	}
	for _, c := range r.Changes {
		if c.Name == "" || c.Compressed != nil && c.Spec != nil {
			return eris.Errorf("change of %q has no name or both forms: %d plain bytes, %d compressed",
				c.Name, len(c.Spec), len(c.Compressed))
		}
	}
	return nil
}

// Change is an object as sent by a relay.
type Change struct {
	Name    string             `cbor:"1,keyasint"`
	Version proxy.StoreVersion `cbor:"2,keyasint"`
	Deleted bool               `cbor:"3,keyasint,omitempty"`
	// Spec is the uncompressed object; nil if Compressed is set.
	Spec []byte `cbor:"4,keyasint,omitempty"`
	// Compressed is the object, compressed with its version Base as the dictionary;
	// Base is zero if it was compressed without one.
	Compressed []byte             `cbor:"5,keyasint,omitempty"`
	Base       proxy.StoreVersion `cbor:"6,keyasint"`
}

// errUnknownBase is returned for a change whose base version the follower does not
// have.
var errUnknownBase = eris.New("base version of the change is not known")

// Decode returns the record after the change. Known is the follower's record of the
// object, used as the base for decompression.
func (c Change) Decode(known proxy.Record) (proxy.Record, error) {
	record := proxy.Record{Name: c.Name, Version: c.Version, Deleted: c.Deleted, Spec: c.Spec}
	switch {
	case c.Compressed == nil:
		return record, nil
	case known.Version == c.Version:
		return known, nil
	case c.Base.IsZero():
		known.Spec = nil
	case known.Version != c.Base:
		return proxy.Record{}, fmt.Errorf("%s: %w", c.Name, errUnknownBase)
	}
	err := containment.Call(func() (err error) {
		record.Spec, err = peering.Decompress(known.Spec, c.Compressed)
		return err
	})
	if err != nil {
		return proxy.Record{}, fmt.Errorf("decompress %s: %w", c.Name, err)
	}
	return record, nil
}

// changeCompressor compresses objects and caches the results, so that an object is
// compressed once for all followers.
type changeCompressor struct {
	mu         sync.Mutex
	compressed map[compressionKey][]byte
}

// compressionKey identifies a version of an object and the follower's version of it.
type compressionKey struct {
	name          string
	version, base proxy.StoreVersion
}

// maxCompressed limits the number of cached compressed objects.
const maxCompressed = 64

// compress returns a record as it is sent to a follower that has base; base is empty
// if the follower does not have the object. If it returns an error, the returned
// change holds the uncompressed object.
func (p *changeCompressor) compress(record, base proxy.Record) (Change, error) {
	c := Change{Name: record.Name, Version: record.Version, Deleted: record.Deleted, Spec: record.Spec}
	if record.Deleted || len(record.Spec) < minCompressedSize {
		return c, nil
	}
	if base.Deleted || len(base.Spec) == 0 {
		base = proxy.Record{}
	}
	key := compressionKey{record.Name, record.Version, base.Version}
	p.mu.Lock()
	defer p.mu.Unlock()
	compressed, ok := p.compressed[key]
	if !ok {
		var err error
		if compressed, err = peering.Compress(base.Spec, record.Spec); err != nil {
			return c, fmt.Errorf("compress %s: %w", record.Name, err)
		}
		if p.compressed == nil || len(p.compressed) >= maxCompressed {
			p.compressed = make(map[compressionKey][]byte)
		}
		p.compressed[key] = compressed
	}
	c.Spec, c.Compressed, c.Base = nil, compressed, base.Version
	return c, nil
}
