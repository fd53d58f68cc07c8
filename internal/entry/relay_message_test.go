package entry_test

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/auburnyoke/auburnyoke/internal/entry"
	"github.com/auburnyoke/auburnyoke/internal/peering"
	"github.com/auburnyoke/auburnyoke/pkg/proxy"
)

// maxDecodedSize exceeds the largest object of the store.
const maxDecodedSize = 16 << 20

// at returns a version in an era of the store.
func at(version proxy.Version) proxy.StoreVersion {
	return proxy.StoreVersion{Era: 2, Version: version}
}

// Looks for responses of a relay that end the process of a follower, are accepted
// although their content is not valid, or grow without limit when they are decoded.
func FuzzRelayResponse(f *testing.F) {
	base := strings.Repeat(`{"service":"ledger"}`, 100)
	compressed, err := peering.Compress([]byte(base), []byte(base+"{}"))
	if err != nil {
		f.Fatal(err)
	}
	changes := []entry.Change{{Name: "c", Version: at(8), Compressed: compressed, Base: at(7)}, {Name: "d", Version: at(9), Deleted: true}}
	for name, spec := range oddSpecs {
		changes = append(changes, entry.Change{Name: name, Version: at(6), Spec: []byte(spec)})
		data, err := cbor.Marshal(entry.RelayResponse{Version: at(9), Changes: changes, Snapshot: len(changes)%2 == 0})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(strings.Repeat("\x81", 20_000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		response, err := entry.DecodeRelayResponse(data)
		if err != nil {
			return
		}
		for _, change := range response.Changes {
			record, err := change.Decode(proxy.Record{Name: change.Name, Version: at(7), Spec: []byte(base)})
			if err == nil && (record.Name == "" || len(record.Spec) > max(len(data), maxDecodedSize)) {
				t.Fatalf("record %.40q with %d bytes from %d", record.Name, len(record.Spec), len(data))
			}
		}
	})
}
