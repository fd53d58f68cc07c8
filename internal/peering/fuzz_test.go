package peering_test

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/auburnyoke/auburnyoke/internal/peering"
)

// Looks for datagrams that end the process of the host that receives them, or after which
// it answers no more.
func FuzzDatagram(f *testing.F) {
	for _, message := range []any{
		map[int]any{1: 7},
		map[int]any{1: 7, 2: true},
		map[int]any{1: 7, 2: true, 4: map[int]any{1: "b"}},
		map[int]any{1: 7, 3: []any{map[int]any{1: "clerks", 2: 5}}},
		map[int]any{1: 7, 3: []any{map[int]any{1: "clerks", 2: 1 << 62}}, 6: 1},
		map[int]any{1: 7, 5: map[int]any{1: "ledger", 2: map[int]any{1: 2, 2: 9}, 3: map[string]any{"primary": "i-1", "phase": "replacing", "era": 2}}},
		map[int]any{1: 7, 5: map[int]any{1: "ledger", 2: map[int]any{1: 2, 2: 9}, 3: map[string]any{"primary": "i-1", "phase": "unreadable"}}},
		map[int]any{1: 7, 7: "ledger"},
		map[int]any{1: 7, 9: []any{map[int]any{1: "clerks"}}, 10: "a"},
		map[int]any{1: 7, 2: true, 9: []any{map[int]any{1: "clerks", 2: 1 << 62, 3: 1 << 62}}},
		map[int]any{1: 7, 2: true, 7: "ledger", 8: map[int]any{1: "i-1", 2: -5, 3: map[int]any{1: 3, 2: 7}}},
		map[int]any{1: -7},
		map[int]any{1: 1e300},
	} {
		data, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(strings.Repeat("\x81", 1000)))
	a, b := start(f, "a"), start(f, "b")
	go func() {
		for range b.announcements {
		}
	}()
	conn, err := net.Dial("udp4", b.Address.String())
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := conn.Write(data); err != nil {
			return // longer than a datagram
		}
		states := a.QueryStates(context.Background(), []peering.Peer{b.Peer}, nil, waitTimeout)
		if len(states) != 1 || states[0].Host != "b" {
			t.Fatalf("states %v after the datagram", states)
		}
	})
}
