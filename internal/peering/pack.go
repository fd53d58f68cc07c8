package peering

import (
	"fmt"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// packWindow is the distance over which repetitions are found, in bytes. It
	// covers an object of the store's largest size and the one that it replaces.
	packWindow = 2 << 20
	// maxUnpacked bounds what is unpacked, in bytes.
	maxUnpacked = 8 << 20
	// baseID is the number that zstd gives to the only dictionary in use.
	baseID = 1
)

// Pack compresses an object. What it shares with base, an earlier version of it
// that the receiver has, takes almost no space; base may be empty.
func Pack(base, object []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(packWindow),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("make encoder: %w", err)
	}
	packed := encoder.EncodeAll(object, nil)
	if err := encoder.Close(); err != nil {
		return nil, fmt.Errorf("close encoder: %w", err)
	}
	return packed, nil
}

// Unpack returns what Pack has compressed with the same base.
func Unpack(base, packed []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpacked),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("make decoder: %w", err)
	}
	defer decoder.Close()
	object, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("unpack: %w", err)
	}
	if len(object) == 0 {
		return nil, eris.New("unpack: nothing in it")
	}
	return object, nil
}
