package rpc_test

import (
	"testing"

	"github.com/auburnyoke/auburnyoke/internal/rpc"
)

// FuzzDecode guards against input of a peer that makes decoding panic, and against accepted
// messages that are not accepted again after encoding.
func FuzzDecode(f *testing.F) {
	codec, err := rpc.NewCodec()
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, kind byte, data []byte) {
		message := rpc.NewWireMessage(kind)
		if codec.Unmarshal(data, message) != nil {
			return
		}
		encoded, err := codec.Marshal(message)
		if err != nil {
			t.Fatalf("accepted message %#v is not encoded: %v", message, err)
		}
		if err = codec.Unmarshal(encoded, rpc.NewWireMessage(kind)); err != nil {
			t.Fatalf("accepted message %#v is not accepted again: %v", message, err)
		}
	})
}
