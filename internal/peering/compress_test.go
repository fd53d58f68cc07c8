package peering_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/auburnyoke/auburnyoke/internal/peering"
)

// configuration returns a configuration with many routes, of about 300 KB. The names are
// random so that they hardly compress.
func configuration(timeout int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var routes []map[string]any
	for range 1800 {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("%016x", random.Uint64()), "kind": "read_your_writes", "timeout_ms": 800,
			"max_staleness_ms": 1500, "service": fmt.Sprintf("%08x", random.Uint32()), "priority": 1, "public": false,
		})
	}
	routes[900]["timeout_ms"] = timeout
	data, err := json.Marshal(map[string]any{"version": timeout, "routes": routes})
	if err != nil {
		panic(err)
	}
	return data
}

// Simulates a change of a large configuration. Guards against relays that saturate their
// links by sending the whole configuration to each follower. A relay with 75 followers
// and a link of 10 Mbit/s has to send a change to all within a second, which leaves
// 16 KB for each.
func TestChangeOfALargeConfigurationIsSmall(t *testing.T) {
	is := is.New(t)
	before, after := configuration(800), configuration(900)
	is.True(len(before) > 250_000)
	compressed, err := peering.Compress(before, after)
	is.NoErr(err)
	t.Logf("%d bytes, compressed %d", len(after), len(compressed))
	is.True(len(compressed) <= 16_000)
	decompressed, err := peering.Decompress(before, compressed)
	is.NoErr(err)
	is.True(bytes.Equal(decompressed, after))
}

// Guards against accepting an object that was compressed with another base or is truncated.
func TestDecompressNeedsTheBase(t *testing.T) {
	is := is.New(t)
	before, after := configuration(800), configuration(900)
	compressed, err := peering.Compress(before, after)
	is.NoErr(err)
	for name, base := range map[string][]byte{"none": nil, "other": configuration(1)[1000:]} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			decompressed, err := peering.Decompress(base, compressed)
			is.True(err != nil || !bytes.Equal(decompressed, after))
		})
	}
	_, err = peering.Decompress(before, compressed[:len(compressed)/2])
	is.True(err != nil)
	plain, err := peering.Compress(nil, after)
	is.NoErr(err)
	decompressed, err := peering.Decompress(nil, plain)
	is.NoErr(err)
	is.True(bytes.Equal(decompressed, after))
}
